//! What this instance reads of the store for the whole fleet.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use hibiscus_events::EventCode;
use hibiscus_events::event;
use hibiscus_traffic::relays::RELAY_COUNT;

/// Whether this instance is one of the few that read topics as they are written
/// and publish what changes. The traffic thread sets it, others look at it.
#[derive(Debug, Default)]
pub(crate) struct RelayDuty {
    /// How many instances come before this one.
    place: AtomicUsize,
    /// Whether the fleet is so large that a few read for the others.
    large: AtomicBool,
}

impl RelayDuty {
    /// Notes how many instances come before this one, and whether the fleet is
    /// `large`.
    pub(crate) fn set(&self, place: usize, large: bool) {
        let before = (self.is_relay(), self.is_large());
        self.place.store(place, Ordering::Relaxed);
        self.large.store(large, Ordering::Relaxed);
        if before != (self.is_relay(), self.is_large()) {
            event!(
                EventCode::RelayChanged,
                "relay={} place={place} large={large}",
                self.is_relay()
            );
        }
    }

    /// How many instances come before this one, at most [`RELAY_COUNT`].
    pub(crate) fn place(&self) -> u32 {
        let place = self.place.load(Ordering::Relaxed).min(RELAY_COUNT);
        u32::try_from(place).unwrap_or(u32::MAX)
    }

    /// Whether this instance is one of the few.
    pub(crate) fn is_relay(&self) -> bool {
        self.place.load(Ordering::Relaxed) < RELAY_COUNT
    }

    /// Whether a few read for the others.
    pub(crate) fn is_large(&self) -> bool {
        self.large.load(Ordering::Relaxed)
    }
}
