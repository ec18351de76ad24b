//! Checks settings as written, and reports all faults at once with their
//! lines.

use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;

use hibiscus_peer::LinkKeys;
use jsonc_parser::CollectOptions;
use jsonc_parser::ParseOptions;
use jsonc_parser::ast::Object;
use jsonc_parser::ast::ObjectProp;
use jsonc_parser::ast::Value;
use jsonc_parser::common::Ranged;

use crate::settings::RouterSettings;
use crate::settings::fields::FIELDS;
use crate::settings::fields::FieldKind;
use crate::settings::fields::FieldRule;

/// Longest name, in bytes.
const NAME_LIMIT: usize = 64;
/// Edits between an unknown field and the one that is suggested.
const HINT_DISTANCE: usize = 3;

/// One fault of the settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsFault {
    /// Line, from 1.
    pub line: usize,
    /// Column, from 1.
    pub column: usize,
    /// What is wrong and what is allowed.
    pub message: String,
}

impl fmt::Display for SettingsFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.line, self.column, self.message)
    }
}

/// State of a check.
struct SettingsChecker<'a> {
    text: &'a str,
    faults: Vec<SettingsFault>,
    /// Where each field stands.
    positions: HashMap<&'static str, usize>,
}

/// Reads `text` and checks each field by itself, then the fields together.
pub(super) fn read(text: &str) -> Result<RouterSettings, Vec<SettingsFault>> {
    let mut checker = SettingsChecker {
        text,
        faults: Vec::new(),
        positions: HashMap::new(),
    };
    checker.check_fields();
    if !checker.faults.is_empty() {
        return Err(checker.faults);
    }
    let settings = match convert(text) {
        Ok(settings) => settings,
        Err(message) => {
            checker.fault(0, message);
            return Err(checker.faults);
        }
    };
    checker.check_ports(&settings);
    checker.check_bounds(&settings);
    checker.check_keys(&settings);
    if checker.faults.is_empty() {
        Ok(settings)
    } else {
        Err(checker.faults)
    }
}

/// Converts text whose fields were checked.
fn convert(text: &str) -> Result<RouterSettings, String> {
    let value = jsonc_parser::parse_to_serde_value(text, &ParseOptions::default())
        .map_err(|error| error.to_string())?
        .unwrap_or_default();
    serde_json::from_value(value).map_err(|error| error.to_string())
}

impl SettingsChecker<'_> {
    fn fault(&mut self, at: usize, message: String) {
        let before = &self.text[..at];
        let start = before.rfind('\n').map_or(0, |newline| newline + 1);
        self.faults.push(SettingsFault {
            line: before.matches('\n').count() + 1,
            column: before[start..].chars().count() + 1,
            message,
        });
    }

    /// A fault of the field `path`, at its place in the file or, when it has
    /// its default, at the file's start.
    fn fault_of(&mut self, path: &str, message: &str) {
        let at = self.positions.get(path).copied().unwrap_or(0);
        self.fault(at, format!("`{path}`: {message}"));
    }

    /// Checks each field by itself.
    fn check_fields(&mut self) {
        let parsed = jsonc_parser::parse_to_ast(
            self.text,
            &CollectOptions::default(),
            &ParseOptions::default(),
        );
        let parsed = match parsed {
            Ok(parsed) => parsed,
            Err(error) => {
                let message = error.kind().to_string().to_lowercase();
                self.fault(
                    error.range().start,
                    format!("not JSON with comments: {message}"),
                );
                return;
            }
        };
        match &parsed.value {
            Some(Value::Object(root)) => self.check_section("", root),
            Some(other) => self.fault(other.start(), "the settings must be an object".to_owned()),
            None => self.fault(0, "the settings must be an object".to_owned()),
        }
    }

    /// Checks the fields of one section.
    fn check_section(&mut self, section: &str, object: &Object<'_>) {
        let mut seen: HashMap<String, usize> = HashMap::new();
        for property in &object.properties {
            let path = join(section, property.name.as_str());
            let start = property.start();
            let line = self.text[..start].matches('\n').count() + 1;
            if let Some(first) = seen.insert(path.clone(), line) {
                self.fault(start, format!("`{path}`: stands already on line {first}"));
                continue;
            }
            let Some(rule) = FIELDS.iter().find(|rule| rule.path == path) else {
                self.fault(start, unknown(section, &path));
                continue;
            };
            self.positions.insert(rule.path, start);
            self.check_property(rule, property);
        }
        for rule in FIELDS {
            let missing = parent(rule.path) == section && !seen.contains_key(rule.path);
            if missing && !rule.optional {
                let allowed = rule.kind.allowed();
                let message = format!("`{}`: missing; must be {allowed}", rule.path);
                self.fault(object.start(), message);
            }
        }
    }

    /// Checks one field.
    fn check_property(&mut self, rule: &FieldRule, property: &ObjectProp<'_>) {
        if let (FieldKind::Section, Value::Object(object)) = (rule.kind, &property.value) {
            self.check_section(rule.path, object);
            return;
        }
        if is_allowed(rule.kind, &property.value) {
            return;
        }
        let allowed = rule.kind.allowed();
        let message = format!("`{}`: must be {allowed}", rule.path);
        self.fault(property.value.start(), message);
    }

    /// Checks that the ports differ.
    fn check_ports(&mut self, settings: &RouterSettings) {
        let listen = &settings.listen;
        let same = |one: SocketAddr, other: SocketAddr| one.port() != 0 && one == other;
        if same(listen.callers, listen.operators) {
            self.fault_of("listen.operators", "must differ from `listen.callers`");
        }
    }

    /// Checks bounds that depend on each other.
    fn check_bounds(&mut self, settings: &RouterSettings) {
        let limits = &settings.limits;
        if limits.connections < limits.requests {
            let message = "must be at least `limits.requests`";
            self.fault_of("limits.connections", message);
        }
        if limits.body_memory_bytes < limits.body_bytes {
            let message = "must be at least `limits.body_bytes`";
            self.fault_of("limits.body_memory_bytes", message);
        }
        if settings.budgets.wait_ms > limits.deadline_ms {
            let message = "must be at most `limits.deadline_ms`";
            self.fault_of("budgets.wait_ms", message);
        }
    }

    /// Checks the keys of the peer link.
    fn check_keys(&mut self, settings: &RouterSettings) {
        let fleet = &settings.fleet;
        let keys = LinkKeys {
            authority: &fleet.authority,
            certificate: &fleet.certificate,
            key: &fleet.key,
        };
        let Err(fault) = keys.check() else {
            return;
        };
        let path = format!("fleet.{}", fault.part.as_str());
        self.fault_of(&path, &fault.cause);
    }
}

