//! Index of references, unique values (claims) and top-up sums (credits) of
//! the entries in force. It is updated with each change, so the cost of a
//! check depends on the number of changes, not on the number of entries.

use std::collections::BTreeMap;

use hibiscus_types::BudgetName;
use hibiscus_types::TokenCount;
use serde::Deserialize;
use serde::Serialize;

use crate::entry::ConfigEntry;
use crate::entry::EntryClaim;
use crate::entry::EntryKey;

/// The index of a set of entries.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryIndex {
    references: BTreeMap<EntryKey, usize>,
    claims: BTreeMap<EntryClaim, EntryKey>,
    credits: BTreeMap<BudgetName, TokenCount>,
}

impl EntryIndex {
    /// Whether `entry` prevents the removal of the entry `key`. A top-up never
    /// does: its tokens are counted when it is accepted, and a removed budget
    /// spends nothing.
    pub fn refers(entry: &ConfigEntry, key: &EntryKey) -> bool {
        if matches!(entry, ConfigEntry::TopUp(_)) {
            return false;
        }
        entry
            .reference()
            .is_some_and(|(_field, target)| target == *key)
    }

    /// Number of entries that prevent the removal of the entry `key`.
    pub fn references(&self, key: &EntryKey) -> usize {
        self.references.get(key).copied().unwrap_or(0)
    }

    /// Key of the entry that holds the unique value `claim`.
    pub fn holder(&self, claim: &EntryClaim) -> Option<&EntryKey> {
        self.claims.get(claim)
    }

    /// Sum of the top-ups of `budget`, in tokens.
    pub fn credited(&self, budget: &BudgetName) -> TokenCount {
        self.credits.get(budget).copied().unwrap_or_default()
    }

    /// Adds an entry. All entries that the same publication replaces or removes
    /// must be removed first.
    pub fn add(&mut self, key: &EntryKey, entry: &ConfigEntry) {
        if let ConfigEntry::TopUp(top_up) = entry {
            let sum = self.credits.entry(top_up.budget.clone()).or_default();
            *sum = sum.saturating_add(top_up.tokens);
            return;
        }
        if let Some((_field, target)) = entry.reference() {
            *self.references.entry(target).or_default() += 1;
        }
        for claim in entry.claims() {
            self.claims.insert(claim, key.clone());
        }
    }

    /// Removes an entry that is replaced or removed, which top-ups never are.
    pub fn remove(&mut self, entry: &ConfigEntry) {
        if matches!(entry, ConfigEntry::TopUp(_)) {
            return;
        }
        for claim in entry.claims() {
            self.claims.remove(&claim);
        }
        let Some((_field, target)) = entry.reference() else {
            return;
        };
        let Some(count) = self.references.get_mut(&target) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            self.references.remove(&target);
        }
    }
}
