//! Decides on draws, returns and reports, and sends them to the store.

use std::sync::mpsc::TrySendError;
use std::time::Duration;

use hibiscus_ledger::account::AccountRecord;
use hibiscus_ledger::account::BudgetAccount;
use hibiscus_ledger::account::HolderReport;
use hibiscus_ledger::account::limit::SpendingLimit;
use hibiscus_ledger::account::policy;
use hibiscus_ledger::account::policy::DrawDecision;
use hibiscus_ledger::account::policy::DrawInputs;
use hibiscus_ledger::account::policy::DrawMode;
use hibiscus_types::BudgetName;
use hibiscus_types::TokenCount;

use crate::budgets::AccountBatch;
use crate::budgets::BudgetManager;
use crate::budgets::BudgetRole;
use crate::budgets::RecoveryPhase;
use crate::budgets::RepeatedReturn;
use crate::budgets::StreamPosition;

/// Age at which a holder that spends nothing renews its limit. A crash loses
/// what the limit allows by then, even if nothing was spent.
const IDLE_REPORT_INTERVAL: Duration = Duration::from_secs(2);

/// Time after which a holder other than the first writes a total.
const TOTAL_WRITE_DELAY: Duration = Duration::from_millis(500);
/// Time after which a total that is missing in the stream is written again.
const TOTAL_REWRITE_INTERVAL: Duration = Duration::from_secs(1);

/// Why a budget is reviewed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReviewOccasion {
    /// Time has passed.
    Tick,
    /// A record was read or appended, and requests wait.
    Record,
}

impl BudgetManager {
    /// Decides on draws, returns and reports for all budgets, and sends the
    /// records to the thread that appends them. `role_of` returns this
    /// instance's role for a budget.
    pub fn review(&mut self, role_of: impl Fn(&BudgetName) -> BudgetRole, now: Duration) {
        let names: Vec<BudgetName> = self.totals.keys().cloned().collect();
        let is_first = || names.iter().any(|budget| role_of(budget).is_first_holder);
        if self.restore.is_some() && self.advance_restore(is_first(), now) {
            return;
        }
        if self.may_lack_draws() {
            self.count_lost_tokens(is_first(), now);
            self.send(now);
            return;
        }
        self.end_draw_pause(now);
        self.unsent_era = self.complete_era_due(is_first(), now);
        for budget in names {
            let role = role_of(&budget);
            if role.mode == DrawMode::Release && !self.held.contains_key(&budget) {
                continue;
            }
            if role.mode != DrawMode::Release {
                self.review_history(&budget, role.is_first_holder, now);
            }
            self.review_one(&budget, role, ReviewOccasion::Tick, now);
            let is_known = self.fold.budget(&budget).is_some();
            if role.is_first_holder && is_known && self.is_snapshot_due(&budget, now) {
                self.write_snapshot(&budget, now);
            }
        }
        self.end_history_review(now);
        self.send(now);
    }

    /// Decides on draws and reports for the budgets that requests wait for. New
    /// records of the stream are irrelevant to other budgets until the next
    /// full review.
    pub fn review_waiting(&mut self, role_of: impl Fn(&BudgetName) -> BudgetRole, now: Duration) {
        if self.restore.is_some() || self.may_lack_draws() {
            return;
        }
        let names: Vec<BudgetName> = self.waiting.iter().cloned().collect();
        for budget in names {
            self.review_one(&budget, role_of(&budget), ReviewOccasion::Record, now);
        }
        self.send(now);
    }

    /// Begins a graceful shutdown.
    pub fn begin_shutdown(&mut self) {
        self.shutting_down = true;
    }

    /// Whether the store has acknowledged all records and snapshots.
    pub fn is_acknowledged(&self) -> bool {
        let is_empty = self.unsent.is_empty() && self.unsent_encoded.is_empty();
        is_empty && self.unsent_snapshots.is_empty() && self.acknowledged + 1 >= self.batch
    }

    /// Whether [`Self::return_all_tokens`] has to be called again.
    pub fn must_return_again(&self) -> bool {
        self.returning == Some(RepeatedReturn::Needed)
    }

