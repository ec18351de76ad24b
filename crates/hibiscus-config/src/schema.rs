//! The fields of each section: what a line may hold.

use crate::entry::ConfigSection;

/// What a field holds.
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
    /// What is allowed, for messages.
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

/// One field.
#[derive(Clone, Copy, Debug)]
pub struct FieldSpec {
    /// Its name.
    pub name: &'static str,
    /// What it holds.
    pub kind: FieldKind,
    /// Whether a line must have it.
    pub required: bool,
}

/// A field that a line must have.
const fn required(name: &'static str, kind: FieldKind) -> FieldSpec {
    FieldSpec {
        name,
        kind,
        required: true,
    }
}

/// A field that a line may leave out.
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

/// The fields of a line in `section`.
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

/// Edits that still make two names look alike.
const HINT_DISTANCE: usize = 3;

/// The name among `known` that `name` was probably meant to be.
pub fn closest<'a>(name: &str, known: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    known
        .map(|other| (strsim::levenshtein(name, other), other))
        .filter(|(edits, other)| *edits <= HINT_DISTANCE && *edits < other.len())
        .min()
        .map(|(_edits, other)| other)
}
