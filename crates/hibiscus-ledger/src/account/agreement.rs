//! A time that the clocks of several machines agree on.
//!
//! A machine that lost its power begins its steady clock anew, and its time of
//! day proves nothing by itself: it may have been set ahead or back meanwhile.
//! Several machines that are wrong in the same direction at once are another
//! matter. So an account that no steady clock can close is closed by two times,
//! each taken from at least [`MIN_READINGS`] machines of which a third may
//! be wrong in either direction, and more than half in one:
//!
//! - *before* the ended process made its last line: what the newest records of
//!   the stream showed it ([`RecentReadings`]), carried on by its steady clock
//!   ([`ElapsedTime`]); its report tells it;
//! - *after* the process had ended: what the machines answered to its
//!   successor ([`agreed_upper_bound`]).
//!
//! The process spent no longer than the time between the two.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use hibiscus_types::InstanceName;
use serde::Deserialize;
use serde::Serialize;

use crate::account::limit::MachineTime;

/// Readings below which nothing is agreed on: two clocks cannot tell which of
/// them is wrong.
pub const MIN_READINGS: usize = 3;
/// One in this many readings at the end of the order that would prove more
/// than is true is left out.
const DOUBTED_SHARE: usize = 3;
/// Records of the stream whose readings count: 7 instances append as many in
/// about 3 s, and of a large fleet's these are the newest 64 instances.
const READINGS_KEPT: usize = 64;
/// Difference between correct clocks, in milliseconds: machines that follow a
/// time server stay within a tenth of it.
pub const MAX_CLOCK_SKEW_MS: u64 = 500;

/// One machine's time of day, as a record of the stream shows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ClockReading {
    machine: InstanceName,
    unix_millis: u64,
}

/// The readings of the last records of the stream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecentReadings {
    readings: VecDeque<ClockReading>,
}

impl RecentReadings {
    /// Adds what a record of `machine` showed.
    pub fn push(&mut self, machine: &InstanceName, unix_millis: u64) {
        let reading = ClockReading {
            machine: machine.clone(),
            unix_millis,
        };
        // One record reports several budgets at the same time.
        if self.readings.back() == Some(&reading) {
            return;
        }
        self.readings.push_back(reading);
        while self.readings.len() > READINGS_KEPT {
            self.readings.pop_front();
        }
    }

    /// A time of day that has passed, in milliseconds since the Unix epoch;
    /// `None` when too few machines were heard.
    pub fn passed(&self) -> Option<u64> {
        let newest: BTreeMap<&InstanceName, u64> = self
            .readings
            .iter()
            .map(|reading| (&reading.machine, reading.unix_millis))
            .collect();
        let mut millis: Vec<u64> = newest.into_values().collect();
        millis.sort_unstable();
        agreed(&millis)
    }
}

/// A time of day that has passed, as a holder follows it: each record that it
/// reads may show a later one, and its steady clock goes on from there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ElapsedTime {
    /// The time of day, and the steady clock when it was known to have passed.
    anchor: Option<(u64, MachineTime)>,
}

impl ElapsedTime {
    /// Takes over that the time of day `passed` has passed at `now`.
    pub fn observe(&mut self, passed: u64, now: MachineTime) {
        if self.at(now).is_none_or(|known| passed > known) {
            self.anchor = Some((passed, now));
        }
    }

    /// The latest time of day that is known to have passed at `now`, in
    /// milliseconds since the Unix epoch.
    pub fn at(&self, now: MachineTime) -> Option<u64> {
        let (passed, anchored) = self.anchor?;
        Some(passed + now.since_own(anchored))
    }
}

/// A time of day that had not passed when the first of `readings` was made.
/// `None` when these are too few.
pub fn agreed_upper_bound(readings: &[u64]) -> Option<u64> {
    let mut millis = readings.to_vec();
    millis.sort_unstable_by(|a, b| b.cmp(a));
    agreed(&millis)
}

/// The first of `ordered` after those that are doubted.
fn agreed(ordered: &[u64]) -> Option<u64> {
    if ordered.len() < MIN_READINGS {
        return None;
    }
    ordered.get((ordered.len() - 1) / DOUBTED_SHARE).copied()
}
