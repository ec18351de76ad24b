//! What one holder may still spend of one budget.

use std::collections::VecDeque;

use hibiscus_types::TokenCount;

use crate::account::limit::MachineTime;
use crate::account::limit::SpendingLimit;

/// Whose tokens pay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenSource {
    /// This holder drew them.
    Drawn,
    /// Another holder gave them, and counts them as spent.
    Transferred,
}

/// Tokens set aside for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaReservation {
    /// The most that the request may cost.
    pub tokens: TokenCount,
    /// Whose they are.
    pub source: TokenSource,
}

/// Why tokens cannot be set aside.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReservationError {
    /// The holder has not drawn enough.
    NotDrawn,
    /// The pace that the holder reported does not allow it yet.
    TooFast,
}

/// One line that was sent, and the batch that carries it.
#[derive(Clone, Copy, Debug)]
struct SentPace {
    batch: u64,
    limit: SpendingLimit,
}

/// One holder's side of its account. Sums but `reserved` only grow, and
/// `spent`, of which what was passed on may come back.
///
/// The holder keeps to every line that the store may show last: the newest
/// one that was acknowledged, and all that were sent after it.
#[derive(Clone, Debug, Default)]
pub struct LocalQuota {
    drawn: TokenCount,
    returned: TokenCount,
    spent: TokenCount,
    reserved: TokenCount,
    /// Tokens that other holders gave and that are not set aside.
    given: TokenCount,
    paces: VecDeque<SentPace>,
    acknowledged: bool,
}

impl LocalQuota {
    /// Adds tokens that the fold granted.
    pub fn add(&mut self, granted: TokenCount) {
        self.drawn = self.drawn + granted;
    }

    /// Adds tokens that another holder gave.
    pub fn add_given(&mut self, tokens: TokenCount) {
        self.given = self.given + tokens;
    }

    /// Tokens that other holders gave and that are not set aside.
    pub fn given(&self) -> TokenCount {
        self.given
    }

    /// Takes out all that other holders gave and that is not set aside, to be
    /// passed on.
    pub fn take_given(&mut self) -> TokenCount {
        std::mem::take(&mut self.given)
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

    /// Notes that `batch` carries the line `limit`.
    pub fn send_pace(&mut self, batch: u64, limit: SpendingLimit) {
        self.paces.push_back(SentPace { batch, limit });
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
    ) -> std::result::Result<QuotaReservation, ReservationError> {
        if tokens <= self.given {
            self.given = self.given.saturating_sub(tokens);
            let source = TokenSource::Transferred;
            return Ok(QuotaReservation { tokens, source });
        }
        if tokens > self.available() {
            return Err(ReservationError::NotDrawn);
        }
        let used = self.used() + tokens;
        if self.allowed(now).is_none_or(|allowed| used > allowed) {
            return Err(ReservationError::TooFast);
        }
        self.reserved = self.reserved + tokens;
        let source = TokenSource::Drawn;
        Ok(QuotaReservation { tokens, source })
    }

    /// Ends a reservation of which `charge` was used; more than was reserved
    /// is never charged.
    pub fn settle(&mut self, hold: QuotaReservation, charge: TokenCount) {
        if hold.source == TokenSource::Transferred {
            self.given = self.given + hold.tokens.saturating_sub(charge);
            return;
        }
        self.reserved = self.reserved.saturating_sub(hold.tokens);
        self.spent = self.spent + charge.min(hold.tokens);
    }

    /// Takes tokens back that were counted as spent and passed on to another
    /// instance, which has no use for them; what goes beyond that was given by
    /// other holders.
    pub fn refund(&mut self, tokens: TokenCount) {
        let own = tokens.min(self.spent);
        self.spent = self.spent.saturating_sub(own);
        self.given = self.given + tokens.saturating_sub(own);
    }

    /// Takes up to `tokens` out, to be reported as given back.
    pub fn give_back(&mut self, tokens: TokenCount) {
        self.returned = self.returned + tokens.min(self.available());
    }

    /// Time from `now` until `tokens` more may be set aside if no further line
    /// is acknowledged; `None` if never.
    pub fn waits_for(&self, tokens: TokenCount, now: MachineTime) -> Option<u64> {
        if !self.acknowledged || tokens > self.available() {
            return None;
        }
        let used = self.used() + tokens;
        let mut longest = 0;
        for sent in &self.paces {
            let passed = now.since_own(sent.limit.created_at);
            longest = longest.max(sent.limit.allows_after(used)?.saturating_sub(passed));
        }
        Some(longest)
    }

    /// The most that all lines allow to be used at `now`; `None` before the
    /// first was acknowledged.
    pub fn allowed(&self, now: MachineTime) -> Option<TokenCount> {
        if !self.acknowledged {
            return None;
        }
        let limit = |sent: &SentPace| sent.limit.limit_at(now);
        self.paces.iter().map(limit).min()
    }
}
