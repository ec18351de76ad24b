//! `history`: shows the publications that the log still holds.

use std::process::ExitCode;
use std::time::Duration;
use std::time::UNIX_EPOCH;

use bpaf::Parser;
use bpaf::construct;
use hibiscus_config::fold::PublicationVerdict;
use hibiscus_config::record::EntryChange;
use hibiscus_types::UnixMillis;

use crate::commands::input;
use crate::commands::input::EXIT_UNREADABLE;
use crate::ops;
use crate::ops::history::HistoryEntry;
use crate::ops::lines;

/// Arguments of the subcommand.
#[derive(Clone, Debug)]
pub struct HistoryCommand {
    /// Base address of the log service.
    pub log: String,
}

/// The parser of the subcommand's arguments.
pub fn cli() -> impl Parser<HistoryCommand> {
    let log = input::log();
    construct!(HistoryCommand { log })
}

/// Reads the publications and prints them, oldest first.
pub fn exec(command: &HistoryCommand) -> ExitCode {
    let history = match ops::history::read(&input::open_log(&command.log)) {
        Ok(history) => history,
        Err(error) => {
            input::print_error(&error);
            return ExitCode::from(EXIT_UNREADABLE);
        }
    };
    for entry in &history {
        print_entry(entry);
    }
    ExitCode::SUCCESS
}

/// Prints one publication and its changes.
fn print_entry(entry: &HistoryEntry) {
    let time = utc(entry.appended);
    let offset = entry.offset;
    let Some(record) = &entry.record else {
        println!("offset {offset}  {time}  unreadable by this release");
        return;
    };
    let verdict = verdict_text(entry.verdict.as_ref(), offset);
    println!(
        "offset {offset}  {time}  {verdict}  publication {:032x}",
        record.publication
    );
    for change in &record.changes {
        println!("  {}", change_text(change));
    }
    for reason in reasons(entry.verdict.as_ref()) {
        println!("  because {reason}");
    }
}

/// What became of the publication at `offset`.
fn verdict_text(verdict: Option<&PublicationVerdict>, offset: u64) -> String {
    match verdict {
        None => "verdict no longer remembered".to_owned(),
        Some(PublicationVerdict::Accepted(at)) if *at == offset => "accepted".to_owned(),
        Some(PublicationVerdict::Accepted(at)) => format!("repeat of offset {at}"),
        Some(PublicationVerdict::Conflict(_)) => "refused, conflict".to_owned(),
        Some(PublicationVerdict::Faulty(_)) => "refused, faulty".to_owned(),
    }
}

/// Why a publication was refused, one line an entry.
fn reasons(verdict: Option<&PublicationVerdict>) -> Vec<String> {
    match verdict {
        Some(PublicationVerdict::Conflict(conflicts)) => {
            conflicts.iter().map(lines::conflict_line).collect()
        }
        Some(PublicationVerdict::Faulty(faults)) => faults
            .iter()
            .map(|fault| format!("{}: {}", fault.key, fault.message))
            .collect(),
        Some(PublicationVerdict::Accepted(_)) | None => Vec::new(),
    }
}

/// One change and who asked for it.
fn change_text(change: &EntryChange) -> String {
    let verb = if change.entry.is_some() {
        "set"
    } else {
        "remove"
    };
    format!("{verb} {}, asked by {}", change.key, change.asked_by)
}

/// `time` in UTC.
fn utc(time: UnixMillis) -> String {
    let time = UNIX_EPOCH + Duration::from_millis(time.get());
    humantime::format_rfc3339_seconds(time).to_string()
}
