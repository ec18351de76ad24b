//! `diff`: shows what publishing an operators' file would change.

use std::io;
use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Parser;
use bpaf::construct;
use hibiscus_config::fold::PublicationVerdict;
use hibiscus_config::load;
use hibiscus_config::record::ConfigRecord;

use crate::commands::input;
use crate::commands::input::EXIT_REFUSED;
use crate::commands::input::EXIT_UNREADABLE;
use crate::ops::lines;

/// Arguments of the subcommand.
#[derive(Clone, Debug)]
pub struct DiffCommand {
    /// Base address of the log service.
    pub log: String,
    /// The operators' file.
    pub file: PathBuf,
}

/// The parser of the subcommand's arguments.
pub fn cli() -> impl Parser<DiffCommand> {
    let log = input::log();
    let file = input::file();
    construct!(DiffCommand { log, file })
}

/// Compares the file with what is in force and prints the changes.
pub fn exec(command: &DiffCommand) -> ExitCode {
    let path = &command.file;
    let file = match input::read(path) {
        Ok((_text, file)) => file,
        Err(error) => return ExitCode::from(input::report(path, &error)),
    };
    let fold = match load::load(&input::open_log(&command.log)) {
        Ok(fold) => fold,
        Err(error) => {
            input::print_error(&error);
            return ExitCode::from(EXIT_UNREADABLE);
        }
    };
    let plan = file.plan(&fold);
    if let Err(error) = lines::write_plan(&mut io::stdout().lock(), &fold, &plan) {
        input::print_error(&error);
        return ExitCode::from(EXIT_UNREADABLE);
    }
    let record = ConfigRecord {
        publication: 0,
        changes: plan.changes,
    };
    let verdict = fold.decide(fold.next_offset(), &record);
    if let PublicationVerdict::Faulty(faults) = &verdict {
        input::print_faults(path, &file, faults);
    }
    let accepted = matches!(verdict, PublicationVerdict::Accepted(_));
    if accepted && plan.conflicts.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(EXIT_REFUSED)
    }
}
