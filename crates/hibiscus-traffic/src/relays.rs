//! Selects the instances that read the operators' topic for the others.
//!
//! A version of the configuration may be large, while the store's throughput
//! and the links of small machines are limited. A few instances, the relays,
//! therefore wait for the operators' records, and the others wait for the
//! deltas that the relays publish ([`crate::config_delta`]). Instances may
//! briefly disagree on the order of the relays; an instance that receives no
//! delta in time reads the complete version itself.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use hibiscus_types::InstanceName;
use hibiscus_types::hash::stable_hash;

use crate::model::InstanceEntry;

/// Number of relays: enough that two may fail at once.
pub const RELAY_COUNT: usize = 3;
/// Hash input that makes the order of the relays differ from other rankings.
const SUBJECT: &[u8] = b"configuration";

/// Returns how many responsive instances rank before `own` as a relay.
/// Instances with the most capacity come first, and one of each data centre
/// comes before the second of any.
pub fn rank_of<'a>(
    own: &InstanceName,
    answering: impl Iterator<Item = &'a InstanceEntry>,
) -> usize {
    let mut ordered: Vec<&InstanceEntry> = answering.collect();
    ordered.sort_by_cached_key(|entry| {
        let name = entry.name.as_str().as_bytes();
        (Reverse(entry.capacity), stable_hash(&[SUBJECT, name]))
    });
    let mut seen = BTreeSet::new();
    let (first, others): (Vec<_>, Vec<_>) = ordered
        .into_iter()
        .partition(|entry| seen.insert(&entry.data_centre));
    let mut ordered = first.into_iter().chain(others);
    ordered
        .position(|entry| entry.name == *own)
        .unwrap_or_default()
}
