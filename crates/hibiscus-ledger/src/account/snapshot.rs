//! Snapshots of budgets, for readers that start after records have expired.
//!
//! The stream keeps its records only for minutes. One instance for each budget
//! therefore writes the budget's folded account to a keyed topic, which keeps
//! the newest record of each key. It writes the first snapshot soon after the
//! budget is known, and later ones well within the time that records are kept
//! ([`interval_for`]), and one at once when the store has forgotten its history.
//!
//! A reader that finds the first records missing starts from the snapshots
//! ([`AccountFold::resume`]). If a snapshot is older than the oldest remaining
//! record, draws and limits may have been lost between the two, so the whole
//! total counts as spent. The reader looks for another instance that has read the lost
//! records. There is none if all instances ended without a graceful shutdown and
//! stayed away for longer than records are kept, or if the store forgot its history at
//! that moment; then the total counts as spent until it is raised.

use std::collections::BTreeSet;
use std::time::Duration;

use hibiscus_types::BudgetName;
use hibiscus_types::IncarnationId;
use hibiscus_types::TokenCount;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;

use crate::account::AccountFold;
use crate::account::BudgetAccount;

/// Topic of the snapshots, keyed by budget. Its name includes the version of
/// the format, as the name of the stream does.
pub const SNAPSHOT_TOPIC: &str = "keyed.accounts-2";
/// Longest time between two snapshots of a budget.
const MAX_SNAPSHOT_INTERVAL: Duration = Duration::from_secs(60);
/// Shortest time between two snapshots of a budget.
pub const MIN_SNAPSHOT_INTERVAL: Duration = Duration::from_secs(1);
/// Number of snapshots of a budget in the time for which records are kept: three in a row
/// may fail.
const SNAPSHOTS_PER_HISTORY: u32 = 4;

/// Closed holders in a snapshot, the newest ones: late records arrive within
/// seconds, and a record of the store holds 262,144 bytes.
const SNAPSHOT_CLOSED_HOLDERS_LIMIT: usize = 4_000;

/// Time between two snapshots of a budget if the store keeps records for `history`.
pub fn interval_for(history: Duration) -> Duration {
    let interval = history / SNAPSHOTS_PER_HISTORY;
    interval.clamp(MIN_SNAPSHOT_INTERVAL, MAX_SNAPSHOT_INTERVAL)
}

/// State of one budget before an offset of the stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountSnapshot {
    /// The budget.
    pub budget: BudgetName,
    /// Offset of the first record that the snapshot does not contain.
    pub next: u64,
    /// The budget's state.
    pub account: BudgetAccount,
    /// The newest closed holders of the budget.
    pub closed_holders: Vec<IncarnationId>,
    /// Serial numbers of the draws that the accounts lack, by holder. Snapshots of earlier
    /// releases end before it, and those releases read no further.
    #[serde(deserialize_with = "decode_or_default")]
    missing_draws: Vec<(IncarnationId, BTreeSet<u64>)>,
    /// Whether the total counts as spent because the budget's history is lost. Snapshots of
    /// earlier releases end before it.
    #[serde(deserialize_with = "decode_or_default")]
    pub is_assumed: bool,
}

/// Decodes one of the last fields of a snapshot; the default if the snapshot ends before it.
fn decode_or_default<'a, T, D>(deserializer: D) -> std::result::Result<T, D::Error>
where
    T: Deserialize<'a> + Default,
    D: Deserializer<'a>,
{
    Ok(T::deserialize(deserializer).unwrap_or_default())
}

impl BudgetAccount {
    /// Counts the whole total as spent and removes all holders, because later
    /// limits of theirs may be lost. Returns the removed holders.
    fn close_all(&mut self) -> Vec<IncarnationId> {
        self.counted = self.counted.max(self.prepaid);
        self.closed = self.counted;
        let holders = std::mem::take(&mut self.holders);
        holders.into_keys().collect()
    }
}

impl AccountFold {
    /// Counts `total` and all that the account of `budget` shows as spent, and ignores later
    /// records of its holders.
    pub fn count_all(&mut self, budget: &BudgetName, total: TokenCount) {
        let account = self.budgets.entry(budget.clone()).or_default();
        account.prepaid = account.prepaid.max(total);
        for holder in account.close_all() {
            self.closed_holders.insert((budget.clone(), holder));
        }
    }

    /// A snapshot of `budget` at the current offset; `None` if there is no such
    /// budget.
    pub fn snapshot(&self, budget: &BudgetName) -> Option<AccountSnapshot> {
        self.budgets.get(budget)?;
        Some(self.snapshot_or_empty(budget))
    }

    /// A snapshot of `budget` at the current offset, without any account if no record
    /// names the budget.
    pub fn snapshot_or_empty(&self, budget: &BudgetName) -> AccountSnapshot {
        let account = self.budgets.get(budget).cloned().unwrap_or_default();
        let closed_holders = self.closed_holders.iter().rev();
        let closed_holders = closed_holders.filter(|(name, _holder)| name == budget);
        let closed_holders = closed_holders.take(SNAPSHOT_CLOSED_HOLDERS_LIMIT);
        let holders = account.holders.iter();
        let holders = holders.filter(|(_holder, held)| !held.missing_draws.is_empty());
        let missing_draws = holders.map(|(holder, held)| (*holder, held.missing_draws.clone()));
        AccountSnapshot {
            budget: budget.clone(),
            next: self.next,
            missing_draws: missing_draws.collect(),
            is_assumed: false,
            closed_holders: closed_holders.map(|(_name, holder)| *holder).collect(),
            account,
        }
    }

    /// Restores a fold from `snapshots`. It continues with the record at
    /// `first`, the oldest one that the stream still has. Also returns the
    /// budgets whose snapshots were too old to continue.
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
            for (holder, missing_draws) in snapshot.missing_draws {
                if let Some(held) = account.holders.get_mut(&holder) {
                    held.missing_draws = missing_draws;
                }
            }
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
