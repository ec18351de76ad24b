//! The operators' file: JSON with comments, one entry a line.

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

/// One fault of a file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct FileFault {
    /// Line, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
    /// What is wrong.
    pub message: String,
    /// What can be done.
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

/// One entry of a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FileEntry {
    /// The entry.
    pub entry: ConfigEntry,
    /// Who asked for it.
    pub asked_by: String,
    /// Its line, from 1.
    pub line: usize,
}

/// A checked file.
#[derive(Clone, Debug, Default)]
pub struct OperatorFile {
    /// The version in force that the file was edited from, 0 when it names
    /// none: what came into force later, its author has not seen.
    pub version: u64,
    /// The entries by key.
    pub entries: BTreeMap<EntryKey, FileEntry>,
}

/// What publishing a file would do.
#[derive(Clone, Debug, Default)]
pub struct FilePlan {
    /// The changes, in order of key.
    pub changes: Vec<EntryChange>,
    /// Lines that differ from a version that the file's author has not seen.
    pub conflicts: Vec<EntryConflict>,
    /// Entries that others added and the file's author has not seen; they
    /// stay.
    pub unseen: Vec<(EntryKey, EntryState)>,
    /// Top-ups and releases without a line; they stay.
    pub permanent: Vec<EntryKey>,
}

impl OperatorFile {
    /// Reads and checks `text`; all faults are reported at once, in order of
    /// line.
    pub fn parse(text: &str) -> Result<Self> {
        FileReader::new(text).read()
    }

    /// `text` with `version` as the version that it was edited from. Only
    /// the line of the version changes, or is added.
    pub fn stamp(text: &str, version: u64) -> Option<String> {
        reader::stamp(text, version)
    }

    /// The changes that bring `fold` to this file, as if its author had seen
    /// all that is in force.
    pub fn changes(&self, fold: &ConfigFold) -> Vec<EntryChange> {
        self.plan_from(fold, fold.version()).changes
    }

    /// What publishing the file over `fold` would do.
    pub fn plan(&self, fold: &ConfigFold) -> FilePlan {
        self.plan_from(fold, self.version)
    }

    /// The plan of an author who has seen all before `seen`.
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
            plan.leave_out(key, state, seen);
        }
        plan
    }
}

impl FilePlan {
    /// The entries that would be removed.
    pub fn removals(&self) -> Vec<EntryKey> {
        let removals = self.changes.iter().filter(|change| change.entry.is_none());
        removals.map(|change| change.key.clone()).collect()
    }

    /// Names who asked for the removals, since no line is left to say so.
    pub fn name_removals(&mut self, asked_by: &str) {
        for change in &mut self.changes {
            if change.entry.is_none() {
                asked_by.clone_into(&mut change.asked_by);
            }
        }
    }

    /// Plans for an entry in force that has no line.
    fn leave_out(&mut self, key: &EntryKey, state: &EntryState, seen: u64) {
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
