//! Slopes of the pure folds, their records and messages.

use std::time::Instant;

use hibiscus_config::entry::BrandEntry;
use hibiscus_config::entry::BudgetEntry;
use hibiscus_config::entry::ConfigEntry;
use hibiscus_config::entry::TeamEntry;
use hibiscus_config::fold::ConfigFold;
use hibiscus_config::record::ConfigRecord;
use hibiscus_config::record::EntryChange;
use hibiscus_events::EventCode;
use hibiscus_events::EventFields;
use hibiscus_events::EventRecorder;
use hibiscus_events::recorder::RING_CAPACITY;
use hibiscus_ledger::fold::LedgerFold;
use hibiscus_ledger::record::AllowanceGrant;
use hibiscus_ledger::record::BudgetCredit;
use hibiscus_ledger::record::LedgerRecord;
use hibiscus_ledger::record::RecordBatch;
use hibiscus_ledger::record::RequestOpen;
use hibiscus_ledger::record::RequestSettlement;
use hibiscus_ledger::record::SettledEnd;
use hibiscus_ledger::record::TopUpId;
use hibiscus_types::BudgetName;
use hibiscus_types::GrantId;
use hibiscus_types::IncarnationId;
use hibiscus_types::RequestKey;
use hibiscus_types::TeamName;
use hibiscus_types::TokenCount;
use hibiscus_types::UnixMillis;
use hibiscus_types::codec;
use hibiscus_types::codec::Result;

use crate::commands::slopes::procfs;
use crate::commands::slopes::report;

/// Budgets folded; the two-year size.
const BUDGETS: u64 = 130_000;
/// Grants, opens and settlements folded.
const RECORDS: u64 = 200_000;
/// Records in one batch.
const BATCH: usize = 100;
/// Teams; the two-year size.
const TEAMS: u64 = 920;
/// The brand of all teams.
const BRAND: &str = "prairie-seam";
/// Tokens of a top-up; covers all grants.
const TOP_UP: u64 = 1_000_000_000;

/// Everything made stays in memory: the resident set grows by what is kept
/// only while no freed memory is used again.
#[derive(Default)]
struct KeptState {
    ledger: LedgerFold,
    config: ConfigFold,
    offset: u64,
    batches: Vec<RecordBatch>,
    records: Vec<ConfigRecord>,
}

/// Measures and prints all slopes of pure state.
pub(crate) fn measure() -> Result<()> {
    let events = measure_events();
    let mut kept = KeptState::default();
    kept.fold_config()?;
    let credits = (0..BUDGETS).map(credit).collect();
    kept.fold_ledger(
        ["ledger memory", "ledger fold time", "ledger record"],
        "budget",
        credits,
    )?;
    let grants = (0..RECORDS).map(grant).collect();
    kept.fold_ledger(
        ["ledger memory", "ledger fold time", "ledger record"],
        "grant",
        grants,
    )?;
    let opens = (0..RECORDS).map(open).collect();
    kept.fold_ledger(
        ["ledger memory", "ledger fold time", "ledger record"],
        "open",
        opens,
    )?;
    let settlements = (0..RECORDS).map(settle).collect();
    kept.fold_ledger(
        [
            "ledger memory beyond its open",
            "ledger fold time",
            "ledger record",
        ],
        "settlement",
        settlements,
    )?;
    drop(events);
    Ok(())
}

