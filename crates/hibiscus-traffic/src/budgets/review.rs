//! Draws, returns and reports: what goes to the store, and when.

use std::sync::mpsc::TrySendError;
use std::time::Duration;

use hibiscus_ledger::account::AccountRecord;
use hibiscus_ledger::account::BudgetAccount;
use hibiscus_ledger::account::HolderReport;
use hibiscus_ledger::account::pace::SpendPace;
use hibiscus_ledger::account::policy;
use hibiscus_ledger::account::policy::DrawDecision;
use hibiscus_ledger::account::policy::DrawView;
use hibiscus_types::BudgetName;

use crate::budgets::AccountBatch;
use crate::budgets::BudgetDesk;
use crate::budgets::BudgetRole;

/// Time between two reports of what was spent: a crash loses what a line
/// allows over this time and the restart.
const REPORT_INTERVAL: Duration = Duration::from_millis(700);
/// Age from which on the line of a holder that spends nothing is made anew: a
/// crash loses what the line has come to allow, though nothing was spent.
const IDLE_INTERVAL: Duration = Duration::from_secs(2);

impl BudgetDesk {
    /// Decides on draws, returns and reports, and hands the records to the
    /// thread that appends. `role_of` tells what this instance does for a
    /// budget.
    pub fn review(&mut self, role_of: impl Fn(&BudgetName) -> BudgetRole, now: Duration) {
        let names: Vec<BudgetName> = self.totals.keys().cloned().collect();
        for budget in names {
            let role = role_of(&budget);
            self.review_one(&budget, role, now);
            if role.keeps && self.is_snapshot_due(&budget, now) {
                self.write_snapshot(&budget, now);
            }
        }
        self.send(now);
    }

    /// Decides on draws and reports of the budgets that requests wait for:
    /// news of the stream concerns no other before the next look at all.
    pub fn review_waiting(&mut self, role_of: impl Fn(&BudgetName) -> BudgetRole, now: Duration) {
        let names: Vec<BudgetName> = self.waiting.iter().cloned().collect();
        for budget in names {
            self.review_one(&budget, role_of(&budget), now);
        }
        self.send(now);
    }

    /// A planned stop has begun.
    pub fn begin_stop(&mut self) {
        self.stopping = true;
    }

    /// Whether the store has all that was sent.
    pub fn is_acknowledged(&self) -> bool {
        let is_empty = self.unsent.is_empty() && self.unsent_snapshots.is_empty();
        is_empty && self.acknowledged + 1 >= self.batch
    }

    /// Whether all that the store has of this holder was read back.
    pub fn is_read_back(&self) -> bool {
        self.fold.next_offset() >= self.appended
    }

    /// Gives back all that no request has reserved, at the end of a planned
    /// stop, and closes the accounts if no request is left: an account that
    /// nobody closes stays in the store's snapshots for ever.
    pub fn give_all_back(&mut self, now: Duration) {
        let mut held = self.held.values();
        self.closed = held.all(|held| held.purse.reserved().is_zero() && held.wanted.is_zero());
        let names: Vec<BudgetName> = self.held.keys().cloned().collect();
        for budget in names {
            if let Some(held) = self.held.get_mut(&budget) {
                let available = held.purse.available();
                held.purse.give_back(available);
            }
            self.report(&budget, &DrawDecision::default(), now);
            if self.closed {
                self.close_own(&budget);
            }
        }
        self.send(now);
    }

    /// Queues the end of the own account; from now on nothing of it is spent,
    /// also if a draw is granted late.
    fn close_own(&mut self, budget: &BudgetName) {
        let Some(held) = self.held.get(budget) else {
            return;
        };
        self.unsent.push(AccountRecord::Close {
            budget: budget.clone(),
            holder: self.holder,
            spent: held.purse.spent(),
        });
    }

    fn review_one(&mut self, budget: &BudgetName, role: BudgetRole, now: Duration) {
        self.tally.reviews.add();
        let held = self.held.entry(budget.clone()).or_default();
        let account = self.fold.budget(budget);
        let total = self.totals.get(budget).copied();
        let prepaid = account.map(|account| account.prepaid).or(total);
        let view = DrawView {
            demand_per_second: held.demand.rate(now),
            typical: held.demand.typical(),
            wanted: held.wanted,
            available: held.purse.available(),
            free: account
                .map(BudgetAccount::free)
                .or(total)
                .unwrap_or_default(),
            prepaid: prepaid.unwrap_or_default(),
            held: account.map(BudgetAccount::held).unwrap_or_default(),
            others_per_second: account
                .map_or(0.0, |account| account.demand_of_others(self.holder) as f64),
            holders: role.holders,
            stopping: self.stopping,
            relieved: !role.holds,
        };
        let decision = policy::decide(&view);
        if !held.pending && !decision.draw.is_zero() {
            held.draw_serial += 1;
            held.pending = true;
            held.asked = decision.draw;
            self.unsent.push(AccountRecord::Draw {
                budget: budget.clone(),
                holder: self.holder,
                machine: self.machine.clone(),
                serial: held.draw_serial,
                tokens: decision.draw,
            });
        }
        if held.purse.has_unacknowledged() {
            return;
        }
        let returns = !decision.give_back.is_zero();
        if returns {
            held.purse.give_back(decision.give_back);
        }
        let sums = (held.purse.used(), held.purse.returned());
        let due = sums != held.reported && now.saturating_sub(held.report_made) >= REPORT_INTERVAL;
        let first = held.report_serial == 0 && held.draw_serial > 0;
        let age = now.saturating_sub(held.report_made);
        let idle = age >= IDLE_INTERVAL && !held.purse.available().is_zero();
        if first || idle || returns || due || !held.wanted.is_zero() {
            self.report(budget, &decision, now);
        }
    }

    /// Queues a report with the line that `decision` allows.
    pub(super) fn report(&mut self, budget: &BudgetName, decision: &DrawDecision, now: Duration) {
        let Some(held) = self.held.get_mut(budget) else {
            return;
        };
        let pace = SpendPace {
            base: held.purse.used() + held.wanted,
            burst: decision.burst,
            per_second: decision.per_second,
            made: self.clock.now(),
        };
        held.purse.send_pace(self.batch, pace);
        held.report_serial += 1;
        held.report_made = now;
        held.reported = (held.purse.used(), held.purse.returned());
        self.unsent.push(AccountRecord::Report(HolderReport {
            budget: budget.clone(),
            holder: self.holder,
            serial: held.report_serial,
            spent: held.purse.spent(),
            returned: held.purse.returned(),
            pace,
            made_after: self.passed.at(pace.made),
            demand: held.demand.rate(now) as u64,
        }));
    }

    pub(super) fn send(&mut self, now: Duration) {
        if self.unsent.is_empty() && self.unsent_snapshots.is_empty() {
            return;
        }
        let batch = AccountBatch {
            number: self.batch,
            records: std::mem::take(&mut self.unsent),
            snapshots: std::mem::take(&mut self.unsent_snapshots),
        };
        match self.outbox.try_send(batch) {
            Ok(()) => {
                self.batch += 1;
                self.unacknowledged.get_or_insert(now);
            }
            Err(TrySendError::Full(batch) | TrySendError::Disconnected(batch)) => {
                self.unsent = batch.records;
                self.unsent_snapshots = batch.snapshots;
            }
        }
    }
}
