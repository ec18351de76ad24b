//! The operators' file, which is JSON with comments and has one entry per
//! line, and the changes that a publication of the file would make.

use std::collections::BTreeMap;
use std::fmt;

use crate::entry::ConfigEntry;
use crate::entry::EntryKey;
use crate::fold::ConfigFold;
use crate::fold::EntryConflict;
use crate::fold::EntryState;
use crate::reader;
use crate::reader::FileReader;
use crate::record::EntryChange;

/// A fault of a file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct FileFault {
    /// Line number, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
    /// Description of the fault.
    pub message: String,
    /// How to correct the fault.
    pub hint: String,
}

impl fmt::Display for FileFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}:{}: {}\n  hint: {}",
            self.line, self.column, self.message, self.hint
        )
    }
}

/// All faults of a file.
#[derive(Clone, Debug, thiserror::Error)]
#[error("failed to check the file: {} fault(s)", .0.len())]
pub struct FileError(pub Vec<FileFault>);

/// Result of reading a file.
pub type Result<T> = std::result::Result<T, FileError>;

/// An entry of a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FileEntry {
    /// Content of the entry.
    pub entry: ConfigEntry,
    /// Name of the person who requested the entry.
    pub asked_by: String,
    /// Line number of the entry, from 1.
    pub line: usize,
}

/// An operators' file that passed all checks.
#[derive(Clone, Debug, Default)]
pub struct OperatorFile {
    /// Version of the configuration on which the file is based, 0 if the file
    /// names none. Its author has not seen any later publication.
    pub version: u64,
    /// Entries by key.
    pub entries: BTreeMap<EntryKey, FileEntry>,
}

/// The effects that a publication of a file would have.
#[derive(Clone, Debug, Default)]
pub struct FilePlan {
    /// Changes to publish: new and changed entries in order of key, then
    /// removals in order of key.
    pub changes: Vec<EntryChange>,
    /// Lines that differ from an entry that was set after the version of the
    /// file, so the author has not seen it.
    pub conflicts: Vec<EntryConflict>,
    /// Entries without a line that were set after the version of the file. They
    /// are kept, because the author has not seen them.
    pub unseen: Vec<(EntryKey, EntryState)>,
    /// Top-ups and releases without a line. They are kept, because they cannot
    /// be removed.
    pub permanent: Vec<EntryKey>,
}

impl OperatorFile {
    /// Parses and checks `text`. The error holds all faults, in order of line.
    pub fn parse(text: &str) -> Result<Self> {
        FileReader::new(text).read()
    }

    /// Returns `text` with its version set to `version`, `None` if it is not an
    /// object. Only the line of the version is changed or added.
    pub fn stamp(text: &str, version: u64) -> Option<String> {
        reader::stamp(text, version)
    }

    /// Returns the changes from `fold` to this file, as if the file were based
    /// on the version in force.
    pub fn changes(&self, fold: &ConfigFold) -> Vec<EntryChange> {
        self.plan_from(fold, fold.version()).changes
    }

    /// Plans the publication of the file on `fold`.
    pub fn plan(&self, fold: &ConfigFold) -> FilePlan {
        self.plan_from(fold, self.version)
    }

    /// Plans the publication for an author who has seen all publications before
    /// the offset `seen`.
    fn plan_from(&self, fold: &ConfigFold, seen: u64) -> FilePlan {
        let mut plan = FilePlan::default();
        for (key, wanted) in &self.entries {
            let state = fold.entries().get(key);
            if state.is_some_and(|state| state.entry == wanted.entry) {
                continue;
            }
            if let Some(state) = state.filter(|state| state.offset >= seen) {
                plan.conflicts.push(EntryConflict {
                    key: key.clone(),
                    offset: Some(state.offset),
                    asked_by: Some(state.asked_by.clone()),
                });
                continue;
            }
            plan.changes.push(EntryChange {
                key: key.clone(),
                entry: Some(wanted.entry.clone()),
                replaces: state.map(|state| state.offset),
                asked_by: wanted.asked_by.clone(),
            });
        }
        for (key, state) in fold.entries() {
            if self.entries.contains_key(key) {
                continue;
            }
            plan.plan_missing_entry(key, state, seen);
        }
        plan
    }
}

impl FilePlan {
    /// Returns the keys of the entries that would be removed.
    pub fn removals(&self) -> Vec<EntryKey> {
        let removals = self.changes.iter().filter(|change| change.entry.is_none());
        removals.map(|change| change.key.clone()).collect()
    }

    /// Sets who requested the removals, because removed entries have no line
    /// whose comment would name the person.
    pub fn attribute_removals(&mut self, asked_by: &str) {
        for change in &mut self.changes {
            if change.entry.is_none() {
                asked_by.clone_into(&mut change.asked_by);
            }
        }
    }

    /// Adds an entry in force that has no line in the file to the plan.
    fn plan_missing_entry(&mut self, key: &EntryKey, state: &EntryState, seen: u64) {
        if state.offset >= seen {
            self.unseen.push((key.clone(), state.clone()));
        } else if key.section.is_permanent() {
            self.permanent.push(key.clone());
        } else {
            self.changes.push(EntryChange {
                key: key.clone(),
                entry: None,
                replaces: Some(state.offset),
                asked_by: state.asked_by.clone(),
            });
        }
    }
}
