//! `run sizing`: sizing policies of allowance grants.

use std::process::ExitCode;

use crate::commands::run::ExperimentOptions;

/// Runs the experiment and prints one JSON object a line.
pub fn exec(_options: &ExperimentOptions) -> ExitCode {
    eprintln!("error: experiment `sizing` is not built yet");
    ExitCode::FAILURE
}