/// The path of `name` in `section`.
fn join(section: &str, name: &str) -> String {
    if section.is_empty() {
        name.to_owned()
    } else {
        format!("{section}.{name}")
    }
}

/// The section of the field `path`.
fn parent(path: &str) -> &str {
    path.rsplit_once('.').map_or("", |(section, _name)| section)
}

/// The message on an unknown field, with the nearest one of its section.
fn unknown(section: &str, path: &str) -> String {
    let mut nearest = None;
    for rule in FIELDS {
        if parent(rule.path) != section {
            continue;
        }
        let distance = edit_distance(rule.path, path);
        if nearest.is_none_or(|(least, _path)| distance < least) {
            nearest = Some((distance, rule.path));
        }
    }
    match nearest {
        Some((distance, nearest)) if distance <= HINT_DISTANCE => {
            format!("`{path}`: unknown field; did you mean `{nearest}`?")
        }
        _ => format!("`{path}`: unknown field; {}", known_fields(section)),
    }
}

/// The fields of `section`.
fn known_fields(section: &str) -> String {
    let mut names = Vec::new();
    for rule in FIELDS {
        if parent(rule.path) == section {
            names.push(format!("`{}`", rule.path));
        }
    }
    format!("known are {}", names.join(", "))
}

/// Insertions, removals and replacements that turn `one` into `other`.
fn edit_distance(one: &str, other: &str) -> usize {
    let mut row: Vec<usize> = (0..=other.len()).collect();
    for (index, left) in one.bytes().enumerate() {
        let mut diagonal = row[0];
        row[0] = index + 1;
        for (column, right) in other.bytes().enumerate() {
            let replaced = diagonal + usize::from(left != right);
            diagonal = row[column + 1];
            row[column + 1] = replaced.min(diagonal + 1).min(row[column] + 1);
        }
    }
    row[other.len()]
}

/// Whether `kind` allows `value`.
fn is_allowed(kind: FieldKind, value: &Value<'_>) -> bool {
    match (kind, value) {
        (FieldKind::Number(low, high), Value::NumberLit(number)) => number
            .value
            .parse()
            .is_ok_and(|number: u64| (low..=high).contains(&number)),
        (FieldKind::Name, Value::StringLit(text)) => is_name(&text.value),
        (FieldKind::Address, Value::StringLit(text)) => text.value.parse::<SocketAddr>().is_ok(),
        (FieldKind::Url, Value::StringLit(text)) => is_url(&text.value),
        (FieldKind::Pem(label), Value::StringLit(text)) => is_pem(&text.value, label),
        _ => false,
    }
}

/// Whether `text` is a name.
fn is_name(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    !text.is_empty() && text.len() <= NAME_LIMIT && text.bytes().all(allowed)
}

/// Whether `text` is the address of an HTTP service.
fn is_url(text: &str) -> bool {
    let Some(rest) = text.strip_prefix("http://") else {
        return false;
    };
    let host = rest.split('/').next().unwrap_or("");
    !host.is_empty() && text.bytes().all(|byte| byte.is_ascii_graphic())
}

/// Whether `text` is one PEM block whose label ends in `label`.
fn is_pem(text: &str, label: &str) -> bool {
    let first = text.trim_start().lines().next().unwrap_or("");
    let blocks = text.matches("-----BEGIN ").count();
    first.starts_with("-----BEGIN ") && first.ends_with(&format!("{label}-----")) && blocks == 1
}
