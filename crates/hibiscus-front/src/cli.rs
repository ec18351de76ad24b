//! Command line of the daemon.

use std::error::Error;
use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::OptionParser;
use bpaf::Parser;
use bpaf::construct;
use bpaf::long;
use platform::settings;

use crate::serve;

/// Exit code when the settings cannot be used.
const EXIT_INVALID_SETTINGS: u8 = 2;
/// Exit code when a port cannot be opened.
const EXIT_START_FAILED: u8 = 3;

/// What the command line asks for.
#[derive(Clone, Debug)]
pub(crate) struct FrontCommand {
    check: bool,
    settings: Option<PathBuf>,
    log: String,
}

/// The parser of the command line.
pub(crate) fn cli() -> OptionParser<FrontCommand> {
    let check = long("check").help("Check the settings and exit").switch();
    let settings = long("settings")
        .help("Settings file, if not the one that the platform names")
        .argument::<PathBuf>("FILE")
        .optional();
    let log = long("log")
        .help("Least level of the log: error, warn, info or debug")
        .argument::<String>("LEVEL")
        .fallback("info".to_owned());
    construct!(FrontCommand {
        check,
        settings,
        log
    })
    .to_options()
    .descr("Routes requests within prepaid token budgets, on the users' platform")
    .footer("Exit codes: 0 stopped as planned or settings correct, 1 command line faulty, 2 settings faulty, 3 a port cannot be opened")
    .version(env!("CARGO_PKG_VERSION"))
}

/// Runs the daemon until a signal stops it.
pub(crate) fn exec(command: &FrontCommand) -> ExitCode {
    let log = match hibiscus_events::logging::start_stdout(&command.log) {
        Ok(log) => log,
        Err(error) => {
            eprintln!("error: failed to start the log: {error}");
            return ExitCode::FAILURE;
        }
    };
    let code = start(command);
    drop(log);
    code
}

/// Reads the settings and serves.
fn start(command: &FrontCommand) -> ExitCode {
    let path = command.settings.clone();
    let path = path.unwrap_or_else(settings::settings_path);
    let settings = match settings::load(&path) {
        Ok(settings) => settings,
        Err(error) => {
            report(&error);
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    if command.check {
        return ExitCode::SUCCESS;
    }
    match serve::run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            report(&error);
            ExitCode::from(EXIT_START_FAILED)
        }
    }
}

/// Prints an error with its causes.
fn report(error: &dyn Error) {
    eprintln!("error: {error}");
    let mut cause = error.source();
    while let Some(error) = cause {
        eprintln!("  caused by: {error}");
        cause = error.source();
    }
}
