//! Which instances an instance exchanges heartbeats with.
//!
//! A small fleet exchanges with all. In a larger one the instances stand on
//! several rings, each in an order of its own, and an instance contacts its
//! successor on each ring. So every instance has as many contacts as it is a
//! contact of, whatever the size of the fleet, and news reach all in about
//! as many steps as the logarithm of that size. Two processes that see
//! different lists have different rings, and news still pass where their
//! contacts meet.

use hibiscus_types::InstanceName;
use hibiscus_types::hash::stable_hash;

use crate::view::FleetInstance;

/// Other instances up to which an instance exchanges with all of them.
pub const FULL_MESH_LIMIT: usize = 8;
/// Rings among the instances of one data centre.
const NEAR_RINGS: u64 = 2;
/// Rings among all instances.
const WIDE_RINGS: u64 = 4;

/// The contacts of `own` among `instances`, each once.
pub fn choose(own: &InstanceName, instances: &[FleetInstance]) -> Vec<InstanceName> {
    let others = instances.iter().filter(|instance| instance.name != *own);
    if others.clone().count() <= FULL_MESH_LIMIT {
        return others.map(|instance| instance.name.clone()).collect();
    }
    let Some(place) = instances.iter().find(|instance| instance.name == *own) else {
        // An instance that is not listed yet introduces itself to a few.
        let first = others.take(FULL_MESH_LIMIT);
        return first.map(|instance| instance.name.clone()).collect();
    };
    let mut chosen: Vec<InstanceName> = Vec::new();
    for ring in 0..NEAR_RINGS + WIDE_RINGS {
        let near = ring < NEAR_RINGS;
        let members = instances
            .iter()
            .filter(|instance| !near || instance.data_centre == place.data_centre);
        let Some(next) = successor(ring, own, members) else {
            continue;
        };
        if !chosen.contains(next) {
            chosen.push(next.clone());
        }
    }
    chosen
}

/// The instance after `own` on the ring number `ring`.
fn successor<'a>(
    ring: u64,
    own: &InstanceName,
    members: impl Iterator<Item = &'a FleetInstance>,
) -> Option<&'a InstanceName> {
    let place = |name: &InstanceName| stable_hash(&[&ring.to_be_bytes(), name.as_str().as_bytes()]);
    let start = place(own);
    let others = members.filter(|member| member.name != *own);
    let next =
        others.min_by_key(|member| (place(&member.name).wrapping_sub(start), &member.name))?;
    Some(&next.name)
}
