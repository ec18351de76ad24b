//! Every field of the settings with what is allowed in it.

/// What a field may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FieldKind {
    /// Further fields.
    Section,
    /// A name of letters, digits, `-`, `_` and `.`.
    Name,
    /// An IP number and a port.
    Address,
    /// The base address of an HTTP service.
    Url,
    /// One PEM block whose label ends in this text.
    Pem(&'static str),
    /// A whole number within bounds.
    Number(u64, u64),
}

/// One field.
#[derive(Clone, Copy, Debug)]
pub(super) struct FieldRule {
    /// Path from the root, such as `listen.callers`.
    pub(super) path: &'static str,
    /// What it may hold.
    pub(super) kind: FieldKind,
    /// Whether it may be left out.
    pub(super) optional: bool,
}

/// A field that must be there.
const fn required(path: &'static str, kind: FieldKind) -> FieldRule {
    FieldRule {
        path,
        kind,
        optional: false,
    }
}

/// A field with a default.
const fn optional(path: &'static str, kind: FieldKind) -> FieldRule {
    FieldRule {
        path,
        kind,
        optional: true,
    }
}

/// A number with a default.
const fn number(path: &'static str, low: u64, high: u64) -> FieldRule {
    optional(path, FieldKind::Number(low, high))
}

/// Longest time in a setting, in milliseconds: one hour.
const TIME_LIMIT_MS: u64 = 3_600_000;
/// Largest size in a setting, in bytes: 16 GiB.
const SIZE_LIMIT: u64 = 16 * 1024 * 1024 * 1024;
/// Largest count in a setting.
const COUNT_LIMIT: u64 = 1_000_000;

/// All fields; a section stands before its fields.
pub(super) const FIELDS: &[FieldRule] = &[
    required("instance", FieldKind::Section),
    required("instance.name", FieldKind::Name),
    required("instance.data_centre", FieldKind::Name),
    required("instance.region", FieldKind::Name),
    required("listen", FieldKind::Section),
    required("listen.callers", FieldKind::Address),
    required("listen.operators", FieldKind::Address),
    required("listen.peers", FieldKind::Address),
    required("platform", FieldKind::Section),
    required("platform.log", FieldKind::Url),
    required("platform.instances", FieldKind::Url),
    required("fleet", FieldKind::Section),
    required("fleet.authority", FieldKind::Pem("CERTIFICATE")),
    required("fleet.certificate", FieldKind::Pem("CERTIFICATE")),
    required("fleet.key", FieldKind::Pem("PRIVATE KEY")),
    optional("limits", FieldKind::Section),
    number("limits.requests", 1, COUNT_LIMIT),
    number("limits.connections", 1, COUNT_LIMIT),
    number("limits.body_bytes", 1, SIZE_LIMIT),
    number("limits.body_memory_bytes", 1, SIZE_LIMIT),
    number("limits.receive_ms", 1, TIME_LIMIT_MS),
    number("limits.send_ms", 1, TIME_LIMIT_MS),
    number("limits.deadline_ms", 1, TIME_LIMIT_MS),
    number("limits.server_silence_ms", 1, TIME_LIMIT_MS),
    number("limits.address_lifetime_ms", 0, TIME_LIMIT_MS),
    optional("budgets", FieldKind::Section),
    number("budgets.margin_tokens", 0, COUNT_LIMIT),
    number("budgets.default_max_tokens", 1, COUNT_LIMIT),
    number("budgets.bytes_per_token", 1, 16),
    number("budgets.wait_ms", 0, TIME_LIMIT_MS),
    number("budgets.appends_per_second", 1, 1_000),
    number("budgets.shards", 1, 1_024),
];

impl FieldKind {
    /// What is allowed, to follow "must be".
    pub(super) fn allowed(self) -> String {
        match self {
            Self::Section => "an object".to_owned(),
            Self::Name => "1 to 64 letters, digits, `-`, `_` or `.`".to_owned(),
            Self::Address => "an IP number and a port, such as `10.0.0.1:8080`".to_owned(),
            Self::Url => {
                "the address of an HTTP service, such as `http://10.0.0.1:8080`".to_owned()
            }
            Self::Pem(label) => format!("one PEM block `{label}`, its lines joined by `\\n`"),
            Self::Number(low, high) => format!("a whole number from {low} to {high}"),
        }
    }
}
