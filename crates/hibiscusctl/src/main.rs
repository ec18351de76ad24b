//! The operators' command line.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::OptionParser;
use bpaf::Parser;
use hibiscusctl::commands::check;

/// A subcommand with its arguments.
#[derive(Clone, Debug)]
enum ControlCommand {
    /// Reports every fault of an operators' file.
    Check(PathBuf),
}

/// The parser of the command line.
fn cli() -> OptionParser<ControlCommand> {
    check::cli()
        .to_options()
        .descr("Reports every fault of an operators' file")
        .command("check")
        .map(ControlCommand::Check)
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Operates a hibiscusswitch deployment")
}

fn main() -> ExitCode {
    match cli().run() {
        ControlCommand::Check(path) => check::exec(&path),
    }
}
