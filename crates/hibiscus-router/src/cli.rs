//! Command line of the daemon.

use std::error::Error;
use std::fs;
use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::OptionParser;
use bpaf::Parser;
use bpaf::construct;
use bpaf::long;
use bpaf::positional;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;

use crate::ops;
use crate::settings::RouterSettings;

/// Exit code when the settings cannot be used.
const EXIT_SETTINGS: u8 = 2;
/// Exit code when a port cannot be opened.
const EXIT_START: u8 = 3;
/// Exit code of a second signal during a planned stop.
const EXIT_FORCED: u8 = 4;

/// What the command line asks for.
#[derive(Clone, Debug)]
pub struct RouterCommand {
    /// Checks the settings and exits.
    pub check: bool,
    /// The settings file.
    pub settings: PathBuf,
}

/// The parser of the command line.
pub fn cli() -> OptionParser<RouterCommand> {
    let check = long("check").help("Check the settings and exit").switch();
    let settings = positional::<PathBuf>("SETTINGS").help("Settings file, JSON with comments");
    construct!(RouterCommand { check, settings })
        .to_options()
        .descr("Routes requests within prepaid token budgets")
        .footer("Exit codes: 0 stopped as planned or settings correct, 1 command line faulty, 2 settings faulty, 3 a port cannot be opened, 4 forced by a second signal")
        .version(env!("CARGO_PKG_VERSION"))
}

/// Runs the daemon until a signal stops it.
pub fn exec(command: &RouterCommand) -> ExitCode {
    let settings = match read_settings(command) {
        Ok(settings) => settings,
        Err(message) => {
            eprintln!("error: {message}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if command.check {
        println!(
            "settings of instance `{}` are correct",
            settings.instance.name
        );
        return ExitCode::SUCCESS;
    }
    serve(settings)
}

/// Reads and checks the settings file. The message holds one line a fault.
fn read_settings(command: &RouterCommand) -> Result<RouterSettings, String> {
    let path = command.settings.display();
    let text = fs::read_to_string(&command.settings)
        .map_err(|error| format!("failed to read `{path}`: {error}"))?;
    RouterSettings::parse(&text).map_err(|error| {
        let mut message = error.to_string();
        for fault in &error.0 {
            message.push_str(&format!("\n{path}:{fault}"));
        }
        message
    })
}

/// An error with its chain of causes, a line each.
fn with_causes(error: &dyn Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(&format!("\ncaused by: {cause}"));
        source = cause.source();
    }
    text
}

/// Serves until a signal; a second one ends the process at once.
fn serve(settings: RouterSettings) -> ExitCode {
    let mut signals = match Signals::new([SIGINT, SIGTERM]) {
        Ok(signals) => signals,
        Err(error) => {
            eprintln!("error: failed to handle signals: {error}");
            return ExitCode::from(EXIT_START);
        }
    };
    let router = match ops::start(settings) {
        Ok(router) => router,
        Err(error) => {
            eprintln!("error: {}", with_causes(&error));
            return ExitCode::from(EXIT_START);
        }
    };
    println!(
        "callers={} operators={} peers={}",
        router.addresses.callers, router.addresses.operators, router.addresses.peers
    );
    let _first = signals.forever().next();
    std::thread::spawn(move || {
        let _second = signals.forever().next();
        std::process::exit(i32::from(EXIT_FORCED));
    });
    router.stop();
    ExitCode::SUCCESS
}
