//! What one process believes of the servers' prefix caches.
//!
//! Servers publish late, and some events are lost. A gap in the sequence
//! numbers of a server's events means that unknown prefixes may have been
//! evicted, so the belief in all that is known of it shrinks.

use std::collections::BTreeMap;

/// Belief after the server said that it holds the prefix.
const STORED_PROBABILITY: f64 = 1.0;
/// Belief after this process sent a request with the prefix there.
const SENT_PROBABILITY: f64 = 0.8;
/// Factor of all beliefs for each lost event.
const LOST_EVENT_FACTOR: f64 = 0.9;
/// Belief below which a prefix is forgotten.
const MIN_PROBABILITY: f64 = 0.1;
/// Prefixes known of one server at most.
const PREFIX_LIMIT: usize = 4_096;

/// What a server published of its cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheChange {
    /// The prefix is held.
    Stored,
    /// The prefix was evicted.
    Evicted,
}

/// One cache event of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CacheEvent {
    /// Grows by one an event.
    pub sequence: u64,
    /// Hash of the prefix.
    pub prefix: u64,
    /// What happened to it.
    pub change: CacheChange,
}

/// Beliefs about one server's cache.
#[derive(Clone, Debug, Default)]
pub struct PrefixEstimate {
    next_sequence: u64,
    probabilities: BTreeMap<u64, f64>,
}

impl PrefixEstimate {
    /// Takes an event over. One that was taken before changes nothing.
    pub fn apply(&mut self, event: &CacheEvent) {
        if event.sequence < self.next_sequence {
            return;
        }
        let lost = event.sequence - self.next_sequence;
        if lost > 0 {
            self.decay(lost);
        }
        self.next_sequence = event.sequence + 1;
        match event.change {
            CacheChange::Stored => self.insert(event.prefix, STORED_PROBABILITY),
            CacheChange::Evicted => {
                self.probabilities.remove(&event.prefix);
            }
        }
    }

    /// This process sent a request with `prefix` there.
    pub fn note_sent(&mut self, prefix: u64) {
        let probability = self.probability(prefix).max(SENT_PROBABILITY);
        self.insert(prefix, probability);
    }

    /// Belief that the server holds `prefix`, 0 to 1.
    pub fn probability(&self, prefix: u64) -> f64 {
        self.probabilities.get(&prefix).copied().unwrap_or(0.0)
    }

    fn decay(&mut self, lost: u64) {
        let exponent = i32::try_from(lost).unwrap_or(i32::MAX);
        let factor = LOST_EVENT_FACTOR.powi(exponent);
        self.probabilities.retain(|_prefix, probability| {
            *probability *= factor;
            *probability >= MIN_PROBABILITY
        });
    }

    fn insert(&mut self, prefix: u64, probability: f64) {
        if self.probabilities.len() >= PREFIX_LIMIT && !self.probabilities.contains_key(&prefix) {
            self.probabilities.pop_first();
        }
        self.probabilities.insert(prefix, probability);
    }
}
