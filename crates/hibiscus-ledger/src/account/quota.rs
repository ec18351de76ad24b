//! What one holder may still spend of one budget.

use std::collections::VecDeque;

use hibiscus_types::TokenCount;

use crate::account::limit::MachineTime;
use crate::account::limit::SpendingLimit;

/// Origin of reserved tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenSource {
    /// Drawn by this holder.
    Drawn,
    /// Received from another holder, which counts them as spent.
    Received,
}

/// Tokens reserved for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaReservation {
    /// The most that the request may cost.
    pub tokens: TokenCount,
    /// Origin of the tokens.
    pub source: TokenSource,
}

/// Why tokens cannot be reserved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReservationError {
    /// The holder has not drawn enough.
    NotDrawn,
    /// The spending limit that the holder reported does not allow them yet.
    OverLimit,
}

/// A spending limit that was sent, with the number of its batch.
#[derive(Clone, Copy, Debug)]
struct SentLimit {
    batch: u64,
    limit: SpendingLimit,
}

/// A holder's own view of its account. The sums only grow, except `reserved`,
/// and `spent`, which shrinks when transferred tokens come back.
///
/// The holder respects every limit that may be the last one in the store: the
/// newest acknowledged limit and all limits sent after it.
#[derive(Clone, Debug, Default)]
pub struct LocalQuota {
    drawn: TokenCount,
    returned: TokenCount,
    spent: TokenCount,
    reserved: TokenCount,
    /// Unreserved tokens received from other holders.
    received: TokenCount,
    limits: VecDeque<SentLimit>,
    acknowledged: bool,
}

impl LocalQuota {
    /// Raises the sum of the drawn tokens to `drawn`; returns by how much.
    pub fn raise_drawn(&mut self, drawn: TokenCount) -> TokenCount {
        let added = drawn.saturating_sub(self.drawn);
        self.drawn = self.drawn + added;
        added
    }

    /// Sum of the drawn tokens.
    pub fn drawn(&self) -> TokenCount {
        self.drawn
    }

    /// Adds tokens received from another holder.
    pub fn add_received(&mut self, tokens: TokenCount) {
        self.received = self.received + tokens;
    }

    /// Unreserved tokens received from other holders.
    pub fn received(&self) -> TokenCount {
        self.received
    }

    /// Removes all unreserved tokens received from other holders, so that they
    /// can be sent back.
    pub fn take_received(&mut self) -> TokenCount {
        std::mem::take(&mut self.received)
    }

    /// Tokens that were drawn and are neither spent nor reserved.
    pub fn available(&self) -> TokenCount {
        self.drawn
            .saturating_sub(self.returned)
            .saturating_sub(self.used())
    }

    /// Tokens spent and reserved.
    pub fn used(&self) -> TokenCount {
        self.spent + self.reserved
    }

    /// Tokens reserved by requests in progress.
    pub fn reserved(&self) -> TokenCount {
        self.reserved
    }

    /// Sum of the tokens spent.
    pub fn spent(&self) -> TokenCount {
        self.spent
    }

    /// Sum of the returned tokens.
    pub fn returned(&self) -> TokenCount {
        self.returned
    }

    /// Whether a limit was sent that is not acknowledged yet.
    pub fn has_unacknowledged(&self) -> bool {
        let kept = usize::from(self.acknowledged);
        self.limits.len() > kept
    }

    /// Records that `batch` carries `limit`.
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

    /// Reserves `tokens`.
    ///
    /// # Errors
    ///
    /// Fails when they were not drawn, or when a spending limit does not
    /// allow them.
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
            return Err(ReservationError::OverLimit);
        }
        self.reserved = self.reserved + tokens;
        let source = TokenSource::Drawn;
        Ok(QuotaReservation { tokens, source })
    }

    /// The most that one reservation of drawn tokens can get at `now`.
    pub fn reservable(&self, now: MachineTime) -> TokenCount {
        let allowed = self.allowed(now).unwrap_or_default();
        allowed.saturating_sub(self.used()).min(self.available())
    }

    /// Ends a reservation of which `charge` tokens were used. At most the
    /// reserved tokens are charged.
    pub fn settle(&mut self, reservation: QuotaReservation, charge: TokenCount) {
        if reservation.source == TokenSource::Received {
            self.received = self.received + reservation.tokens.saturating_sub(charge);
            return;
        }
        self.reserved = self.reserved.saturating_sub(reservation.tokens);
        self.spent = self.spent + charge.min(reservation.tokens);
    }

    /// Takes back tokens that were counted as spent when they were transferred
    /// and that the other instance did not use. Any excess was received from
    /// other holders.
    pub fn refund(&mut self, tokens: TokenCount) {
        let own = tokens.min(self.spent);
        self.spent = self.spent.saturating_sub(own);
        self.received = self.received + tokens.saturating_sub(own);
    }

    /// Takes up to `tokens` available tokens and counts them as returned.
    pub fn return_tokens(&mut self, tokens: TokenCount) {
        self.returned = self.returned + tokens.min(self.available());
    }

    /// Milliseconds from `now` until `tokens` more can be reserved if no
    /// further limit is acknowledged; `None` if they never can.
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

    /// The most that all limits allow to be used at `now`; `None` before the
    /// first limit is acknowledged.
    pub fn allowed(&self, now: MachineTime) -> Option<TokenCount> {
        if !self.acknowledged {
            return None;
        }
        let limit = |sent: &SentLimit| sent.limit.allowed_at(now);
        self.limits.iter().map(limit).min()
    }
}
