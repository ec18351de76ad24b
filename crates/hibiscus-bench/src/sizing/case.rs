//! What happens during a run.

use std::time::Duration;

/// Holders of a fleet.
pub const HOLDERS: usize = 7;
/// Holders on the side of a partition that reaches the log.
pub const LOG_SIDE: usize = 4;
/// Share of the requests of each team, in percent.
pub const TEAM_SHARES: [u64; 10] = [30, 20, 15, 10, 8, 6, 5, 3, 2, 1];
/// Requests a second of all teams.
pub const REQUEST_RATE: f64 = 20.0;

/// Length of a run.
const RUN: Duration = Duration::from_secs(1_200);
/// Begin and end of an outage or partition.
const FAULT: (Duration, Duration) = (Duration::from_secs(300), Duration::from_secs(900));

/// One case.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SizingCase {
    /// Nothing fails.
    Steady,
    /// The log fails for ten minutes.
    LogOutage,
    /// Four holders reach the log, three do not, and the log's side tops up.
    PartitionTopup,
    /// A holder dies every two minutes.
    HolderDeaths,
    /// Every budget begins with its last percent.
    LastPercent,
}

impl SizingCase {
    /// All cases.
    pub const ALL: [Self; 5] = [
        Self::Steady,
        Self::LogOutage,
        Self::PartitionTopup,
        Self::HolderDeaths,
        Self::LastPercent,
    ];

    /// The name in the results.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Steady => "steady",
            Self::LogOutage => "log-outage",
            Self::PartitionTopup => "partition-topup",
            Self::HolderDeaths => "holder-deaths",
            Self::LastPercent => "last-percent",
        }
    }

    /// Length of the run.
    pub const fn length(self) -> Duration {
        RUN
    }

    /// Seconds of demand that a budget holds at the start. The last percent
    /// is that of a budget of ten hours.
    pub const fn credit_seconds(self) -> u64 {
        match self {
            Self::Steady | Self::HolderDeaths => 3_600,
            Self::LogOutage => 1_800,
            Self::PartitionTopup => 1_500,
            Self::LastPercent => 360,
        }
    }

    /// Whether `holder` reaches the log at `now`.
    pub fn reaches_log(self, holder: usize, now: Duration) -> bool {
        let failing = now >= FAULT.0 && now < FAULT.1;
        match self {
            Self::LogOutage => !failing,
            Self::PartitionTopup => !failing || holder < LOG_SIDE,
            _ => true,
        }
    }

    /// Whether two holders reach each other at `now`.
    pub fn reach(self, one: usize, other: usize, now: Duration) -> bool {
        let parted = self == Self::PartitionTopup && now >= FAULT.0 && now < FAULT.1;
        !parted || (one < LOG_SIDE) == (other < LOG_SIDE)
    }

    /// When budgets are topped up, with seconds of their demand.
    pub fn top_up(self) -> Option<(Duration, u64)> {
        let middle = Duration::from_secs(600);
        (self == Self::PartitionTopup).then_some((middle, 600))
    }

    /// The holder that dies at `now`.
    pub fn death(self, now: Duration) -> Option<usize> {
        let due = now.as_millis().is_multiple_of(120_000) && !now.is_zero();
        let number = usize::try_from(now.as_secs() / 120).unwrap_or(0);
        (self == Self::HolderDeaths && due).then_some(number % HOLDERS)
    }
}
