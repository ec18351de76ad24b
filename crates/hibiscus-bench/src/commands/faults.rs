//! `run faults`: faults of a deployment of real processes.
//!
//! Starts seven router processes behind proxies, offers load, causes and heals
//! a fault, and compares the ledger with the callers' and servers' records.

pub mod cases;
pub mod check;
pub mod deployment;
pub mod ledger;
pub mod load;
pub mod plan;
pub mod records;

use std::process::ExitCode;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde::Serialize;

use crate::commands::faults::cases::FaultCase;
use crate::commands::faults::check::FaultCounts;
use crate::commands::faults::deployment::DeploymentError;
use crate::commands::faults::deployment::FaultDeployment;
use crate::commands::faults::ledger::LedgerError;
use crate::commands::faults::load::CallerLoad;
use crate::commands::faults::plan::DeploymentPlan;
use crate::commands::faults::plan::PLANS;
use crate::commands::faults::records::CaseRecords;
use crate::commands::faults::records::LedgerFacts;
use crate::commands::run::ExperimentOptions;

/// Load before the fault.
const LEAD_TIME: Duration = Duration::from_secs(2);
/// Load after the fault.
const TAIL_TIME: Duration = Duration::from_secs(2);
/// Time that the ledger may take to hold all settlements.
const SETTLE_LIMIT: Duration = Duration::from_secs(8);
/// Time between looks at the ledger.
const SETTLE_POLL: Duration = Duration::from_millis(200);
/// Explanations printed of one case.
const NOTE_LIMIT: usize = 12;

