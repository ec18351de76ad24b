//! `run routing`: routing policies under lagging load reports.

use std::process::ExitCode;

use crate::commands::run::ExperimentOptions;

/// Runs the experiment and prints one JSON object a line.
pub fn exec(_options: &ExperimentOptions) -> ExitCode {
    eprintln!("error: experiment `routing` is not built yet");
    ExitCode::FAILURE
}
