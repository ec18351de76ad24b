//! `publish`: puts an operators' file in force.

use std::fs;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use bpaf::Parser;
use bpaf::construct;
use bpaf::long;
use hibiscus_config::file::OperatorFile;
use hibiscus_config::fold::EntryConflict;

use crate::commands::input;
use crate::commands::input::EXIT_REFUSED;
use crate::commands::input::EXIT_UNREADABLE;
use crate::commands::status;
use crate::ops;
use crate::ops::lines;
use crate::ops::publish::PublishError;
use crate::ops::publish::PublishOptions;
use crate::ops::publish::PublishOutcome;
use crate::ops::publish::PublishReport;

/// Seconds that a publication may take, and again its way to all instances.
const DEFAULT_LIMIT_S: u64 = 30;

/// Arguments of the subcommand.
#[derive(Clone, Debug)]
pub struct PublishCommand {
    /// Base address of the log service.
    pub log: String,
    /// Base address of the instance list.
    pub instances: Option<String>,
    /// Whether to wait until every live instance has it in force.
    pub wait: bool,
    /// Seconds after which the wait is given up.
    pub limit_s: u64,
    /// Who asked for the removals.
    pub removed_by: Option<String>,
    /// The operators' file.
    pub file: PathBuf,
}

/// The parser of the subcommand's arguments.
pub fn cli() -> impl Parser<PublishCommand> {
    let log = input::log();
    let instances = input::instances().optional();
    let wait = long("wait")
        .help("Wait until every live instance has it in force; needs --instances")
        .switch();
    let limit_s = long("limit")
        .help("Seconds after which to give up, 30 unless given")
        .argument::<u64>("SECONDS")
        .fallback(DEFAULT_LIMIT_S);
    let removed_by = long("removed-by")
        .help("Who asked to remove the entries that have no line any more")
        .argument::<String>("NAME")
        .optional();
    let file = input::file();
    construct!(PublishCommand {
        log,
        instances,
        wait,
        limit_s,
        removed_by,
        file
    })
}

/// Publishes the file and prints its verdict.
pub fn exec(command: &PublishCommand) -> ExitCode {
    let path = &command.file;
    if command.wait && command.instances.is_none() {
        eprintln!("error: failed to wait: `--wait` needs `--instances URL`");
        return ExitCode::from(EXIT_UNREADABLE);
    }
    let (text, file) = match input::read(path) {
        Ok(read) => read,
        Err(error) => return ExitCode::from(input::report(path, &error)),
    };
    let log = input::open_log(&command.log);
    let limit = Duration::from_secs(command.limit_s);
    let options = PublishOptions {
        removed_by: command.removed_by.as_deref(),
        limit,
    };
    let report = match ops::publish::publish(&log, &file, options) {
        Ok(report) => report,
        Err(error) => return unresolved(&error),
    };
    let Some(version) = print_report(command, &file, &report) else {
        return ExitCode::from(EXIT_REFUSED);
    };
    let stamped = write_stamp(command, &text, &file, &report);
    let waited = wait(command, version, limit);
    if stamped {
        waited
    } else {
        ExitCode::from(EXIT_UNREADABLE)
    }
}

/// Prints how far the publication got when its verdict is not known.
fn unresolved(error: &PublishError) -> ExitCode {
    input::print_error(error);
    if let PublishError::Unresolved { .. } = error {
        eprintln!("hint: it may still take effect; run the same command again to learn whether");
    }
    ExitCode::from(EXIT_UNREADABLE)
}

/// Prints the outcome and answers the version in force, if all of the file
/// is.
fn print_report(
    command: &PublishCommand,
    file: &OperatorFile,
    report: &PublishReport,
) -> Option<u64> {
    let path = &command.file;
    match &report.outcome {
        PublishOutcome::InForce { version, newest } => {
            let count = file.entries.len();
            println!("nothing to publish: all {count} entries are in force at version {version}");
            if let Some((publication, offset)) = newest {
                println!("the newest came with publication {publication:032x} at offset {offset}");
            }
            Some(*version)
        }
        PublishOutcome::Accepted {
            publication,
            offset,
            changed,
        } => {
            let count = changed.len();
            let version = offset + 1;
            println!("accepted: {count} change(s) are in force with version {version}");
            println!("publication {publication:032x} at offset {offset}");
            Some(version)
        }
        PublishOutcome::Conflict(conflicts) => {
            print_conflicts(conflicts);
            None
        }
        PublishOutcome::Faulty(faults) => {
            input::print_faults(path, file, faults);
            eprintln!("error: failed to publish: {} fault(s)", faults.len());
            None
        }
        PublishOutcome::Unnamed(keys) => {
            let count = keys.len();
            eprintln!("error: failed to publish: {count} entries would be removed by nobody");
            for key in keys {
                eprintln!("  {key}");
            }
            eprintln!("hint: name who asked for it with `--removed-by NAME`");
            None
        }
    }
}

/// Prints who changed what.
fn print_conflicts(conflicts: &[EntryConflict]) {
    let count = conflicts.len();
    eprintln!("error: failed to publish: others changed {count} of the entries");
    for conflict in conflicts {
        eprintln!("  {}", lines::conflict_line(conflict));
    }
    eprintln!("hint: nothing of this publication took effect; take their changes into the file,");
    eprintln!(
        "      set its `version` to the one that `hibiscusctl diff` prints, and publish again"
    );
}

/// Writes the version into the file when the file is up to date with it, or
/// prints the lines that it lacks.
fn write_stamp(
    command: &PublishCommand,
    text: &str,
    file: &OperatorFile,
    report: &PublishReport,
) -> bool {
    let path = &command.file;
    for (_key, state) in &report.unseen {
        let Ok(line) = lines::file_line(state) else {
            continue;
        };
        println!("others added a line that this file lacks, and it stays: {line}");
    }
    let Some(version) = report.stamp else {
        println!("`version` in {} stays {}", path.display(), file.version);
        return true;
    };
    if file.version == version {
        return true;
    }
    let Some(stamped) = OperatorFile::stamp(text, version) else {
        return true;
    };
    if let Err(error) = fs::write(path, stamped) {
        eprintln!(
            "error: failed to write `version` into {}: {error}",
            path.display()
        );
        eprintln!("hint: set it to {version} by hand");
        return false;
    }
    println!("`version` in {} is now {version}", path.display());
    true
}

/// Waits until the version is in force at all live instances, if asked to.
fn wait(command: &PublishCommand, version: u64, limit: Duration) -> ExitCode {
    let Some(url) = command.instances.as_ref().filter(|_url| command.wait) else {
        return ExitCode::SUCCESS;
    };
    match ops::status::wait(&input::open_list(url), version, limit) {
        Ok(reports) => status::print_lag(&reports, version),
        Err(error) => {
            input::print_error(&error);
            ExitCode::from(EXIT_UNREADABLE)
        }
    }
}
