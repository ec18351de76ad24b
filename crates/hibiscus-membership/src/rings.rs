//! Selects which instances monitor which others in a fleet of any size.
//!
//! In a small fleet, every instance monitors all others. In a larger one the
//! names are placed on several rings, each with its own order. On each ring an
//! instance monitors its successors up to and including the first that it
//! believes responsive. A responsive instance therefore has about one monitor
//! on each ring, also when its predecessor is unresponsive.

use std::collections::BTreeSet;
use std::ops::Bound;

use hibiscus_types::InstanceName;
use hibiscus_types::hash::stable_hash;

/// Number of other instances up to which an instance monitors all of them.
pub const FULL_MONITORING_LIMIT: usize = 8;
/// Number of rings, and so of monitors of an instance: enough that a single
/// wrong monitor is outvoted.
pub const RING_COUNT: u64 = 4;
/// Most instances that an instance monitors on one ring, after many have
/// failed.
pub const SUCCESSOR_LIMIT: usize = 8;

/// The names of the other instances, in the order of each ring.
#[derive(Clone, Debug)]
pub struct MonitorRings {
    own: InstanceName,
    rings: Vec<BTreeSet<(u64, InstanceName)>>,
}

impl MonitorRings {
    /// Creates the rings of the instance `own`, without other instances.
    pub fn new(own: InstanceName) -> Self {
        Self {
            own,
            rings: (0..RING_COUNT).map(|_ring| BTreeSet::new()).collect(),
        }
    }

    /// Adds an instance.
    pub fn insert(&mut self, name: &InstanceName) {
        for (number, ring) in (0..).zip(&mut self.rings) {
            ring.insert((position(number, name), name.clone()));
        }
    }

    /// Removes an instance that has left the fleet.
    pub fn remove(&mut self, name: &InstanceName) {
        for (number, ring) in (0..).zip(&mut self.rings) {
            ring.remove(&(position(number, name), name.clone()));
        }
    }

    /// Returns the instances that this instance monitors; `is_responsive` says
    /// which instances it believes responsive.
    pub fn monitored(
        &self,
        is_responsive: impl Fn(&InstanceName) -> bool,
    ) -> BTreeSet<InstanceName> {
        let mut monitored = BTreeSet::new();
        for (number, ring) in (0..).zip(&self.rings) {
            if ring.len() <= FULL_MONITORING_LIMIT {
                monitored.extend(ring.iter().map(|(_position, name)| name.clone()));
                continue;
            }
            let own = (position(number, &self.own), self.own.clone());
            let after = ring.range((Bound::Excluded(&own), Bound::Unbounded));
            let successors = after.chain(ring.range(..&own));
            for (_position, name) in successors.take(SUCCESSOR_LIMIT) {
                monitored.insert(name.clone());
                if is_responsive(name) {
                    break;
                }
            }
        }
        monitored
    }
}

/// Returns the position of `name` on the ring with number `number`.
fn position(number: u64, name: &InstanceName) -> u64 {
    stable_hash(&[&number.to_be_bytes(), name.as_str().as_bytes()])
}
