//! Checks changed entries against each other and against unchanged entries.
//!
//! The same checks run on an operators' file, where every line counts as a new
//! entry, and inside the fold, where they are part of the verdict. A
//! publication that was checked against an older state therefore cannot leave
//! a team without its brand. A change of these checks changes verdicts, so it
//! needs a new record format.

use std::collections::BTreeMap;

use hibiscus_types::BudgetName;
use hibiscus_types::TeamName;
use hibiscus_types::TokenCount;
use serde::Deserialize;
use serde::Serialize;

use crate::entry::ConfigEntry;
use crate::entry::EntryClaim;
use crate::entry::EntryKey;
use crate::entry::ServiceEntry;
use crate::entry::ServiceKind;
use crate::index::EntryIndex;

/// Most tokens that all top-ups of a budget may add up to: 30 million tokens
/// a second for a year.
pub const BUDGET_LIMIT: TokenCount = TokenCount::new(1_000_000_000_000_000);
/// Most bytes of a name.
pub const NAME_LIMIT: usize = 200;
/// Prefix of the paths that the router serves itself on its port for callers.
const RESERVED_PATHS: &str = "/v1/";

/// A fault of an entry. It is part of the verdict, so the texts must be the
/// same in all instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryFault {
    /// Key of the entry.
    pub key: EntryKey,
    /// Name of the faulty field, empty for the whole entry.
    pub field: String,
    /// Description of the fault.
    pub message: String,
    /// How to correct the fault.
    pub hint: String,
}

/// The entries before the changes, against which the changes are checked.
pub trait EntrySource {
    /// Returns the entry of `key`.
    fn entry(&self, key: &EntryKey) -> Option<&ConfigEntry>;

    /// Returns the former team of a removed budget.
    fn former_team(&self, budget: &BudgetName) -> Option<&TeamName>;

    /// Returns the index of the entries.
    fn index(&self) -> &EntryIndex;
}

/// Changed entries by key, `None` for removed entries.
pub type ChangeSet<'a> = BTreeMap<&'a EntryKey, Option<&'a ConfigEntry>>;

/// Returns all faults of `changes` applied to `source`, in order of key.
pub fn check<S: EntrySource>(source: &S, changes: &ChangeSet<'_>) -> Vec<EntryFault> {
    let mut check = ChangeCheck {
        source,
        changes,
        faults: Vec::new(),
    };
    for (key, entry) in changes {
        match entry {
            Some(entry) => check.check_entry(key, entry),
            None => check.check_removal(key),
        }
    }
    check.check_claims();
    check.check_credits();
    check.faults.sort_by(|left, right| left.key.cmp(&right.key));
    check.faults
}

/// State of a check of one change set.
struct ChangeCheck<'a, S> {
    source: &'a S,
    changes: &'a ChangeSet<'a>,
    faults: Vec<EntryFault>,
}

