//! `run`: the experiments, each in a file of its own.

use std::process::ExitCode;

use bpaf::Parser;
use bpaf::construct;
use bpaf::long;
use bpaf::positional;

use crate::commands::config;
use crate::commands::faults;
use crate::commands::overhead;
use crate::commands::routing;
use crate::commands::sizing;
use crate::commands::slopes;

/// Seed of an experiment that names none.
const DEFAULT_SEED: u64 = 1;

/// Arguments that the experiments share.
#[derive(Clone, Debug)]
pub struct ExperimentOptions {
    /// Seed of all random choices.
    pub seed: u64,
    /// Runs only the case of this name.
    pub case: Option<String>,
    /// Runs pairs of cases at once.
    pub pairs: bool,
    /// Lists the cases and runs none.
    pub list: bool,
    /// Name of the deployment, when it is not the first.
    pub deployment: Option<String>,
}

/// One experiment with its arguments.
#[derive(Clone, Debug)]
pub struct RunCommand {
    /// Arguments that the experiments share.
    pub options: ExperimentOptions,
    /// Name of the experiment.
    pub experiment: String,
}

/// The parser of the subcommand's arguments.
pub fn cli() -> impl Parser<RunCommand> {
    let seed = long("seed")
        .help("Seed of all random choices")
        .argument::<u64>("SEED")
        .fallback(DEFAULT_SEED);
    let case = long("case")
        .help("Run only the case of this name")
        .argument::<String>("NAME")
        .optional();
    let pairs = long("pairs").help("Run pairs of cases at once").switch();
    let list = long("list").help("List the cases and run none").switch();
    let deployment = long("deployment")
        .help("Run on the deployment of this name")
        .argument::<String>("NAME")
        .optional();
    let options = construct!(ExperimentOptions {
        seed,
        case,
        pairs,
        list,
        deployment
    });
    let experiment = positional::<String>("EXPERIMENT")
        .help("config, faults, overhead, routing, sizing or slopes");
    construct!(RunCommand {
        options,
        experiment
    })
}

/// Runs the experiment.
pub fn exec(command: &RunCommand) -> ExitCode {
    let options = &command.options;
    match command.experiment.as_str() {
        "config" => config::exec(options),
        "faults" => faults::exec(options),
        "overhead" => overhead::exec(options),
        "routing" => routing::exec(options),
        "sizing" => sizing::exec(options),
        "slopes" => slopes::exec(options),
        other => {
            eprintln!("error: failed to find experiment `{other}`");
            eprintln!("hint: config, faults, overhead, routing, sizing or slopes");
            ExitCode::FAILURE
        }
    }
}
