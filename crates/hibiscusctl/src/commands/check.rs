//! `check`: reports every fault of an operators' file.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Parser;
use bpaf::construct;

use crate::commands::input;

/// Arguments of the subcommand.
#[derive(Clone, Debug)]
pub struct CheckCommand {
    /// The operators' file.
    pub file: PathBuf,
}

/// The parser of the subcommand's arguments.
pub fn cli() -> impl Parser<CheckCommand> {
    let file = input::file();
    construct!(CheckCommand { file })
}

/// Checks the file and prints its faults.
pub fn exec(command: &CheckCommand) -> ExitCode {
    let path = &command.file;
    match input::read(path) {
        Ok((_text, file)) => {
            let count = file.entries.len();
            println!("{}: {count} entries, no faults", path.display());
            ExitCode::SUCCESS
        }
        Err(error) => ExitCode::from(input::report(path, &error)),
    }
}
