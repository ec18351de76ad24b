//! Parses an operators' file and collects its faults by line and column.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use jsonc_parser::CollectOptions;
use jsonc_parser::ParseOptions;
use jsonc_parser::ast::Array;
use jsonc_parser::ast::Object;
use jsonc_parser::ast::ObjectProp;
use jsonc_parser::ast::Value;
use jsonc_parser::common::Ranged;
use serde_json::Map;

use crate::check;
use crate::check::ChangeSet;
use crate::check::EmptySource;
use crate::check::EntryFault;
use crate::entry::ConfigEntry;
use crate::entry::ConfigSection;
use crate::entry::EntryKey;
use crate::field;
use crate::file::FileEntry;
use crate::file::FileError;
use crate::file::FileFault;
use crate::file::OperatorFile;
use crate::file::Result;
use crate::schema;
use crate::schema::FieldSpec;

/// Name of the field with the version on which a file is based.
pub const VERSION_FIELD: &str = "version";

/// State of parsing a file.
pub(crate) struct FileReader<'a> {
    text: &'a str,
    line_starts: Vec<usize>,
    file: OperatorFile,
    faults: Vec<FileFault>,
    positions: BTreeMap<EntryKey, EntryPosition>,
    sections: BTreeSet<ConfigSection>,
    /// Entries with a faulty line. Other lines may refer to them without a
    /// further fault.
    faulty: BTreeSet<EntryKey>,
}

/// Byte offsets of an entry and of its fields.
struct EntryPosition {
    start: usize,
    fields: BTreeMap<String, usize>,
}

impl<'a> FileReader<'a> {
    pub(crate) fn new(text: &'a str) -> Self {
        Self {
            text,
            line_starts: line_starts(text),
            file: OperatorFile::default(),
            faults: Vec::new(),
            positions: BTreeMap::new(),
            sections: BTreeSet::new(),
            faulty: BTreeSet::new(),
        }
    }

    /// Returns the file, or all its faults.
    pub(crate) fn read(mut self) -> Result<OperatorFile> {
        self.read_root();
        self.check_entries();
        if self.faults.is_empty() {
            return Ok(self.file);
        }
        self.faults.sort();
        Err(FileError(self.faults))
    }

    fn read_root(&mut self) {
        let options = ParseOptions::default();
        let text = self.text;
        let parsed = jsonc_parser::parse_to_ast(text, &CollectOptions::default(), &options);
        let root = match parsed {
            Ok(result) => result.value,
            Err(error) => {
                let message = format!("this is not JSON with comments: {}", error.kind());
                let hint = "correct this first; faults after it are not shown";
                self.fault(error.range().start, message, hint);
                return;
            }
        };
        let Some(Value::Object(root)) = root else {
            let message = "the file must be one object of sections".to_owned();
            self.fault(0, message, "start with `{` and end with `}`");
            return;
        };
        for property in &root.properties {
            if property.name.as_str() == VERSION_FIELD {
                self.read_version(property);
                continue;
            }
            self.read_section(property);
        }
    }

    fn read_version(&mut self, property: &ObjectProp<'_>) {
        let number = match &property.value {
            Value::NumberLit(number) => number.value.parse().ok(),
            _ => None,
        };
        let Some(version) = number else {
            let message = format!("`{VERSION_FIELD}` must be a whole number");
            let hint = "give the version that `hibiscusctl diff` prints";
            self.fault(property.value.start(), message, hint);
            return;
        };
        self.file.version = version;
    }

    fn read_section(&mut self, property: &ObjectProp<'_>) {
        let name = property.name.as_str();
        let at = property.start();
        let Some(section) = ConfigSection::from_name(name) else {
            let known = ConfigSection::ALL.map(ConfigSection::as_str);
            let hint = hint_of(name, known.into_iter().chain([VERSION_FIELD]));
            self.fault(at, format!("unknown section `{name}`"), &hint);
            return;
        };
        if !self.sections.insert(section) {
            let message = format!("section `{section}` appears twice");
            self.fault(at, message, "move its lines into the first one");
        }
        let Value::Array(lines) = &property.value else {
            let message = format!("section `{section}` must be a list of entries");
            self.fault(at, message, "write `[`, one entry a line, and `]`");
            return;
        };
        self.read_lines(section, lines);
    }

