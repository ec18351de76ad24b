//! Reads the values of fields and builds the entry of a line.

use jsonc_parser::ast::Array;
use jsonc_parser::ast::Value;
use jsonc_parser::common::Ranged;
use serde::de::DeserializeOwned;
use serde_json::Map;

use crate::entry::ConfigEntry;
use crate::entry::ConfigSection;
use crate::schema::FieldKind;

/// Number of hexadecimal digits of a SHA-256 hash.
const HASH_HEX_DIGITS: usize = 64;

/// An invalid value of a field.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("{message}")]
pub(crate) struct FieldFault {
    /// Byte offset of the value in the file.
    pub(crate) at: usize,
    /// Description of the fault.
    pub(crate) message: String,
}

/// Result of reading a value.
pub(crate) type Result<T> = std::result::Result<T, FieldFault>;

/// Converts a value to JSON, or fails if `kind` does not allow it.
pub(crate) fn value_of(kind: FieldKind, value: &Value<'_>) -> Result<serde_json::Value> {
    match (kind, value) {
        (FieldKind::Texts | FieldKind::Hashes, Value::Array(list)) => list_of(kind, list),
        (FieldKind::Flag, Value::BooleanLit(flag)) => Ok(flag.value.into()),
        (FieldKind::Tokens, Value::NumberLit(number)) => {
            let tokens: std::result::Result<u64, _> = number.value.parse();
            match tokens {
                Ok(tokens) => Ok(tokens.into()),
                Err(_error) => fault(value, format!("`{}` is out of range", number.value)),
            }
        }
        (FieldKind::Flag | FieldKind::Tokens | FieldKind::Texts | FieldKind::Hashes, _) => {
            fault(value, format!("{} is not allowed", type_name(value)))
        }
        (kind, Value::StringLit(text)) => match text_fault(kind, &text.value) {
            None => Ok(text.value.as_ref().into()),
            Some(message) => fault(value, message),
        },
        _ => fault(value, format!("{} is not allowed", type_name(value))),
    }
}

fn list_of(kind: FieldKind, list: &Array<'_>) -> Result<serde_json::Value> {
    let mut values = Vec::with_capacity(list.elements.len());
    for element in &list.elements {
        let Value::StringLit(text) = element else {
            return fault(element, format!("{} is not allowed", type_name(element)));
        };
        if let Some(message) = text_fault(kind, &text.value) {
            return fault(element, message);
        }
        values.push(serde_json::Value::from(text.value.as_ref()));
    }
    Ok(values.into())
}

/// Returns an error message if `kind` does not allow `text`.
fn text_fault(kind: FieldKind, text: &str) -> Option<String> {
    let plain = !text.trim().is_empty() && text.trim() == text && !text.contains(char::is_control);
    let good = match kind {
        FieldKind::Path => {
            plain && text.starts_with('/') && !text.contains(['?', '#', ' ']) && text.len() > 1
        }
        FieldKind::Hashes => is_hash(text),
        FieldKind::Uuid => is_uuid(text),
        FieldKind::ServiceKind => matches!(text, "model" | "plain"),
        _ => plain,
    };
    (!good).then(|| format!("`{text}` is not allowed"))
}

fn is_hash(text: &str) -> bool {
    let digits = text
        .bytes()
        .all(|byte| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte));
    digits && text.len() == HASH_HEX_DIGITS
}

fn is_uuid(text: &str) -> bool {
    serde_json::from_value::<hibiscus_types::GrantId>(text.into()).is_ok()
}

fn fault<T>(value: &Value<'_>, message: String) -> Result<T> {
    Err(FieldFault {
        at: value.start(),
        message,
    })
}

/// Names the type of `value` for error messages.
fn type_name(value: &Value<'_>) -> &'static str {
    match value {
        Value::StringLit(_) => "a text",
        Value::NumberLit(_) => "a number",
        Value::BooleanLit(_) => "a flag",
        Value::Object(_) => "an object",
        Value::Array(_) => "a list",
        Value::NullKeyword(_) => "`null`",
    }
}

/// Builds an entry of `section` from the fields of its line.
pub(crate) fn entry_of(
    section: ConfigSection,
    object: Map<String, serde_json::Value>,
) -> serde_json::Result<ConfigEntry> {
    Ok(match section {
        ConfigSection::Brands => ConfigEntry::Brand(from_object(object)?),
        ConfigSection::Teams => ConfigEntry::Team(from_object(object)?),
        ConfigSection::Budgets => ConfigEntry::Budget(from_object(object)?),
        ConfigSection::TopUps => ConfigEntry::TopUp(from_object(object)?),
        ConfigSection::Releases => ConfigEntry::Release(from_object(object)?),
        ConfigSection::Services => ConfigEntry::Service(from_object(object)?),
        ConfigSection::Routes => ConfigEntry::Route(from_object(object)?),
    })
}

fn from_object<T: DeserializeOwned>(
    object: Map<String, serde_json::Value>,
) -> serde_json::Result<T> {
    serde_json::from_value(object.into())
}