    /// Whether the stream is read and restored after the store came back from a copy.
    pub fn is_restoring(&self) -> bool {
        self.restore.is_some()
    }

    /// Records that records which close accounts were not appended, because the store came
    /// back from a copy.
    pub fn note_closes_dropped(&mut self) {
        if self.returning.is_some() {
            self.returning = Some(RepeatedReturn::Needed);
        }
        if self.recovery == RecoveryPhase::Complete {
            self.recovery = RecoveryPhase::Reading;
        }
    }

    /// Whether this instance's own accounts are closed, so that it can reserve
    /// no more tokens.
    pub fn is_closed(&self) -> bool {
        self.closed
    }

    /// Whether all records that the store has from this holder were read back.
    pub fn has_read_own_records(&self) -> bool {
        let read = StreamPosition {
            era: self.era,
            offset: self.fold.next_offset(),
        };
        read >= self.appended
    }

    /// Returns all unreserved tokens at the end of a graceful shutdown, and
    /// closes the accounts if no request is left. An account that nobody closes
    /// stays in the store's snapshots forever.
    pub fn return_all_tokens(&mut self, now: Duration) {
        let mut held = self.held.values();
        self.closed = held.all(|held| held.quota.reserved().is_zero() && held.wanted.is_zero());
        if self.restore.is_some() {
            // The stream lacks draws of this account: closing it now would forget them.
            self.returning = Some(RepeatedReturn::Needed);
            return;
        }
        self.returning = Some(RepeatedReturn::NotNeeded);
        let names: Vec<BudgetName> = self.held.keys().cloned().collect();
        for budget in names {
            if let Some(held) = self.held.get_mut(&budget) {
                let available = held.quota.available();
                held.quota.return_tokens(available);
            }
            self.report(&budget, &DrawDecision::default(), now);
            if self.closed {
                self.close_own(&budget);
            }
        }
        self.send(now);
    }

    /// Queues a record that closes this instance's own account of `budget`.
    /// Nothing of the account is spent afterwards, even if a draw is granted
    /// late.
    fn close_own(&mut self, budget: &BudgetName) {
        let Some(held) = self.held.get(budget) else {
            return;
        };
        self.unsent.push(AccountRecord::Close {
            budget: budget.clone(),
            holder: self.holder,
            spent: held.quota.spent(),
        });
    }

    /// Queues the total from the configuration if the stream has another one.
    /// The first holder writes it at once, the others only if it is still
    /// missing later.
    fn write_total(&mut self, budget: &BudgetName, is_first_holder: bool, now: Duration) {
        let is_waited_for = self.waiting.contains(budget);
        let Some(total) = self.totals.get_mut(budget) else {
            return;
        };
        let account = self.fold.budget(budget);
        let is_new =
            account.is_none_or(|read| read.version < total.version && read.prepaid != total.tokens);
        let seen = *total.seen.get_or_insert(now);
        let is_due =
            is_first_holder || is_waited_for || now.saturating_sub(seen) >= TOTAL_WRITE_DELAY;
        let written = total.written.map(|at| now.saturating_sub(at));
        if !is_new || !is_due || written.is_some_and(|written| written < TOTAL_REWRITE_INTERVAL) {
            return;
        }
        total.written = Some(now);
        self.unsent.push(AccountRecord::Prepaid {
            budget: budget.clone(),
            version: total.version,
            tokens: total.tokens,
        });
    }

