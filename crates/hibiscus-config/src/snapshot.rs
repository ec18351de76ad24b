//! The configuration in the form that the duties read.

use std::collections::BTreeMap;

use hibiscus_types::BudgetName;
use hibiscus_types::GrantId;
use hibiscus_types::ServiceName;
use hibiscus_types::TeamName;
use sha2::Digest;
use sha2::Sha256;
use subtle::ConstantTimeEq;

use crate::entry::BudgetEntry;
use crate::entry::ConfigEntry;
use crate::entry::ReleaseEntry;
use crate::entry::RouteEntry;
use crate::entry::ServiceEntry;
use crate::entry::TeamEntry;
use crate::entry::TopUpEntry;
use crate::fold::ConfigFold;

/// The configuration at one version. Later versions replace it whole.
#[derive(Clone, Debug, Default)]
pub struct ConfigSnapshot {
    /// The version, 0 before the first publication.
    pub version: u64,
    /// Teams by name.
    pub teams: BTreeMap<TeamName, TeamEntry>,
    /// Budgets by name.
    pub budgets: BTreeMap<BudgetName, BudgetEntry>,
    /// Top-ups by id.
    pub top_ups: BTreeMap<String, TopUpEntry>,
    /// Releases of held grants by grant.
    pub releases: BTreeMap<GrantId, ReleaseEntry>,
    /// Services by name.
    pub services: BTreeMap<ServiceName, ServiceEntry>,
    /// Routed calls by path.
    pub routes: BTreeMap<String, RouteEntry>,
    team_keys: BTreeMap<String, TeamName>,
}

impl ConfigSnapshot {
    /// The configuration that `fold` has accepted.
    pub fn from_fold(fold: &ConfigFold) -> Self {
        let mut snapshot = Self {
            version: fold.version(),
            ..Self::default()
        };
        for state in fold.entries().values() {
            snapshot.insert(state.entry.clone());
        }
        snapshot
    }

    fn insert(&mut self, entry: ConfigEntry) {
        match entry {
            ConfigEntry::Team(team) => {
                for hash in &team.api_key_sha256 {
                    self.team_keys.insert(hash.clone(), team.name.clone());
                }
                self.teams.insert(team.name.clone(), team);
            }
            ConfigEntry::Budget(budget) => {
                self.budgets.insert(budget.name.clone(), budget);
            }
            ConfigEntry::TopUp(top_up) => {
                self.top_ups.insert(top_up.id.clone(), top_up);
            }
            ConfigEntry::Service(service) => {
                self.services.insert(service.name.clone(), service);
            }
            ConfigEntry::Route(route) => {
                self.routes.insert(route.path.clone(), route);
            }
            ConfigEntry::Release(release) => {
                self.releases.insert(release.grant, release);
            }
            ConfigEntry::Brand(_) => {}
        }
    }

    /// The team that `api_key` identifies. The stored hash is found by the
    /// hash of the key, then compared in constant time.
    pub fn team_of_key(&self, api_key: &str) -> Option<&TeamName> {
        let hash = hash_api_key(api_key);
        let (stored, team) = self.team_keys.get_key_value(&hash)?;
        let equal: bool = stored.as_bytes().ct_eq(hash.as_bytes()).into();
        equal.then_some(team)
    }

    /// The first budget of `team` by name.
    pub fn budget_of(&self, team: &TeamName) -> Option<&BudgetEntry> {
        self.budgets.values().find(|budget| budget.team == *team)
    }

    /// The service that answers for `model`.
    pub fn service_of_model(&self, model: &str) -> Option<&ServiceEntry> {
        self.services
            .values()
            .find(|service| service.models.iter().any(|held| held == model))
    }
}

/// SHA-256 of an API key in hexadecimal, as the operators' file holds it.
pub fn hash_api_key(api_key: &str) -> String {
    let mut text = String::with_capacity(64);
    for byte in Sha256::digest(api_key.as_bytes()) {
        text.push_str(&format!("{byte:02x}"));
    }
    text
}
