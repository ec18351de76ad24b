//! `run routing`: routing policies under lagging load reports.

use std::process::ExitCode;

use hibiscus_routing::policy::LagAware;
use hibiscus_routing::policy::LeastReported;
use hibiscus_routing::policy::RandomChoice;
use hibiscus_routing::policy::RoundRobin;
use hibiscus_routing::policy::RoutingPolicy;
use serde::Serialize;

use crate::commands::run::ExperimentOptions;
use crate::routing_run::RoutingCase;
use crate::routing_run::RoutingResult;
use crate::routing_run::RoutingRun;

/// A case in which nothing but the reports' lag is wrong.
const PLAIN: RoutingCase = RoutingCase {
    name: "lag",
    prefixes: 0,
    lost_events: 0.0,
    unequal: false,
    failing: false,
    leaving: false,
};

/// The cases.
pub const CASES: [RoutingCase; 5] = [
    PLAIN,
    RoutingCase {
        name: "unequal-speed",
        unequal: true,
        ..PLAIN
    },
    RoutingCase {
        name: "prefix-gaps",
        prefixes: 400,
        lost_events: 0.2,
        ..PLAIN
    },
    RoutingCase {
        name: "failing",
        failing: true,
        ..PLAIN
    },
    RoutingCase {
        name: "leaving",
        leaving: true,
        ..PLAIN
    },
];

/// One line of the result.
#[derive(Serialize)]
struct RoutingLine {
    policy: &'static str,
    case: &'static str,
    offered: usize,
    answered: usize,
    first_token_p50_ms: f64,
    first_token_p99_ms: f64,
    prefix_hit_rate: f64,
    imbalance: f64,
}

/// Runs the experiment and prints one JSON object a line.
pub fn exec(options: &ExperimentOptions) -> ExitCode {
    for case in CASES {
        if options.list {
            println!("{}", case.name);
            continue;
        }
        if options.case.as_ref().is_some_and(|name| *name != case.name) {
            continue;
        }
        let seed = options.seed;
        print_line("random", case, run::<RandomChoice>(case, seed, false));
        print_line("round-robin", case, run::<RoundRobin>(case, seed, false));
        print_line(
            "least-reported",
            case,
            run::<LeastReported>(case, seed, false),
        );
        print_line("lag-aware", case, run::<LagAware>(case, seed, true));
    }
    ExitCode::SUCCESS
}

/// Runs one case under one policy.
pub fn run<P: RoutingPolicy + Default>(
    case: RoutingCase,
    seed: u64,
    avoids: bool,
) -> RoutingResult {
    RoutingRun::<P>::new(case, seed, avoids).run()
}

/// Prints the result of one run.
fn print_line(policy: &'static str, case: RoutingCase, result: RoutingResult) {
    let line = RoutingLine {
        policy,
        case: case.name,
        offered: result.offered,
        answered: result.answered,
        first_token_p50_ms: percentile(&result.first_tokens, 0.50),
        first_token_p99_ms: percentile(&result.first_tokens, 0.99),
        prefix_hit_rate: round(result.hits as f64 / result.answered.max(1) as f64, 1_000.0),
        imbalance: round(result.imbalance, 1_000.0),
    };
    let failed = result.failed_attempts;
    eprintln!("{policy} in {}: {failed} failed attempts", case.name);
    match serde_json::to_string(&line) {
        Ok(text) => println!("{text}"),
        Err(error) => eprintln!("error: failed to print a result: {error}"),
    }
}

/// The value below which `share` of the sorted values lie.
pub fn percentile(sorted: &[f64], share: f64) -> f64 {
    if sorted.is_empty() {
        return 0.0;
    }
    let index = (sorted.len() as f64 * share) as usize;
    round(sorted[index.min(sorted.len() - 1)], 10.0)
}

/// `value` rounded to a multiple of one over `steps`.
fn round(value: f64, steps: f64) -> f64 {
    (value * steps).round() / steps
}