impl<S: EntrySource> ChangeCheck<'_, S> {
    fn fault(&mut self, key: &EntryKey, field: &str, message: String, hint: &str) {
        self.faults.push(EntryFault {
            key: key.clone(),
            field: field.to_owned(),
            message,
            hint: hint.to_owned(),
        });
    }

    /// Returns the entry of `key` as it is after the changes.
    fn entry_after(&self, key: &EntryKey) -> Option<&ConfigEntry> {
        match self.changes.get(key) {
            Some(changed) => *changed,
            None => self.source.entry(key),
        }
    }

    fn check_entry(&mut self, key: &EntryKey, entry: &ConfigEntry) {
        if key.name.is_empty() || key.name.len() > NAME_LIMIT {
            let message = format!("the name must have 1 to {NAME_LIMIT} bytes");
            self.fault(key, "", message, "choose a short name");
        }
        if entry.key() != *key {
            let message = format!("the entry is {} but was published as {key}", entry.key());
            self.fault(key, "", message, "publish with this release of hibiscusctl");
        }
        self.check_reference(key, entry);
        self.check_permanence(key, entry);
        match entry {
            ConfigEntry::Budget(budget) => self.check_team(key, &budget.name, &budget.team),
            ConfigEntry::TopUp(top_up) if top_up.tokens.is_zero() => {
                let message = "a top-up must add at least 1 token".to_owned();
                self.fault(key, "tokens", message, "give the tokens paid for");
            }
            ConfigEntry::Service(service) => self.check_service(key, service),
            ConfigEntry::Route(route) if route.path.starts_with(RESERVED_PATHS) => {
                let message = format!("paths below `{RESERVED_PATHS}` are the router's own");
                self.fault(key, "path", message, "choose another path");
            }
            _ => {}
        }
    }

    fn check_reference(&mut self, key: &EntryKey, entry: &ConfigEntry) {
        let Some((field, target)) = entry.reference() else {
            return;
        };
        let known = self.source.entry(key) == Some(entry) && key.section.is_permanent();
        match self.entry_after(&target) {
            _ if known => {}
            None => {
                let message = format!("{target} does not exist");
                let hint = format!("add it to `{}`, or correct `{field}`", target.section);
                self.fault(key, field, message, &hint);
            }
            Some(ConfigEntry::Service(service)) if service.kind != ServiceKind::Plain => {
                let message = format!("{target} is no plain service");
                let hint = "a route leads to a plain service; models are called by name";
                self.fault(key, field, message, hint);
            }
            Some(_) => {}
        }
    }

    /// Checks that an existing top-up or release does not change.
    fn check_permanence(&mut self, key: &EntryKey, entry: &ConfigEntry) {
        let Some(held) = self.source.entry(key) else {
            return;
        };
        if !key.section.is_permanent() || held == entry {
            return;
        }
        let message = format!("{key} was published with other values and cannot change");
        self.fault(key, "", message, "give the new one an id of its own");
    }

    /// Checks that a budget does not move to another team, because charges would
    /// then go to the wrong team.
    fn check_team(&mut self, key: &EntryKey, name: &BudgetName, team: &TeamName) {
        let held = match self.source.entry(key) {
            Some(ConfigEntry::Budget(held)) => Some(&held.team),
            _ => self.source.former_team(name),
        };
        let Some(owner) = held.filter(|owner| *owner != team) else {
            return;
        };
        let message = format!("{key} belongs to team `{owner}` and cannot move");
        self.fault(key, "team", message, "add a budget with a new name");
    }

    fn check_service(&mut self, key: &EntryKey, service: &ServiceEntry) {
        match service.kind {
            ServiceKind::Model if service.models.is_empty() => {
                let message = "a model service must name its models".to_owned();
                self.fault(key, "models", message, "add `\"models\": [\"NAME\"]`");
            }
            ServiceKind::Plain if !service.models.is_empty() => {
                let message = "a plain service has no models".to_owned();
                self.fault(key, "models", message, "remove `models`, or set `kind`");
            }
            ServiceKind::Plain => {}
            ServiceKind::Model => {
                let routes = self.routes_to(key);
                if routes > 0 {
                    let message = format!("{routes} route(s) need this to be a plain service");
                    self.fault(key, "kind", message, "remove the routes first");
                }
            }
        }
    }

    /// Number of unchanged routes to a service that is no longer plain.
    fn routes_to(&self, key: &EntryKey) -> usize {
        let was_plain = matches!(
            self.source.entry(key),
            Some(ConfigEntry::Service(held)) if held.kind == ServiceKind::Plain
        );
        if was_plain {
            self.unchanged_references(key)
        } else {
            0
        }
    }

    fn check_removal(&mut self, key: &EntryKey) {
        if key.section.is_permanent() {
            let message = format!("{key} cannot be removed");
            self.fault(key, "", message, "what was paid is not taken back");
            return;
        }
        let unchanged_references = self.unchanged_references(key);
        if unchanged_references > 0 {
            let message = format!("{key} is still named by {unchanged_references} other entries");
            self.fault(key, "", message, "remove or change those too");
        }
    }

    /// Number of unchanged entries that refer to `key`.
    fn unchanged_references(&self, key: &EntryKey) -> usize {
        let mut count = self.source.index().references(key);
        for changed in self.changes.keys() {
            let before = self.source.entry(changed);
            let named = before.filter(|entry| EntryIndex::refers(entry, key));
            count -= usize::from(named.is_some());
        }
        count
    }

    /// Checks that no two entries hold the same unique value.
    fn check_claims(&mut self) {
        let mut taken: BTreeMap<EntryClaim, &EntryKey> = BTreeMap::new();
        for (key, entry) in self.changes {
            let Some(entry) = entry else {
                continue;
            };
            for claim in entry.claims() {
                let holder = match taken.get(&claim) {
                    Some(holder) => Some(*holder),
                    None => self.unchanged_holder(&claim),
                };
                if let Some(holder) = holder {
                    let message = format!("`{}` is held by {holder} already", claim.value());
                    let hint = "each API key and each model belongs to one entry";
                    self.fault(key, claim.field(), message, hint);
                }
                taken.entry(claim).or_insert(key);
            }
        }
    }

    /// Returns the unchanged entry that holds `claim`.
    fn unchanged_holder(&self, claim: &EntryClaim) -> Option<&EntryKey> {
        let holder = self.source.index().holder(claim)?;
        (!self.changes.contains_key(holder)).then_some(holder)
    }

    /// Checks that no budget is topped up beyond [`BUDGET_LIMIT`].
    fn check_credits(&mut self) {
        let mut added: BTreeMap<&BudgetName, TokenCount> = BTreeMap::new();
        for (key, entry) in self.changes {
            let Some(ConfigEntry::TopUp(top_up)) = entry else {
                continue;
            };
            if self.source.entry(key).is_some() {
                continue;
            }
            let held = self.source.index().credited(&top_up.budget);
            let sum = added.entry(&top_up.budget).or_insert(held);
            *sum = sum.saturating_add(top_up.tokens);
            if *sum <= BUDGET_LIMIT {
                continue;
            }
            let message = format!(
                "the top-ups of budget `{}` come to more than {BUDGET_LIMIT} tokens",
                top_up.budget
            );
            self.fault(key, "tokens", message, "check the digits of the amount");
        }
    }
}

/// A source without entries, against which a file is checked.
#[derive(Clone, Debug, Default)]
pub struct EmptySource {
    index: EntryIndex,
}

impl EntrySource for EmptySource {
    fn entry(&self, _key: &EntryKey) -> Option<&ConfigEntry> {
        None
    }

    fn former_team(&self, _budget: &BudgetName) -> Option<&TeamName> {
        None
    }

    fn index(&self) -> &EntryIndex {
        &self.index
    }
}
