//! Which instances draw of a budget.
//!
//! In a large fleet only a few instances draw of each budget, and the others
//! ask one of these for what a request needs. So what is appended, read and
//! held of a budget does not grow with the fleet, and tokens are not spread so
//! thin that nobody has enough for a request. Only holders follow the account
//! stream. These are large machines, so that a whole fleet that starts finds
//! them able to answer. The ranking may differ between instances for moments:
//! any holder may draw, since the fold decides.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hibiscus_types::BudgetName;
use hibiscus_types::DataCentre;
use hibiscus_types::hash::stable_hash;

use crate::directory::InstanceDirectory;
use crate::model::InstanceEntry;

/// Instances that draw of a budget: enough that several may fail at once. A
/// fleet of no more has no others.
pub const HOLDERS_PER_BUDGET: usize = 8;
/// Time for which a holder that had no tokens is asked after the others.
const REFUSAL_REST: Duration = Duration::from_secs(1);
/// Refusals remembered.
const REFUSALS_KEPT: usize = 1_024;
/// Budgets of one group, which have the same holders, while the groups are few.
const GROUP_BUDGETS: usize = 64;
/// Groups at the most, so that an instance asks a bounded number of others
/// however many budgets there are.
const GROUPS_LIMIT: usize = 16;
/// Groups that one of the large machines takes part in at the most, before the
/// smaller ones take part too.
const GROUPS_OF_LARGE: usize = 4;
/// Part of the largest capacity from which on a machine is large.
const LARGE_PART: f64 = 0.5;

/// Groups that `budgets` are divided into.
pub fn group_count(budgets: usize) -> u64 {
    let groups = budgets.div_ceil(GROUP_BUDGETS).clamp(1, GROUPS_LIMIT);
    u64::try_from(groups).unwrap_or(u64::MAX)
}

/// The group of `budget` among `groups`.
pub fn group_of(budget: &BudgetName, groups: u64) -> u64 {
    stable_hash(&[budget.as_str().as_bytes()]) % groups.max(1)
}

/// The holders of the budgets of `group` among the instances that answer, in
/// the order of their rank: large machines, and of each data centre one before
/// the second of any.
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
    let mut seen: BTreeMap<&DataCentre, usize> = BTreeMap::new();
    let mut rounds = Vec::with_capacity(ranked.len());
    for (place, entry) in ranked.into_iter().enumerate() {
        let before = seen.entry(&entry.data_centre).or_default();
        rounds.push((*before, place, entry));
        *before += 1;
    }
    rounds.sort_by_key(|(before, place, _entry)| (*before, *place));
    let holders = rounds.into_iter().map(|(_before, _place, entry)| entry);
    holders.take(HOLDERS_PER_BUDGET).collect()
}

/// The instances that may hold: the large machines, if these are enough.
fn candidates(groups: u64, answering: Vec<&InstanceEntry>) -> Vec<&InstanceEntry> {
    let largest = answering.iter().map(|entry| entry.capacity).max();
    let least = f64::from(largest.unwrap_or_default()) * LARGE_PART;
    let is_large = |entry: &&InstanceEntry| f64::from(entry.capacity) >= least;
    let count = answering.iter().filter(|entry| is_large(entry)).count();
    let places = u64::try_from(count * GROUPS_OF_LARGE / HOLDERS_PER_BUDGET).unwrap_or(u64::MAX);
    if count < HOLDERS_PER_BUDGET || places < groups {
        return answering;
    }
    answering.into_iter().filter(is_large).collect()
}

/// The holders of each group, remembered until the instances that answer
/// change.
#[derive(Clone, Debug, Default)]
pub struct HolderTable {
    generation: u64,
    groups: u64,
    by_group: BTreeMap<u64, Rc<GroupHolders>>,
}

/// The holders of the budgets of one group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupHolders {
    /// How many there are.
    pub count: u32,
    /// The rank of this instance among them, if it is one.
    pub own_rank: Option<usize>,
    /// Where the others take questions, in the order in which this instance
    /// asks them.
    pub others: Vec<SocketAddr>,
}

impl HolderTable {
    /// The holders of `budget`, one of `budgets`.
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
        let known = self.by_group.entry(group).or_insert_with(|| {
            let own = directory.own();
            let mut holders = holders_of(group, groups, directory.answering());
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
        Rc::clone(known)
    }
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
pub struct HolderFailures {
    refused: BTreeMap<(BudgetName, SocketAddr), Duration>,
    silent: BTreeMap<SocketAddr, Duration>,
    /// When each of them answered last.
    answered: BTreeMap<SocketAddr, Duration>,
}

impl HolderFailures {
    /// Notes that `holder` had no tokens of `budget` at `now`.
    pub fn note(&mut self, budget: &BudgetName, holder: SocketAddr, now: Duration) {
        if self.refused.len() >= REFUSALS_KEPT {
            self.refused.retain(|_holder, at| is_recent(*at, now));
        }
        if self.refused.len() < REFUSALS_KEPT {
            self.refused.insert((budget.clone(), holder), now);
        }
    }

    /// Notes that `holder` did not answer at `now`.
    pub fn note_no_response(&mut self, holder: SocketAddr, now: Duration) {
        if self.silent.len() >= REFUSALS_KEPT {
            self.silent.retain(|_holder, at| is_recent(*at, now));
        }
        self.silent.insert(holder, now);
    }

    /// Puts the holders that refused lately behind the others.
    pub fn sort(&self, budget: &BudgetName, holders: &mut [SocketAddr], now: Duration) {
        holders.sort_by_cached_key(|holder| {
            let refused = self.refused.get(&(budget.clone(), *holder));
            refused.is_some_and(|at| is_recent(*at, now))
        });
    }

    /// Orders the holders to ask at `now`, without those that were silent
    /// lately: one question finds out whether such a holder answers again, and
    /// not one for each request.
    pub fn choose(&mut self, budget: &BudgetName, holders: &mut Vec<SocketAddr>, now: Duration) {
        holders.retain(|holder| {
            let silent = self.silent.get(holder);
            !silent.is_some_and(|at| is_recent(*at, now))
        });
        for holder in holders.iter() {
            // The next requests ask others until this one's question is over.
            if let Some(silent) = self.silent.get_mut(holder) {
                *silent = now;
            }
        }
        self.sort(budget, holders, now);
    }

    /// Notes that `holder` answered at `now`.
    pub fn note_response(&mut self, holder: SocketAddr, now: Duration) {
        self.silent.remove(&holder);
        if self.answered.len() >= REFUSALS_KEPT {
            self.answered.retain(|_holder, at| is_recent(*at, now));
        }
        self.answered.insert(holder, now);
    }

    /// Notes that `holder` has not answered a question about `budget` for a
    /// while: it waits for the store, or is silent if it answered no other
    /// question either.
    pub fn note_late_response(&mut self, budget: &BudgetName, holder: SocketAddr, now: Duration) {
        let answered = self.answered.get(&holder);
        if answered.is_some_and(|at| is_recent(*at, now)) {
            self.note(budget, holder, now);
        } else {
            self.note_no_response(holder, now);
        }
    }
}

/// Whether a refusal at `at` still counts at `now`.
fn is_recent(at: Duration, now: Duration) -> bool {
    now.saturating_sub(at) < REFUSAL_REST
}
