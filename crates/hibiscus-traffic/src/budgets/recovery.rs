//! Accounts of earlier processes, and snapshots for later ones.

use std::collections::BTreeSet;
use std::time::Duration;

use hibiscus_events::EventCode;
use hibiscus_events::event;
use hibiscus_ledger::account::AccountFold;
use hibiscus_ledger::account::AccountRecord;
use hibiscus_ledger::account::HolderAccount;
use hibiscus_ledger::account::limit::MachineTime;
use hibiscus_ledger::account::snapshot::AccountSnapshot;
use hibiscus_ledger::account::snapshot::SNAPSHOT_INTERVAL;
use hibiscus_types::BudgetName;
use hibiscus_types::IncarnationId;
use hibiscus_types::InstanceName;
use hibiscus_types::TokenCount;

use crate::budgets::BudgetManager;
use crate::budgets::RecoveryPhase;

impl BudgetManager {
    /// Begins anew with snapshots, since the records before `first` are gone.
    pub fn resume(&mut self, first: u64, snapshots: Vec<AccountSnapshot>) {
        let (fold, stale) = AccountFold::resume(first, snapshots);
        self.fold = fold;
        for budget in stale {
            event!(EventCode::SnapshotStale, "budget={budget} first={first}");
        }
    }

    /// How far the accounts of earlier processes are closed.
    pub fn recovery(&self) -> RecoveryPhase {
        self.recovery
    }

    /// All records of the stream were applied: closes what earlier processes
    /// of this machine left, as far as its clock proves what they spent. They
    /// are known to have ended since their ports are held by this one.
    pub fn recover(&mut self) {
        if self.recovery != RecoveryPhase::Reading {
            return;
        }
        let (began, own, machine) = (self.began, self.holder, self.machine.clone());
        let open = self.close_ended("clock", &machine, own, |held| held.spent_by_clock(began));
        self.recovery = if open == 0 {
            RecoveryPhase::Complete
        } else {
            RecoveryPhase::Unproven
        };
    }

    /// Closes what [`Self::recover`] left open. The processes before had ended
    /// at the time of day `ended`, in milliseconds since the Unix epoch, if
    /// several machines agree on one.
    pub fn close_unproven(&mut self, ended: Option<u64>) {
        if std::mem::replace(&mut self.recovery, RecoveryPhase::Complete) != RecoveryPhase::Unproven
        {
            return;
        }
        let (own, machine) = (self.holder, self.machine.clone());
        self.close_ended("agreement", &machine, own, |held| {
            Some(held.spent_by_agreement(ended))
        });
    }

    /// Machines with accounts of other processes than the present ones, which
    /// `present` names. Those of the own machine are closed by
    /// [`Self::recover`].
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

    /// Closes the accounts of the processes of `machine` that ended before the
    /// process `present` began, as far as its clock at its start proves what
    /// they spent; returns how many are left.
    pub fn close_machine(
        &mut self,
        machine: &InstanceName,
        present: IncarnationId,
        began: MachineTime,
    ) -> usize {
        self.close_ended("clock", machine, present, |held| held.spent_by_clock(began))
    }

    /// As [`Self::close_machine`], for processes that had ended at the time of
    /// day `ended`, in milliseconds since the Unix epoch, if one is agreed on.
    pub fn close_machine_by_agreement(
        &mut self,
        machine: &InstanceName,
        present: IncarnationId,
        ended: Option<u64>,
    ) {
        self.close_ended("agreement", machine, present, |held| {
            Some(held.spent_by_agreement(ended))
        });
    }

    /// Closes the accounts of `machine` of other processes than `present` with
    /// what `spent` says; returns how many it says nothing of.
    fn close_ended(
        &mut self,
        proof: &str,
        machine: &InstanceName,
        present: IncarnationId,
        spent: impl Fn(&HolderAccount) -> Option<TokenCount>,
    ) -> usize {
        let mut open = 0;
        for (budget, account) in self.fold.budgets() {
            for (holder, held) in &account.holders {
                if held.machine != *machine || *holder == present {
                    continue;
                }
                let Some(spent) = spent(held) else {
                    open += 1;
                    continue;
                };
                let line = held.report.as_ref().map(|report| report.limit);
                let line = line.unwrap_or_default();
                event!(
                    EventCode::AccountClosed,
                    "budget={budget} holder={holder} machine={machine} counted={} spent={spent} reported={} base={} burst={} per_second={} grows_after_ms={} proof={proof}",
                    held.counted(),
                    held.spent,
                    line.base,
                    line.burst,
                    line.per_second,
                    line.grows_after
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

    /// Whether the snapshot of `budget` is as old as it may be, and not the
    /// present one.
    pub(super) fn is_snapshot_due(&self, budget: &BudgetName, now: Duration) -> bool {
        if self.recovery == RecoveryPhase::Reading {
            return false;
        }
        let written = self.snapshots.get(budget);
        written.is_none_or(|(at, next)| {
            now.saturating_sub(*at) >= SNAPSHOT_INTERVAL && *next < self.fold.next_offset()
        })
    }

    pub(super) fn write_snapshot(&mut self, budget: &BudgetName, now: Duration) {
        let Some(snapshot) = self.fold.snapshot(budget) else {
            return;
        };
        self.snapshots.insert(budget.clone(), (now, snapshot.next));
        self.unsent_snapshots.push(snapshot);
    }

    /// Writes the snapshots of all budgets, at the end of a planned stop: the
    /// fleet may stay away for longer than records are kept.
    pub fn write_snapshots(&mut self, now: Duration) {
        let names: Vec<BudgetName> = self.totals.keys().cloned().collect();
        for budget in names {
            self.write_snapshot(&budget, now);
        }
        self.send(now);
    }
}
