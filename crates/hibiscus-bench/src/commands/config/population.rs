//! Entries of a deployment of a given size, and changes to them.

use std::collections::BTreeMap;

use fastrand::Rng;
use hibiscus_config::entry::BrandEntry;
use hibiscus_config::entry::BudgetEntry;
use hibiscus_config::entry::ConfigEntry;
use hibiscus_config::entry::EntryKey;
use hibiscus_config::entry::TeamEntry;
use hibiscus_config::entry::TopUpEntry;
use hibiscus_config::record::ConfigRecord;
use hibiscus_config::record::EntryChange;
use hibiscus_config::snapshot;
use hibiscus_types::TokenCount;

/// Teams in steady use at the size to design for.
const TEAM_LIMIT: usize = 920;
/// Entries of one publication of the population.
const RECORD_ENTRIES: usize = 500;
/// Of so many changes, one is a top-up; the others replace a team's keys.
const TOP_UP_EVERY: u64 = 4;

/// What one case publishes.
#[derive(Clone, Copy, Debug)]
pub struct PublishLoad {
    /// Router instances.
    pub instances: usize,
    /// Data centres that they are spread over.
    pub data_centres: usize,
    /// Budgets.
    pub budgets: usize,
    /// Changes after the population, each a publication.
    pub changes: u64,
    /// Changes a second.
    pub changes_per_second: u64,
}

impl PublishLoad {
    /// Teams of the population.
    pub fn teams(&self) -> usize {
        self.budgets.min(TEAM_LIMIT)
    }
}

/// The publications that set up `budgets` budgets, each topped up once.
pub fn records(budgets: usize) -> Vec<ConfigRecord> {
    let teams = budgets.min(TEAM_LIMIT);
    let mut entries = vec![ConfigEntry::Brand(BrandEntry {
        name: "north".to_owned(),
    })];
    entries.extend((0..teams).map(|number| team(number, 0)));
    for number in 0..budgets {
        entries.push(ConfigEntry::Budget(BudgetEntry {
            name: budget_name(number).as_str().into(),
            team: team_name(number % teams).as_str().into(),
        }));
        entries.push(top_up(number, "first"));
    }
    let mut records = Vec::new();
    for (index, chunk) in entries.chunks(RECORD_ENTRIES).enumerate() {
        records.push(ConfigRecord {
            publication: index as u128 + 1,
            changes: chunk.iter().map(|entry| new_entry(entry.clone())).collect(),
        });
    }
    records
}

/// One change of a generator.
pub struct NextChange {
    /// The publication.
    pub record: ConfigRecord,
    /// The entry that it sets.
    pub entry: ConfigEntry,
}

/// Makes the changes of one publisher, who alone changes its teams.
pub struct ChangeSource {
    rng: Rng,
    publisher: usize,
    publishers: usize,
    load: PublishLoad,
    made: u64,
    /// Offsets of the versions in force of its entries.
    pub offsets: BTreeMap<EntryKey, u64>,
}

impl ChangeSource {
    /// The changes of `publisher` among `publishers`.
    pub fn new(load: PublishLoad, seed: u64, publisher: usize, publishers: usize) -> Self {
        Self {
            rng: Rng::with_seed(seed.wrapping_mul(1_000).wrapping_add(publisher as u64)),
            publisher,
            publishers,
            load,
            made: 0,
            offsets: BTreeMap::new(),
        }
    }

    /// The next change.
    pub fn next_change(&mut self) -> NextChange {
        self.made += 1;
        let id = format!("{}-{}", self.publisher, self.made);
        let entry = if self.rng.u64(0..TOP_UP_EVERY) == 0 {
            top_up(self.rng.usize(0..self.load.budgets), &id)
        } else {
            let own = self.load.teams() / self.publishers;
            let number = self.rng.usize(0..own) * self.publishers + self.publisher;
            team(number, self.made)
        };
        let mut change = new_entry(entry.clone());
        change.replaces = self.offsets.get(&change.key).copied();
        let record = ConfigRecord {
            publication: u128::from(self.rng.u64(..)) << 64 | u128::from(self.rng.u64(..)),
            changes: vec![change],
        };
        NextChange { record, entry }
    }
}

/// A change that sets a new entry.
fn new_entry(entry: ConfigEntry) -> EntryChange {
    EntryChange {
        key: entry.key(),
        entry: Some(entry),
        replaces: None,
        asked_by: "Dana, front desk".to_owned(),
    }
}

fn team_name(number: usize) -> String {
    format!("team-{number:04}")
}

fn budget_name(number: usize) -> String {
    format!("budget-{number:06}")
}

/// The team `number` with the API key of its version `version`.
fn team(number: usize, version: u64) -> ConfigEntry {
    let api_key = format!("{number}/{version}");
    ConfigEntry::Team(TeamEntry {
        name: team_name(number).as_str().into(),
        brand: "north".to_owned(),
        api_key_sha256: vec![snapshot::hash_api_key(&api_key)],
    })
}

/// A top-up of the budget `number`.
fn top_up(number: usize, id: &str) -> ConfigEntry {
    ConfigEntry::TopUp(TopUpEntry {
        id: format!("top-up-{number:06}-{id}"),
        budget: budget_name(number).as_str().into(),
        tokens: TokenCount::new(200_000),
    })
}
