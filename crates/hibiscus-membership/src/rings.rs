//! Who watches whom in a fleet of any size.
//!
//! In a small fleet all watch all. In a larger one the names stand on several
//! rings, each in an order of its own, and an instance watches on each ring
//! those that follow it, up to and with the first that it holds to answer. So
//! whoever answers is watched by about one on each ring, and one that follows
//! a silent instance does not go without.

use std::collections::BTreeSet;
use std::ops::Bound;

use hibiscus_types::InstanceName;
use hibiscus_types::hash::stable_hash;

/// Other instances up to which an instance watches all of them.
pub const FULL_MONITORING_LIMIT: usize = 8;
/// Rings: as many watch an instance, so that one wrong one is outvoted.
pub const RING_COUNT: u64 = 4;
/// Instances that one watches on a ring at most, after the loss of many.
pub const RUN_LIMIT: usize = 8;

/// The names of the other instances, in the order of each ring.
#[derive(Clone, Debug)]
pub struct MonitorRings {
    own: InstanceName,
    rings: Vec<BTreeSet<(u64, InstanceName)>>,
}

impl MonitorRings {
    /// Rings on which only `own` stands.
    pub fn new(own: InstanceName) -> Self {
        Self {
            own,
            rings: (0..RING_COUNT).map(|_ring| BTreeSet::new()).collect(),
        }
    }

    /// Adds an instance.
    pub fn insert(&mut self, name: &InstanceName) {
        for (number, ring) in (0..).zip(&mut self.rings) {
            ring.insert((place(number, name), name.clone()));
        }
    }

    /// Removes an instance that is gone for good.
    pub fn remove(&mut self, name: &InstanceName) {
        for (number, ring) in (0..).zip(&mut self.rings) {
            ring.remove(&(place(number, name), name.clone()));
        }
    }

    /// The instances that the own one watches, while those for which `answers`
    /// holds are held to answer.
    pub fn watched(&self, answers: impl Fn(&InstanceName) -> bool) -> BTreeSet<InstanceName> {
        let mut watched = BTreeSet::new();
        for (number, ring) in (0..).zip(&self.rings) {
            if ring.len() <= FULL_MONITORING_LIMIT {
                watched.extend(ring.iter().map(|(_place, name)| name.clone()));
                continue;
            }
            let own = (place(number, &self.own), self.own.clone());
            let after = ring.range((Bound::Excluded(&own), Bound::Unbounded));
            let around = after.chain(ring.range(..&own));
            for (_place, name) in around.take(RUN_LIMIT) {
                watched.insert(name.clone());
                if answers(name) {
                    break;
                }
            }
        }
        watched
    }
}

/// Where `name` stands on the ring `number`.
fn place(number: u64, name: &InstanceName) -> u64 {
    stable_hash(&[&number.to_be_bytes(), name.as_str().as_bytes()])
}
