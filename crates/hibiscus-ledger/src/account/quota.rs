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
    Received,
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
struct SentLimit {
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
    received: TokenCount,
    limits: VecDeque<SentLimit>,
    acknowledged: bool,
}

impl LocalQuota {
    /// Adds tokens that the fold granted.
    pub fn add_drawn(&mut self, granted: TokenCount) {
        self.drawn = self.drawn + granted;
    }

    /// Adds tokens that another holder gave.
    pub fn add_received(&mut self, tokens: TokenCount) {
        self.received = self.received + tokens;
    }

    /// Tokens that other holders gave and that are not set aside.
    pub fn received(&self) -> TokenCount {
        self.received
    }

    /// Takes out all that other holders gave and that is not set aside, to be
    /// passed on.
    pub fn take_received(&mut self) -> TokenCount {
        std::mem::take(&mut self.received)
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
        self.limits.len() > kept
    }

    /// Notes that `batch` carries the line `limit`.
    pub fn record_sent_limit(&mut self, batch: u64, limit: SpendingLimit) {
        self.limits.push_back(SentLimit { batch, limit });
    }

    /// Notes that the store has all batches up to `batch`.
    pub fn acknowledge(&mut self, batch: u64) {
        let newest = self.limits.iter().rposition(|sent| sent.batch <= batch);
        let Some(newest) = newest else {
            return;
        };
        self.limits.drain(..newest);
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
        if tokens <= self.received {
            self.received = self.received.saturating_sub(tokens);
            let source = TokenSource::Received;
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
    pub fn settle(&mut self, reservation: QuotaReservation, charge: TokenCount) {
        if reservation.source == TokenSource::Received {
            self.received = self.received + reservation.tokens.saturating_sub(charge);
            return;
        }
        self.reserved = self.reserved.saturating_sub(reservation.tokens);
        self.spent = self.spent + charge.min(reservation.tokens);
    }

    /// Takes tokens back that were counted as spent and passed on to another
    /// instance, which has no use for them; what goes beyond that was given by
    /// other holders.
    pub fn refund(&mut self, tokens: TokenCount) {
        let own = tokens.min(self.spent);
        self.spent = self.spent.saturating_sub(own);
        self.received = self.received + tokens.saturating_sub(own);
    }

    /// Takes up to `tokens` out, to be reported as given back.
    pub fn return_tokens(&mut self, tokens: TokenCount) {
        self.returned = self.returned + tokens.min(self.available());
    }

    /// Time from `now` until `tokens` more may be set aside if no further line
    /// is acknowledged; `None` if never.
    pub fn millis_until_available(&self, tokens: TokenCount, now: MachineTime) -> Option<u64> {
        if !self.acknowledged || tokens > self.available() {
            return None;
        }
        let used = self.used() + tokens;
        let mut longest = 0;
        for sent in &self.limits {
            let passed = now.since_same_process(sent.limit.created_at);
            longest = longest.max(
                sent.limit
                    .millis_until_allowed(used)?
                    .saturating_sub(passed),
            );
        }
        Some(longest)
    }

    /// The most that all lines allow to be used at `now`; `None` before the
    /// first was acknowledged.
    pub fn allowed(&self, now: MachineTime) -> Option<TokenCount> {
        if !self.acknowledged {
            return None;
        }
        let limit = |sent: &SentLimit| sent.limit.allowed_at(now);
        self.limits.iter().map(limit).min()
    }
}
