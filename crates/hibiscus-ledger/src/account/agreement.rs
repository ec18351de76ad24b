//! Time bounds on which the clocks of several machines agree.
//!
//! After a power loss the monotonic clock of a machine restarts, and its time
//! of day alone proves nothing, because it may have been set forward or back.
//! It is unlikely that several machines are wrong in the same direction at
//! once. An account that no monotonic clock can close is therefore closed by
//! two time bounds. Each is computed from at least [`MIN_READINGS`] machines,
//! of which a third may be wrong in either direction, and more than half in one
//! direction:
//!
//! - A time *before* the ended process created its last limit. It comes from
//!   the newest records of the stream that the process had read
//!   ([`RecentReadings`]), advanced by its monotonic clock
//!   ([`TimeLowerBound`]), and is part of its report.
//! - A time *after* the process had ended. It comes from the times that other
//!   machines return to the process's successor ([`agreed_upper_bound`]).
//!
//! The process spent for no longer than the interval between the two.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use hibiscus_types::InstanceName;
use serde::Deserialize;
use serde::Serialize;

use crate::account::limit::MachineTime;

/// Fewest readings for an agreement: with two clocks it is unknown which of
/// them is wrong.
pub const MIN_READINGS: usize = 3;
/// One in this many readings is discarded as a possible outlier, at the end of
/// the order where a wrong reading would prove too much.
const OUTLIER_DIVISOR: usize = 3;
/// Readings that are kept: 7 instances append as many records in about 3 s. In
/// a large fleet they are those of the newest 64 instances.
const RECENT_READINGS_LIMIT: usize = 64;
/// Largest difference between correct clocks, in milliseconds. Machines that
/// follow a time server stay within a tenth of it.
pub const MAX_CLOCK_SKEW_MS: u64 = 500;

/// Time of day of a machine, from a record of the stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ClockReading {
    machine: InstanceName,
    unix_millis: u64,
}

/// Clock readings from the newest records of the stream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecentReadings {
    readings: VecDeque<ClockReading>,
}

impl RecentReadings {
    /// Adds the reading of a record that `machine` wrote.
    pub fn push(&mut self, machine: &InstanceName, unix_millis: u64) {
        let reading = ClockReading {
            machine: machine.clone(),
            unix_millis,
        };
        // A single batch may report several budgets with the same time.
        if self.readings.back() == Some(&reading) {
            return;
        }
        self.readings.push_back(reading);
        while self.readings.len() > RECENT_READINGS_LIMIT {
            self.readings.pop_front();
        }
    }

    /// A time of day that has passed, in milliseconds since the Unix epoch;
    /// `None` if there are readings of too few machines.
    pub fn agreed_lower_bound(&self) -> Option<u64> {
        let newest: BTreeMap<&InstanceName, u64> = self
            .readings
            .iter()
            .map(|reading| (&reading.machine, reading.unix_millis))
            .collect();
        let mut millis: Vec<u64> = newest.into_values().collect();
        millis.sort_unstable();
        agreed_bound(&millis)
    }
}

/// A time of day that has provably passed, as a holder tracks it. Each record
/// that the holder reads may raise the bound, and the monotonic clock advances
/// it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TimeLowerBound {
    /// The bound, and the machine's clocks when it was observed.
    anchor: Option<(u64, MachineTime)>,
}

impl TimeLowerBound {
    /// Records that the time of day `lower_bound` had passed at `now`.
    pub fn observe(&mut self, lower_bound: u64, now: MachineTime) {
        if self.at(now).is_none_or(|previous| lower_bound > previous) {
            self.anchor = Some((lower_bound, now));
        }
    }

    /// The latest time of day that has provably passed at `now`, in
    /// milliseconds since the Unix epoch.
    pub fn at(&self, now: MachineTime) -> Option<u64> {
        let (lower_bound, anchored) = self.anchor?;
        Some(lower_bound + now.since_same_process(anchored))
    }
}

/// A time of day that had not yet passed when the first of `readings` was made,
/// in milliseconds since the Unix epoch; `None` if there are too few readings.
pub fn agreed_upper_bound(readings: &[u64]) -> Option<u64> {
    let mut millis = readings.to_vec();
    millis.sort_unstable_by(|a, b| b.cmp(a));
    agreed_bound(&millis)
}

/// The first of the `ordered` readings after the possible outliers.
fn agreed_bound(ordered: &[u64]) -> Option<u64> {
    if ordered.len() < MIN_READINGS {
        return None;
    }
    ordered.get((ordered.len() - 1) / OUTLIER_DIVISOR).copied()
}
