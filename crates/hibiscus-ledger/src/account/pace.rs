//! The line that a holder's spending stays below between two reports.

use hibiscus_types::TokenCount;
use serde::Deserialize;
use serde::Serialize;

/// A time of a machine's steady clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineTime {
    /// Tells one boot of the machine from the next; 0 when it is not known.
    pub boot: u64,
    /// Milliseconds since the boot.
    pub millis: u64,
}

impl MachineTime {
    /// Milliseconds since `earlier`; `None` when the clocks cannot be
    /// compared.
    pub fn since(self, earlier: Self) -> Option<u64> {
        if self.boot == 0 || self.boot != earlier.boot {
            return None;
        }
        self.millis.checked_sub(earlier.millis)
    }
}

/// Spent and reserved tokens stay below `base + burst + rate * time`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpendPace {
    /// Tokens spent and reserved at [`Self::made`].
    pub base: TokenCount,
    /// Tokens beyond them that may be spent at once.
    pub burst: TokenCount,
    /// Tokens that may be spent in each second after [`Self::made`].
    pub per_second: u64,
    /// When the line begins.
    pub made: MachineTime,
}

impl SpendPace {
    /// The most that is spent and reserved at `now`; `None` when the clocks
    /// cannot be compared.
    pub fn limit_at(&self, now: MachineTime) -> Option<TokenCount> {
        let millis = now.since(self.made)?;
        let paced = u128::from(self.per_second) * u128::from(millis) / 1_000;
        let paced = u64::try_from(paced).unwrap_or(u64::MAX);
        Some(self.base + self.burst + TokenCount::new(paced))
    }
}
