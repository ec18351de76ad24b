//! A map whose copies share what they have in common.
//!
//! Readers keep the version of the configuration that they took while the
//! next one is made from a copy, at 55,000 changes a day over 130,000
//! budgets. A copy shares all buckets, and a change copies one of them, so
//! both cost the same whether the map holds a thousand entries or all.

use std::borrow::Borrow;
use std::collections::BTreeMap;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::sync::Arc;

/// Buckets of a map.
const BUCKETS: usize = 256;

/// A map from `K` to `V` with cheap copies. Its order is that of the buckets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SharedMap<K, V> {
    buckets: Vec<Arc<BTreeMap<K, V>>>,
    len: usize,
}

impl<K, V> Default for SharedMap<K, V> {
    fn default() -> Self {
        Self {
            buckets: Vec::new(),
            len: 0,
        }
    }
}

impl<K: Clone + Hash + Ord, V: Clone> SharedMap<K, V> {
    /// Number of entries.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// The value of `key`.
    pub fn get<Q>(&self, key: &Q) -> Option<&V>
    where
        K: Borrow<Q>,
        Q: Hash + Ord + ?Sized,
    {
        self.buckets.get(bucket_of(key))?.get(key)
    }

    /// The entry of `key`, with the key as it is held.
    pub fn get_key_value<Q>(&self, key: &Q) -> Option<(&K, &V)>
    where
        K: Borrow<Q>,
        Q: Hash + Ord + ?Sized,
    {
        self.buckets.get(bucket_of(key))?.get_key_value(key)
    }

    /// Whether there is a value of `key`.
    pub fn contains_key<Q>(&self, key: &Q) -> bool
    where
        K: Borrow<Q>,
        Q: Hash + Ord + ?Sized,
    {
        self.get(key).is_some()
    }

    /// Sets the value of `key` and returns the one before.
    pub fn insert(&mut self, key: K, value: V) -> Option<V> {
        if self.buckets.is_empty() {
            self.buckets.resize_with(BUCKETS, Arc::default);
        }
        let bucket = &mut self.buckets[bucket_of(&key)];
        let before = Arc::make_mut(bucket).insert(key, value);
        self.len += usize::from(before.is_none());
        before
    }

    /// Removes the value of `key`.
    pub fn remove<Q>(&mut self, key: &Q) -> Option<V>
    where
        K: Borrow<Q>,
        Q: Hash + Ord + ?Sized,
    {
        let bucket = self.buckets.get_mut(bucket_of(key))?;
        if !bucket.contains_key(key) {
            return None;
        }
        let before = Arc::make_mut(bucket).remove(key);
        self.len -= usize::from(before.is_some());
        before
    }

    /// All entries.
    pub fn iter(&self) -> impl Iterator<Item = (&K, &V)> {
        self.buckets.iter().flat_map(|bucket| bucket.iter())
    }

    /// All values.
    pub fn values(&self) -> impl Iterator<Item = &V> {
        self.iter().map(|(_key, value)| value)
    }
}

/// The bucket of `key`.
fn bucket_of<Q: Hash + ?Sized>(key: &Q) -> usize {
    let mut hasher = DefaultHasher::new();
    key.hash(&mut hasher);
    usize::try_from(hasher.finish() % BUCKETS as u64).unwrap_or(0)
}
