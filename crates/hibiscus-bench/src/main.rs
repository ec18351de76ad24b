//! The bench: quickstart, load and experiments.

use std::process::ExitCode;

use bpaf::OptionParser;
use bpaf::Parser;
use hibiscus_bench::commands::quickstart;

/// A subcommand with its arguments.
#[derive(Clone, Debug)]
enum BenchCommand {
    /// A whole deployment inside one process.
    Quickstart,
}

/// The parser of the command line.
fn cli() -> OptionParser<BenchCommand> {
    quickstart::cli()
        .to_options()
        .descr("Starts a whole deployment inside one process and sends requests")
        .command("quickstart")
        .map(|()| BenchCommand::Quickstart)
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Quickstart, load and experiments")
}

fn main() -> ExitCode {
    match cli().run() {
        BenchCommand::Quickstart => quickstart::exec(),
    }
}
