//! Which instances read the operators' topic as records come.
//!
//! A version of the configuration may be large, and the store's rate and the
//! links of small machines are not. So a few instances wait for records of the
//! operators, and the others for the changes that these publish
//! ([`crate::config_delta`]). The order may differ between instances for moments:
//! each instance reads a version itself when no change comes in time.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use hibiscus_types::InstanceName;
use hibiscus_types::hash::stable_hash;

use crate::model::InstanceEntry;

/// Instances that wait for records of the operators: enough that two may fail
/// at once.
pub const RELAY_COUNT: usize = 3;
/// What the instances are ordered for.
const SUBJECT: &[u8] = b"configuration";

/// How many of the instances that answer come before `own` as a relay: those
/// with the most capacity come first, one of each data centre before the
/// second of any.
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
