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

/// What identifies an entry over its versions.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EntryKey {
    /// The section of the file.
    pub section: String,
    /// The name within the section.
    pub name: String,
}

impl fmt::Display for EntryKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} `{}`", self.section, self.name)
    }
}

impl ConfigEntry {
    /// What identifies the entry.
    pub fn key(&self) -> EntryKey {
        let (section, name) = match self {
            Self::Brand(brand) => ("brands", brand.name.clone()),
            Self::Team(team) => ("teams", team.name.to_string()),
            Self::Budget(budget) => ("budgets", budget.name.to_string()),
            Self::TopUp(top_up) => ("top_ups", top_up.id.clone()),
            Self::Release(release) => ("releases", release.grant.to_string()),
            Self::Service(service) => ("services", service.name.to_string()),
            Self::Route(route) => ("routes", route.path.clone()),
        };
        EntryKey {
            section: section.to_owned(),
            name,
        }
    }
}
