//! `run config`: in-force times and bytes of the configuration.

use std::process::ExitCode;

use serde::Serialize;

use crate::commands::config::load::CaseError;
use crate::commands::config::load::CaseOutcome;
use crate::commands::config::population::PublishLoad;
use crate::commands::run::ExperimentOptions;

pub mod heartbeats;
pub mod load;
pub mod memory;
pub mod observe;
pub mod population;

/// One line of the report.
#[derive(Debug, Serialize)]
struct CaseReport<'a> {
    case: &'a str,
    in_force_p50_ms: f64,
    in_force_p99_ms: f64,
    in_force_worst_ms: f64,
    bytes_per_entry: f64,
    reverted: u64,
    lost_updates: u64,
}

/// The cases: today's size, the same in one data centre, where most
/// instances learn from peers, a day's changes compressed, and the sizes.
const CASES: [(&str, PublishLoad); 6] = [
    (
        "today",
        PublishLoad {
            instances: 7,
            data_centres: 3,
            budgets: 10,
            changes: 400,
            changes_per_second: 40,
        },
    ),
    (
        "today_one_data_centre",
        PublishLoad {
            instances: 7,
            data_centres: 1,
            budgets: 10,
            changes: 400,
            changes_per_second: 40,
        },
    ),
    (
        "day_55000_changes_in_120_s",
        PublishLoad {
            instances: 7,
            data_centres: 3,
            budgets: 1_000,
            changes: 55_000,
            changes_per_second: 458,
        },
    ),
    ("budgets_1000", sized(1_000)),
    ("budgets_10000", sized(10_000)),
    ("budgets_130000", sized(130_000)),
];

/// Name of the case that reports to standard error only.
const HEARTBEATS: &str = "heartbeats";

/// Few instances with `budgets` budgets.
const fn sized(budgets: usize) -> PublishLoad {
    PublishLoad {
        instances: 2,
        data_centres: 2,
        budgets,
        changes: 200,
        changes_per_second: 20,
    }
}

/// Runs the experiment and prints one JSON object a line.
pub fn exec(options: &ExperimentOptions) -> ExitCode {
    let mut sound = true;
    let chosen = |name: &str| options.case.as_deref().is_none_or(|case| case == name);
    if options.list {
        for (name, _load) in CASES {
            println!("{name}");
        }
        println!("{HEARTBEATS}");
        return ExitCode::SUCCESS;
    }
    for (name, case) in &CASES {
        if !chosen(name) {
            continue;
        }
        match run_case(name, case, options.seed) {
            Ok(good) => sound &= good,
            Err(error) => {
                eprintln!("error: {error}");
                sound = false;
            }
        }
    }
    if chosen(HEARTBEATS) {
        heartbeats::run();
    }
    if sound {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Runs one case and prints its line; whether nothing was reverted or lost.
fn run_case(name: &str, case: &PublishLoad, seed: u64) -> Result<bool, CaseError> {
    eprintln!("{name}: {case:?}");
    memory::report(case.budgets)?;
    let outcome = load::run(case, seed)?;
    let report = report_of(name, &outcome);
    match serde_json::to_string(&report) {
        Ok(line) => println!("{line}"),
        Err(error) => eprintln!("error: {error}"),
    }
    Ok(report.reverted == 0 && report.lost_updates == 0)
}

/// The line of one case.
fn report_of<'a>(case: &'a str, outcome: &CaseOutcome) -> CaseReport<'a> {
    let mut delays = outcome.delays_ms.clone();
    delays.sort_by(f64::total_cmp);
    CaseReport {
        case,
        in_force_p50_ms: quantile(&delays, 0.5),
        in_force_p99_ms: quantile(&delays, 0.99),
        in_force_worst_ms: quantile(&delays, 1.0),
        bytes_per_entry: round(outcome.bytes_per_entry),
        reverted: outcome.reverted,
        lost_updates: outcome.lost_updates,
    }
}

/// The `part` quantile of `sorted`, zero when there is nothing.
fn quantile(sorted: &[f64], part: f64) -> f64 {
    let last = sorted.len().saturating_sub(1);
    let place = (part * last as f64).ceil() as usize;
    sorted.get(place).copied().map_or(0.0, round)
}

/// `value` with two decimals.
fn round(value: f64) -> f64 {
    (value * 100.0).round() / 100.0
}
