//! The operators' command line.

use std::process::ExitCode;

use bpaf::OptionParser;
use bpaf::Parser;
use bpaf::construct;
use hibiscusctl::commands::audit;
use hibiscusctl::commands::budgets;
use hibiscusctl::commands::check;
use hibiscusctl::commands::diff;
use hibiscusctl::commands::history;
use hibiscusctl::commands::input;
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
    /// Shows every budget and who holds its tokens.
    Budgets(input::LedgerOptions),
    /// Checks the ledger from the log alone.
    Audit(input::LedgerOptions),
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
    let budgets = budgets::cli()
        .to_options()
        .descr("Shows every budget and who holds its tokens")
        .command("budgets")
        .map(ControlCommand::Budgets);
    let audit = audit::cli()
        .to_options()
        .descr("Checks the ledger: no budget overspent, no request charged twice")
        .command("audit")
        .map(ControlCommand::Audit);
    construct!([check, diff, publish, status, history, budgets, audit])
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
        ControlCommand::Budgets(command) => budgets::exec(&command),
        ControlCommand::Audit(command) => audit::exec(&command),
    }
}
