//! Accounts of earlier processes, and snapshots for later ones.

use std::time::Duration;

use hibiscus_events::EventCode;
use hibiscus_events::event;
use hibiscus_ledger::account::AccountFold;
use hibiscus_ledger::account::AccountRecord;
use hibiscus_ledger::account::HolderAccount;
use hibiscus_ledger::account::snapshot::AccountSnapshot;
use hibiscus_ledger::account::snapshot::SNAPSHOT_INTERVAL;
use hibiscus_types::BudgetName;
use hibiscus_types::TokenCount;

use crate::budgets::BudgetDesk;
use crate::budgets::RecoveryPhase;

impl BudgetDesk {
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
        let now = self.clock.now();
        let open = self.close_ended("clock", |held| held.spent_by_clock(now));
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
        self.close_ended("agreement", |held| Some(held.spent_by_agreement(ended)));
    }

    /// Closes the accounts of earlier processes of this machine with what
    /// `spent` says; returns how many it says nothing of.
    fn close_ended(
        &mut self,
        proof: &str,
        spent: impl Fn(&HolderAccount) -> Option<TokenCount>,
    ) -> usize {
        let mut open = 0;
        for (budget, account) in self.fold.budgets() {
            for (holder, held) in &account.holders {
                if held.machine != self.machine || *holder == self.holder {
                    continue;
                }
                let Some(spent) = spent(held) else {
                    open += 1;
                    continue;
                };
                event!(
                    EventCode::AccountClosed,
                    "budget={budget} holder={holder} counted={} spent={spent} reported={} proof={proof}",
                    held.counted(),
                    held.spent
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
