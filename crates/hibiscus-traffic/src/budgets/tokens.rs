//! Reserves tokens for requests, and transfers tokens between instances.

use std::rc::Rc;
use std::time::Duration;

use hibiscus_events::EventCode;
use hibiscus_events::event;
use hibiscus_ledger::account::BudgetAccount;
use hibiscus_ledger::account::quota::QuotaReservation;
use hibiscus_ledger::account::quota::ReservationError;
use hibiscus_ledger::account::quota::TokenSource;
use hibiscus_types::BudgetName;
use hibiscus_types::TokenCount;
use tokio::sync::Notify;

use crate::budgets::BudgetManager;
use crate::budgets::HeldBudget;
use crate::budgets::TokenRefusal;

/// Age of an unacknowledged batch at which the store is considered unreachable
/// and requests stop waiting for it. The store usually acknowledges a batch
/// within 10 ms.
const STORE_ACK_TIMEOUT: Duration = Duration::from_millis(600);
/// Time since the stream was last read to its end after which its state is too
/// old to refuse a request as `Spent`; a read waits for 1.5 s.
const STREAM_AGE_LIMIT: Duration = Duration::from_secs(2);

/// Largest number of budgets whose levels are logged at once.
const LOGGED_BUDGETS_LIMIT: usize = 64;
/// Time in which transferred tokens may come back: the longest time of a
/// request, 15 s, plus the delay before unused tokens are returned and the time
/// of the transfer.
const TRANSFER_RETURN_TIME: Duration = Duration::from_secs(20);

impl HeldBudget {
    /// Transferred tokens that may still come back in part.
    pub(super) fn transferred(&self, now: Duration) -> TokenCount {
        let transfers = self.transferred.iter();
        let recent =
            transfers.filter(|(at, _tokens)| now.saturating_sub(*at) <= TRANSFER_RETURN_TIME);
        recent.map(|(_at, tokens)| *tokens).sum()
    }
}

impl BudgetManager {
    /// Reserves `tokens` of `budget`.
    ///
    /// # Errors
    ///
    /// Fails if the tokens were not drawn, or if no spending limit allows them.
    pub fn reserve(
        &mut self,
        budget: &BudgetName,
        tokens: TokenCount,
        now: Duration,
    ) -> std::result::Result<QuotaReservation, ReservationError> {
        if self.closed {
            return Err(ReservationError::NotDrawn);
        }
        let held = self.held.entry(budget.clone()).or_default();
        let reservation = held.quota.reserve(tokens, self.clock.now())?;
        if reservation.source == TokenSource::Received {
            held.received_used_at = now;
        }
        Ok(reservation)
    }

    /// Counts the demand of a request that needs `tokens`.
    pub fn count_demand(&mut self, budget: &BudgetName, tokens: TokenCount, now: Duration) {
        let held = self.held.entry(budget.clone()).or_default();
        held.demand.reserve(tokens, now);
    }

    /// Ends a reservation of which `charge` tokens were used.
    pub fn settle(
        &mut self,
        budget: &BudgetName,
        reservation: QuotaReservation,
        charge: TokenCount,
        now: Duration,
    ) {
        let held = self.held.entry(budget.clone()).or_default();
        if reservation.source == TokenSource::Received {
            held.received_used_at = now;
        }
        held.quota.settle(reservation, charge);
        held.demand.settle(reservation.tokens, charge);
        held.changed.notify_waiters();
    }

