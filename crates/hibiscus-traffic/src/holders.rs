//! Which instances draw of a budget.
//!
//! In a large fleet only a few instances draw of each budget, and the others
//! ask one of these for what a request needs. So what is appended, read and
//! held of a budget does not grow with the fleet, and tokens are not spread so
//! thin that nobody has enough for a request. The ranking may differ between
//! instances for moments: any instance may draw, since the fold decides.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use hibiscus_types::BudgetName;
use hibiscus_types::hash::stable_hash;

use crate::model::InstanceEntry;

/// Instances that draw of a budget: enough that several may fail at once. A
/// fleet of no more has no others.
pub const HOLDERS: usize = 8;
/// Time for which a holder that had no tokens is asked after the others.
const REFUSAL_REST: Duration = Duration::from_secs(1);
/// Refusals remembered.
const REFUSALS_KEPT: usize = 1_024;
/// Groups of budgets with the same holders, so that an instance asks a bounded
/// number of others however many budgets there are.
const SHARDS: u64 = 16;

/// The holders of `budget` among the instances that answer, in the order of
/// their rank.
pub fn holders_of<'a>(
    budget: &BudgetName,
    answering: impl Iterator<Item = &'a InstanceEntry>,
) -> Vec<&'a InstanceEntry> {
    let shard = stable_hash(&[budget.as_str().as_bytes()]) % SHARDS;
    let shard = shard.to_be_bytes();
    let rank = |entry: &InstanceEntry| stable_hash(&[&shard, entry.name.as_str().as_bytes()]);
    let mut holders: Vec<&InstanceEntry> = answering.collect();
    holders.sort_by_cached_key(|entry| Reverse(rank(entry)));
    holders.truncate(HOLDERS);
    holders
}

/// Orders `holders` as `asker` asks them: those in its data centre first, and
/// spread evenly over the askers within the two groups.
pub fn order_for(asker: &InstanceEntry, holders: &mut [&InstanceEntry]) {
    let own = asker.name.as_str().as_bytes();
    holders.sort_by_cached_key(|holder| {
        let remote = holder.data_centre != asker.data_centre;
        (remote, stable_hash(&[own, holder.name.as_str().as_bytes()]))
    });
}

/// Holders that lately had no tokens of a budget, or did not answer.
#[derive(Clone, Debug, Default)]
pub struct HolderRefusals {
    refused: BTreeMap<(BudgetName, SocketAddr), Duration>,
}

impl HolderRefusals {
    /// Notes that `holder` had no tokens of `budget` at `now`.
    pub fn note(&mut self, budget: &BudgetName, holder: SocketAddr, now: Duration) {
        if self.refused.len() >= REFUSALS_KEPT {
            self.refused.retain(|_holder, at| is_recent(*at, now));
        }
        if self.refused.len() < REFUSALS_KEPT {
            self.refused.insert((budget.clone(), holder), now);
        }
    }

    /// Puts the holders that refused lately behind the others.
    pub fn sort(&self, budget: &BudgetName, holders: &mut [SocketAddr], now: Duration) {
        holders.sort_by_cached_key(|holder| {
            let refused = self.refused.get(&(budget.clone(), *holder));
            refused.is_some_and(|at| is_recent(*at, now))
        });
    }
}

/// Whether a refusal at `at` still counts at `now`.
fn is_recent(at: Duration, now: Duration) -> bool {
    now.saturating_sub(at) < REFUSAL_REST
}
