//! Snapshots of budgets, for readers that start after records have expired.
//!
//! The stream keeps its records only for minutes. One instance for each budget
//! therefore writes the budget's folded account to a keyed topic, which keeps
//! the newest record of each key. It writes the first snapshot soon after the
//! budget is known, and later ones well within the time that records are kept
//! ([`SNAPSHOT_INTERVAL`]).
//!
//! A reader that finds the first records missing starts from the snapshots
//! ([`AccountFold::resume`]). If a snapshot is older than the oldest remaining
//! record, draws and limits may have been lost between the two, so the whole
//! total counts as spent until it is raised. This happens if all instances end
//! without a graceful shutdown and stay away for longer than records are kept.
//! A budget without a snapshot is newer than that, and all its records are
//! still present.

use std::collections::BTreeSet;
use std::time::Duration;

use hibiscus_types::BudgetName;
use hibiscus_types::IncarnationId;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;

use crate::account::AccountFold;
use crate::account::BudgetAccount;

/// Topic of the snapshots, keyed by budget. Its name includes the version of
/// the format, as the name of the stream does.
pub const SNAPSHOT_TOPIC: &str = "keyed.accounts-2";
/// Time between two snapshots of a budget. The platform keeps records for 300
/// s, so three snapshots in a row may fail.
pub const SNAPSHOT_INTERVAL: Duration = Duration::from_secs(60);

/// Closed holders in a snapshot, the newest ones: late records arrive within
/// seconds, and a record of the store holds 262,144 bytes.
const SNAPSHOT_CLOSED_HOLDERS_LIMIT: usize = 4_000;

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
    #[serde(deserialize_with = "decode_missing_draws")]
    missing_draws: Vec<(IncarnationId, BTreeSet<u64>)>,
}

/// Decodes the last field of a snapshot; empty if the snapshot ends before it.
fn decode_missing_draws<'a, D: Deserializer<'a>>(
    deserializer: D,
) -> std::result::Result<Vec<(IncarnationId, BTreeSet<u64>)>, D::Error> {
    Ok(Deserialize::deserialize(deserializer).unwrap_or_default())
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
    /// A snapshot of `budget` at the current offset; `None` if there is no such
    /// budget.
    pub fn snapshot(&self, budget: &BudgetName) -> Option<AccountSnapshot> {
        let account = self.budgets.get(budget)?.clone();
        let closed_holders = self.closed_holders.iter().rev();
        let closed_holders = closed_holders.filter(|(name, _holder)| name == budget);
        let closed_holders = closed_holders.take(SNAPSHOT_CLOSED_HOLDERS_LIMIT);
        let holders = account.holders.iter();
        let holders = holders.filter(|(_holder, held)| !held.missing_draws.is_empty());
        let missing_draws = holders.map(|(holder, held)| (*holder, held.missing_draws.clone()));
        Some(AccountSnapshot {
            budget: budget.clone(),
            next: self.next,
            missing_draws: missing_draws.collect(),
            closed_holders: closed_holders.map(|(_name, holder)| *holder).collect(),
            account,
        })
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
