//! Spending limit of a holder between two of its reports.

use hibiscus_types::TokenCount;
use serde::Deserialize;
use serde::Serialize;

/// Largest difference between the elapsed monotonic time and the elapsed time
/// of day, in milliseconds. Beyond it the two readings are not from one boot:
/// the monotonic clock may start anywhere after a reboot.
const CLOCK_TOLERANCE_MS: u64 = 250;

/// Reading of a machine's clocks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineTime {
    /// Identifies the boot of the machine; 0 if it is unknown.
    pub boot: u64,
    /// Monotonic clock, in milliseconds.
    pub millis: u64,
    /// Time of day, in milliseconds since the Unix epoch. It proves nothing on
    /// its own, because it can be set.
    pub unix_millis: u64,
}

impl MachineTime {
    /// Milliseconds since `earlier`, which was read by the same process.
    pub fn since_same_process(self, earlier: Self) -> u64 {
        self.millis.saturating_sub(earlier.millis)
    }

    /// Milliseconds since `earlier`, which was read by an earlier process on
    /// the machine; `None` if the monotonic clocks cannot be compared. Both
    /// clocks must show the same elapsed time, and the longer of the two
    /// counts.
    pub fn since_other_process(self, earlier: Self) -> Option<u64> {
        if self.boot == 0 || self.boot != earlier.boot {
            return None;
        }
        let monotonic = self.millis.checked_sub(earlier.millis)?;
        let of_day = self.unix_millis.checked_sub(earlier.unix_millis)?;
        if monotonic.abs_diff(of_day) > CLOCK_TOLERANCE_MS {
            return None;
        }
        Some(monotonic.max(of_day))
    }
}

/// Upper bound on a holder's spent and reserved tokens, in tokens:
/// `base + burst + per_second * time`, where `time` starts `grows_after` after
/// the limit was created. A holder that reaches the store reports a new limit
/// before that, so little is lost when it crashes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpendingLimit {
    /// Tokens spent and reserved at [`Self::created_at`].
    pub base: TokenCount,
    /// Tokens beyond the base that may be spent at once.
    pub burst: TokenCount,
    /// Growth of the limit, in tokens per second.
    pub per_second: u64,
    /// When the limit was created.
    pub created_at: MachineTime,
    /// Time from the creation until the limit grows, in milliseconds.
    pub grows_after: u64,
}

impl SpendingLimit {
    /// The most that the process that created the limit may spend and reserve
    /// at `now`.
    pub fn allowed_at(&self, now: MachineTime) -> TokenCount {
        self.allowed_after(now.since_same_process(self.created_at))
    }

    /// Milliseconds from the creation until the limit allows `tokens`; `None`
    /// if it never does.
    pub fn millis_until_allowed(&self, tokens: TokenCount) -> Option<u64> {
        let missing = tokens.saturating_sub(self.base + self.burst);
        if missing.is_zero() {
            return Some(0);
        }
        if self.per_second == 0 {
            return None;
        }
        let growing = u128::from(missing.get()) * 1_000;
        let growing = growing.div_ceil(u128::from(self.per_second));
        let growing = u64::try_from(growing).unwrap_or(u64::MAX);
        Some(self.grows_after.saturating_add(growing))
    }

    /// The most that an ended process of this machine can have spent and
    /// reserved; `None` if the clocks prove nothing.
    pub fn max_spent_at(&self, now: MachineTime) -> Option<TokenCount> {
        Some(self.allowed_after(now.since_other_process(self.created_at)?))
    }

    /// The most that may be spent and reserved `millis` milliseconds after the
    /// creation.
    pub fn allowed_after(&self, millis: u64) -> TokenCount {
        let growing = millis.saturating_sub(self.grows_after);
        let paced = u128::from(self.per_second) * u128::from(growing) / 1_000;
        let paced = u64::try_from(paced).unwrap_or(u64::MAX);
        self.base + self.burst + TokenCount::new(paced)
    }
}
