//! Pauses in the reading of a server's response since its caller does not read.
//!
//! Such a pause says nothing of the server: it is not silent, and how long its response
//! took says nothing of its speed.

use std::cell::Cell;
use std::rc::Rc;

use crate::servers::ServerHandle;

/// Whether a response that is being forwarded is read no further for now.
#[derive(Debug)]
pub(crate) struct ReadingPause {
    server: Rc<ServerHandle>,
    is_paused: Cell<bool>,
    was_paused: Cell<bool>,
    has_ended: Cell<bool>,
}

impl ReadingPause {
    pub(crate) fn new(server: &Rc<ServerHandle>) -> Rc<Self> {
        Rc::new(Self {
            server: Rc::clone(server),
            is_paused: Cell::new(false),
            was_paused: Cell::new(false),
            has_ended: Cell::new(false),
        })
    }

    /// Records whether the response is read no further.
    pub(crate) fn set_paused(&self, is_paused: bool) {
        if self.has_ended.get() || self.is_paused.replace(is_paused) == is_paused {
            return;
        }
        if is_paused {
            self.was_paused.set(true);
            self.server.note_reading_paused();
        } else {
            self.server.note_reading_resumed();
        }
    }

    /// Whether there was a pause so far.
    pub(crate) fn was_paused(&self) -> bool {
        self.was_paused.get()
    }

    /// Records that the whole response was read, or no more of it will be.
    pub(crate) fn end(&self) {
        self.set_paused(false);
        self.has_ended.set(true);
    }
}
