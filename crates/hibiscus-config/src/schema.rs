//! The fields that a line of each section may hold.

use crate::entry::ConfigSection;

/// Type of the value of a field.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FieldKind {
    /// Text that is not empty.
    Text,
    /// A path that starts with `/`.
    Path,
    /// A UUID.
    Uuid,
    /// A whole number of tokens.
    Tokens,
    /// `true` or `false`.
    Flag,
    /// A list of texts.
    Texts,
    /// A list of SHA-256 hashes in lower-case hexadecimal.
    Hashes,
    /// `"model"` or `"plain"`.
    ServiceKind,
}

impl FieldKind {
    /// Describes the allowed values for error messages.
    pub const fn allowed(self) -> &'static str {
        match self {
            Self::Text => "a text that is not empty",
            Self::Path => "a path that starts with `/`",
            Self::Uuid => "the UUID of a grant",
            Self::Tokens => "a whole number of tokens",
            Self::Flag => "`true` or `false`",
            Self::Texts => "a list of texts that are not empty",
            Self::Hashes => "a list of SHA-256 hashes, each of 64 lower-case hexadecimal digits",
            Self::ServiceKind => "`\"model\"` or `\"plain\"`",
        }
    }
}

/// A field of a section.
#[derive(Clone, Copy, Debug)]
pub struct FieldSpec {
    /// Name of the field.
    pub name: &'static str,
    /// Type of the value.
    pub kind: FieldKind,
    /// Whether every line must have the field.
    pub required: bool,
}

/// Creates a field that every line must have.
const fn required(name: &'static str, kind: FieldKind) -> FieldSpec {
    FieldSpec {
        name,
        kind,
        required: true,
    }
}

/// Creates a field that a line may omit.
const fn optional(name: &'static str, kind: FieldKind) -> FieldSpec {
    FieldSpec {
        name,
        kind,
        required: false,
    }
}

const BRAND: &[FieldSpec] = &[required("name", FieldKind::Text)];
const TEAM: &[FieldSpec] = &[
    required("name", FieldKind::Text),
    required("brand", FieldKind::Text),
    required("api_key_sha256", FieldKind::Hashes),
];
const BUDGET: &[FieldSpec] = &[
    required("name", FieldKind::Text),
    required("team", FieldKind::Text),
];
const TOP_UP: &[FieldSpec] = &[
    required("id", FieldKind::Text),
    required("budget", FieldKind::Text),
    required("tokens", FieldKind::Tokens),
];
const RELEASE: &[FieldSpec] = &[required("grant", FieldKind::Uuid)];
const SERVICE: &[FieldSpec] = &[
    required("name", FieldKind::Text),
    required("kind", FieldKind::ServiceKind),
    optional("models", FieldKind::Texts),
    optional("checks_fencing", FieldKind::Flag),
];
const ROUTE: &[FieldSpec] = &[
    required("path", FieldKind::Path),
    required("service", FieldKind::Text),
    required("idempotent", FieldKind::Flag),
    required("cost", FieldKind::Tokens),
];

/// Returns the fields of a line in `section`.
pub const fn fields(section: ConfigSection) -> &'static [FieldSpec] {
    match section {
        ConfigSection::Brands => BRAND,
        ConfigSection::Teams => TEAM,
        ConfigSection::Budgets => BUDGET,
        ConfigSection::TopUps => TOP_UP,
        ConfigSection::Releases => RELEASE,
        ConfigSection::Services => SERVICE,
        ConfigSection::Routes => ROUTE,
    }
}

/// Most edits (Levenshtein distance) between a name and the one suggested for it.
const HINT_EDIT_LIMIT: usize = 3;

/// Returns the name in `known` that is most similar to `name`, if any is
/// similar enough.
pub fn closest<'a>(name: &str, known: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    known
        .map(|other| (strsim::levenshtein(name, other), other))
        .filter(|(edits, other)| *edits <= HINT_EDIT_LIMIT && *edits < other.len())
        .min()
        .map(|(_edits, other)| other)
}
