//! `run sizing`: sizing policies of allowance grants.

use std::process::ExitCode;
use std::time::Duration;

use hibiscus_ledger::sizing::DemandShares;
use hibiscus_ledger::sizing::EqualShares;
use hibiscus_ledger::sizing::HorizonShares;
use hibiscus_ledger::sizing::SizingPolicy;
use serde::Serialize;

use crate::commands::run::ExperimentOptions;
use crate::sizing::case::REQUEST_RATE;
use crate::sizing::case::SizingCase;
use crate::sizing::fleet::SizingCounts;
use crate::sizing::fleet::SizingFleet;

/// Request rates at which the appends are compared.
const APPEND_RATES: [f64; 3] = [10.0, 100.0, 1_000.0];

/// Length of each run at these rates.
const APPEND_RUN: Duration = Duration::from_secs(60);

/// One line of the results.
#[derive(Serialize)]
struct SizingLine<'a> {
    policy: &'a str,
    case: &'a str,
    offered: u64,
    admitted: u64,
    overspend_tokens: u64,
    false_refusals: u64,
    held_tokens: u64,
    appends: u64,
    bytes: u64,
}

/// Runs the experiment and prints one JSON object a line.
pub fn exec(options: &ExperimentOptions) -> ExitCode {
    if options.list {
        for case in SizingCase::ALL {
            println!("{}", case.name());
        }
        return ExitCode::SUCCESS;
    }
    let chosen = |case: &SizingCase| {
        let named = options.case.as_deref();
        named.is_none_or(|name| name == case.name())
    };
    let cases: Vec<_> = SizingCase::ALL.into_iter().filter(chosen).collect();
    if cases.is_empty() {
        eprintln!("error: failed to find the case");
        eprintln!("hint: `--list` prints the cases");
        return ExitCode::FAILURE;
    }
    let mut overspend = 0;
    for case in cases {
        overspend += measure("equal-shares", EqualShares, case, options);
        overspend += measure("demand", DemandShares, case, options);
        overspend += measure("horizon", HorizonShares, case, options);
    }
    if options.case.is_none() {
        for rate in APPEND_RATES {
            let name = format!("steady-{rate}-a-second");
            let case = SizingCase::Steady;
            let fleet = SizingFleet::new(case, HorizonShares, rate, options.seed);
            let counts = fleet.with_length(APPEND_RUN).run();
            print("horizon", &name, &counts);
            overspend += counts.overspend_tokens;
        }
    }
    if overspend > 0 {
        eprintln!("error: {overspend} tokens were overspent");
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}

/// Runs one case under one policy, prints it, and returns its overspend.
fn measure<P: SizingPolicy>(
    policy: &str,
    sizing: P,
    case: SizingCase,
    options: &ExperimentOptions,
) -> u64 {
    let counts = SizingFleet::new(case, sizing, REQUEST_RATE, options.seed).run();
    print(policy, case.name(), &counts);
    let refused = 100.0 * counts.false_refusals as f64 / counts.offered.max(1) as f64;
    let used = 100.0 * counts.spent as f64 / counts.credited.max(1) as f64;
    eprintln!(
        "{policy} {}: {refused:.4} % refused falsely, {used:.2} % of the credits used",
        case.name()
    );
    counts.overspend_tokens
}

fn print(policy: &str, case: &str, counts: &SizingCounts) {
    let line = SizingLine {
        policy,
        case,
        offered: counts.offered,
        admitted: counts.admitted,
        overspend_tokens: counts.overspend_tokens,
        false_refusals: counts.false_refusals,
        held_tokens: counts.held_tokens,
        appends: counts.appends,
        bytes: counts.bytes,
    };
    match serde_json::to_string(&line) {
        Ok(text) => println!("{text}"),
        Err(error) => eprintln!("error: failed to print a result: {error}"),
    }
}
