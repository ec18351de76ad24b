//! Applies the records of the configuration stream in order and decides
//! whether each publication is accepted or refused.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use hibiscus_types::BudgetName;
use hibiscus_types::TeamName;
use hibiscus_types::codec;
use hibiscus_types::codec::CodecError;
use serde::Deserialize;
use serde::Serialize;

use crate::check;
use crate::check::ChangeSet;
use crate::check::EntryFault;
use crate::check::EntrySource;
use crate::entry::ConfigEntry;
use crate::entry::EntryKey;
use crate::index::EntryIndex;
use crate::record::ConfigRecord;

/// Number of publications whose verdict is kept. A repeated record is
/// appended within seconds of the first, and this many publications take over
/// an hour at 55,000 changes a day.
pub const VERDICT_LIMIT: usize = 4_096;

/// An error of applying an encoded record.
#[derive(Debug, thiserror::Error)]
pub enum FoldError {
    /// Records between the last applied record and this one are missing.
    #[error("failed to apply record {offset}: record {next} must be applied first")]
    Gap {
        /// Offset of the record.
        offset: u64,
        /// Offset of the next record to apply.
        next: u64,
    },
    /// A newer release wrote the record, so this release cannot decide on it.
    #[error("failed to apply record {offset}: it needs a newer release")]
    NewerFormat {
        /// Offset of the record.
        offset: u64,
        /// The error of the decoder, with the format version.
        source: CodecError,
    },
}

/// Result of applying an encoded record.
pub type Result<T> = std::result::Result<T, FoldError>;

/// An entry in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryState {
    /// Content of the entry.
    pub entry: ConfigEntry,
    /// Offset of the publication that set the entry.
    pub offset: u64,
    /// Name of the person who requested the entry.
    pub asked_by: String,
}

/// A conflict that caused a publication to be refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryConflict {
    /// Key of the entry in conflict.
    pub key: EntryKey,
    /// Offset of the publication that set the version in force, `None` if the
    /// entry does not exist.
    pub offset: Option<u64>,
    /// Name of the person who requested the version in force.
    pub asked_by: Option<String>,
}

/// The decision on a publication.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PublicationVerdict {
    /// The publication took effect at this offset.
    Accepted(u64),
    /// The publication is refused because these entries have other versions in
    /// force than those that it replaces.
    Conflict(Vec<EntryConflict>),
    /// The publication is refused because its changes fail these checks.
    Faulty(Vec<EntryFault>),
}

/// The configuration at an offset of the stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConfigFold {
    next: u64,
    version: u64,
    entries: BTreeMap<EntryKey, EntryState>,
    former_teams: BTreeMap<BudgetName, TeamName>,
    verdicts: VecDeque<(u128, PublicationVerdict)>,
    index: EntryIndex,
}

impl EntrySource for ConfigFold {
    fn entry(&self, key: &EntryKey) -> Option<&ConfigEntry> {
        self.entries.get(key).map(|state| &state.entry)
    }

    fn former_team(&self, budget: &BudgetName) -> Option<&TeamName> {
        self.former_teams.get(budget)
    }

    fn index(&self) -> &EntryIndex {
        &self.index
    }
}

impl ConfigFold {
    /// Offset of the next record to apply.
    pub fn next_offset(&self) -> u64 {
        self.next
    }

    /// Version in force: one past the offset of the last accepted publication,
    /// 0 before the first one.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Entries in force by key.
    pub fn entries(&self) -> &BTreeMap<EntryKey, EntryState> {
        &self.entries
    }

    /// Teams of removed budgets. A removed budget may be added again only to the
    /// same team.
    pub fn former_teams(&self) -> &BTreeMap<BudgetName, TeamName> {
        &self.former_teams
    }

    /// Kept verdicts by publication id, oldest first.
    pub fn verdicts(&self) -> &VecDeque<(u128, PublicationVerdict)> {
        &self.verdicts
    }

