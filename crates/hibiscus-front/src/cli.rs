//! Command line of the daemon.

use std::error::Error;
use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::OptionParser;
use bpaf::Parser;
use bpaf::construct;
use bpaf::long;
use hibiscus_request::prompt_parts::PartId;
use platform::settings;
use platform::store::StoreClient;

use crate::serve;
use crate::suspects;

/// Exit code if the settings cannot be read or decoded.
const EXIT_INVALID_SETTINGS: u8 = 2;
/// Exit code if the daemon fails to start, for example because a port cannot be
/// opened.
const EXIT_START_FAILED: u8 = 3;
/// Exit code if the store does not take a record.
const EXIT_STORE_UNREACHABLE: u8 = 4;

/// The parsed command line.
#[derive(Clone, Debug)]
pub(crate) struct FrontCommand {
    check: bool,
    released_part: Option<PartId>,
    settings: Option<PathBuf>,
    log: String,
}

/// Returns the parser of the command line.
pub(crate) fn cli() -> OptionParser<FrontCommand> {
    let check = long("check").help("Check the settings and exit").switch();
    let released_part = long("release-part")
        .help("Send requests with this part of prompts again, which servers crashed with, and exit")
        .argument::<String>("PART")
        .parse(|text| PartId::parse(&text).ok_or("not a part in hexadecimal"))
        .optional();
    let settings = long("settings")
        .help("Settings file; overrides the path from the platform")
        .argument::<PathBuf>("FILE")
        .optional();
    let log = long("log")
        .help("Minimum log level: error, warn, info or debug")
        .argument::<String>("LEVEL")
        .fallback("info".to_owned());
    construct!(FrontCommand {
        check,
        released_part,
        settings,
        log
    })
    .to_options()
    .descr("Routes requests within prepaid token budgets, on the users' platform")
    .footer("Exit codes: 0 graceful shutdown or valid settings, 1 invalid command line, 2 invalid settings, 3 a port cannot be opened, 4 the store cannot be reached")
    .version(env!("CARGO_PKG_VERSION"))
}

/// Runs the daemon until it has shut down after a signal.
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

/// Loads the settings, and runs the daemon unless only a check or a release is
/// requested.
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
    if let Some(part) = command.released_part {
        return match suspects::release_part(&StoreClient::new(settings.store), part) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                report(&error);
                ExitCode::from(EXIT_STORE_UNREACHABLE)
            }
        };
    }
    match serve::run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            report(&error);
            ExitCode::from(EXIT_START_FAILED)
        }
    }
}

/// Prints an error and its causes to standard error.
fn report(error: &dyn Error) {
    eprintln!("error: {error}");
    let mut cause = error.source();
    while let Some(error) = cause {
        eprintln!("  caused by: {error}");
        cause = error.source();
    }
}
