//! What this instance reads of the store for the whole fleet.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use hibiscus_events::EventCode;
use hibiscus_events::event;
use hibiscus_traffic::relays::RELAYS;

/// Whether this instance is one of the few that read topics as they are written
/// and publish what changes. The traffic thread sets it, others look at it.
#[derive(Debug, Default)]
pub(crate) struct RelayRole {
    /// How many instances come before this one.
    rank: AtomicUsize,
    /// Whether the fleet is so large that a few read for the others.
    large: AtomicBool,
}

impl RelayRole {
    /// Notes how many instances come before this one, and whether the fleet is
    /// `large`.
    pub(crate) fn set(&self, rank: usize, large: bool) {
        let before = (self.is_relay(), self.is_large());
        self.rank.store(rank, Ordering::Relaxed);
        self.large.store(large, Ordering::Relaxed);
        if before != (self.is_relay(), self.is_large()) {
            event!(
                EventCode::RelayChanged,
                "relay={} place={rank} large={large}",
                self.is_relay()
            );
        }
    }

    /// How many instances come before this one, at most [`RELAYS`].
    pub(crate) fn rank(&self) -> u32 {
        let rank = self.rank.load(Ordering::Relaxed).min(RELAYS);
        u32::try_from(rank).unwrap_or(u32::MAX)
    }

    /// Whether this instance is one of the few.
    pub(crate) fn is_relay(&self) -> bool {
        self.rank.load(Ordering::Relaxed) < RELAYS
    }

    /// Whether a few read for the others.
    pub(crate) fn is_large(&self) -> bool {
        self.large.load(Ordering::Relaxed)
    }
}