    fn read_lines(&mut self, section: ConfigSection, lines: &Array<'_>) {
        let mut last_line = 0;
        let mut next_starts = lines.elements.iter().skip(1).map(Ranged::start);
        for value in &lines.elements {
            let (first, _column) = self.position(value.start());
            let (end, _column) = self.position(value.end());
            let next = next_starts.next().map(|at| self.position(at).0);
            if first == last_line {
                let message = format!("line {first} holds several entries");
                let hint = "give each entry a line of its own, ended by `// NAME`";
                self.fault(value.start(), message, hint);
            }
            if first != end {
                let message = "the entry spans several lines".to_owned();
                self.fault(value.start(), message, "write one entry a line");
            }
            last_line = end;
            let Value::Object(line) = value else {
                let message = "an entry must be an object".to_owned();
                self.fault(value.start(), message, "write `{\"field\": value}`");
                continue;
            };
            let shares_line = next == Some(end);
            self.read_entry(section, line, shares_line);
        }
    }

    fn read_entry(&mut self, section: ConfigSection, line: &Object<'_>, shares_line: bool) {
        let asked_by = self.comment_after(line.end());
        if asked_by.is_none() && !shares_line {
            let message = "the entry names nobody who asked for it".to_owned();
            self.fault(line.start(), message, "end the line with `// NAME`");
        }
        let Some((entry, place)) = self.read_fields(section, line) else {
            return;
        };
        let key = entry.key();
        if let Some(first) = self.file.entries.get(&key) {
            let message = format!("{key} is already defined on line {}", first.line);
            self.fault(line.start(), message, "remove one of the two lines");
            return;
        }
        let entry = FileEntry {
            entry,
            asked_by: asked_by.unwrap_or_default(),
            line: self.position(line.start()).0,
        };
        self.positions.insert(key.clone(), place);
        self.file.entries.insert(key, entry);
    }

    /// Returns the entry and its position, or `None` if a field is faulty.
    fn read_fields(
        &mut self,
        section: ConfigSection,
        line: &Object<'_>,
    ) -> Option<(ConfigEntry, EntryPosition)> {
        let before = self.faults.len();
        let specs = schema::fields(section);
        let mut object = Map::new();
        let mut fields = BTreeMap::new();
        for property in &line.properties {
            let name = property.name.as_str();
            let Some(spec) = specs.iter().find(|spec| spec.name == name) else {
                let hint = hint_of(name, specs.iter().map(|spec| spec.name));
                let message = format!("unknown field `{name}` in `{section}`");
                self.fault(property.start(), message, &hint);
                continue;
            };
            if fields
                .insert(name.to_owned(), property.value.start())
                .is_some()
            {
                let message = format!("field `{name}` appears twice");
                self.fault(property.start(), message, "remove one of the two");
            }
            if let Some(value) = self.read_field(spec, &property.value) {
                object.insert(name.to_owned(), value);
            }
        }
        for spec in specs {
            if spec.required && !fields.contains_key(spec.name) {
                let message = format!("field `{}` is missing", spec.name);
                let hint = format!("add `\"{}\"`: {}", spec.name, spec.kind.allowed());
                self.fault(line.start(), message, &hint);
            }
        }
        if self.faults.len() > before {
            self.record_faulty_entry(section, &object);
            return None;
        }
        let start = line.start();
        match field::entry_of(section, object) {
            Ok(entry) => Some((entry, EntryPosition { start, fields })),
            Err(error) => {
                self.fault(start, error.to_string(), "correct the line");
                None
            }
        }
    }

    /// Records the key of a faulty line; the first field of a line is its name.
    fn record_faulty_entry(
        &mut self,
        section: ConfigSection,
        object: &Map<String, serde_json::Value>,
    ) {
        let identifier = schema::fields(section)[0].name;
        if let Some(serde_json::Value::String(name)) = object.get(identifier) {
            self.faulty.insert(EntryKey::new(section, name));
        }
    }

