//! Whether the caller of a request still waits for its answer.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

/// Shared between the callers' port and the request's thread.
#[derive(Clone, Debug, Default)]
pub struct CallerPresence {
    left: Arc<AtomicBool>,
}

/// Held while the callers' port waits for the head of an answer. Dropping it
/// before [`Self::end`] means that the caller closed its connection.
#[derive(Debug)]
pub struct WaitingCaller {
    presence: CallerPresence,
    ended: bool,
}

impl CallerPresence {
    /// Whether the caller has closed its connection.
    pub fn has_left(&self) -> bool {
        self.left.load(Ordering::Relaxed)
    }

    /// Starts to wait for the head of the answer.
    pub fn hold(&self) -> WaitingCaller {
        WaitingCaller {
            presence: self.clone(),
            ended: false,
        }
    }
}

impl WaitingCaller {
    /// The head of the answer came.
    pub fn end(&mut self) {
        self.ended = true;
    }
}

impl Drop for WaitingCaller {
    fn drop(&mut self) {
        if !self.ended {
            self.presence.left.store(true, Ordering::Relaxed);
        }
    }
}
