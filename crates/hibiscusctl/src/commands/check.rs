//! `check`: reports every fault of an operators' file.

use std::fs;
use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Parser;
use bpaf::construct;
use bpaf::positional;
use hibiscus_config::file::OperatorFile;

/// Exit code of a faulty file.
const EXIT_FAULTY: u8 = 1;
/// Exit code of an unreadable file.
const EXIT_UNREADABLE: u8 = 2;

/// Arguments of the subcommand.
#[derive(Clone, Debug)]
pub struct CheckCommand {
    /// The operators' file.
    pub file: PathBuf,
}

/// The parser of the subcommand's arguments.
pub fn cli() -> impl Parser<CheckCommand> {
    let file = positional::<PathBuf>("FILE").help("Operators' file, JSON with comments");
    construct!(CheckCommand { file })
}

/// Checks the file and prints its faults.
pub fn exec(command: &CheckCommand) -> ExitCode {
    let path = &command.file;
    let shown = path.display();
    let text = match fs::read_to_string(path) {
        Ok(text) => text,
        Err(error) => {
            eprintln!("error: failed to read `{shown}`: {error}");
            return ExitCode::from(EXIT_UNREADABLE);
        }
    };
    match OperatorFile::parse(&text) {
        Ok(file) => {
            println!("{shown}: {} entries, no faults", file.entries.len());
            ExitCode::SUCCESS
        }
        Err(error) => {
            for fault in &error.0 {
                eprintln!("{shown}:{fault}");
            }
            eprintln!("error: {error}");
            ExitCode::from(EXIT_FAULTY)
        }
    }
}
