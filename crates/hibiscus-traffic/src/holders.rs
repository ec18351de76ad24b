//! Selection of the instances that hold a budget.
//!
//! In a large fleet only a few instances draw from each budget. The other
//! instances get the tokens for each caller's request from one of them. The
//! records and tokens of a budget therefore do not grow with the fleet, and
//! tokens are not spread so thin that no instance has enough for a request.
//! Only holders read the account stream. Holders are large machines, so that
//! they can respond when a whole fleet starts at once. Instances may briefly
//! disagree on the ranking. This is harmless: any instance may draw, and all
//! readers of the stream compute the same result of a draw.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hibiscus_types::BudgetName;
use hibiscus_types::DataCentre;
use hibiscus_types::hash::stable_hash;

use crate::directory::InstanceDirectory;
use crate::holder_waits::HolderWaits;
use crate::model::InstanceEntry;

/// Number of instances that hold a budget: enough that several may fail at
/// once. In a fleet of this size or smaller, every instance is a holder.
pub const HOLDERS_PER_BUDGET: usize = 8;
/// Time for which a failed holder is remembered: one that refused comes last,
/// one that did not respond is skipped.
const FAILURE_EXPIRY: Duration = Duration::from_secs(1);
/// Largest number of remembered failures of each kind.
const FAILURES_LIMIT: usize = 1_024;
/// Budgets of one group, while the number of groups is below its limit. All
/// budgets of a group have the same holders.
const BUDGETS_PER_GROUP: usize = 64;
/// Largest number of groups, so that an instance contacts a bounded number of
/// holders however many budgets there are.
const GROUPS_LIMIT: usize = 16;
/// Largest number of groups that a large machine holds before smaller machines
/// become holders too.
const GROUPS_PER_LARGE_MACHINE: usize = 4;
/// Fraction of the largest capacity from which on a machine counts as large.
const LARGE_CAPACITY_RATIO: f64 = 0.5;

/// Number of groups for `budgets` budgets.
pub fn group_count(budgets: usize) -> u64 {
    let groups = budgets.div_ceil(BUDGETS_PER_GROUP).clamp(1, GROUPS_LIMIT);
    u64::try_from(groups).unwrap_or(u64::MAX)
}

/// The group of `budget` among `groups` groups.
pub fn group_of(budget: &BudgetName, groups: u64) -> u64 {
    stable_hash(&[budget.as_str().as_bytes()]) % groups.max(1)
}

/// The holders of the budgets of `group`, ranked, out of the `answering`
/// instances. Prefers large machines, and takes one instance of each data
/// centre before the second of any.
pub fn holders_of<'a>(
    group: u64,
    groups: u64,
    answering: impl Iterator<Item = &'a InstanceEntry>,
) -> Vec<&'a InstanceEntry> {
    let mut ranked = candidates(groups, answering.collect());
    let subject = group.to_be_bytes();
    ranked.sort_by_cached_key(|entry| {
        Reverse(stable_hash(&[&subject, entry.name.as_str().as_bytes()]))
    });
    let mut per_data_centre: BTreeMap<&DataCentre, usize> = BTreeMap::new();
    let mut rounds = Vec::with_capacity(ranked.len());
    for (place, entry) in ranked.into_iter().enumerate() {
        let before = per_data_centre.entry(&entry.data_centre).or_default();
        rounds.push((*before, place, entry));
        *before += 1;
    }
    rounds.sort_by_key(|(before, place, _entry)| (*before, *place));
    let holders = rounds.into_iter().map(|(_before, _place, entry)| entry);
    holders.take(HOLDERS_PER_BUDGET).collect()
}

/// Instances that may become holders: only the large machines if there are
/// enough of them.
fn candidates(groups: u64, answering: Vec<&InstanceEntry>) -> Vec<&InstanceEntry> {
    let largest = answering.iter().map(|entry| entry.capacity).max();
    let least = f64::from(largest.unwrap_or_default()) * LARGE_CAPACITY_RATIO;
    let is_large = |entry: &&InstanceEntry| f64::from(entry.capacity) >= least;
    let count = answering.iter().filter(|entry| is_large(entry)).count();
    let places =
        u64::try_from(count * GROUPS_PER_LARGE_MACHINE / HOLDERS_PER_BUDGET).unwrap_or(u64::MAX);
    if count < HOLDERS_PER_BUDGET || places < groups {
        return answering;
    }
    answering.into_iter().filter(is_large).collect()
}

/// Cache of the holders of each group, valid until the answering instances
/// change.
#[derive(Clone, Debug, Default)]
pub struct HolderTable {
    generation: u64,
    groups: u64,
    by_group: BTreeMap<u64, Rc<GroupHolders>>,
}

/// Holders of the budgets of one group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupHolders {
    /// Number of holders.
    pub count: u32,
    /// Rank of this instance among the holders, if it is one.
    pub own_rank: Option<usize>,
    /// Addresses for peer requests to the other holders, in the order in which
    /// this instance contacts them.
    pub others: Vec<SocketAddr>,
}

