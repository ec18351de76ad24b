//! The fold that accepts or refuses publications.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::entry::ConfigEntry;
use crate::entry::EntryKey;
use crate::record::ConfigRecord;

/// One entry in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryState {
    /// Its content.
    pub entry: ConfigEntry,
    /// Offset of the publication that set it.
    pub offset: u64,
    /// Who asked for it.
    pub asked_by: String,
}

/// An entry on which a publication was refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryConflict {
    /// The entry.
    pub key: EntryKey,
    /// The version in force, `None` when the entry is gone.
    pub offset: Option<u64>,
    /// Who asked for the version in force.
    pub asked_by: Option<String>,
}

/// Whether a publication took effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PublicationVerdict {
    /// It took effect at this offset.
    Accepted(u64),
    /// Another publication changed these entries before.
    Conflict(Vec<EntryConflict>),
}

/// The configuration at one offset.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigFold {
    next: u64,
    version: u64,
    entries: BTreeMap<EntryKey, EntryState>,
    publications: BTreeMap<u128, PublicationVerdict>,
}

impl ConfigFold {
    /// The offset of the next record to apply.
    pub fn next_offset(&self) -> u64 {
        self.next
    }

    /// One past the offset of the last accepted publication, 0 before it.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The entries in force.
    pub fn entries(&self) -> &BTreeMap<EntryKey, EntryState> {
        &self.entries
    }

    /// The verdict on `publication`, once its record was applied.
    pub fn verdict(&self, publication: u128) -> Option<&PublicationVerdict> {
        self.publications.get(&publication)
    }

    /// Applies the record at `offset`. A record below [`Self::next_offset`]
    /// or of a publication that was decided before changes nothing.
    pub fn apply(&mut self, offset: u64, record: &ConfigRecord) {
        if offset < self.next {
            return;
        }
        self.next = offset + 1;
        if self.publications.contains_key(&record.publication) {
            return;
        }
        let conflicts = self.conflicts(record);
        if !conflicts.is_empty() {
            let verdict = PublicationVerdict::Conflict(conflicts);
            self.publications.insert(record.publication, verdict);
            return;
        }
        for change in &record.changes {
            let Some(entry) = &change.entry else {
                self.entries.remove(&change.key);
                continue;
            };
            let state = EntryState {
                entry: entry.clone(),
                offset,
                asked_by: change.asked_by.clone(),
            };
            self.entries.insert(change.key.clone(), state);
        }
        self.version = offset + 1;
        let verdict = PublicationVerdict::Accepted(offset);
        self.publications.insert(record.publication, verdict);
    }

    /// Counts an undecodable record, so that offsets stay aligned.
    pub fn skip(&mut self, offset: u64) {
        self.next = self.next.max(offset + 1);
    }

    /// Changes of `record` that do not replace the version in force.
    fn conflicts(&self, record: &ConfigRecord) -> Vec<EntryConflict> {
        let mut conflicts = Vec::new();
        for change in &record.changes {
            let state = self.entries.get(&change.key);
            let offset = state.map(|state| state.offset);
            if offset == change.replaces {
                continue;
            }
            conflicts.push(EntryConflict {
                key: change.key.clone(),
                offset,
                asked_by: state.map(|state| state.asked_by.clone()),
            });
        }
        conflicts
    }
}
