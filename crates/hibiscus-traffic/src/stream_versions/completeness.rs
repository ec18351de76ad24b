//! Whether the topic of the versions holds all versions that may have begun streams.
//!
//! After the store came back from a copy, the topic lacks versions until the instances
//! that know them have recorded them again. An instance that follows the topic learns of
//! it from the era of the store. A process that starts behind the copy can't, so the
//! instance that maintains the topic records the era in which the topic is complete.

use std::cell::Cell;
use std::time::Duration;

use hibiscus_types::StoreEra;

/// Time after the store came back from a copy in which the topic of the versions may lack
/// some: servers write their entries again within 2 s, and their versions are recorded at
/// the next tick.
const RESTORE_TIME: Duration = Duration::from_millis(2_500);

/// What is known of the completeness of the topic of the versions.
#[derive(Debug, Default)]
pub(super) struct VersionsCompleteness {
    /// Highest era of the store in which the topic was read.
    era: Cell<Option<StoreEra>>,
    /// Highest era for which a record says that the topic is complete.
    recorded: Cell<Option<StoreEra>>,
    /// Time until which the topic may lack versions.
    incomplete_until: Cell<Duration>,
}

impl VersionsCompleteness {
    /// Whether the topic holds all versions at `now`, as far as this process can know.
    pub(super) fn is_complete(&self, now: Duration) -> bool {
        now >= self.incomplete_until.get()
    }

    /// Records that the topic was read in `era` at `now`.
    pub(super) fn note_read(&self, era: StoreEra, now: Duration) {
        if self.era.get().is_some_and(|known| known < era) {
            self.incomplete_until.set(now + RESTORE_TIME);
        }
        self.era.set(self.era.get().max(Some(era)));
    }

    /// Records that the topic is complete in the era `recorded`, which was read in `era` at
    /// `now`. For a process that has read nothing before, a copy in which it is not the
    /// present one may lack versions.
    pub(super) fn note_recorded(&self, recorded: Option<StoreEra>, era: StoreEra, now: Duration) {
        let is_first = self.era.get().is_none();
        if is_first && recorded.unwrap_or_default() < era {
            self.incomplete_until.set(now + RESTORE_TIME);
        }
        self.recorded.set(self.recorded.get().max(recorded));
        self.note_read(era, now);
    }

    /// Records that the store came back from a copy and is in `era`.
    pub(super) fn note_restored(&self, era: StoreEra, now: Duration) {
        self.incomplete_until.set(now + RESTORE_TIME);
        self.era.set(self.era.get().max(Some(era)));
    }

    /// The era to record as the one in which the topic is complete, if it is not recorded.
    pub(super) fn record_due(&self, now: Duration) -> Option<StoreEra> {
        let era = self.era.get()?;
        if !self.is_complete(now) || self.recorded.get() >= Some(era) {
            return None;
        }
        self.recorded.set(Some(era));
        Some(era)
    }
}
