//! The line that a holder's spending stays below between two reports.

use hibiscus_types::TokenCount;
use serde::Deserialize;
use serde::Serialize;

/// Difference between the steady clock and the time of day over the same span
/// from which on the two times are not of one boot: a machine that is booted
/// anew may begin its steady clock anywhere.
const CLOCK_TOLERANCE_MS: u64 = 250;

/// A time of a machine's clocks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineTime {
    /// Tells one boot of the machine from the next; 0 when it is not known.
    pub boot: u64,
    /// Milliseconds of the steady clock.
    pub millis: u64,
    /// Time of day, in milliseconds since the Unix epoch. It proves nothing by
    /// itself.
    pub unix_millis: u64,
}

impl MachineTime {
    /// Milliseconds since `earlier`, which the same process read.
    pub fn since_own(self, earlier: Self) -> u64 {
        self.millis.saturating_sub(earlier.millis)
    }

    /// Milliseconds since `earlier`, which an earlier process of the machine
    /// read; `None` when the steady clocks cannot be compared. Both clocks must
    /// show the same span, and the longer one counts.
    pub fn since_other(self, earlier: Self) -> Option<u64> {
        if self.boot == 0 || self.boot != earlier.boot {
            return None;
        }
        let steady = self.millis.checked_sub(earlier.millis)?;
        let of_day = self.unix_millis.checked_sub(earlier.unix_millis)?;
        if steady.abs_diff(of_day) > CLOCK_TOLERANCE_MS {
            return None;
        }
        Some(steady.max(of_day))
    }
}

/// Spent and reserved tokens stay below `base + burst + rate * time`, where
/// time counts from a while after the line was made: a holder that reaches the
/// store makes a new line before that, and one that ends takes little along.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpendingLimit {
    /// Tokens spent and reserved at [`Self::created_at`].
    pub base: TokenCount,
    /// Tokens beyond them that may be spent at once.
    pub burst: TokenCount,
    /// Tokens that may be spent in each second once the line grows.
    pub per_second: u64,
    /// When the line was made.
    pub created_at: MachineTime,
    /// Milliseconds from then until the line grows.
    pub grows_after: u64,
}

impl SpendingLimit {
    /// The most that the process that made the line may spend and reserve at
    /// `now`.
    pub fn limit_at(&self, now: MachineTime) -> TokenCount {
        self.limit_after(now.since_own(self.created_at))
    }

    /// Milliseconds after the line was made from which on it allows `tokens`;
    /// `None` if it never does.
    pub fn allows_after(&self, tokens: TokenCount) -> Option<u64> {
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

    /// The most that an ended process of this machine had spent and reserved;
    /// `None` when the clocks prove nothing.
    pub fn proved_at(&self, now: MachineTime) -> Option<TokenCount> {
        Some(self.limit_after(now.since_other(self.created_at)?))
    }

    /// The most that may be spent and reserved `millis` after the line was
    /// made.
    pub fn limit_after(&self, millis: u64) -> TokenCount {
        let growing = millis.saturating_sub(self.grows_after);
        let paced = u128::from(self.per_second) * u128::from(growing) / 1_000;
        let paced = u64::try_from(paced).unwrap_or(u64::MAX);
        self.base + self.burst + TokenCount::new(paced)
    }
}
