//! Selects the instances that an instance exchanges heartbeats with.
//!
//! In a small fleet, each instance exchanges heartbeats with all others. In a
//! larger one the instances are placed on several rings, each with its own
//! order, and an instance contacts its successor on each ring. Every instance
//! therefore contacts as many others as contact it, whatever the size of the
//! fleet, and an update reaches all instances in about log(fleet size) steps.
//! Processes with different instance lists have different rings; updates still
//! spread through the contacts that they have in common.

use hibiscus_types::InstanceName;
use hibiscus_types::hash::stable_hash;

use crate::view::FleetInstance;

/// Number of other instances up to which an instance exchanges heartbeats with
/// all of them.
pub const FULL_MESH_LIMIT: usize = 8;
/// Number of rings among the instances of one data centre.
const NEAR_RINGS: u64 = 2;
/// Number of rings among all instances.
const WIDE_RINGS: u64 = 4;

/// Returns the contacts of `own` among `instances`, without duplicates.
pub fn choose(own: &InstanceName, instances: &[FleetInstance]) -> Vec<InstanceName> {
    let others = instances.iter().filter(|instance| instance.name != *own);
    if others.clone().count() <= FULL_MESH_LIMIT {
        return others.map(|instance| instance.name.clone()).collect();
    }
    let Some(own_entry) = instances.iter().find(|instance| instance.name == *own) else {
        // An instance that is not listed yet contacts the first few others.
        let first = others.take(FULL_MESH_LIMIT);
        return first.map(|instance| instance.name.clone()).collect();
    };
    let mut chosen: Vec<InstanceName> = Vec::new();
    for ring in 0..NEAR_RINGS + WIDE_RINGS {
        let near = ring < NEAR_RINGS;
        let members = instances
            .iter()
            .filter(|instance| !near || instance.data_centre == own_entry.data_centre);
        let Some(next) = successor(ring, own, members) else {
            continue;
        };
        if !chosen.contains(next) {
            chosen.push(next.clone());
        }
    }
    chosen
}

/// Returns the instance after `own` on the ring with number `ring`.
fn successor<'a>(
    ring: u64,
    own: &InstanceName,
    members: impl Iterator<Item = &'a FleetInstance>,
) -> Option<&'a InstanceName> {
    let position =
        |name: &InstanceName| stable_hash(&[&ring.to_be_bytes(), name.as_str().as_bytes()]);
    let start = position(own);
    let others = members.filter(|member| member.name != *own);
    let next =
        others.min_by_key(|member| (position(&member.name).wrapping_sub(start), &member.name))?;
    Some(&next.name)
}
