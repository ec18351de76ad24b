//! The operators' command line.

use std::process::ExitCode;

use bpaf::OptionParser;
use bpaf::Parser;
use bpaf::construct;
use hibiscusctl::commands::check;
use hibiscusctl::commands::diff;
use hibiscusctl::commands::history;
use hibiscusctl::commands::publish;
use hibiscusctl::commands::status;

/// A subcommand with its arguments.
#[derive(Clone, Debug)]
enum ControlCommand {
    /// Reports every fault of an operators' file.
    Check(check::CheckCommand),
    /// Shows what publishing a file would change.
    Diff(diff::DiffCommand),
    /// Puts a file in force.
    Publish(publish::PublishCommand),
    /// Shows what is in force at each live instance.
    Status(status::StatusCommand),
    /// Shows the publications that the log still holds.
    History(history::HistoryCommand),
}

/// The parser of the command line.
fn cli() -> OptionParser<ControlCommand> {
    let check = check::cli()
        .to_options()
        .descr("Reports every fault of an operators' file")
        .command("check")
        .map(ControlCommand::Check);
    let diff = diff::cli()
        .to_options()
        .descr("Shows what publishing an operators' file would change")
        .command("diff")
        .map(ControlCommand::Diff);
    let publish = publish::cli()
        .to_options()
        .descr("Puts an operators' file in force")
        .command("publish")
        .map(ControlCommand::Publish);
    let status = status::cli()
        .to_options()
        .descr("Shows which configuration is in force at each live instance")
        .command("status")
        .map(ControlCommand::Status);
    let history = history::cli()
        .to_options()
        .descr("Shows the publications that the log still holds")
        .command("history")
        .map(ControlCommand::History);
    construct!([check, diff, publish, status, history])
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Operates a hibiscusswitch deployment")
}

fn main() -> ExitCode {
    match cli().run() {
        ControlCommand::Check(command) => check::exec(&command),
        ControlCommand::Diff(command) => diff::exec(&command),
        ControlCommand::Publish(command) => publish::exec(&command),
        ControlCommand::Status(command) => status::exec(&command),
        ControlCommand::History(command) => history::exec(&command),
    }
}