    fn read_field(&mut self, spec: &FieldSpec, value: &Value<'_>) -> Option<serde_json::Value> {
        match field::value_of(spec.kind, value) {
            Ok(value) => Some(value),
            Err(fault) => {
                let message = format!("field `{}`: {}", spec.name, fault.message);
                let hint = format!("it must be {}", spec.kind.allowed());
                self.fault(fault.at, message, &hint);
                None
            }
        }
    }

    /// Checks the entries against each other.
    fn check_entries(&mut self) {
        let mut changes = ChangeSet::new();
        for (key, entry) in &self.file.entries {
            changes.insert(key, Some(&entry.entry));
        }
        let faults = check::check(&EmptySource::default(), &changes);
        for fault in faults {
            if !self.is_consequence(&fault) {
                self.report_at_field(fault);
            }
        }
    }

    /// Whether the fault is only a consequence of another faulty line: its field
    /// refers to the entry of that line.
    fn is_consequence(&self, fault: &EntryFault) -> bool {
        let held = self.file.entries.get(&fault.key);
        let reference = held.and_then(|held| held.entry.reference());
        reference
            .is_some_and(|(field, target)| field == fault.field && self.faulty.contains(&target))
    }

    /// Reports a fault at the position of its field.
    fn report_at_field(&mut self, fault: EntryFault) {
        let Some(place) = self.positions.get(&fault.key) else {
            return;
        };
        let at = place.fields.get(&fault.field).unwrap_or(&place.start);
        self.fault(*at, fault.message, &fault.hint);
    }

    /// Returns the comment between the offset `end` and the end of its line.
    fn comment_after(&self, end: usize) -> Option<String> {
        let rest = self.text[end..].lines().next()?;
        let rest = rest.trim_start_matches([',', ' ', '\t', ']', '}']);
        let name = rest.strip_prefix("//")?.trim();
        (!name.is_empty()).then(|| name.to_owned())
    }

    fn fault(&mut self, at: usize, message: String, hint: &str) {
        let (line, column) = self.position(at);
        self.faults.push(FileFault {
            line,
            column,
            message,
            hint: hint.to_owned(),
        });
    }

    /// Returns the line and column of the byte offset `at`, both from 1.
    fn position(&self, at: usize) -> (usize, usize) {
        let line = self.line_starts.partition_point(|start| *start <= at);
        let start = self.line_starts[line - 1];
        (line, self.text[start..at].chars().count() + 1)
    }
}

/// Returns the byte offsets at which lines start.
fn line_starts(text: &str) -> Vec<usize> {
    let newlines = text.match_indices('\n').map(|(at, _newline)| at + 1);
    std::iter::once(0).chain(newlines).collect()
}

/// Returns `text` with its version set to `version`, `None` if it is not an
/// object.
pub(crate) fn stamp(text: &str, version: u64) -> Option<String> {
    let options = ParseOptions::default();
    let parsed = jsonc_parser::parse_to_ast(text, &CollectOptions::default(), &options);
    let Ok(Some(Value::Object(root))) = parsed.map(|result| result.value) else {
        return None;
    };
    let held = root
        .properties
        .iter()
        .find(|property| property.name.as_str() == VERSION_FIELD);
    let (start, end, inserted) = match held {
        Some(property) => {
            let value = &property.value;
            (value.start(), value.end(), version.to_string())
        }
        None => {
            let at = root.start() + 1;
            (at, at, format!("\n  \"{VERSION_FIELD}\": {version},"))
        }
    };
    Some(format!("{}{inserted}{}", &text[..start], &text[end..]))
}

/// Suggests the known name most similar to `name`, or lists all known names.
fn hint_of<'a>(name: &str, known: impl Iterator<Item = &'a str> + Clone) -> String {
    match schema::closest(name, known.clone()) {
        Some(meant) => format!("did you mean `{meant}`?"),
        None => format!("allowed: {}", known.collect::<Vec<_>>().join(", ")),
    }
}
