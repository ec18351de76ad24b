//! `run config`: in-force times and bytes of the configuration.

use std::process::ExitCode;

use crate::commands::run::ExperimentOptions;

/// Runs the experiment and prints one JSON object a line.
pub fn exec(_options: &ExperimentOptions) -> ExitCode {
    eprintln!("error: experiment `config` is not built yet");
    ExitCode::FAILURE
}
