//! `run faults`: faults of a deployment of real processes.

use std::process::ExitCode;

use crate::commands::run::ExperimentOptions;

/// Runs the experiment and prints one JSON object a line.
pub fn exec(_options: &ExperimentOptions) -> ExitCode {
    eprintln!("error: experiment `faults` is not built yet");
    ExitCode::FAILURE
}