/// Why a case could not run.
#[derive(Debug, thiserror::Error)]
pub enum FaultsError {
    /// The deployment failed.
    #[error(transparent)]
    Deployment(#[from] DeploymentError),
    /// The ledger cannot be read.
    #[error(transparent)]
    Ledger(#[from] LedgerError),
}

/// Result of a case.
pub type Result<T> = std::result::Result<T, FaultsError>;

/// One line of the report.
#[derive(Debug, Serialize)]
struct CaseReport {
    case: String,
    seed: u64,
    offered: u64,
    answered: u64,
    overspend_tokens: u64,
    false_refusals: u64,
    unbilled: u64,
    double_billed: u64,
    crossed: u64,
    cut: u64,
    false_not_run: u64,
    ran_twice: u64,
    cut_by_stop: u64,
    p50_ms: f64,
    p99_ms: f64,
}

/// Runs the cases asked for and prints one JSON object a case.
pub fn exec(options: &ExperimentOptions) -> ExitCode {
    if options.list {
        for case in FaultCase::ALL {
            println!("{}", case.name());
        }
        return ExitCode::SUCCESS;
    }
    let Some(plan) = find_plan(options) else {
        let known: Vec<&str> = PLANS.iter().map(|plan| plan.name).collect();
        eprintln!("error: failed to find the deployment");
        eprintln!("hint: {}", known.join(" or "));
        return ExitCode::FAILURE;
    };
    let runs = select(options);
    if runs.is_empty() {
        eprintln!("error: failed to find the case");
        eprintln!("hint: `hibiscus-bench run faults --list` names the cases");
        return ExitCode::FAILURE;
    }
    let mut safe = true;
    for cases in runs {
        match run_case(plan, &cases, options.seed) {
            Ok(passed) => safe &= passed,
            Err(error) => {
                eprintln!("error: failed to run case `{}`: {error}", name_of(&cases));
                safe = false;
            }
        }
    }
    if safe {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// The deployment that the options name, the first when they name none.
fn find_plan(options: &ExperimentOptions) -> Option<&'static DeploymentPlan> {
    let Some(name) = &options.deployment else {
        return Some(PLANS[0]);
    };
    PLANS.into_iter().find(|plan| plan.name == *name)
}

/// The cases, each alone or in pairs. A pair is named `first+second`.
fn select(options: &ExperimentOptions) -> Vec<Vec<FaultCase>> {
    let mut all = Vec::new();
    for (index, first) in FaultCase::ALL.into_iter().enumerate() {
        all.push(vec![first]);
        if first == FaultCase::Steady {
            continue;
        }
        for second in &FaultCase::ALL[index + 1..] {
            all.push(vec![first, *second]);
        }
    }
    all.retain(|cases| match &options.case {
        Some(name) => name_of(cases) == *name,
        None => (cases.len() > 1) == options.pairs,
    });
    all
}

/// Name of one run.
fn name_of(cases: &[FaultCase]) -> String {
    let names: Vec<&str> = cases.iter().map(|case| case.name()).collect();
    names.join("+")
}

/// Runs one case or a pair at once; true when it is safe.
fn run_case(plan: &'static DeploymentPlan, cases: &[FaultCase], seed: u64) -> Result<bool> {
    let case = name_of(cases);
    let started = Instant::now();
    eprintln!("{case}: deployment {}, seed {seed}", plan.name);
    let mut deployment = FaultDeployment::start(plan, seed)?;
    let records = record_case(&mut deployment, cases, seed)?;
    let mut notes = Vec::new();
    let counts = check::check(&records, |text| notes.push(text));
    // A false refusal breaks no promise: one example of them is enough.
    let (refusals, faults): (Vec<_>, Vec<_>) = notes
        .iter()
        .partition(|text| text.starts_with("false_refusal"));
    for text in refusals
        .iter()
        .take(1)
        .chain(faults.iter().take(NOTE_LIMIT))
    {
        eprintln!("{case}: {text}");
    }
    for violation in &deployment.violations {
        eprintln!("{case}: {violation}");
    }
    let safe = counts.is_safe() && deployment.violations.is_empty();
    print_report(case.clone(), seed, &counts);
    eprintln!(
        "{case}: safe={safe} in {:.1} s",
        started.elapsed().as_secs_f64()
    );
    Ok(safe)
}

/// Offers load, causes and heals the faults, and waits for the ledger.
fn record_case(
    deployment: &mut FaultDeployment,
    cases: &[FaultCase],
    seed: u64,
) -> Result<CaseRecords> {
    let load = CallerLoad::start(
        deployment.plan,
        &deployment.directory,
        deployment.margin_tokens(),
        seed,
    );
    thread::sleep(LEAD_TIME);
    let mut calls = Vec::new();
    let mut duration = Duration::ZERO;
    for case in cases {
        calls.append(&mut case.cause(deployment, seed)?);
        duration = duration.max(case.duration());
    }
    thread::sleep(duration);
    for case in cases {
        case.heal(deployment);
    }
    thread::sleep(TAIL_TIME);
    calls.append(&mut load.finish());
    let mut records = CaseRecords {
        calls,
        stops: deployment.stops.clone(),
        ..CaseRecords::default()
    };
    records.ledger = settle(deployment, &records)?;
    records.engine_runs = deployment.engine_runs();
    records.plain_runs = deployment.plain_runs();
    Ok(records)
}

/// The ledger once it holds a charge for every whole answer, or at the limit.
fn settle(deployment: &FaultDeployment, records: &CaseRecords) -> Result<LedgerFacts> {
    let deadline = Instant::now() + SETTLE_LIMIT;
    loop {
        let ledger = ledger::read(deployment.log())?;
        if Instant::now() >= deadline || holds_all(&ledger, records) {
            return Ok(ledger);
        }
        thread::sleep(SETTLE_POLL);
    }
}

/// Whether every whole answer has a charge.
fn holds_all(ledger: &LedgerFacts, records: &CaseRecords) -> bool {
    let charged: std::collections::BTreeSet<&str> = ledger
        .charges
        .iter()
        .map(|charge| charge.key.as_str())
        .collect();
    records
        .calls
        .iter()
        .all(|call| call.answer.is_none() || charged.contains(call.key.as_str()))
}

/// Prints one line.
fn print_report(case: String, seed: u64, counts: &FaultCounts) {
    let report = CaseReport {
        case,
        seed,
        offered: counts.offered,
        answered: counts.answered,
        overspend_tokens: counts.overspend_tokens,
        false_refusals: counts.false_refusals,
        unbilled: counts.unbilled,
        double_billed: counts.double_billed,
        crossed: counts.crossed,
        cut: counts.cut,
        false_not_run: counts.false_not_run,
        ran_twice: counts.ran_twice,
        cut_by_stop: counts.cut_by_stop,
        p50_ms: counts.p50_ms,
        p99_ms: counts.p99_ms,
    };
    match serde_json::to_string(&report) {
        Ok(line) => println!("{line}"),
        Err(error) => eprintln!("error: failed to write the report: {error}"),
    }
}
