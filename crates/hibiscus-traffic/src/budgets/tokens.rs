//! Tokens that requests reserve, and those that instances give each other.

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

/// Age of an unacknowledged batch from which on the store counts as away, so
/// that nothing waits for it: it usually acknowledges within 10 ms.
const STORE_PATIENCE: Duration = Duration::from_millis(600);
/// Time since the stream was read to its end after which what is known of a
/// budget is too old to say that it is spent: a read waits for 1.5 s.
const PROOF_AGE: Duration = Duration::from_secs(2);

/// Budgets whose levels are logged at a time.
const SHOWN: usize = 64;
/// Time for which tokens that were passed on may come back: a request's
/// longest time of 15 s, the rest before a return, and its way.
const RETURN_TIME: Duration = Duration::from_secs(20);

impl HeldBudget {
    /// Tokens that were passed on and may come back in part.
    pub(super) fn transferred(&self, now: Duration) -> TokenCount {
        let passed = self.transferred.iter();
        let recent = passed.filter(|(passed, _tokens)| now.saturating_sub(*passed) <= RETURN_TIME);
        recent.map(|(_passed, tokens)| *tokens).sum()
    }
}

impl BudgetManager {
    /// Sets `tokens` of `budget` aside.
    ///
    /// # Errors
    ///
    /// Fails when they were not drawn, or when no line allows them.
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
        let hold = held.quota.reserve(tokens, self.clock.now())?;
        if hold.source == TokenSource::Transferred {
            held.given_used = now;
        }
        Ok(hold)
    }

    /// Counts a request that needs `tokens`.
    pub fn count_demand(&mut self, budget: &BudgetName, tokens: TokenCount, now: Duration) {
        let held = self.held.entry(budget.clone()).or_default();
        held.demand.reserve(tokens, now);
    }

    /// Ends a reservation of which `charge` was used.
    pub fn settle(
        &mut self,
        budget: &BudgetName,
        hold: QuotaReservation,
        charge: TokenCount,
        now: Duration,
    ) {
        let held = self.held.entry(budget.clone()).or_default();
        if hold.source == TokenSource::Transferred {
            held.given_used = now;
        }
        held.quota.settle(hold, charge);
        held.demand.settle(hold.tokens, charge);
        held.changed.notify_waiters();
    }

    /// Why `tokens` of `budget` cannot be had at `now`, or `None` while a
    /// draw or a report on its way may still bring them.
    pub fn refusal(
        &self,
        budget: &BudgetName,
        tokens: TokenCount,
        now: Duration,
    ) -> Option<TokenRefusal> {
        let waiting = self.unacknowledged.map(|since| now.saturating_sub(since));
        let held = self.held.get(budget);
        if waiting.is_some_and(|waiting| waiting > STORE_PATIENCE) {
            let wait = held.and_then(|held| held.quota.waits_for(tokens, self.clock.now()));
            let wait = wait.map(|millis| u32::try_from(millis).unwrap_or(u32::MAX));
            return Some(wait.map_or(TokenRefusal::Unconfirmed, TokenRefusal::Later));
        }
        if held.is_some_and(|held| held.pending) {
            return None;
        }
        let account = self.fold.budget(budget)?;
        let here = held.map_or(TokenCount::ZERO, |held| {
            held.quota.available() + held.quota.given()
        });
        let returning = held.map_or(TokenCount::ZERO, |held| self.returning(account, held));
        let reachable = here + account.free() + returning;
        if tokens <= reachable {
            return None;
        }
        let elsewhere = self.unreported_elsewhere(account);
        let reserved = held.map_or(TokenCount::ZERO, |held| held.quota.reserved());
        let transferred = held.map_or(TokenCount::ZERO, |held| held.transferred(now));
        let is_fresh = now.saturating_sub(self.heard) <= PROOF_AGE;
        if is_fresh && tokens > reachable + elsewhere + reserved + transferred {
            Some(TokenRefusal::Spent)
        } else {
            Some(TokenRefusal::Unconfirmed)
        }
    }

    /// Tokens that were given back and that the stream, as far as it was read,
    /// does not show as free yet.
    fn returning(&self, account: &BudgetAccount, held: &HeldBudget) -> TokenCount {
        let known = account.holders.get(&self.holder);
        let known = known.map_or(TokenCount::ZERO, |known| known.returned);
        held.quota.returned().saturating_sub(known)
    }

    /// Takes tokens over that another instance gave.
    pub fn add_given(&mut self, budget: &BudgetName, tokens: TokenCount, now: Duration) {
        let held = self.held.entry(budget.clone()).or_default();
        held.quota.add_given(tokens);
        held.given_used = now;
        held.changed.notify_waiters();
    }

    /// Takes tokens back that an instance has no use for.
    pub fn refund(&mut self, budget: &BudgetName, tokens: TokenCount) {
        let held = self.held.entry(budget.clone()).or_default();
        held.quota.refund(tokens);
        held.demand.refund(tokens);
        held.changed.notify_waiters();
    }

    /// Ends a reservation whose tokens go to an instance that does not hold the
    /// budget: they count as spent here.
    pub fn transfer(&mut self, budget: &BudgetName, hold: QuotaReservation, now: Duration) {
        self.settle(budget, hold, hold.tokens, now);
        let held = self.held.entry(budget.clone()).or_default();
        held.transferred.push_back((now, hold.tokens));
        while let Some((passed, _tokens)) = held.transferred.front() {
            if now.saturating_sub(*passed) <= RETURN_TIME {
                break;
            }
            held.transferred.pop_front();
        }
    }

    /// Tokens of `budget` that other instances gave and no request has reserved.
    pub fn given(&self, budget: &BudgetName) -> TokenCount {
        let held = self.held.get(budget);
        held.map_or(TokenCount::ZERO, |held| held.quota.given())
    }

    /// Takes out what other instances gave and no request has used for `rest`.
    pub fn take_idle_given(
        &mut self,
        rest: Duration,
        now: Duration,
    ) -> Vec<(BudgetName, TokenCount)> {
        let mut idle = Vec::new();
        for (budget, held) in &mut self.held {
            let rested = now.saturating_sub(held.given_used) >= rest;
            if !rested || held.quota.given().is_zero() || !held.wanted.is_zero() {
                continue;
            }
            idle.push((budget.clone(), held.quota.take_given()));
        }
        idle
    }

    /// Logs why `tokens` of `budget` could not be had for the request `id`.
    pub fn log_shortage(&self, id: &str, budget: &BudgetName, tokens: TokenCount, now: Duration) {
        let account = self.fold.budget(budget);
        let free = account.map(BudgetAccount::free).unwrap_or_default();
        let prepaid = account.map(|account| account.prepaid).unwrap_or_default();
        let waiting = self.unacknowledged.map(|since| now.saturating_sub(since));
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

    /// Logs the levels of the budgets that `keeps` names, as far as the stream
    /// was read.
    pub fn log_budgets(&self, keeps: impl Fn(&BudgetName) -> bool) {
        let budgets = self.fold.budgets().iter();
        for (budget, account) in budgets
            .filter(|(budget, _account)| keeps(budget))
            .take(SHOWN)
        {
            let reported: TokenCount = account.holders.values().map(|held| held.spent).sum();
            event!(
                EventCode::BudgetLevels,
                "budget={budget} version={} prepaid={} free={} held={} reported={} closed={} holders={}",
                account.version,
                account.prepaid,
                account.free(),
                account.held(),
                reported,
                account.closed,
                account.holders.len()
            );
        }
    }

    /// Tokens over all budgets: free to spend here, reserved by requests, and
    /// spent since the start.
    pub fn token_sums(&self) -> (u64, u64, u64) {
        let mut sums = (0, 0, 0);
        for held in self.held.values() {
            sums.0 += held.quota.available().get();
            sums.1 += held.quota.reserved().get();
            sums.2 += held.quota.spent().get();
        }
        sums
    }

    /// Tokens that may still be granted, over all budgets.
    pub fn free_tokens(&self) -> u64 {
        let budgets = self.fold.budgets().values();
        budgets.map(|account| account.free().get()).sum()
    }

    /// Says that a request waits for `tokens`; the returned signal tells of
    /// changes.
    pub fn add_waiter(&mut self, budget: &BudgetName, tokens: TokenCount) -> Rc<Notify> {
        let held = self.held.entry(budget.clone()).or_default();
        held.wanted = held.wanted + tokens;
        self.waiting.insert(budget.clone());
        Rc::clone(&held.changed)
    }

    /// Ends [`Self::add_waiter`].
    pub fn remove_waiter(&mut self, budget: &BudgetName, tokens: TokenCount) {
        let held = self.held.entry(budget.clone()).or_default();
        held.wanted = held.wanted.saturating_sub(tokens);
        if held.wanted.is_zero() {
            self.waiting.remove(budget);
        }
    }

    /// Tokens that other holders have not reported as spent, or passed on.
    pub(super) fn unreported_elsewhere(&self, account: &BudgetAccount) -> TokenCount {
        let others = account.holders.iter();
        let others = others.filter(|(holder, _held)| **holder != self.holder);
        others.map(|(_holder, held)| held.unsettled()).sum()
    }
}
