//! Arguments and steps that the subcommands share.

use std::error::Error;
use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use bpaf::Parser;
use bpaf::construct;
use bpaf::long;
use bpaf::positional;
use hibiscus_clients::list::ListClient;
use hibiscus_clients::log::HttpLog;
use hibiscus_config::check::EntryFault;
use hibiscus_config::file::FileError;
use hibiscus_config::file::OperatorFile;

/// Exit code of a faulty file, a refused publication or a lagging fleet.
pub const EXIT_REFUSED: u8 = 1;
/// Exit code when a file or the platform cannot be read.
pub const EXIT_UNREADABLE: u8 = 2;

/// Time that one call to the platform may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Why an operators' file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum InputError {
    /// The file cannot be read.
    #[error("failed to read `{path}`")]
    Unreadable {
        /// The file.
        path: String,
        /// The cause.
        source: std::io::Error,
    },
    /// The file is at fault.
    #[error(transparent)]
    Faulty(#[from] FileError),
}

/// Result of reading an operators' file.
pub type Result<T> = std::result::Result<T, InputError>;

/// The argument that names the operators' file.
pub fn file() -> impl Parser<PathBuf> {
    positional::<PathBuf>("FILE").help("Operators' file, JSON with comments")
}

/// The argument that names the log service.
pub fn log() -> impl Parser<String> {
    long("log")
        .env("HIBISCUS_LOG")
        .help("Base address of the log service")
        .argument::<String>("URL")
}

/// Arguments of a subcommand that folds the ledger from the log.
#[derive(Clone, Debug)]
pub struct LedgerOptions {
    /// Base address of the log service.
    pub log: String,
    /// Ledger shards of the deployment.
    pub shards: u32,
}

/// The arguments of a subcommand that folds the ledger.
pub fn ledger() -> impl Parser<LedgerOptions> {
    let log = log();
    let shards = long("shards")
        .help("Ledger shards of the deployment, as in the routers' settings")
        .argument::<u32>("COUNT")
        .fallback(1);
    construct!(LedgerOptions { log, shards })
}

/// The argument that names the instance list.
pub fn instances() -> impl Parser<String> {
    long("instances")
        .env("HIBISCUS_INSTANCES")
        .help("Base address of the instance list")
        .argument::<String>("URL")
}

/// A client of the log service at `url`.
pub fn open_log(url: &str) -> HttpLog {
    HttpLog::new(url, CALL_TIMEOUT)
}

/// A client of the instance list at `url`.
pub fn open_list(url: &str) -> ListClient {
    ListClient::new(url, CALL_TIMEOUT)
}

/// Reads and checks the file at `path`.
pub fn read(path: &Path) -> Result<(String, OperatorFile)> {
    let text = fs::read_to_string(path).map_err(|source| InputError::Unreadable {
        path: path.display().to_string(),
        source,
    })?;
    let file = OperatorFile::parse(&text)?;
    Ok((text, file))
}

/// Prints why `path` cannot be used, and answers the exit code.
pub fn report(path: &Path, error: &InputError) -> u8 {
    let InputError::Faulty(faults) = error else {
        print_error(error);
        return EXIT_UNREADABLE;
    };
    for fault in &faults.0 {
        eprintln!("{}:{fault}", path.display());
    }
    print_error(error);
    EXIT_REFUSED
}

/// Prints the faults of `file` in the light of what is in force.
pub fn print_faults(path: &Path, file: &OperatorFile, faults: &[EntryFault]) {
    for fault in faults {
        let line = file.entries.get(&fault.key).map(|entry| entry.line);
        let place = match line {
            Some(line) => format!("{}:{line}", path.display()),
            None => path.display().to_string(),
        };
        eprintln!("{place}: {}\n  hint: {}", fault.message, fault.hint);
    }
}

/// Prints `error` and what caused it.
pub fn print_error(error: &dyn Error) {
    eprintln!("error: {error}");
    let mut cause = error.source();
    while let Some(error) = cause {
        eprintln!("caused by: {error}");
        cause = error.source();
    }
}
