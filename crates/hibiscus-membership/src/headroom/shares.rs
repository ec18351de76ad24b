//! Weights of instances in the lists that callers get.

use crate::headroom::Headroom;

/// How many times its usual share an instance may get because others have less headroom.
/// Without this bound the callers of full instances would fill the next ones.
const SHIFT_LIMIT: u64 = 2;
/// Instances that are listed in place of one that is omitted for its headroom. Callers
/// pick an address at random, so a longer list takes load from each instance in it: a
/// heavy team behind one address has one list, in which small instances get as much as
/// large ones.
const SUBSTITUTES: usize = 2;
/// Number of headrooms, in percent.
const HEADROOM_COUNT: usize = 101;

/// An instance that callers may be named.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListedInstance {
    /// Capacity of the instance.
    pub capacity: u32,
    /// Its headroom, as far as it is known.
    pub headroom: Headroom,
}

/// Weights by which instances are sampled into lists.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListWeights {
    /// Least percentage that an instance counts with.
    floor: u64,
    largest_capacity: u64,
    /// Largest weight, in hundredths of the capacity's unit.
    largest_weight: u64,
}

impl ListWeights {
    /// Weights of `instances`. The least percentage is the one that leaves at least one
    /// part in [`SHIFT_LIMIT`] of all capacity listed. So if all are full, all count the
    /// same as if none was.
    pub fn new(instances: impl Iterator<Item = ListedInstance>) -> Self {
        let mut capacities = [0_u64; HEADROOM_COUNT];
        let mut largest = [0_u64; HEADROOM_COUNT];
        for instance in instances {
            let index = usize::from(instance.headroom.percent()).min(HEADROOM_COUNT - 1);
            let capacity = u64::from(instance.capacity);
            capacities[index] += capacity;
            largest[index] = largest[index].max(capacity);
        }
        let total: u64 = capacities.iter().sum();
        let by_percent = || (0_u64..).zip(capacities);
        let listed = |floor: u64| -> u64 {
            by_percent()
                .map(|(percent, capacity)| capacity * percent.max(floor))
                .sum()
        };
        let required = total * 100 / SHIFT_LIMIT;
        let floor = (0..100).find(|floor| listed(*floor) >= required);
        let floor = floor.unwrap_or(100);
        let by_largest = (0_u64..).zip(largest);
        let largest_weight = by_largest.map(|(percent, capacity)| capacity * percent.max(floor));
        Self {
            floor,
            largest_capacity: largest.iter().copied().max().unwrap_or_default().max(1),
            largest_weight: largest_weight.max().unwrap_or_default().max(1),
        }
    }

    /// Whether the instance is listed for the caller for which the number `drawn` was
    /// drawn. Fewer callers get an instance with less headroom, and the others are the
    /// same as before.
    pub fn lists(&self, instance: ListedInstance, drawn: u64) -> bool {
        let place = drawn % self.largest_capacity;
        let weight = u64::from(instance.capacity) * self.percent(instance);
        u128::from(place) * u128::from(self.largest_weight)
            < u128::from(weight) * u128::from(self.largest_capacity)
    }

    /// Whether the instance is listed for that caller if no headroom is short.
    fn lists_usually(&self, instance: ListedInstance, drawn: u64) -> bool {
        drawn % self.largest_capacity < u64::from(instance.capacity)
    }

    /// Percentage that the instance counts with.
    fn percent(&self, instance: ListedInstance) -> u64 {
        u64::from(instance.headroom.percent()).max(self.floor)
    }

    /// Whether most of the capacity is short of headroom, so that callers which leave a
    /// full instance find no room elsewhere.
    pub fn is_fleet_full(&self) -> bool {
        self.floor > 0
    }
}

/// Samples `entries` for the caller for which `draw` draws a number for each entry. For
/// each one that is omitted for its headroom, [`SUBSTITUTES`] others with whole headroom
/// are added. If fewer than `least` are selected then, others are added: full ones last,
/// and otherwise in the order of their numbers divided by their headroom.
pub fn sample<T>(
    entries: Vec<(T, ListedInstance)>,
    least: usize,
    draw: impl Fn(&T) -> u64,
) -> Vec<T> {
    let weights = ListWeights::new(entries.iter().map(|(_entry, instance)| *instance));
    let mut listed = Vec::with_capacity(entries.len());
    let mut omitted = Vec::new();
    let mut substitutes = 0;
    for (entry, instance) in entries {
        let drawn = draw(&entry);
        if weights.lists(instance, drawn) {
            listed.push(entry);
            continue;
        }
        let is_short = instance.headroom < Headroom::WHOLE;
        if is_short && weights.lists_usually(instance, drawn) {
            substitutes += SUBSTITUTES;
        }
        let percent = weights.percent(instance);
        let order = u128::from(drawn) * 100 / u128::from(percent.max(1));
        omitted.push((is_short, (percent == 0, order), entry));
    }
    omitted.sort_by_key(|(_is_short, order, _entry)| *order);
    for (is_short, _order, entry) in omitted {
        if listed.len() < least {
            listed.push(entry);
            substitutes = substitutes.saturating_sub(1);
        } else if substitutes > 0 && !is_short {
            listed.push(entry);
            substitutes -= 1;
        }
    }
    listed
}
