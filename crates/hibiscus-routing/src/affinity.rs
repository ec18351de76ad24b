//! Estimates which prompt prefixes a server's cache holds.
//!
//! Servers publish cache events late, and some events are lost. A gap in the
//! sequence numbers of a server's events means that unknown prefixes may have
//! been evicted, so the probabilities of all its prefixes decay.

use std::collections::BTreeMap;

/// Probability after the server published that it stored the prefix.
const STORED_PROBABILITY: f64 = 1.0;
/// Probability after this process sent the server a request with the prefix.
const SENT_PROBABILITY: f64 = 0.8;
/// Factor applied to all probabilities for each lost event.
const LOST_EVENT_FACTOR: f64 = 0.9;
/// Probability below which a prefix is forgotten.
const MIN_PROBABILITY: f64 = 0.1;
/// Maximum number of prefixes per server.
const PREFIX_LIMIT: usize = 4_096;

/// Change to a server's prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheChange {
    /// The server stored the prefix.
    Stored,
    /// The server evicted the prefix.
    Evicted,
}

/// Cache event that a server published.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CacheEvent {
    /// Sequence number, which grows by one with each event of the server.
    pub sequence: u64,
    /// Hash of the prefix.
    pub prefix: u64,
    /// What happened to the prefix.
    pub change: CacheChange,
}

/// Estimated contents of one server's prefix cache.
#[derive(Clone, Debug, Default)]
pub struct PrefixEstimate {
    next_sequence: u64,
    probabilities: BTreeMap<u64, f64>,
}

impl PrefixEstimate {
    /// Applies a cache event. An event that was applied before changes nothing.
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

    /// Records that this process sent the server a request with `prefix`.
    pub fn note_sent(&mut self, prefix: u64) {
        let probability = self.probability(prefix).max(SENT_PROBABILITY);
        self.insert(prefix, probability);
    }

    /// Probability that the server holds `prefix`, from 0 to 1.
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
