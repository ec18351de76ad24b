//! `run overhead`: time that the fleet adds to an engine.

use std::process::ExitCode;

use crate::commands::run::ExperimentOptions;

/// Runs the experiment and prints one JSON object a line.
pub fn exec(_options: &ExperimentOptions) -> ExitCode {
    eprintln!("error: experiment `overhead` is not built yet");
    ExitCode::FAILURE
}
