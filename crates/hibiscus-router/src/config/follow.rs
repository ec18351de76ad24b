//! Duty: follows the configuration stream of the log.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use hibiscus_clients::log::LogError;
use hibiscus_clients::log::LogService;
use hibiscus_config::CONFIG_STREAM;
use hibiscus_config::fold::FoldError;
use hibiscus_config::load;
use hibiscus_config::load::LoadError;
use hibiscus_events::EventCode;
use hibiscus_events::EventFields;
use hibiscus_membership::ranking;
use hibiscus_types::UnixMillis;

use crate::config::cell::AcceptedRecord;
use crate::context::SharedContext;

/// Instances of a data centre that follow the log; the others fetch from
/// their peers. At today's sizes all follow it.
const READERS: usize = 3;
/// Time that a read waits for a record.
const POLL_WAIT: Duration = Duration::from_millis(1_000);
/// Delay before a failed read is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Time after which an instance that does not follow the log reads it all
/// the same.
const FALLBACK_INTERVAL: Duration = Duration::from_secs(10);
/// Time between looks at the ranking.
const RANK_INTERVAL: Duration = Duration::from_millis(250);
/// Publications of one page that are recorded one by one.
const EVENT_LIMIT: usize = 32;
/// Changes that an event names.
const CHANGE_LIMIT: usize = 8;

/// Result of one read.
type Result<T> = std::result::Result<T, LoadError<LogError>>;

/// Follows the stream until the process ends.
pub fn follow(context: &SharedContext) {
    let mut bootstrapped = false;
    let mut last_read = None;
    while !context.is_ended() {
        let fresh = last_read.is_some_and(|at: Instant| at.elapsed() < FALLBACK_INTERVAL);
        if bootstrapped && fresh && !is_reader(context) {
            thread::sleep(RANK_INTERVAL);
            continue;
        }
        let outcome = if bootstrapped {
            read_page(context)
        } else {
            bootstrap(context)
        };
        match outcome {
            Ok(()) => {
                bootstrapped = true;
                last_read = Some(Instant::now());
            }
            Err(error) => {
                note_failure(context, &error);
                thread::sleep(RETRY_DELAY);
            }
        }
    }
}

/// Whether this instance is among those of its data centre that follow the
/// log. A wrong view costs a read too many, or a delay until the fallback.
fn is_reader(context: &SharedContext) -> bool {
    let own = &context.settings.instance;
    let mut near = context.fleet.lock().serving(UnixMillis::now());
    near.retain(|instance| instance.data_centre == own.data_centre);
    let ranked = ranking::rank(CONFIG_STREAM.as_bytes(), &near);
    let position = ranked.iter().position(|instance| instance.name == own.name);
    position.is_none_or(|position| position < READERS)
}

/// Starts from the newest snapshot in the log.
fn bootstrap(context: &SharedContext) -> Result<()> {
    if let Some(fold) = load::newest_snapshot(&context.log)? {
        replace(context, fold);
    }
    read_page(context)
}

/// Reads one page, waiting for its first record.
fn read_page(context: &SharedContext) -> Result<()> {
    let from = context.config.next_offset();
    let page = match context.log.read(CONFIG_STREAM, from, POLL_WAIT) {
        Ok(page) => page,
        Err(LogError::Expired { first, .. }) => return restore(context, first),
        Err(error) => return Err(LoadError::Source(error)),
    };
    let records: Vec<(u64, Vec<u8>)> = page
        .records
        .into_iter()
        .map(|record| (record.offset, record.data))
        .collect();
    take(context, &records)?;
    Ok(())
}

/// Replaces a fold that the log no longer reaches, after a long pause.
fn restore(context: &SharedContext, first: u64) -> Result<()> {
    let found = load::newest_snapshot(&context.log)?;
    let found = found.filter(|fold| fold.next_offset() >= first);
    replace(context, found.ok_or(LoadError::Expired { first })?);
    Ok(())
}

/// Takes records from the log or a peer.
pub(crate) fn take(
    context: &SharedContext,
    records: &[(u64, Vec<u8>)],
) -> std::result::Result<(), FoldError> {
    let outcome = context.config.take(records);
    if let Err(FoldError::NewerFormat { .. }) = &outcome
        && context.config.note_outdated()
    {
        let fields = EventFields {
            detail: "a newer release wrote a record; this instance takes no requests".to_owned(),
            ..EventFields::default()
        };
        context.events.record(EventCode::ConfigUnreadable, fields);
    }
    note_accepted(context, &outcome?);
    Ok(())
}

/// Replaces the fold by a whole state from the log or a peer.
pub(crate) fn replace(context: &SharedContext, fold: hibiscus_config::fold::ConfigFold) {
    let version = fold.version();
    if context.config.replace(fold) {
        note_in_force(context, format!("version {version}, from a snapshot"));
    }
}

/// Records the accepted publications in the time line.
fn note_accepted(context: &SharedContext, accepted: &[AcceptedRecord]) {
    let passed = accepted.len().saturating_sub(EVENT_LIMIT);
    if passed > 0 {
        note_in_force(context, format!("{passed} earlier publications"));
    }
    for publication in &accepted[passed..] {
        note_in_force(context, describe(publication));
    }
}

/// The version, its changes and who asked for them.
fn describe(publication: &AcceptedRecord) -> String {
    let mut text = format!("version {}", publication.version);
    let changes = &publication.record.changes;
    for change in changes.iter().take(CHANGE_LIMIT) {
        let verb = if change.entry.is_some() {
            "set"
        } else {
            "removed"
        };
        text.push_str(&format!(
            "; {verb} {}, asked by {}",
            change.key, change.asked_by
        ));
    }
    if changes.len() > CHANGE_LIMIT {
        let more = changes.len() - CHANGE_LIMIT;
        text.push_str(&format!("; and {more} more"));
    }
    text
}

/// Records that a version is in force.
fn note_in_force(context: &SharedContext, detail: String) {
    let fields = EventFields {
        detail,
        ..EventFields::default()
    };
    context.events.record(EventCode::ConfigInForce, fields);
}

/// Records that the stream could not be read.
fn note_failure(context: &SharedContext, error: &LoadError<LogError>) {
    let fields = EventFields {
        detail: error.to_string(),
        ..EventFields::default()
    };
    context.events.record(EventCode::ConfigUnreadable, fields);
}
