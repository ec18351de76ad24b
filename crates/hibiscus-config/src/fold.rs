//! The fold that accepts or refuses publications.

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

/// Publications whose verdict is remembered. A repeat is appended within
/// seconds, and this many take over an hour at 55,000 changes a day.
pub const VERDICT_LIMIT: usize = 4_096;

/// Why a record could not be taken.
#[derive(Debug, thiserror::Error)]
pub enum FoldError {
    /// Records between the last one taken and this one are missing.
    #[error("failed to take record {offset}: record {next} must come before")]
    Gap {
        /// The offset given.
        offset: u64,
        /// The offset needed.
        next: u64,
    },
    /// The record was written by a newer release, so its verdict is unknown
    /// to this one.
    #[error("failed to take record {offset}: it needs a newer release")]
    NewerFormat {
        /// The offset of the record.
        offset: u64,
        /// The format found.
        source: CodecError,
    },
}

/// Result of taking a record.
pub type Result<T> = std::result::Result<T, FoldError>;

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
    /// It would have left these entries without what they need.
    Faulty(Vec<EntryFault>),
}

/// The configuration at one offset.
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

    /// Teams of removed budgets, which may come back only to the same team.
    pub fn former_teams(&self) -> &BTreeMap<BudgetName, TeamName> {
        &self.former_teams
    }

    /// The remembered verdicts, oldest first.
    pub fn verdicts(&self) -> &VecDeque<(u128, PublicationVerdict)> {
        &self.verdicts
    }

    /// The verdict on `publication`, once its record was applied.
    pub fn verdict(&self, publication: u128) -> Option<&PublicationVerdict> {
        let found = self
            .verdicts
            .iter()
            .rev()
            .find(|(known, _verdict)| *known == publication)?;
        Some(&found.1)
    }

    /// A fold restored from a snapshot.
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

    /// Takes the encoded record at `offset`. A record that was taken before
    /// changes nothing, and one that no release could decode is passed over.
    ///
    /// # Errors
    ///
    /// Fails, without any change, when records are missing before this one
    /// or a newer release wrote it.
    pub fn take(&mut self, offset: u64, data: &[u8]) -> Result<()> {
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

    /// Applies the record at `offset`. A record below [`Self::next_offset`]
    /// or of a publication that was decided before changes nothing.
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
            self.put_in_force(offset, record);
        }
        self.verdicts.push_back((record.publication, verdict));
        if self.verdicts.len() > VERDICT_LIMIT {
            self.verdicts.pop_front();
        }
    }

    /// The verdict on `record` over the entries in force.
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

    fn put_in_force(&mut self, offset: u64, record: &ConfigRecord) {
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