impl KeptState {
    /// Folds `records`; prints memory, time and size of one.
    fn fold_ledger(
        &mut self,
        names: [&'static str; 3],
        per: &'static str,
        records: Vec<LedgerRecord>,
    ) -> Result<()> {
        let count = records.len() as u64;
        let mut batches = Vec::with_capacity(records.len().div_ceil(BATCH));
        let mut bytes = 0;
        let incarnation = IncarnationId::generate();
        let mut records = records.into_iter().peekable();
        while records.peek().is_some() {
            let batch = RecordBatch {
                incarnation,
                sequence: batches.len() as u64 + 1,
                records: records.by_ref().take(BATCH).collect(),
            };
            bytes += codec::encode(&batch)?.len();
            batches.push(batch);
        }
        let before = procfs::look(std::process::id()).resident;
        let started = Instant::now();
        for batch in &batches {
            let _verdicts = self.ledger.apply(self.offset, batch);
            self.offset += 1;
        }
        let elapsed = started.elapsed().as_secs_f64();
        let after = procfs::look(std::process::id()).resident;
        let share = count as f64;
        report(names[0], per, "bytes", (after - before) / share, count);
        report(names[1], per, "microseconds", elapsed * 1e6 / share, count);
        report(names[2], per, "bytes", bytes as f64 / share, count);
        self.batches.append(&mut batches);
        Ok(())
    }

    /// Folds one publication a budget, behind one that holds all teams.
    fn fold_config(&mut self) -> Result<()> {
        let brand = ConfigEntry::Brand(BrandEntry {
            name: BRAND.to_owned(),
        });
        let mut changes = vec![change(brand)];
        for number in 0..TEAMS {
            changes.push(change(ConfigEntry::Team(TeamEntry {
                name: team(number),
                brand: BRAND.to_owned(),
                api_key_sha256: vec![format!("{number:064x}")],
            })));
        }
        let teams = ConfigRecord {
            publication: u128::MAX,
            changes,
        };
        self.config.apply(0, &teams);
        let mut records = Vec::with_capacity(usize::try_from(BUDGETS).unwrap_or(0));
        let mut bytes = 0;
        for number in 0..BUDGETS {
            let entry = ConfigEntry::Budget(BudgetEntry {
                name: budget_name(number),
                team: team(number),
            });
            let record = ConfigRecord {
                publication: u128::from(number) + 1,
                changes: vec![change(entry)],
            };
            bytes += codec::encode(&record)?.len();
            records.push(record);
        }
        let before = procfs::look(std::process::id()).resident;
        let started = Instant::now();
        for (offset, record) in records.iter().enumerate() {
            self.config.apply(offset as u64 + 1, record);
        }
        let elapsed = started.elapsed().as_secs_f64();
        let after = procfs::look(std::process::id()).resident;
        let share = BUDGETS as f64;
        let per = "configuration entry";
        report(
            "config memory",
            per,
            "bytes",
            (after - before) / share,
            BUDGETS,
        );
        report(
            "config fold time",
            per,
            "microseconds",
            elapsed * 1e6 / share,
            BUDGETS,
        );
        report("config record", per, "bytes", bytes as f64 / share, BUDGETS);
        self.records.append(&mut records);
        Ok(())
    }
}

/// Fills an event ring.
fn measure_events() -> EventRecorder {
    let recorder = EventRecorder::new("router-1");
    let before = procfs::look(std::process::id()).resident;
    let started = Instant::now();
    for number in 0..RING_CAPACITY as u64 {
        recorder.record(
            EventCode::RequestSettled,
            EventFields {
                request: request(number).to_string(),
                team: team(number).to_string(),
                budget: budget_name(number).to_string(),
                server: "stylist-llm-1".to_owned(),
                ..EventFields::default()
            },
        );
    }
    let elapsed = started.elapsed().as_secs_f64();
    let after = procfs::look(std::process::id()).resident;
    let count = RING_CAPACITY as u64;
    let share = count as f64;
    report(
        "event ring memory",
        "event",
        "bytes",
        (after - before) / share,
        count,
    );
    report(
        "event recording time",
        "event",
        "microseconds",
        elapsed * 1e6 / share,
        count,
    );
    recorder
}

/// A new entry.
fn change(entry: ConfigEntry) -> EntryChange {
    EntryChange {
        key: entry.key(),
        entry: Some(entry),
        replaces: None,
        asked_by: "Dana, front desk".to_owned(),
    }
}

fn team(number: u64) -> TeamName {
    TeamName::new(format!("team-{:04}", number % TEAMS))
}

fn budget_name(number: u64) -> BudgetName {
    BudgetName::new(format!("budget-{:06}", number % BUDGETS))
}

fn request(number: u64) -> RequestKey {
    RequestKey::new(
        team(number),
        format!("01936f2e-7b00-7000-8000-{number:012}"),
    )
}

fn grant_id(number: u64) -> GrantId {
    GrantId::from_u128(0x0193_6f2e_7b00_7000_8000 << 64 | u128::from(number + 1))
}

fn credit(number: u64) -> LedgerRecord {
    LedgerRecord::Credit(BudgetCredit {
        id: TopUpId(format!("2026-12-01-{number:06}")),
        team: team(number),
        budget: budget_name(number),
        tokens: TokenCount::new(TOP_UP),
    })
}

fn grant(number: u64) -> LedgerRecord {
    LedgerRecord::Grant(AllowanceGrant {
        id: grant_id(number),
        budget: budget_name(number),
        holder: IncarnationId::from_u128(1 << 96),
        instance: "router-001".into(),
        tokens: TokenCount::new(10_000),
        witnesses: vec![
            IncarnationId::from_u128(2 << 96),
            IncarnationId::from_u128(3 << 96),
        ],
    })
}

fn open(number: u64) -> LedgerRecord {
    LedgerRecord::Open(RequestOpen {
        key: request(number),
        grant: grant_id(number),
        reserved: TokenCount::new(600),
        server: "stylist-llm-1".into(),
        exclusive: false,
        attempt: 0,
        opened: UnixMillis::new(1_796_000_000_000),
    })
}

fn settle(number: u64) -> LedgerRecord {
    LedgerRecord::Settle(RequestSettlement {
        key: request(number),
        grant: grant_id(number),
        attempt: 0,
        reserved: TokenCount::new(600),
        charge: TokenCount::new(300),
        end: SettledEnd::Ran,
        answer: None,
    })
}
