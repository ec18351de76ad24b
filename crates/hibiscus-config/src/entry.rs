//! Entries of the configuration and the keys that identify them.

use std::fmt;

use hibiscus_types::BudgetName;
use hibiscus_types::GrantId;
use hibiscus_types::ServiceName;
use hibiscus_types::TeamName;
use hibiscus_types::TokenCount;
use serde::Deserialize;
use serde::Serialize;

/// A brand, to which teams belong.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BrandEntry {
    /// Unique name.
    pub name: String,
}

/// A team and the API keys that identify it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamEntry {
    /// Unique name.
    pub name: TeamName,
    /// Name of the brand of the team.
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
    /// Team that spends the budget.
    pub team: TeamName,
}

/// A payment that adds tokens to a budget.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TopUpEntry {
    /// Unique id, by which a top-up is counted only once.
    pub id: String,
    /// Budget to which the tokens are added.
    pub budget: BudgetName,
    /// Number of tokens added.
    pub tokens: TokenCount,
}

/// Confirmation by an operator that the holder of a held grant has stopped.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReleaseEntry {
    /// Grant to release.
    pub grant: GrantId,
}

/// Kind of calls that the servers of a service handle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// Chat completions, handled by a model engine.
    Model,
    /// Plain HTTP calls.
    Plain,
}

/// A service provided by a group of backend servers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceEntry {
    /// Unique name.
    pub name: ServiceName,
    /// Kind of calls that the servers handle.
    pub kind: ServiceKind,
    /// Models that the servers serve.
    #[serde(default)]
    pub models: Vec<String>,
    /// Whether the servers reject calls with an outdated fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
}

/// A call that is routed to a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteEntry {
    /// Path of the call, such as `/tailorbook/alterations`.
    pub path: String,
    /// Service that handles the call.
    pub service: ServiceName,
    /// Whether the call may be executed more than once.
    pub idempotent: bool,
    /// Tokens charged per call.
    pub cost: TokenCount,
}

/// An entry of the configuration.
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
    /// All sections, in the order of the file.
    pub const ALL: [Self; 7] = [
        Self::Brands,
        Self::Teams,
        Self::Budgets,
        Self::TopUps,
        Self::Releases,
        Self::Services,
        Self::Routes,
    ];

    /// Name of the section in the file.
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

    /// Returns the section with this name in the file.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL
            .into_iter()
            .find(|section| section.as_str() == name)
    }

    /// Whether accepted entries of the section can never change or be removed:
    /// a payment is not taken back, and a release cannot be undone.
    pub const fn is_permanent(self) -> bool {
        matches!(self, Self::TopUps | Self::Releases)
    }
}

impl fmt::Display for ConfigSection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Key that identifies an entry across its versions.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EntryKey {
    /// Section of the file.
    pub section: ConfigSection,
    /// Name within the section.
    pub name: String,
}

impl EntryKey {
    /// Creates the key of the entry `name` in `section`.
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
    /// Returns the key of the entry.
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

    /// Returns the field that refers to another entry and the key of that
    /// entry, which must exist.
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

    /// Returns the values that no other entry may hold: API key hashes and models.
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

/// A value that at most one entry may hold.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EntryClaim {
    /// The hash of an API key.
    ApiKey(String),
    /// A model.
    Model(String),
}

impl EntryClaim {
    /// Name of the field that holds the value.
    pub const fn field(&self) -> &'static str {
        match self {
            Self::ApiKey(_) => "api_key_sha256",
            Self::Model(_) => "models",
        }
    }

    /// The value itself.
    pub fn value(&self) -> &str {
        match self {
            Self::ApiKey(value) | Self::Model(value) => value,
        }
    }
}
