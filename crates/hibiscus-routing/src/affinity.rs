//! What one process believes of the servers' prefix caches.
//!
//! Servers publish late, and some events are lost. A gap in the sequence
//! numbers of a server's events means that unknown prefixes may have been
//! evicted, so the belief in all that is known of it shrinks.

use std::collections::BTreeMap;

/// Belief after the server said that it holds the prefix.
const BELIEF_SEEN: f64 = 1.0;
/// Belief after this process sent a request with the prefix there.
const BELIEF_SENT: f64 = 0.8;
/// Factor of all beliefs for each lost event.
const GAP_FACTOR: f64 = 0.9;
/// Belief below which a prefix is forgotten.
const BELIEF_LEAST: f64 = 0.1;
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
    next: u64,
    beliefs: BTreeMap<u64, f64>,
}

impl PrefixEstimate {
    /// Takes an event over. One that was taken before changes nothing.
    pub fn take(&mut self, event: &CacheEvent) {
        if event.sequence < self.next {
            return;
        }
        let lost = event.sequence - self.next;
        if lost > 0 {
            self.shrink(lost);
        }
        self.next = event.sequence + 1;
        match event.change {
            CacheChange::Stored => self.insert(event.prefix, BELIEF_SEEN),
            CacheChange::Evicted => {
                self.beliefs.remove(&event.prefix);
            }
        }
    }

    /// This process sent a request with `prefix` there.
    pub fn note_sent(&mut self, prefix: u64) {
        let belief = self.of(prefix).max(BELIEF_SENT);
        self.insert(prefix, belief);
    }

    /// Belief that the server holds `prefix`, 0 to 1.
    pub fn of(&self, prefix: u64) -> f64 {
        self.beliefs.get(&prefix).copied().unwrap_or(0.0)
    }

    fn shrink(&mut self, lost: u64) {
        let exponent = i32::try_from(lost).unwrap_or(i32::MAX);
        let factor = GAP_FACTOR.powi(exponent);
        self.beliefs.retain(|_prefix, belief| {
            *belief *= factor;
            *belief >= BELIEF_LEAST
        });
    }

    fn insert(&mut self, prefix: u64, belief: f64) {
        if self.beliefs.len() >= PREFIX_LIMIT && !self.beliefs.contains_key(&prefix) {
            self.beliefs.pop_first();
        }
        self.beliefs.insert(prefix, belief);
    }
}