    /// Returns the verdict on `publication` if it was decided and is still kept.
    pub fn verdict(&self, publication: u128) -> Option<&PublicationVerdict> {
        let found = self
            .verdicts
            .iter()
            .rev()
            .find(|(known, _verdict)| *known == publication)?;
        Some(&found.1)
    }

    /// Restores a fold from the contents of a snapshot.
    pub(crate) fn restore(
        next: u64,
        version: u64,
        entries: BTreeMap<EntryKey, EntryState>,
        former_teams: BTreeMap<BudgetName, TeamName>,
        verdicts: VecDeque<(u128, PublicationVerdict)>,
    ) -> Self {
        let mut index = EntryIndex::default();
        for (key, state) in &entries {
            index.add(key, &state.entry);
        }
        Self {
            next,
            version,
            entries,
            former_teams,
            verdicts,
            index,
        }
    }

    /// Decodes and applies the record at `offset`. A record that was applied
    /// before has no effect, and a malformed record is skipped.
    ///
    /// # Errors
    ///
    /// Fails, and leaves the fold unchanged, if earlier records are missing or
    /// a newer release wrote the record.
    pub fn apply_encoded(&mut self, offset: u64, data: &[u8]) -> Result<()> {
        if offset < self.next {
            return Ok(());
        }
        if offset > self.next {
            let next = self.next;
            return Err(FoldError::Gap { offset, next });
        }
        match codec::decode::<ConfigRecord>(data) {
            Ok(record) => self.apply(offset, &record),
            Err(source @ CodecError::NewerFormat { .. }) => {
                return Err(FoldError::NewerFormat { offset, source });
            }
            Err(_malformed) => self.next = offset + 1,
        }
        Ok(())
    }

    /// Applies the record at `offset`. A record below [`Self::next_offset`] has
    /// no effect, and a repeated publication changes no entry.
    pub fn apply(&mut self, offset: u64, record: &ConfigRecord) {
        if offset < self.next {
            return;
        }
        self.next = offset + 1;
        if self.verdict(record.publication).is_some() {
            return;
        }
        let verdict = self.decide(offset, record);
        if matches!(verdict, PublicationVerdict::Accepted(_)) {
            self.apply_changes(offset, record);
        }
        self.verdicts.push_back((record.publication, verdict));
        if self.verdicts.len() > VERDICT_LIMIT {
            self.verdicts.pop_front();
        }
    }

    /// Decides on `record` against the entries in force, without applying it.
    pub fn decide(&self, offset: u64, record: &ConfigRecord) -> PublicationVerdict {
        let conflicts = self.conflicts(record);
        if !conflicts.is_empty() {
            return PublicationVerdict::Conflict(conflicts);
        }
        let mut changes = ChangeSet::new();
        for change in &record.changes {
            changes.insert(&change.key, change.entry.as_ref());
        }
        let faults = check::check(self, &changes);
        if !faults.is_empty() {
            return PublicationVerdict::Faulty(faults);
        }
        PublicationVerdict::Accepted(offset)
    }

    fn apply_changes(&mut self, offset: u64, record: &ConfigRecord) {
        for change in &record.changes {
            let Some(former) = self.entries.remove(&change.key) else {
                continue;
            };
            self.index.remove(&former.entry);
            if let ConfigEntry::Budget(budget) = former.entry {
                self.former_teams.insert(budget.name, budget.team);
            }
        }
        for change in &record.changes {
            let Some(entry) = &change.entry else {
                continue;
            };
            if let ConfigEntry::Budget(budget) = entry {
                self.former_teams.remove(&budget.name);
            }
            self.index.add(&change.key, entry);
            let state = EntryState {
                entry: entry.clone(),
                offset,
                asked_by: change.asked_by.clone(),
            };
            self.entries.insert(change.key.clone(), state);
        }
        self.version = offset + 1;
    }

    /// Returns the changes of `record` that do not replace the version in force.
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
