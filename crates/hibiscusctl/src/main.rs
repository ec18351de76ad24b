//! The operators' command line.

use std::process::ExitCode;

use bpaf::OptionParser;
use bpaf::Parser;
use bpaf::construct;
use hibiscusctl::commands::check;

/// A subcommand with its arguments.
#[derive(Clone, Debug)]
enum ControlCommand {
    /// Reports every fault of an operators' file.
    Check(check::CheckCommand),
}

/// The parser of the command line.
fn cli() -> OptionParser<ControlCommand> {
    let check = check::cli()
        .to_options()
        .descr("Reports every fault of an operators' file")
        .command("check")
        .map(ControlCommand::Check);
    construct!([check])
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Operates a hibiscusswitch deployment")
}

fn main() -> ExitCode {
    match cli().run() {
        ControlCommand::Check(command) => check::exec(&command),
    }
}
