//! The operators' file: JSON with comments, one entry a line.

use std::collections::BTreeMap;
use std::fmt;

use jsonc_parser::CollectOptions;
use jsonc_parser::ParseOptions;
use jsonc_parser::ast::Value;
use jsonc_parser::common::Ranged;
use serde::de::DeserializeOwned;

use crate::entry::ConfigEntry;
use crate::entry::EntryKey;
use crate::fold::ConfigFold;
use crate::record::EntryChange;

/// Sections in the order of the file.
pub const SECTIONS: [&str; 7] = [
    "brands", "teams", "budgets", "top_ups", "releases", "services", "routes",
];

/// One fault of a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FileFault {
    /// Line, from 1.
    pub line: usize,
    /// Column, from 1.
    pub column: usize,
    /// What is wrong and what is allowed.
    pub message: String,
}

impl fmt::Display for FileFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.line, self.column, self.message)
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
    /// The entries by key.
    pub entries: BTreeMap<EntryKey, FileEntry>,
}

impl OperatorFile {
    /// Reads and checks `text`; all faults are reported at once.
    pub fn parse(text: &str) -> Result<Self> {
        let mut reader = FileReader {
            text,
            file: Self::default(),
            faults: Vec::new(),
        };
        reader.read();
        if reader.faults.is_empty() {
            Ok(reader.file)
        } else {
            Err(FileError(reader.faults))
        }
    }

    /// The changes that bring `fold` to this file. Top-ups and releases that
    /// the file no longer holds stay: what was paid is not taken back.
    pub fn changes(&self, fold: &ConfigFold) -> Vec<EntryChange> {
        let mut changes = Vec::new();
        for (key, wanted) in &self.entries {
            let state = fold.entries().get(key);
            if state.is_some_and(|state| state.entry == wanted.entry) {
                continue;
            }
            changes.push(EntryChange {
                key: key.clone(),
                entry: Some(wanted.entry.clone()),
                replaces: state.map(|state| state.offset),
                asked_by: wanted.asked_by.clone(),
            });
        }
        for (key, state) in fold.entries() {
            let permanent = key.section == "top_ups" || key.section == "releases";
            if permanent || self.entries.contains_key(key) {
                continue;
            }
            changes.push(EntryChange {
                key: key.clone(),
                entry: None,
                replaces: Some(state.offset),
                asked_by: state.asked_by.clone(),
            });
        }
        changes
    }
}

/// State of reading one file.
struct FileReader<'a> {
    text: &'a str,
    file: OperatorFile,
    faults: Vec<FileFault>,
}

impl FileReader<'_> {
    fn read(&mut self) {
        let options = ParseOptions::default();
        let parsed = jsonc_parser::parse_to_ast(self.text, &CollectOptions::default(), &options);
        let root = match parsed {
            Ok(result) => result.value,
            Err(error) => {
                self.fault(error.range().start, format!("{}", error.kind()));
                return;
            }
        };
        let Some(Value::Object(root)) = root else {
            self.fault(0, "the file must be one object of sections".to_owned());
            return;
        };
        for property in &root.properties {
            let section = property.name.as_str();
            if !SECTIONS.contains(&section) {
                let message = format!(
                    "unknown section `{section}`; allowed: {}",
                    SECTIONS.join(", ")
                );
                self.fault(property.start(), message);
                continue;
            }
            let Value::Array(entries) = &property.value else {
                let message = format!("section `{section}` must be a list of entries");
                self.fault(property.start(), message);
                continue;
            };
            for entry in &entries.elements {
                self.read_entry(section, entry.start(), entry.end());
            }
        }
    }

    fn read_entry(&mut self, section: &str, start: usize, end: usize) {
        let Some(asked_by) = self.comment_after(end) else {
            let message = "the entry names nobody who asked for it".to_owned();
            self.fault(start, format!("{message}; end the line with `// NAME`"));
            return;
        };
        let entry = match parse_entry(section, &self.text[start..end]) {
            Ok(entry) => entry,
            Err(message) => {
                self.fault(start, message);
                return;
            }
        };
        let key = entry.key();
        let (line, _column) = self.position(start);
        if let Some(first) = self.file.entries.get(&key) {
            let message = format!("{key} stands already on line {}", first.line);
            self.fault(start, message);
            return;
        }
        let entry = FileEntry {
            entry,
            asked_by,
            line,
        };
        self.file.entries.insert(key, entry);
    }

    /// The comment between `end` and the end of its line.
    fn comment_after(&self, end: usize) -> Option<String> {
        let rest = self.text[end..].lines().next()?;
        let rest = rest.trim_start_matches([',', ' ', '\t']);
        let name = rest.strip_prefix("//")?.trim();
        (!name.is_empty()).then(|| name.to_owned())
    }

    fn fault(&mut self, at: usize, message: String) {
        let (line, column) = self.position(at);
        self.faults.push(FileFault {
            line,
            column,
            message,
        });
    }

    fn position(&self, at: usize) -> (usize, usize) {
        let before = &self.text[..at];
        let line = before.matches('\n').count() + 1;
        let start = before.rfind('\n').map_or(0, |newline| newline + 1);
        (line, before[start..].chars().count() + 1)
    }
}

/// Reads one entry of `section`.
fn parse_entry(section: &str, text: &str) -> std::result::Result<ConfigEntry, String> {
    Ok(match section {
        "brands" => ConfigEntry::Brand(from_text(text)?),
        "teams" => ConfigEntry::Team(from_text(text)?),
        "budgets" => ConfigEntry::Budget(from_text(text)?),
        "top_ups" => ConfigEntry::TopUp(from_text(text)?),
        "releases" => ConfigEntry::Release(from_text(text)?),
        "services" => ConfigEntry::Service(from_text(text)?),
        _ => ConfigEntry::Route(from_text(text)?),
    })
}

/// Reads one value of type `T`.
fn from_text<T: DeserializeOwned>(text: &str) -> std::result::Result<T, String> {
    let value = jsonc_parser::parse_to_serde_value(text, &ParseOptions::default())
        .map_err(|error| error.to_string())?
        .unwrap_or_default();
    serde_json::from_value(value).map_err(|error| error.to_string())
}
