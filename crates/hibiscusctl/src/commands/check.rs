//! `check`: reports every fault of an operators' file, or of a configuration in the format
//! of the platform's store.

use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Parser;
use bpaf::construct;
use bpaf::long;
use hibiscus_traffic::config_check;
use hibiscus_traffic::config_check::FindingSeverity;
use hibiscus_traffic::model::FleetConfig;

use crate::commands::input;
use crate::commands::input::EXIT_REFUSED;
use crate::commands::input::EXIT_UNREADABLE;

/// Arguments of the subcommand.
#[derive(Clone, Debug)]
pub struct CheckCommand {
    /// Whether the file is a configuration in the format of the platform's store.
    pub store_format: bool,
    /// Configuration in force, in the same format.
    pub in_force: Option<PathBuf>,
    /// The operators' file, or the configuration.
    pub file: PathBuf,
}

/// Why a configuration cannot be checked.
#[derive(Debug, thiserror::Error)]
enum ConfigError {
    #[error("failed to read `{path}`")]
    Unreadable {
        path: String,
        source: std::io::Error,
    },
    #[error("failed to decode `{path}`")]
    Undecodable {
        path: String,
        source: serde_json::Error,
    },
}

/// Result of reading a configuration.
type Result<T> = std::result::Result<T, ConfigError>;

/// The parser of the subcommand's arguments.
pub fn cli() -> impl Parser<CheckCommand> {
    let store_format = long("store-format")
        .help("FILE is a configuration as it is written into the platform's store")
        .switch();
    let in_force = long("in-force")
        .help("With --store-format: the configuration in force, to show what differs")
        .argument::<PathBuf>("FILE")
        .optional();
    let file = input::file();
    construct!(CheckCommand {
        store_format,
        in_force,
        file
    })
}

/// Checks the file and prints its faults.
pub fn exec(command: &CheckCommand) -> ExitCode {
    let path = &command.file;
    if command.store_format || command.in_force.is_some() {
        return check_config(path, command.in_force.as_deref());
    }
    match input::read(path) {
        Ok((_text, file)) => {
            let count = file.entries.len();
            println!("{}: {count} entries, no faults", path.display());
            ExitCode::SUCCESS
        }
        Err(error) => ExitCode::from(input::report(path, &error)),
    }
}

/// Checks a configuration and prints the findings, and what differs from the one in force.
fn check_config(path: &Path, in_force: Option<&Path>) -> ExitCode {
    let config = match read(path) {
        Ok(config) => config,
        Err(error) => return report(&error),
    };
    let findings = config_check::check(&config);
    for finding in &findings {
        println!("{}: {finding}", path.display());
    }
    let is_sendable = |severity| severity != FindingSeverity::Error;
    let mut may_be_sent = findings.iter().all(|finding| is_sendable(finding.severity));
    if let Some(in_force) = in_force {
        let before = match read(in_force) {
            Ok(before) => before,
            Err(error) => return report(&error),
        };
        may_be_sent &= config.version > before.version;
        for line in config_check::differences(&before, &config) {
            println!("{line}");
        }
    }
    println!(
        "{}: version {}, {} routes, {} teams, {} findings",
        path.display(),
        config.version,
        config.routes.len(),
        config.teams.len(),
        findings.len()
    );
    if may_be_sent {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(EXIT_REFUSED)
    }
}

/// Prints why a configuration cannot be checked; one that cannot be decoded may not be sent.
fn report(error: &ConfigError) -> ExitCode {
    input::print_error(error);
    match error {
        ConfigError::Unreadable { .. } => ExitCode::from(EXIT_UNREADABLE),
        ConfigError::Undecodable { .. } => ExitCode::from(EXIT_REFUSED),
    }
}

fn read(path: &Path) -> Result<FleetConfig> {
    let name = path.display().to_string();
    let bytes = fs::read(path).map_err(|source| ConfigError::Unreadable {
        path: name.clone(),
        source,
    })?;
    platform::config::decode(&bytes)
        .map_err(|source| ConfigError::Undecodable { path: name, source })
}
