//! Counters of a link.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Counts of events since a link was opened, and of its open connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkCounts {
    /// Open connections to peers.
    pub open_out: u64,
    /// Open connections from peers.
    pub open_in: u64,
    /// Outgoing handshakes that were begun.
    pub handshakes_begun: u64,
    /// Outgoing handshakes that established a connection.
    pub handshakes_completed: u64,
    /// Outgoing handshakes that failed.
    pub handshakes_failed: u64,
    /// Incoming handshakes that were accepted.
    pub handshakes_accepted: u64,
    /// Incoming handshakes that were refused without being processed.
    pub handshakes_refused: u64,
    /// Calls that timed out.
    pub calls_late: u64,
}

/// The shared counters behind [`LinkCounts`].
#[derive(Debug, Default)]
pub(crate) struct LinkCounters {
    pub(crate) open_in: AtomicU64,
    pub(crate) handshakes_begun: AtomicU64,
    pub(crate) handshakes_completed: AtomicU64,
    pub(crate) handshakes_failed: AtomicU64,
    pub(crate) handshakes_accepted: AtomicU64,
    pub(crate) handshakes_refused: AtomicU64,
    pub(crate) calls_late: AtomicU64,
}

impl LinkCounters {
    /// Returns the current counts, with `open_out` open connections to peers.
    pub(crate) fn read(&self, open_out: u64) -> LinkCounts {
        LinkCounts {
            open_out,
            open_in: value(&self.open_in),
            handshakes_begun: value(&self.handshakes_begun),
            handshakes_completed: value(&self.handshakes_completed),
            handshakes_failed: value(&self.handshakes_failed),
            handshakes_accepted: value(&self.handshakes_accepted),
            handshakes_refused: value(&self.handshakes_refused),
            calls_late: value(&self.calls_late),
        }
    }
}

/// Increments `counter` by one.
pub(crate) fn increment(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

/// Decrements `counter` by one.
pub(crate) fn decrement(counter: &AtomicU64) {
    counter.fetch_sub(1, Ordering::Relaxed);
}

/// Returns the current value of `counter`.
pub(crate) fn value(counter: &AtomicU64) -> u64 {
    counter.load(Ordering::Relaxed)
}
