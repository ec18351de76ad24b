//! What one holder may still spend of one budget.

use std::collections::VecDeque;

use hibiscus_types::TokenCount;

use crate::account::pace::MachineTime;
use crate::account::pace::SpendPace;

/// Tokens set aside for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenHold {
    /// The most that the request may cost.
    pub tokens: TokenCount,
}

/// Why tokens cannot be set aside.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldFault {
    /// The holder has not drawn enough.
    NotDrawn,
    /// The pace that the holder reported does not allow it yet.
    TooFast,
}

/// One line that was sent, and the batch that carries it.
#[derive(Clone, Copy, Debug)]
struct SentPace {
    batch: u64,
    pace: SpendPace,
}

/// One holder's side of its account. All sums but `reserved` only grow.
///
/// The holder keeps to every line that the store may show last: the newest
/// one that was acknowledged, and all that were sent after it.
#[derive(Clone, Debug, Default)]
pub struct BudgetPurse {
    drawn: TokenCount,
    returned: TokenCount,
    spent: TokenCount,
    reserved: TokenCount,
    paces: VecDeque<SentPace>,
    acknowledged: bool,
}

impl BudgetPurse {
    /// Adds tokens that the fold granted.
    pub fn add(&mut self, granted: TokenCount) {
        self.drawn = self.drawn + granted;
    }

    /// Tokens that were drawn and are neither spent nor set aside.
    pub fn available(&self) -> TokenCount {
        self.drawn
            .saturating_sub(self.returned)
            .saturating_sub(self.used())
    }

    /// Tokens spent and set aside.
    pub fn used(&self) -> TokenCount {
        self.spent + self.reserved
    }

    /// Tokens that requests in progress have set aside.
    pub fn reserved(&self) -> TokenCount {
        self.reserved
    }

    /// Sum of the tokens spent.
    pub fn spent(&self) -> TokenCount {
        self.spent
    }

    /// Sum of the tokens given back.
    pub fn returned(&self) -> TokenCount {
        self.returned
    }

    /// Whether a line was sent that is not acknowledged.
    pub fn has_unacknowledged(&self) -> bool {
        let kept = usize::from(self.acknowledged);
        self.paces.len() > kept
    }

    /// Notes that `batch` carries the line `pace`.
    pub fn send_pace(&mut self, batch: u64, pace: SpendPace) {
        self.paces.push_back(SentPace { batch, pace });
    }

    /// Notes that the store has all batches up to `batch`.
    pub fn acknowledge(&mut self, batch: u64) {
        let newest = self.paces.iter().rposition(|sent| sent.batch <= batch);
        let Some(newest) = newest else {
            return;
        };
        self.paces.drain(..newest);
        self.acknowledged = true;
    }

    /// Sets `tokens` aside.
    ///
    /// # Errors
    ///
    /// Fails when they were not drawn, or when a line does not allow them.
    pub fn reserve(
        &mut self,
        tokens: TokenCount,
        now: MachineTime,
    ) -> std::result::Result<TokenHold, HoldFault> {
        if tokens > self.available() {
            return Err(HoldFault::NotDrawn);
        }
        if !self.is_paced(self.used() + tokens, now) {
            return Err(HoldFault::TooFast);
        }
        self.reserved = self.reserved + tokens;
        Ok(TokenHold { tokens })
    }

    /// Ends a reservation of which `charge` was used; more than was reserved
    /// is never charged.
    pub fn settle(&mut self, hold: TokenHold, charge: TokenCount) {
        self.reserved = self.reserved.saturating_sub(hold.tokens);
        self.spent = self.spent + charge.min(hold.tokens);
    }

    /// Takes up to `tokens` out, to be reported as given back.
    pub fn give_back(&mut self, tokens: TokenCount) {
        self.returned = self.returned + tokens.min(self.available());
    }

    /// Whether all lines allow `used` at `now`.
    fn is_paced(&self, used: TokenCount, now: MachineTime) -> bool {
        let allows = |sent: &SentPace| {
            let limit = sent.pace.limit_at(now);
            limit.is_some_and(|limit| used <= limit)
        };
        self.acknowledged && self.paces.iter().all(allows)
    }
}