    fn review_one(
        &mut self,
        budget: &BudgetName,
        role: BudgetRole,
        occasion: ReviewOccasion,
        now: Duration,
    ) {
        if self.closed {
            return;
        }
        self.tally.reviews.add();
        if role.mode != DrawMode::Release {
            self.write_total(budget, role.is_first_holder, now);
        }
        let held = self.held.entry(budget.clone()).or_default();
        let account = self.fold.budget(budget);
        let total = self.totals.get(budget).map(|total| total.tokens);
        let prepaid = account.map(|account| account.prepaid).or(total);
        let inputs = DrawInputs {
            demand_per_second: held.demand.rate(now),
            wanted: held.wanted,
            available: held.quota.available(),
            free: account
                .map(BudgetAccount::free)
                .or(total)
                .unwrap_or_default(),
            prepaid: prepaid.unwrap_or_default(),
            unreported: account.map(BudgetAccount::unreported).unwrap_or_default(),
            others_per_second: account
                .map_or(0.0, |account| account.demand_of_others(self.holder) as f64),
            holders: role.holders,
            store_delay: self.store_delay,
            shutting_down: self.shutting_down,
            mode: role.mode,
        };
        let decision = policy::decide(&inputs);
        let own = account.and_then(|account| account.holders.get(&self.holder));
        let counted = own.map_or(TokenCount::ZERO, |own| own.drawn);
        let missing = match occasion {
            ReviewOccasion::Tick => held.quota.drawn().saturating_sub(counted),
            // While others hold all tokens, each result would cause the next draw.
            ReviewOccasion::Record => TokenCount::ZERO,
        };
        let draw = if self.history.is_unproven(budget) {
            TokenCount::ZERO
        } else if now < self.draws_resume_at {
            missing
        } else {
            missing + decision.draw
        };
        if !held.pending && !draw.is_zero() {
            held.draw_serial += 1;
            held.pending = true;
            held.requested = draw;
            self.unsent.push(AccountRecord::Draw {
                budget: budget.clone(),
                holder: self.holder,
                machine: self.machine.clone(),
                serial: held.draw_serial,
                tokens: draw,
            });
        }
        if held.quota.has_unacknowledged() {
            return;
        }
        let returns = !decision.tokens_to_return.is_zero();
        if returns {
            held.quota.return_tokens(decision.tokens_to_return);
        }
        let sums = (held.quota.used(), held.quota.returned());
        let due = sums != held.reported_sums
            && now.saturating_sub(held.reported_at) >= decision.report_interval;
        let first = held.report_serial == 0 && held.draw_serial > 0;
        let age = now.saturating_sub(held.reported_at);
        let idle = age >= IDLE_REPORT_INTERVAL && !held.quota.available().is_zero();
        if first || idle || returns || due || !held.wanted.is_zero() {
            self.report(budget, &decision, now);
        }
    }

    /// Queues a report with the spending limit from `decision`.
    pub(super) fn report(&mut self, budget: &BudgetName, decision: &DrawDecision, now: Duration) {
        let Some(held) = self.held.get_mut(budget) else {
            return;
        };
        let limit = SpendingLimit {
            base: held.quota.used() + held.wanted,
            burst: decision.burst,
            per_second: decision.per_second,
            created_at: self.clock.now(),
            grows_after: u64::try_from(decision.grows_after.as_millis()).unwrap_or(u64::MAX),
        };
        held.quota.record_sent_limit(self.batch, limit);
        held.report_serial += 1;
        held.reported_at = now;
        held.reported_sums = (held.quota.used(), held.quota.returned());
        self.unsent.push(AccountRecord::Report(HolderReport {
            budget: budget.clone(),
            holder: self.holder,
            serial: held.report_serial,
            spent: held.quota.spent(),
            returned: held.quota.returned(),
            limit,
            created_after: self.time_lower_bound.at(limit.created_at),
            demand: held.demand.rate(now) as u64,
            transferred: held.transferred(now),
        }));
    }

    pub(super) fn send(&mut self, now: Duration) {
        let is_empty = self.unsent.is_empty() && self.unsent_encoded.is_empty();
        if is_empty && self.unsent_snapshots.is_empty() && self.unsent_era.is_none() {
            return;
        }
        let batch = AccountBatch {
            number: self.batch,
            era: self.era,
            encoded: std::mem::take(&mut self.unsent_encoded),
            records: std::mem::take(&mut self.unsent),
            snapshots: std::mem::take(&mut self.unsent_snapshots),
            complete_era: self.unsent_era.take(),
        };
        match self.outbox.try_send(batch) {
            Ok(()) => {
                self.sent.push_back((self.batch, now));
                self.batch += 1;
                self.unacknowledged_since.get_or_insert(now);
            }
            Err(TrySendError::Full(batch) | TrySendError::Disconnected(batch)) => {
                self.unsent = batch.records;
                self.unsent_encoded = batch.encoded;
                self.unsent_snapshots = batch.snapshots;
            }
        }
    }
}
