//! What a link counts.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Counts of a link since it was opened, and its open connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkCounts {
    /// Connections to peers that are open.
    pub open_out: u64,
    /// Connections from peers that are open.
    pub open_in: u64,
    /// Handshakes begun with peers.
    pub handshakes_begun: u64,
    /// Handshakes with peers that gave a connection.
    pub handshakes_completed: u64,
    /// Handshakes with peers that gave none.
    pub handshakes_failed: u64,
    /// Handshakes that peers began here and that were taken up.
    pub handshakes_accepted: u64,
    /// Handshakes that peers began here and that were refused unread.
    pub handshakes_refused: u64,
    /// Calls whose reply did not come in time.
    pub calls_late: u64,
}

/// The counts while they change.
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
    /// The counts with `open_out` connections to peers.
    pub(crate) fn read(&self, open_out: u64) -> LinkCounts {
        LinkCounts {
            open_out,
            open_in: level(&self.open_in),
            handshakes_begun: level(&self.handshakes_begun),
            handshakes_completed: level(&self.handshakes_completed),
            handshakes_failed: level(&self.handshakes_failed),
            handshakes_accepted: level(&self.handshakes_accepted),
            handshakes_refused: level(&self.handshakes_refused),
            calls_late: level(&self.calls_late),
        }
    }
}

/// Adds one to `counter`.
pub(crate) fn add(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

/// Takes one from `counter`.
pub(crate) fn take(counter: &AtomicU64) {
    counter.fetch_sub(1, Ordering::Relaxed);
}

/// The present value of `counter`.
pub(crate) fn level(counter: &AtomicU64) -> u64 {
    counter.load(Ordering::Relaxed)
}
