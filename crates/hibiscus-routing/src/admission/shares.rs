//! Counts what was asked for and what was served, by kind, team or session.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::cost::fit::DecayingMean;

/// Half-life of the counts.
const HALF_LIFE: Duration = Duration::from_secs(10);
/// Number of requests served at the average rate that an unknown key counts as, so that
/// its first request is not taken for one that was never served.
const PRIOR_WEIGHT: f64 = 2.0;
/// Requests of a team in the window from which it counts as active.
const MIN_ACTIVE: f64 = 1.0;

/// Requests that were offered and those that were served; old ones lose weight.
#[derive(Clone, Copy, Debug)]
pub struct ServedShares(DecayingMean);

impl Default for ServedShares {
    fn default() -> Self {
        Self(DecayingMean::new(HALF_LIFE))
    }
}

impl ServedShares {
    /// Counts `amount` requests, or milliseconds of work, that were served or not.
    pub fn count(&mut self, amount: f64, served: bool, now: Instant) {
        let value = if served { 1.0 } else { 0.0 };
        self.0.add(value, amount, now);
    }

    /// Recent amount that was offered.
    pub fn offered(&self, now: Instant) -> f64 {
        self.0.weight(now)
    }

    /// Recent amount that was served.
    pub fn served(&self, now: Instant) -> f64 {
        self.0.weight(now) * self.0.mean(0.0, f64::MIN_POSITIVE, now)
    }

    /// Part of the offered amount that was served, with a prior.
    pub fn rate(&self, prior: f64, now: Instant) -> f64 {
        self.0.mean(prior, PRIOR_WEIGHT, now)
    }

    /// Amount served per second.
    pub fn served_per_second(&self, now: Instant) -> f64 {
        self.served(now) * std::f64::consts::LN_2 / HALF_LIFE.as_secs_f64()
    }
}

#[derive(Clone, Copy, Debug)]
struct KeyShares {
    urgency: u8,
    shares: ServedShares,
}

/// Counts by key, for a limited number of keys.
#[derive(Clone, Debug)]
pub struct ShareTable {
    limit: usize,
    keys: HashMap<u64, KeyShares>,
}

impl ShareTable {
    /// A table of at most `limit` keys.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            keys: HashMap::new(),
        }
    }

    /// Counts for `key`. The key with the fewest recent requests gives way when there
    /// are too many.
    pub fn count(&mut self, key: u64, urgency: u8, amount: f64, served: bool, now: Instant) {
        if !self.keys.contains_key(&key) && self.keys.len() >= self.limit {
            self.drop_unused(now);
        }
        let entry = self.keys.entry(key).or_insert(KeyShares {
            urgency,
            shares: ServedShares::default(),
        });
        entry.urgency = urgency;
        entry.shares.count(amount, served, now);
    }

    /// Part of the requests of `key` that were served; that of an unknown key is the
    /// average.
    pub fn rate(&self, key: u64, average: f64, now: Instant) -> f64 {
        let known = self.keys.get(&key);
        known.map_or(average, |known| known.shares.rate(average, now))
    }

    /// The best rate of the keys that are less urgent than `urgency`.
    pub fn best_rate_above(&self, urgency: u8, average: f64, now: Instant) -> Option<f64> {
        let known = self.keys.values();
        let less_urgent = known.filter(|known| known.urgency > urgency);
        let active = less_urgent.filter(|known| known.shares.offered(now) >= MIN_ACTIVE);
        active
            .map(|known| known.shares.rate(average, now))
            .max_by(f64::total_cmp)
    }

    /// Whether more than `slack` times its fair share of what was served went to `key`.
    /// The fair share of one of n active keys is 1/n.
    pub fn exceeds_fair_share(&self, key: u64, slack: f64, now: Instant) -> bool {
        let Some(own) = self.keys.get(&key) else {
            return false;
        };
        let active = self.keys.values();
        let active = active.filter(|known| known.shares.offered(now) >= MIN_ACTIVE);
        let (count, served) = active.fold((0_u32, 0.0), |(count, served), known| {
            (count + 1, served + known.shares.served(now))
        });
        count > 1 && own.shares.served(now) > slack * served / f64::from(count)
    }

    /// Number of keys.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether nothing was counted.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Drops the half of the keys with the fewest recent requests, so that this happens
    /// rarely.
    fn drop_unused(&mut self, now: Instant) {
        let mut offered: Vec<f64> = self
            .keys
            .values()
            .map(|known| known.shares.offered(now))
            .collect();
        offered.sort_by(f64::total_cmp);
        let median = offered.get(offered.len() / 2).copied().unwrap_or(0.0);
        self.keys
            .retain(|_key, known| known.shares.offered(now) > median);
    }
}
