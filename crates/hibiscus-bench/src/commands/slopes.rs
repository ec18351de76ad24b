//! `run slopes`: slopes of state, messages and time for each role.

use std::process::ExitCode;

use crate::commands::run::ExperimentOptions;

/// Runs the experiment and prints one JSON object a line.
pub fn exec(_options: &ExperimentOptions) -> ExitCode {
    eprintln!("error: experiment `slopes` is not built yet");
    ExitCode::FAILURE
}
