//! Closes accounts of earlier processes, and writes snapshots for later ones.

use std::collections::BTreeSet;
use std::time::Duration;

use hibiscus_events::EventCode;
use hibiscus_events::event;
use hibiscus_ledger::account::AccountRecord;
use hibiscus_ledger::account::HolderAccount;
use hibiscus_ledger::account::limit::MachineTime;
use hibiscus_ledger::account::snapshot::MIN_SNAPSHOT_INTERVAL;
use hibiscus_types::BudgetName;
use hibiscus_types::IncarnationId;
use hibiscus_types::InstanceName;
use hibiscus_types::TokenCount;

use crate::budgets::BudgetManager;
use crate::budgets::RecoveryPhase;

impl BudgetManager {
    /// Progress in closing the accounts of this machine's earlier processes.
    pub fn recovery(&self) -> RecoveryPhase {
        self.recovery
    }

    /// Closes the accounts of this machine's earlier processes, as far as its
    /// clock proves what they spent. Called once all records of the stream were
    /// applied. The earlier processes have ended, because this one has their
    /// ports.
    pub fn recover(&mut self) {
        if self.recovery != RecoveryPhase::Reading || !self.has_all_draws() {
            return;
        }
        let (began, own, machine) = (self.ports_held_at, self.holder, self.machine.clone());
        let open = self.close_accounts("clock", &machine, own, |held| held.spent_by_clock(began));
        self.recovery = if open == 0 {
            RecoveryPhase::Complete
        } else {
            RecoveryPhase::Unproven
        };
    }

    /// Closes the accounts that [`Self::recover`] left open. `ended` is a time
    /// of day by which the earlier processes had ended, in milliseconds since
    /// the Unix epoch, if several machines agree on one.
    ///
    /// Does nothing while the stream may lack draws ([`Self::has_all_draws`]).
    pub fn close_unproven(&mut self, ended: Option<u64>) {
        if !self.has_all_draws() {
            return;
        }
        if std::mem::replace(&mut self.recovery, RecoveryPhase::Complete) != RecoveryPhase::Unproven
        {
            return;
        }
        let (own, machine) = (self.holder, self.machine.clone());
        self.close_accounts("agreement", &machine, own, |held| {
            Some(held.spent_by_agreement(ended))
        });
    }

    /// Machines with accounts of processes other than their present one, as
    /// given by `present`. This machine is left out; [`Self::recover`] closes
    /// its accounts.
    pub fn machines_with_ended_processes(
        &self,
        present: impl Fn(&InstanceName) -> Option<IncarnationId>,
    ) -> BTreeSet<InstanceName> {
        let mut machines = BTreeSet::new();
        for account in self.fold.budgets().values() {
            for (holder, held) in &account.holders {
                if held.machine == self.machine || machines.contains(&held.machine) {
                    continue;
                }
                if present(&held.machine).is_some_and(|present| present != *holder) {
                    machines.insert(held.machine.clone());
                }
            }
        }
        machines
    }

    /// Closes the accounts of the processes of `machine` that ended before
    /// `present` began, as far as the machine's clock at that time (`began`)
    /// proves what they spent. Returns the number of accounts that stay open.
    pub fn close_machine_accounts(
        &mut self,
        machine: &InstanceName,
        present: IncarnationId,
        began: MachineTime,
    ) -> usize {
        self.close_accounts("clock", machine, present, |held| held.spent_by_clock(began))
    }

    /// Closes the accounts that [`Self::close_machine_accounts`] left open.
    /// `ended` is a time of day by which the processes had ended, in
    /// milliseconds since the Unix epoch, if several machines agree on one.
    pub fn close_machine_accounts_by_agreement(
        &mut self,
        machine: &InstanceName,
        present: IncarnationId,
        ended: Option<u64>,
    ) {
        self.close_accounts("agreement", machine, present, |held| {
            Some(held.spent_by_agreement(ended))
        });
    }

    /// Closes the accounts of the processes of `machine` other than `present`
    /// with the amount that `spent` returns. Returns the number of accounts for
    /// which it returns `None`.
    fn close_accounts(
        &mut self,
        proof: &str,
        machine: &InstanceName,
        present: IncarnationId,
        spent: impl Fn(&HolderAccount) -> Option<TokenCount>,
    ) -> usize {
        let mut open = 0;
        if !self.has_all_draws() {
            return open;
        }
        for (budget, account) in self.fold.budgets() {
            // Later limits of the holders may be lost.
            if self.history.is_unproven(budget) {
                continue;
            }
            for (holder, held) in &account.holders {
                if held.machine != *machine || *holder == present {
                    continue;
                }
                let Some(spent) = spent(held) else {
                    open += 1;
                    continue;
                };
                let limit = held.report.as_ref().map(|report| report.limit);
                let limit = limit.unwrap_or_default();
                event!(
                    EventCode::AccountClosed,
                    "budget={budget} holder={holder} machine={machine} counted={} spent={spent} reported={} base={} burst={} per_second={} grows_after_ms={} proof={proof}",
                    held.counted(),
                    held.spent,
                    limit.base,
                    limit.burst,
                    limit.per_second,
                    limit.grows_after
                );
                self.unsent.push(AccountRecord::Close {
                    budget: budget.clone(),
                    holder: *holder,
                    spent,
                });
            }
        }
        open
    }

    /// Whether the last snapshot of `budget` is due for replacement and
    /// outdated. One that is older than the oldest record is replaced soon: the store has
    /// forgotten its history.
    pub(super) fn is_snapshot_due(&self, budget: &BudgetName, now: Duration) -> bool {
        if self.recovery == RecoveryPhase::Reading || self.history.is_unproven(budget) {
            return false;
        }
        let Some((at, next)) = self.snapshots.get(budget) else {
            return true;
        };
        let interval = if *next < self.stream_first {
            MIN_SNAPSHOT_INTERVAL
        } else {
            self.snapshot_interval
        };
        now.saturating_sub(*at) >= interval && *next < self.fold.next_offset()
    }

    pub(super) fn write_snapshot(&mut self, budget: &BudgetName, now: Duration) {
        let mut snapshot = self.fold.snapshot_or_empty(budget);
        snapshot.is_assumed = self.history.is_assumed(budget);
        self.snapshots.insert(budget.clone(), (now, snapshot.next));
        self.unsent_snapshots.push(snapshot);
    }

    /// Writes snapshots of all budgets at the end of a graceful shutdown,
    /// because the fleet may stay away for longer than records are kept.
    pub fn write_snapshots(&mut self, now: Duration) {
        let names: Vec<BudgetName> = self.totals.keys().cloned().collect();
        for budget in names {
            if self.fold.budget(&budget).is_some() && !self.history.is_unproven(&budget) {
                self.write_snapshot(&budget, now);
            }
        }
        self.send(now);
    }
}
