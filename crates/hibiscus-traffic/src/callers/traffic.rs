//! Counts the bytes on callers' connections.

use std::cell::Cell;
use std::rc::Rc;

/// Bytes on all connections of callers.
#[derive(Debug, Default)]
pub struct CallerTraffic {
    carried: Cell<u64>,
    queued: Cell<u64>,
    stalled: Cell<u64>,
}

impl CallerTraffic {
    /// Bytes received from and sent to callers since the start. What is received goes on
    /// to a server, and what is sent came from one, so the link carries these in each
    /// direction.
    pub fn carried(&self) -> u64 {
        self.carried.get()
    }

    /// Bytes that wait for connections whose callers read, so for the link.
    pub fn queued(&self) -> u64 {
        self.queued.get()
    }

    /// Bytes that wait for callers that do not read.
    pub fn stalled(&self) -> u64 {
        self.stalled.get()
    }

    /// The counter of the bytes that wait for callers that read, or do not.
    fn waiting(&self, is_stalled: bool) -> &Cell<u64> {
        if is_stalled {
            &self.stalled
        } else {
            &self.queued
        }
    }
}

/// Counts the bytes of one connection.
#[derive(Debug)]
pub(crate) struct TrafficCounter {
    traffic: Rc<CallerTraffic>,
    /// Bytes of the connection that wait.
    waiting: u64,
    is_stalled: bool,
}

impl TrafficCounter {
    pub(crate) fn new(traffic: &Rc<CallerTraffic>) -> Self {
        Self {
            traffic: Rc::clone(traffic),
            waiting: 0,
            is_stalled: false,
        }
    }

    /// Counts `bytes` that were received or sent.
    pub(crate) fn note_carried(&self, bytes: usize) {
        let carried = &self.traffic.carried;
        carried.set(carried.get() + bytes as u64);
    }

    /// Records how many bytes wait, and whether that is since the caller does not read.
    pub(crate) fn set_waiting(&mut self, bytes: usize, is_stalled: bool) {
        let before = self.traffic.waiting(self.is_stalled);
        before.set(before.get() - self.waiting);
        self.waiting = bytes as u64;
        self.is_stalled = is_stalled;
        let now = self.traffic.waiting(is_stalled);
        now.set(now.get() + self.waiting);
    }
}

impl Drop for TrafficCounter {
    fn drop(&mut self) {
        self.set_waiting(0, false);
    }
}