impl HolderTable {
    /// The holders of `budget`, where `budgets` is the number of all budgets.
    pub fn holders(
        &mut self,
        budget: &BudgetName,
        budgets: usize,
        directory: &InstanceDirectory,
    ) -> Rc<GroupHolders> {
        let groups = group_count(budgets);
        if (self.generation, self.groups) != (directory.generation(), groups) {
            self.by_group.clear();
            self.generation = directory.generation();
            self.groups = groups;
        }
        let group = group_of(budget, groups);
        let cached = self.by_group.entry(group).or_insert_with(|| {
            let own = directory.own();
            let mut holders = holders_of(group, groups, directory.responding());
            let count = u32::try_from(holders.len()).unwrap_or(u32::MAX);
            let own_rank = holders.iter().position(|holder| holder.name == own.name);
            holders.retain(|holder| holder.name != own.name);
            order_for(own, &mut holders);
            Rc::new(GroupHolders {
                count,
                own_rank,
                others: holders.iter().map(|holder| holder.peers).collect(),
            })
        });
        Rc::clone(cached)
    }
}

/// Orders `holders` for `requester`: first those in its data centre, then the
/// others. Within both parts the order differs between requesters, to spread
/// the load evenly.
pub fn order_for(requester: &InstanceEntry, holders: &mut [&InstanceEntry]) {
    let own = requester.name.as_str().as_bytes();
    holders.sort_by_cached_key(|holder| {
        let remote = holder.data_centre != requester.data_centre;
        (remote, stable_hash(&[own, holder.name.as_str().as_bytes()]))
    });
}

/// Holders that recently had no tokens of a budget or did not respond.
#[derive(Clone, Debug, Default)]
pub struct HolderFailures {
    refused: BTreeMap<(BudgetName, SocketAddr), Duration>,
    unresponsive: BTreeMap<SocketAddr, Duration>,
    /// When each holder last responded.
    responded: BTreeMap<SocketAddr, Duration>,
    /// Holders that are not asked again yet.
    pub waits: HolderWaits,
}

impl HolderFailures {
    /// Records that `holder` had no tokens of `budget` at `now`.
    pub fn note_refusal(&mut self, budget: &BudgetName, holder: SocketAddr, now: Duration) {
        if self.refused.len() >= FAILURES_LIMIT {
            self.refused.retain(|_holder, at| is_recent(*at, now));
        }
        if self.refused.len() < FAILURES_LIMIT {
            self.refused.insert((budget.clone(), holder), now);
        }
    }

    /// Records that `holder` did not respond at `now`.
    pub fn note_no_response(&mut self, holder: SocketAddr, now: Duration) {
        if self.unresponsive.len() >= FAILURES_LIMIT {
            self.unresponsive.retain(|_holder, at| is_recent(*at, now));
        }
        self.unresponsive.insert(holder, now);
    }

    /// Moves the holders that recently refused to the end.
    pub fn sort(&self, budget: &BudgetName, holders: &mut [SocketAddr], now: Duration) {
        holders.sort_by_cached_key(|holder| {
            let refused = self.refused.get(&(budget.clone(), *holder));
            refused.is_some_and(|at| is_recent(*at, now))
        });
    }

    /// Orders the holders to contact at `now`, without those that recently did
    /// not respond. After that time a single peer request, not one for each
    /// caller's request, checks whether such a holder responds again.
    pub fn choose(&mut self, budget: &BudgetName, holders: &mut Vec<SocketAddr>, now: Duration) {
        holders.retain(|holder| {
            let unresponsive = self.unresponsive.get(holder);
            !unresponsive.is_some_and(|at| is_recent(*at, now))
        });
        for holder in holders.iter() {
            // Until that peer request completes, others skip the holder.
            if let Some(unresponsive) = self.unresponsive.get_mut(holder) {
                *unresponsive = now;
            }
        }
        self.sort(budget, holders, now);
    }

    /// Records that `holder` responded at `now`.
    pub fn note_response(&mut self, holder: SocketAddr, now: Duration) {
        self.unresponsive.remove(&holder);
        if self.responded.len() >= FAILURES_LIMIT {
            self.responded.retain(|_holder, at| is_recent(*at, now));
        }
        self.responded.insert(holder, now);
    }

    /// Records that a response of `holder` about `budget` is late. If the
    /// holder recently responded to anything, it is waiting for the store and
    /// counts as refusing; otherwise it counts as unresponsive.
    pub fn note_late_response(&mut self, budget: &BudgetName, holder: SocketAddr, now: Duration) {
        let responded = self.responded.get(&holder);
        if responded.is_some_and(|at| is_recent(*at, now)) {
            self.note_refusal(budget, holder, now);
        } else {
            self.note_no_response(holder, now);
        }
    }
}

/// Whether a failure at `at` still counts at `now`.
fn is_recent(at: Duration, now: Duration) -> bool {
    now.saturating_sub(at) < FAILURE_EXPIRY
}
