//! Whether this instance reads topics of the store for the whole fleet.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use hibiscus_events::EventCode;
use hibiscus_events::event;
use hibiscus_traffic::relays::RELAY_COUNT;

/// Role of this instance as a relay, one of the few instances that read a topic
/// and publish its changes for the others. The traffic thread sets the role, the
/// threads that follow topics read it.
#[derive(Debug, Default)]
pub(crate) struct RelayRole {
    /// Rank of this instance in the order of relays, from 0.
    rank: AtomicUsize,
    /// Whether the fleet is large enough to use relays for server entries.
    large: AtomicBool,
}

impl RelayRole {
    /// Sets the rank of this instance and whether the fleet is `large`, and logs a
    /// change of the role.
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

    /// Returns the rank of this instance, at most [`RELAY_COUNT`].
    pub(crate) fn rank(&self) -> u32 {
        let rank = self.rank.load(Ordering::Relaxed).min(RELAY_COUNT);
        u32::try_from(rank).unwrap_or(u32::MAX)
    }

    /// Returns whether this instance is a relay.
    pub(crate) fn is_relay(&self) -> bool {
        self.rank.load(Ordering::Relaxed) < RELAY_COUNT
    }

    /// Returns whether the fleet is large enough to use relays for server entries.
    pub(crate) fn is_large(&self) -> bool {
        self.large.load(Ordering::Relaxed)
    }
}
