//! Duty: writes the whole configuration to the log before its records
//! expire. The instance that ranks first does it; when two do, both
//! snapshots are right, since each is the fold at its own offset.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use hibiscus_clients::log::LogError;
use hibiscus_clients::log::LogService;
use hibiscus_config::SNAPSHOT_STREAM;
use hibiscus_config::state;
use hibiscus_config::state::StateError;
use hibiscus_config::state::StatePart;
use hibiscus_events::EventCode;
use hibiscus_events::EventFields;
use hibiscus_membership::ranking;
use hibiscus_types::UnixMillis;
use hibiscus_types::codec;
use hibiscus_types::codec::CodecError;

use crate::context::SharedContext;

/// Time between looks at the newest snapshot.
const LOOK_INTERVAL: Duration = Duration::from_secs(10);
/// Time between looks at the stop flag.
const STOP_INTERVAL: Duration = Duration::from_millis(100);
/// Age at which a snapshot is written anew, far below any retention.
const SNAPSHOT_AGE: Duration = Duration::from_secs(3_600);
/// Records after which a snapshot is written anew.
const SNAPSHOT_RECORDS: u64 = 2_000;
/// Delay between the parts of one snapshot, which bounds the appends a
/// second.
const PART_DELAY: Duration = Duration::from_millis(50);
/// Start of a read that answers only the bounds of a stream.
const BEYOND_END: u64 = u64::MAX / 2;

/// Why a snapshot cannot be written.
#[derive(Debug, thiserror::Error)]
pub enum SnapshotError {
    /// The log failed.
    #[error("failed to write a snapshot of the configuration")]
    Log(#[from] LogError),
    /// The state cannot be cut into parts.
    #[error(transparent)]
    State(#[from] StateError),
    /// A part cannot be encoded.
    #[error(transparent)]
    Codec(#[from] CodecError),
}

/// Result of writing a snapshot.
pub type Result<T> = std::result::Result<T, SnapshotError>;

/// Writes snapshots until the process ends.
pub fn run(context: &SharedContext) {
    let mut last_look = Instant::now();
    while !context.is_ended() {
        thread::sleep(STOP_INTERVAL);
        if last_look.elapsed() < LOOK_INTERVAL || !is_writer(context) {
            continue;
        }
        last_look = Instant::now();
        let written = match is_due(context) {
            Ok(true) => write(context),
            Ok(false) => continue,
            Err(error) => Err(error),
        };
        if let Err(error) = written {
            let fields = EventFields {
                detail: error.to_string(),
                ..EventFields::default()
            };
            context.events.record(EventCode::ConfigUnreadable, fields);
        }
    }
}

/// Whether this instance ranks first, as far as it sees.
fn is_writer(context: &SharedContext) -> bool {
    let ready = context.fleet.lock().serving(UnixMillis::now());
    let ranked = ranking::rank(SNAPSHOT_STREAM.as_bytes(), &ready);
    let first = ranked.first();
    first.is_some_and(|instance| instance.name == context.settings.instance.name)
}

/// Whether the newest snapshot in the log is missing, old or far behind.
fn is_due(context: &SharedContext) -> Result<bool> {
    if context.config.get().version == 0 {
        return Ok(false);
    }
    let bounds = context
        .log
        .read(SNAPSHOT_STREAM, BEYOND_END, Duration::ZERO)?;
    if bounds.end == bounds.first {
        return Ok(true);
    }
    let page = context
        .log
        .read(SNAPSHOT_STREAM, bounds.end - 1, Duration::ZERO)?;
    let Some(newest) = page.records.last() else {
        return Ok(true);
    };
    let Ok(part) = codec::decode::<StatePart>(&newest.data) else {
        return Ok(true);
    };
    let whole = part.index + 1 == part.header.parts;
    let age = UnixMillis::now().since(newest.appended);
    let behind = context
        .config
        .next_offset()
        .saturating_sub(part.header.next);
    Ok(!whole || age > SNAPSHOT_AGE || behind > SNAPSHOT_RECORDS)
}

/// Writes the present fold to the log, whether it is due or not.
///
/// # Errors
///
/// Fails when the log does; a partial snapshot is passed over by readers.
pub fn write(context: &SharedContext) -> Result<()> {
    let fold = context.config.fold();
    let header = state::header(&fold)?;
    for index in 0..header.parts {
        let part = state::part(&fold, &header, index);
        context
            .log
            .append(SNAPSHOT_STREAM, &codec::encode(&part)?)?;
        if index + 1 < header.parts {
            thread::sleep(PART_DELAY);
        }
    }
    Ok(())
}
