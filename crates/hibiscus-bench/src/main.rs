//! The bench: quickstart, load and experiments.

use std::process::ExitCode;

use bpaf::OptionParser;
use bpaf::Parser;
use bpaf::construct;
use hibiscus_bench::commands::quickstart;
use hibiscus_bench::commands::run;

/// A subcommand with its arguments.
#[derive(Clone, Debug)]
enum BenchCommand {
    /// A whole deployment inside one process.
    Quickstart,
    /// One experiment.
    Run(run::RunCommand),
}

/// The parser of the command line.
fn cli() -> OptionParser<BenchCommand> {
    let quickstart = quickstart::cli()
        .to_options()
        .descr("Starts a whole deployment inside one process and sends requests")
        .command("quickstart")
        .map(|()| BenchCommand::Quickstart);
    let run = run::cli()
        .to_options()
        .descr("Runs one experiment and prints one JSON object a line")
        .command("run")
        .map(BenchCommand::Run);
    construct!([quickstart, run])
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Quickstart, load and experiments")
}

fn main() -> ExitCode {
    match cli().run() {
        BenchCommand::Quickstart => quickstart::exec(),
        BenchCommand::Run(command) => run::exec(&command),
    }
}