    /// Why `tokens` of `budget` cannot be reserved at `now`, or `None` while a
    /// pending draw or report may still make them available.
    pub fn refusal(
        &self,
        budget: &BudgetName,
        tokens: TokenCount,
        now: Duration,
    ) -> Option<TokenRefusal> {
        if self.may_lack_draws() {
            return Some(TokenRefusal::Unconfirmed);
        }
        let waiting = self
            .unacknowledged_since
            .map(|since| now.saturating_sub(since));
        let held = self.held.get(budget);
        if waiting.is_some_and(|waiting| waiting > STORE_ACK_TIMEOUT) {
            let wait =
                held.and_then(|held| held.quota.millis_until_available(tokens, self.clock.now()));
            let wait = wait.map(|millis| u32::try_from(millis).unwrap_or(u32::MAX));
            return Some(wait.map_or(TokenRefusal::Unconfirmed, TokenRefusal::Later));
        }
        if held.is_some_and(|held| held.pending) {
            return None;
        }
        let account = self.fold.budget(budget)?;
        let available_here = held.map_or(TokenCount::ZERO, |held| {
            held.quota.available() + held.quota.received()
        });
        let unread_returns =
            held.map_or(TokenCount::ZERO, |held| self.unread_returns(account, held));
        let reachable = available_here + account.free() + unread_returns;
        if tokens <= reachable {
            return None;
        }
        let elsewhere = self.unreported_elsewhere(account);
        let reserved = held.map_or(TokenCount::ZERO, |held| held.quota.reserved());
        let transferred = held.map_or(TokenCount::ZERO, |held| held.transferred(now));
        let is_fresh = now.saturating_sub(self.stream_read_at) <= STREAM_AGE_LIMIT;
        let is_known = !self.history.is_unproven(budget) && !self.history.is_assumed(budget);
        if is_known && is_fresh && tokens > reachable + elsewhere + reserved + transferred {
            Some(TokenRefusal::Spent)
        } else {
            Some(TokenRefusal::Unconfirmed)
        }
    }

    /// Returned tokens that do not count as free yet in the part of the stream
    /// that was read.
    fn unread_returns(&self, account: &BudgetAccount, held: &HeldBudget) -> TokenCount {
        let own = account.holders.get(&self.holder);
        let read = own.map_or(TokenCount::ZERO, |own| own.returned);
        held.quota.returned().saturating_sub(read)
    }

    /// Adds tokens that another instance transferred to this one.
    pub fn add_received(&mut self, budget: &BudgetName, tokens: TokenCount, now: Duration) {
        let held = self.held.entry(budget.clone()).or_default();
        held.quota.add_received(tokens);
        held.received_used_at = now;
        held.changed.notify_waiters();
    }

    /// Takes back transferred tokens that another instance did not use.
    pub fn refund(&mut self, budget: &BudgetName, tokens: TokenCount) {
        let held = self.held.entry(budget.clone()).or_default();
        held.quota.refund(tokens);
        held.demand.refund(tokens);
        held.changed.notify_waiters();
    }

    /// Adds tokens that another instance transferred. A holder adds them to its own
    /// account, whose reports show what it has not spent.
    pub fn take_transferred(
        &mut self,
        budget: &BudgetName,
        tokens: TokenCount,
        is_holder: bool,
        now: Duration,
    ) {
        let held = self.held.get(budget);
        if is_holder && held.is_some_and(|held| held.quota.spent() >= tokens) {
            self.refund(budget, tokens);
        } else {
            self.add_received(budget, tokens, now);
        }
    }

    /// Ends a reservation whose tokens go to another instance; they count as spent here.
    /// What the instance does not use comes back, unless `is_visible` is set: then the
    /// reports of that instance show it.
    pub fn transfer(
        &mut self,
        budget: &BudgetName,
        reservation: QuotaReservation,
        is_visible: bool,
        now: Duration,
    ) {
        self.settle(budget, reservation, reservation.tokens, now);
        if is_visible {
            return;
        }
        let held = self.held.entry(budget.clone()).or_default();
        held.transferred.push_back((now, reservation.tokens));
        while let Some((at, _tokens)) = held.transferred.front() {
            if now.saturating_sub(*at) <= TRANSFER_RETURN_TIME {
                break;
            }
            held.transferred.pop_front();
        }
    }

    /// Reserves as many of `tokens` for another instance as were drawn and are allowed
    /// by the spending limit at `now`; `None` if there are none.
    pub fn reserve_part(
        &mut self,
        budget: &BudgetName,
        tokens: TokenCount,
        now: Duration,
    ) -> Option<QuotaReservation> {
        let held = self.held.get(budget)?;
        let part = held.quota.reservable(self.clock.now()).min(tokens);
        if part.is_zero() {
            return None;
        }
        let reservation = self.reserve(budget, part, now).ok()?;
        if reservation.source == TokenSource::Drawn {
            self.count_demand(budget, part, now);
        }
        Some(reservation)
    }

