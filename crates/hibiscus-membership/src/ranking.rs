//! Rendezvous hashing of instances: each key has its own ranking of them, and a
//! change of membership moves only the keys of the changed instance.

use std::collections::BTreeSet;

use hibiscus_types::hash::stable_hash;

use crate::view::FleetInstance;

/// Ranks `instances` for `key`, best first.
pub fn rank<'a>(key: &[u8], instances: &'a [FleetInstance]) -> Vec<&'a FleetInstance> {
    let mut ranked: Vec<&FleetInstance> = instances.iter().collect();
    ranked.sort_by_key(|instance| {
        let score = stable_hash(&[key, instance.name.as_str().as_bytes()]);
        (std::cmp::Reverse(score), &instance.name)
    });
    ranked
}

/// Returns the best `count` instances for `key`, from distinct data centres
/// while there are any left.
pub fn spread<'a>(
    key: &[u8],
    instances: &'a [FleetInstance],
    count: usize,
) -> Vec<&'a FleetInstance> {
    let ranked = rank(key, instances);
    let mut used = BTreeSet::new();
    let mut chosen = Vec::with_capacity(count);
    let mut rest = Vec::new();
    for instance in ranked {
        if chosen.len() < count && used.insert(&instance.data_centre) {
            chosen.push(instance);
            continue;
        }
        rest.push(instance);
    }
    for instance in rest {
        if chosen.len() >= count {
            break;
        }
        chosen.push(instance);
    }
    chosen
}
