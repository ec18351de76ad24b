//! `run slopes`: slopes of state, messages and time for each role.
//!
//! Pure state is measured in this process: memory by the growth of the
//! resident set, time by the clock. The rest is measured at router processes:
//! idle, under load, and with streams held open.

mod fleet;
mod procfs;
mod state;

use std::process::ExitCode;

use serde::Serialize;

use crate::commands::run::ExperimentOptions;

/// One measured slope.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct SlopeReport {
    /// What grows.
    slope: &'static str,
    /// With what it grows.
    per: &'static str,
    /// Its unit.
    unit: &'static str,
    /// The growth.
    value: f64,
    /// Over how many it was measured.
    samples: u64,
}

/// Prints one slope.
pub(crate) fn report(
    slope: &'static str,
    per: &'static str,
    unit: &'static str,
    value: f64,
    samples: u64,
) {
    let report = SlopeReport {
        slope,
        per,
        unit,
        value,
        samples,
    };
    match serde_json::to_string(&report) {
        Ok(line) => println!("{line}"),
        Err(error) => eprintln!("error: failed to write a slope: {error}"),
    }
}

/// Measures all slopes and prints one JSON object a line.
pub fn exec(options: &ExperimentOptions) -> ExitCode {
    if let Err(error) = state::measure() {
        eprintln!("error: {error}");
        return ExitCode::FAILURE;
    }
    match fleet::measure(options.seed) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}
