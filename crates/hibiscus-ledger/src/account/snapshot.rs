//! Snapshots of budgets, for readers that start after records have expired.
//!
//! The stream keeps its records for minutes only. So one instance a budget
//! writes the account that it folded into a keyed topic, whose newest record
//! of each key stays: soon after the budget is known, and from then on well
//! within the time that records are kept ([`SNAPSHOT_INTERVAL`]).
//!
//! A reader that finds the first records gone begins with the snapshots
//! ([`AccountFold::resume`]). One that is older than the first record left
//! cannot be carried on: draws and lines may have been lost between the two, so
//! the whole total counts as spent, until it is raised. That happens when
//! all instances end without a planned stop and stay away for longer than
//! records are kept. A budget without a snapshot is younger than all of that,
//! and its records are all there.

use std::time::Duration;

use hibiscus_types::BudgetName;
use hibiscus_types::IncarnationId;
use serde::Deserialize;
use serde::Serialize;

use crate::account::AccountFold;
use crate::account::BudgetAccount;

/// Topic of the snapshots, keyed by budget. As the stream's, its name tells the
/// format.
pub const SNAPSHOT_TOPIC: &str = "keyed.accounts-2";
/// Time between two snapshots of a budget; the platform keeps records for
/// 300 s, so three may fail.
pub const SNAPSHOT_INTERVAL: Duration = Duration::from_secs(60);

/// Closed holders that a snapshot names, the newest: late records come within
/// seconds, and a record of the store takes 262,144 bytes.
const SNAPSHOT_CLOSED_HOLDERS_LIMIT: usize = 4_000;

/// One budget as the records before an offset leave it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountSnapshot {
    /// The budget.
    pub budget: BudgetName,
    /// Offset of the first record that is not contained.
    pub next: u64,
    /// The account.
    pub account: BudgetAccount,
    /// Its closed holders, the newest ones.
    pub closed_holders: Vec<IncarnationId>,
}

impl BudgetAccount {
    /// Counts the whole total as spent and ends all holders: lines that they
    /// reported later may be lost. Returns the holders.
    fn close_all(&mut self) -> Vec<IncarnationId> {
        self.counted = self.counted.max(self.prepaid);
        self.closed = self.counted;
        let holders = std::mem::take(&mut self.holders);
        holders.into_keys().collect()
    }
}

impl AccountFold {
    /// The present snapshot of `budget`, if it is known.
    pub fn snapshot(&self, budget: &BudgetName) -> Option<AccountSnapshot> {
        let account = self.budgets.get(budget)?.clone();
        let closed_holders = self.closed_holders.iter().rev();
        let closed_holders = closed_holders.filter(|(name, _holder)| name == budget);
        let closed_holders = closed_holders.take(SNAPSHOT_CLOSED_HOLDERS_LIMIT);
        Some(AccountSnapshot {
            budget: budget.clone(),
            next: self.next,
            account,
            closed_holders: closed_holders.map(|(_name, holder)| *holder).collect(),
        })
    }

    /// A fold that goes on with the record at `first`, the oldest that is
    /// kept, and the budgets whose snapshots were too old for that.
    pub fn resume(first: u64, snapshots: Vec<AccountSnapshot>) -> (Self, Vec<BudgetName>) {
        let mut fold = Self {
            next: first,
            ..Self::default()
        };
        let mut stale = Vec::new();
        for snapshot in snapshots {
            let budget = snapshot.budget;
            let mut account = snapshot.account;
            account.first_offset = snapshot.next;
            let mut closed_holders = snapshot.closed_holders;
            if snapshot.next < first {
                closed_holders.extend(account.close_all());
                stale.push(budget.clone());
            }
            let closed_holders = closed_holders
                .into_iter()
                .map(|holder| (budget.clone(), holder));
            fold.closed_holders.extend(closed_holders);
            fold.budgets.insert(budget, account);
        }
        (fold, stale)
    }
}
