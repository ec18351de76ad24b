//! The configuration in the form that the router reads, with indexes for its
//! lookups.

use hibiscus_types::BudgetName;
use hibiscus_types::GrantId;
use hibiscus_types::ServiceName;
use hibiscus_types::TeamName;
use hibiscus_types::TokenCount;
use sha2::Digest;
use sha2::Sha256;
use subtle::ConstantTimeEq;

use crate::entry::BudgetEntry;
use crate::entry::ConfigEntry;
use crate::entry::ConfigSection;
use crate::entry::EntryKey;
use crate::entry::ReleaseEntry;
use crate::entry::RouteEntry;
use crate::entry::ServiceEntry;
use crate::entry::TeamEntry;
use crate::entry::TopUpEntry;
use crate::fold::ConfigFold;
use crate::record::EntryChange;
use crate::shared_map::SharedMap;

/// The configuration at one version. Clones share their unchanged data.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConfigSnapshot {
    /// The version, 0 before the first publication.
    pub version: u64,
    /// Teams by name.
    pub teams: SharedMap<TeamName, TeamEntry>,
    /// Budgets by name.
    pub budgets: SharedMap<BudgetName, BudgetEntry>,
    /// Top-ups by id.
    pub top_ups: SharedMap<String, TopUpEntry>,
    /// Releases of held grants by grant id.
    pub releases: SharedMap<GrantId, ReleaseEntry>,
    /// Services by name.
    pub services: SharedMap<ServiceName, ServiceEntry>,
    /// Routed calls by path.
    pub routes: SharedMap<String, RouteEntry>,
    team_keys: SharedMap<String, TeamName>,
    team_budgets: SharedMap<TeamName, Vec<BudgetName>>,
    service_versions: SharedMap<ServiceName, u64>,
    credits: SharedMap<BudgetName, TokenCount>,
}

impl ConfigSnapshot {
    /// Builds the snapshot of the entries in force in `fold`.
    pub fn from_fold(fold: &ConfigFold) -> Self {
        let mut snapshot = Self {
            version: fold.version(),
            ..Self::default()
        };
        for state in fold.entries().values() {
            snapshot.insert(&state.entry, state.offset + 1);
        }
        snapshot
    }

    /// Applies the `changes` of an accepted publication and sets `version`.
    pub fn apply(&mut self, version: u64, changes: &[EntryChange]) {
        for change in changes {
            self.remove(&change.key);
        }
        for change in changes {
            if let Some(entry) = &change.entry {
                self.insert(entry, version);
            }
        }
        self.version = version;
    }

    /// Inserts `entry`, which was set by the publication that led to `version`.
    fn insert(&mut self, entry: &ConfigEntry, version: u64) {
        match entry {
            ConfigEntry::Team(team) => {
                for hash in &team.api_key_sha256 {
                    self.team_keys.insert(hash.clone(), team.name.clone());
                }
                self.teams.insert(team.name.clone(), team.clone());
            }
            ConfigEntry::Budget(budget) => {
                let held = self.team_budgets.get(&budget.team);
                let mut names = held.cloned().unwrap_or_default();
                if let Err(place) = names.binary_search(&budget.name) {
                    names.insert(place, budget.name.clone());
                }
                self.team_budgets.insert(budget.team.clone(), names);
                self.budgets.insert(budget.name.clone(), budget.clone());
            }
            ConfigEntry::TopUp(top_up) => {
                let held = self.top_ups.insert(top_up.id.clone(), top_up.clone());
                if held.is_none() {
                    let sum = self.credited(&top_up.budget) + top_up.tokens;
                    self.credits.insert(top_up.budget.clone(), sum);
                }
            }
            ConfigEntry::Service(service) => {
                self.services.insert(service.name.clone(), service.clone());
                self.service_versions.insert(service.name.clone(), version);
            }
            ConfigEntry::Route(route) => {
                self.routes.insert(route.path.clone(), route.clone());
            }
            ConfigEntry::Release(release) => {
                self.releases.insert(release.grant, release.clone());
            }
            ConfigEntry::Brand(_) => {}
        }
    }

    fn remove(&mut self, key: &EntryKey) {
        let name = key.name.as_str();
        match key.section {
            ConfigSection::Teams => {
                let former = self.teams.remove(&TeamName::from(name));
                for hash in former.into_iter().flat_map(|team| team.api_key_sha256) {
                    self.team_keys.remove(&hash);
                }
            }
            ConfigSection::Budgets => self.remove_budget(&BudgetName::from(name)),
            ConfigSection::Services => {
                self.services.remove(&ServiceName::from(name));
                self.service_versions.remove(&ServiceName::from(name));
            }
            ConfigSection::Routes => {
                self.routes.remove(&key.name);
            }
            // Top-ups and releases are never removed, and the snapshot holds no
            // brands.
            ConfigSection::Brands | ConfigSection::TopUps | ConfigSection::Releases => {}
        }
    }

    fn remove_budget(&mut self, name: &BudgetName) {
        let Some(former) = self.budgets.remove(name) else {
            return;
        };
        let held = self.team_budgets.get(&former.team);
        let mut names = held.cloned().unwrap_or_default();
        names.retain(|held| held != name);
        if names.is_empty() {
            self.team_budgets.remove(&former.team);
        } else {
            self.team_budgets.insert(former.team, names);
        }
    }

    /// Returns the team that `api_key` identifies. The lookup uses the hash of
    /// the key, and the stored hash is then compared in constant time.
    pub fn team_of_key(&self, api_key: &str) -> Option<&TeamName> {
        let hash = hash_api_key(api_key);
        let (stored, team) = self.team_keys.get_key_value(&hash)?;
        let equal: bool = stored.as_bytes().ct_eq(hash.as_bytes()).into();
        equal.then_some(team)
    }

    /// One past the offset of the publication that set `service`, 0 if the
    /// service does not exist.
    pub fn service_version(&self, service: &ServiceName) -> u64 {
        self.service_versions.get(service).copied().unwrap_or(0)
    }

    /// Returns the first budget of `team` in order of name.
    pub fn budget_of(&self, team: &TeamName) -> Option<&BudgetEntry> {
        let names = self.team_budgets.get(team)?;
        self.budgets.get(names.first()?)
    }

    /// Sum of the top-ups of `budget`, in tokens.
    pub fn credited(&self, budget: &BudgetName) -> TokenCount {
        self.credits.get(budget).copied().unwrap_or_default()
    }

    /// Returns the service that serves `model`.
    pub fn service_of_model(&self, model: &str) -> Option<&ServiceEntry> {
        self.services
            .values()
            .find(|service| service.models.iter().any(|held| held == model))
    }
}

/// Returns the SHA-256 of an API key in hexadecimal, as in the operators' file.
pub fn hash_api_key(api_key: &str) -> String {
    let mut text = String::with_capacity(64);
    for byte in Sha256::digest(api_key.as_bytes()) {
        text.push_str(&format!("{byte:02x}"));
    }
    text
}
