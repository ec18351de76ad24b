//! Entries of the configuration.

use std::fmt;

use hibiscus_types::BudgetName;
use hibiscus_types::GrantId;
use hibiscus_types::ServiceName;
use hibiscus_types::TeamName;
use hibiscus_types::TokenCount;
use serde::Deserialize;
use serde::Serialize;

/// A brand that teams belong to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BrandEntry {
    /// Unique name.
    pub name: String,
}

/// A team and the keys that identify it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamEntry {
    /// Unique name.
    pub name: TeamName,
    /// The brand that it belongs to.
    pub brand: String,
    /// SHA-256 of each API key, in hexadecimal.
    pub api_key_sha256: Vec<String>,
}

/// A prepaid budget.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BudgetEntry {
    /// Unique name.
    pub name: BudgetName,
    /// The team that spends it.
    pub team: TeamName,
}

/// Tokens paid for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TopUpEntry {
    /// Unique name; a top-up counts once.
    pub id: String,
    /// The budget that grows.
    pub budget: BudgetName,
    /// Tokens added.
    pub tokens: TokenCount,
}

/// An operator's word that a held grant's holder has stopped.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReleaseEntry {
    /// The grant to free.
    pub grant: GrantId,
}

/// What a service's servers speak.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// Chat completions of a model engine.
    Model,
    /// Plain calls.
    Plain,
}

/// A service of backend servers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceEntry {
    /// Unique name.
    pub name: ServiceName,
    /// What its servers speak.
    pub kind: ServiceKind,
    /// Models that its servers answer for.
    #[serde(default)]
    pub models: Vec<String>,
    /// Whether its servers refuse an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
}

/// A call that is routed to a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteEntry {
    /// The path that callers use, such as `/tailorbook/alterations`.
    pub path: String,
    /// The service that answers.
    pub service: ServiceName,
    /// Whether a call may run again.
    pub idempotent: bool,
    /// Tokens charged for a call.
    pub cost: TokenCount,
}

/// One entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigEntry {
    /// A brand.
    Brand(BrandEntry),
    /// A team.
    Team(TeamEntry),
    /// A budget.
    Budget(BudgetEntry),
    /// A top-up.
    TopUp(TopUpEntry),
    /// A release of a held grant.
    Release(ReleaseEntry),
    /// A service.
    Service(ServiceEntry),
    /// A routed call.
    Route(RouteEntry),
}

/// A section of the operators' file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigSection {
    /// Brands.
    Brands,
    /// Teams.
    Teams,
    /// Budgets.
    Budgets,
    /// Top-ups.
    TopUps,
    /// Releases of held grants.
    Releases,
    /// Services.
    Services,
    /// Routed calls.
    Routes,
}

impl ConfigSection {
    /// All sections in the order of the file.
    pub const ALL: [Self; 7] = [
        Self::Brands,
        Self::Teams,
        Self::Budgets,
        Self::TopUps,
        Self::Releases,
        Self::Services,
        Self::Routes,
    ];

    /// The name in the file.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Brands => "brands",
            Self::Teams => "teams",
            Self::Budgets => "budgets",
            Self::TopUps => "top_ups",
            Self::Releases => "releases",
            Self::Services => "services",
            Self::Routes => "routes",
        }
    }

    /// The section named `name` in the file.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL
            .into_iter()
            .find(|section| section.as_str() == name)
    }

    /// Whether entries of the section stay for good once accepted: what was
    /// paid is not taken back, and a release cannot be undone.
    pub const fn is_permanent(self) -> bool {
        matches!(self, Self::TopUps | Self::Releases)
    }
}

impl fmt::Display for ConfigSection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// What identifies an entry over its versions.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EntryKey {
    /// The section of the file.
    pub section: ConfigSection,
    /// The name within the section.
    pub name: String,
}

impl EntryKey {
    /// The key of `name` in `section`.
    pub fn new(section: ConfigSection, name: impl Into<String>) -> Self {
        Self {
            section,
            name: name.into(),
        }
    }
}

impl fmt::Display for EntryKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} `{}`", self.section, self.name)
    }
}

impl ConfigEntry {
    /// What identifies the entry.
    pub fn key(&self) -> EntryKey {
        match self {
            Self::Brand(brand) => EntryKey::new(ConfigSection::Brands, &brand.name),
            Self::Team(team) => EntryKey::new(ConfigSection::Teams, team.name.as_str()),
            Self::Budget(budget) => EntryKey::new(ConfigSection::Budgets, budget.name.as_str()),
            Self::TopUp(top_up) => EntryKey::new(ConfigSection::TopUps, &top_up.id),
            Self::Release(release) => {
                EntryKey::new(ConfigSection::Releases, release.grant.to_string())
            }
            Self::Service(service) => EntryKey::new(ConfigSection::Services, service.name.as_str()),
            Self::Route(route) => EntryKey::new(ConfigSection::Routes, &route.path),
        }
    }

    /// The entry that this one names and cannot do without, and the field
    /// that names it.
    pub fn reference(&self) -> Option<(&'static str, EntryKey)> {
        match self {
            Self::Team(team) => Some(("brand", EntryKey::new(ConfigSection::Brands, &team.brand))),
            Self::Budget(budget) => Some((
                "team",
                EntryKey::new(ConfigSection::Teams, budget.team.as_str()),
            )),
            Self::TopUp(top_up) => Some((
                "budget",
                EntryKey::new(ConfigSection::Budgets, top_up.budget.as_str()),
            )),
            Self::Route(route) => Some((
                "service",
                EntryKey::new(ConfigSection::Services, route.service.as_str()),
            )),
            Self::Brand(_) | Self::Release(_) | Self::Service(_) => None,
        }
    }

    /// What no other entry may hold too: API key hashes and models.
    pub fn claims(&self) -> Vec<EntryClaim> {
        match self {
            Self::Team(team) => team
                .api_key_sha256
                .iter()
                .map(|hash| EntryClaim::ApiKey(hash.clone()))
                .collect(),
            Self::Service(service) => service
                .models
                .iter()
                .map(|model| EntryClaim::Model(model.clone()))
                .collect(),
            _ => Vec::new(),
        }
    }
}

/// Something that at most one entry may hold.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EntryClaim {
    /// The hash of an API key.
    ApiKey(String),
    /// A model.
    Model(String),
}

impl EntryClaim {
    /// The field that makes the claim.
    pub const fn field(&self) -> &'static str {
        match self {
            Self::ApiKey(_) => "api_key_sha256",
            Self::Model(_) => "models",
        }
    }

    /// The value claimed.
    pub fn value(&self) -> &str {
        match self {
            Self::ApiKey(value) | Self::Model(value) => value,
        }
    }
}
