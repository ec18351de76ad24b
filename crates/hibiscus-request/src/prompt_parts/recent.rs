//! Sets that forget their oldest keys.

use std::collections::HashSet;
use std::collections::VecDeque;
use std::hash::Hash;

/// A set of keys that forgets the oldest beyond a limit.
#[derive(Clone, Debug)]
pub struct RecentKeys<K> {
    keys: HashSet<K>,
    order: VecDeque<K>,
    limit: usize,
}

impl<K: Copy + Eq + Hash> RecentKeys<K> {
    /// An empty set of at most `limit` keys.
    pub fn new(limit: usize) -> Self {
        Self {
            keys: HashSet::new(),
            order: VecDeque::new(),
            limit,
        }
    }

    /// Whether `key` is in the set.
    pub fn contains(&self, key: &K) -> bool {
        self.keys.contains(key)
    }

    /// Inserts `key`; returns whether it is new.
    pub fn insert(&mut self, key: K) -> bool {
        if !self.keys.insert(key) {
            return false;
        }
        self.order.push_back(key);
        if self.order.len() > self.limit
            && let Some(oldest) = self.order.pop_front()
        {
            self.keys.remove(&oldest);
        }
        true
    }
}

/// A set that keeps the keys inserted most recently. A key that is inserted again
/// stays.
#[derive(Clone, Debug)]
pub struct UsedKeys<K> {
    newer: HashSet<K>,
    older: HashSet<K>,
    half: usize,
}

impl<K: Copy + Eq + Hash> UsedKeys<K> {
    /// An empty set of at most `limit` keys.
    pub fn new(limit: usize) -> Self {
        Self {
            newer: HashSet::new(),
            older: HashSet::new(),
            half: limit / 2,
        }
    }

    /// Whether `key` is in the set.
    pub fn contains(&self, key: &K) -> bool {
        self.newer.contains(key) || self.older.contains(key)
    }

    /// Inserts `key`.
    pub fn insert(&mut self, key: K) {
        if self.newer.len() >= self.half && !self.newer.contains(&key) {
            self.older = std::mem::take(&mut self.newer);
        }
        self.newer.insert(key);
    }
}
