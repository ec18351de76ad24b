//! `audit`: checks the ledger from the log alone.

use std::process::ExitCode;

use bpaf::Parser;

use crate::commands::input;
use crate::commands::input::EXIT_REFUSED;
use crate::commands::input::EXIT_UNREADABLE;
use crate::commands::input::LedgerOptions;
use crate::ops;

/// The parser of the subcommand's arguments.
pub fn cli() -> impl Parser<LedgerOptions> {
    input::ledger()
}

/// Folds every shard and prints what is wrong.
pub fn exec(command: &LedgerOptions) -> ExitCode {
    let log = input::open_log(&command.log);
    let mut faults = 0;
    for shard in 0..command.shards {
        let audit = match ops::ledger::read(&log, shard) {
            Ok(audit) => audit,
            Err(error) => {
                input::print_error(&error);
                return ExitCode::from(EXIT_UNREADABLE);
            }
        };
        for fault in audit.faults() {
            eprintln!("error: {fault}");
        }
        faults += audit.faults().len();
        let budgets = audit.fold().map_or(0, |fold| fold.budgets().len());
        println!(
            "ledger/{shard}: {} records, {budgets} budgets, {} requests charged, {} faults",
            audit.expected(),
            audit.charged_count(),
            audit.faults().len()
        );
    }
    if faults > 0 {
        return ExitCode::from(EXIT_REFUSED);
    }
    ExitCode::SUCCESS
}