    /// Unreserved tokens of `budget` received from other instances.
    pub fn received(&self, budget: &BudgetName) -> TokenCount {
        let held = self.held.get(budget);
        held.map_or(TokenCount::ZERO, |held| held.quota.received())
    }

    /// Removes received tokens that no request has used for `idle_time`.
    pub fn take_idle_received(
        &mut self,
        idle_time: Duration,
        now: Duration,
    ) -> Vec<(BudgetName, TokenCount)> {
        let mut idle = Vec::new();
        for (budget, held) in &mut self.held {
            let is_idle = now.saturating_sub(held.received_used_at) >= idle_time;
            if !is_idle || held.quota.received().is_zero() || !held.wanted.is_zero() {
                continue;
            }
            idle.push((budget.clone(), held.quota.take_received()));
        }
        idle
    }

    /// Logs why `tokens` of `budget` could not be reserved for the request
    /// `id`.
    pub fn log_shortage(&self, id: &str, budget: &BudgetName, tokens: TokenCount, now: Duration) {
        let account = self.fold.budget(budget);
        let free = account.map(BudgetAccount::free).unwrap_or_default();
        let prepaid = account.map(|account| account.prepaid).unwrap_or_default();
        let waiting = self
            .unacknowledged_since
            .map(|since| now.saturating_sub(since));
        let Some(held) = self.held.get(budget) else {
            return;
        };
        event!(
            EventCode::TokensShort,
            "request={id} budget={budget} tokens={tokens} available={} used={} allowed={:?} reserved={} free={free} prepaid={prepaid} unacknowledged_ms={:?}",
            held.quota.available(),
            held.quota.used(),
            held.quota.allowed(self.clock.now()).map(TokenCount::get),
            held.quota.reserved(),
            waiting.map(|waiting| waiting.as_millis())
        );
    }

    /// Logs the levels of the budgets for which `selects` returns true, as of
    /// the last record read.
    pub fn log_budgets(&self, selects: impl Fn(&BudgetName) -> bool) {
        let budgets = self.fold.budgets().iter();
        for (budget, account) in budgets
            .filter(|(budget, _account)| selects(budget))
            .take(LOGGED_BUDGETS_LIMIT)
        {
            let reported: TokenCount = account.holders.values().map(|held| held.spent).sum();
            event!(
                EventCode::BudgetLevels,
                "budget={budget} version={} prepaid={} free={} held={} reported={} closed={} holders={}",
                account.version,
                account.prepaid,
                account.free(),
                account.unreported(),
                reported,
                account.closed,
                account.holders.len()
            );
        }
    }

    /// Tokens over all budgets: available, reserved, and spent since the start
    /// of the process.
    pub fn token_sums(&self) -> (u64, u64, u64) {
        let mut sums = (0, 0, 0);
        for held in self.held.values() {
            sums.0 += held.quota.available().get();
            sums.1 += held.quota.reserved().get();
            sums.2 += held.quota.spent().get();
        }
        sums
    }

    /// Tokens over all budgets that may still be granted.
    pub fn free_tokens(&self) -> u64 {
        let budgets = self.fold.budgets().values();
        budgets.map(|account| account.free().get()).sum()
    }

    /// Registers a request that waits for `tokens`. The returned signal reports
    /// changes of the budget.
    pub fn add_waiter(&mut self, budget: &BudgetName, tokens: TokenCount) -> Rc<Notify> {
        let held = self.held.entry(budget.clone()).or_default();
        held.wanted = held.wanted + tokens;
        self.waiting.insert(budget.clone());
        Rc::clone(&held.changed)
    }

    /// Undoes [`Self::add_waiter`].
    pub fn remove_waiter(&mut self, budget: &BudgetName, tokens: TokenCount) {
        let held = self.held.entry(budget.clone()).or_default();
        held.wanted = held.wanted.saturating_sub(tokens);
        if held.wanted.is_zero() {
            self.waiting.remove(budget);
        }
    }

    /// Tokens of other holders that they have not reported as spent, or have
    /// transferred and may get back.
    pub(super) fn unreported_elsewhere(&self, account: &BudgetAccount) -> TokenCount {
        let others = account.holders.iter();
        let others = others.filter(|(holder, _held)| **holder != self.holder);
        others.map(|(_holder, held)| held.unsettled()).sum()
    }
}
