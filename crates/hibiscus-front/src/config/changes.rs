//! Changes of the configuration as instances publish them.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use hibiscus_events::EventCode;
use hibiscus_events::event;
use hibiscus_traffic::config_delta::ConfigDelta;
use hibiscus_traffic::config_delta::DeltaAssembler;
use hibiscus_traffic::updates::ConfigArrival;
use hibiscus_traffic::updates::ConfigSource;
use platform::store::StoreClient;
use platform::store::StoreError;
use platform::store::StoreRead;

use crate::config::CHANGES_TOPIC;
use crate::config::ConfigBoard;
use crate::reach::FAILURE_PAUSE;
use crate::reach::ReachLog;

/// Attempts to publish one change; another instance does it otherwise, or all
/// read the version themselves.
const ATTEMPTS: usize = 3;
/// Time in which a record that another instance appended is read.
const READ_TIME: Duration = Duration::from_millis(200);

/// Applies the changes that come from now on to what `board` holds. Those of
/// before are in the version that this process began with, or it reads another
/// one.
pub(super) fn follow(store: &StoreClient, board: &ConfigBoard) {
    let mut reach = ReachLog::default();
    let mut assembler = DeltaAssembler::default();
    let mut next: Option<u64> = None;
    loop {
        let step = match next {
            None => store.end(CHANGES_TOPIC),
            Some(from) => store
                .read(CHANGES_TOPIC, from, reach.wait())
                .map(|read| apply(&read, from, &mut assembler, board)),
        };
        match step {
            Ok(offset) => {
                reach.succeeded(CHANGES_TOPIC);
                next = Some(offset);
                board.set_changes_end(next);
            }
            Err(StoreError::Expired { first }) => {
                event!(
                    EventCode::HistoryDropped,
                    "topic={CHANGES_TOPIC} first={first}"
                );
                assembler = DeltaAssembler::default();
                next = None;
            }
            Err(error) => {
                reach.failed(CHANGES_TOPIC, &error);
                thread::sleep(FAILURE_PAUSE);
            }
        }
    }
}

/// Applies the changes of a page that begins at `from`; returns the offset
/// after it.
fn apply(read: &StoreRead, from: u64, assembler: &mut DeltaAssembler, board: &ConfigBoard) -> u64 {
    let mut next = from;
    for record in &read.page.records {
        next += 1;
        match assembler.take(record) {
            Ok(None) => {}
            Ok(Some(change)) => {
                let arrival = ConfigArrival {
                    source: ConfigSource::Delta,
                    bytes: read.transfer.bytes,
                    read_time: read.transfer.time,
                    records_behind: read.page.end.saturating_sub(next),
                    decode_time: Duration::ZERO,
                    queued_at: Instant::now(),
                };
                board.apply(change, arrival);
            }
            Err(error) => event!(EventCode::ChangeUnreadable, "cause={error}"),
        }
    }
    next
}

/// Publishes `change`, unless another instance does so first.
pub(super) fn publish(store: &StoreClient, board: &ConfigBoard, change: &ConfigDelta) {
    let records = match change.to_records() {
        Ok(records) => records,
        Err(error) => {
            event!(
                EventCode::ChangeNotPublished,
                "version={} cause={error}",
                change.version
            );
            return;
        }
    };
    let mut failure = None;
    for _attempt in 0..ATTEMPTS {
        let Some(end) = board.changes_end() else {
            break;
        };
        match store.append_at(CHANGES_TOPIC, &records, end) {
            Ok(_receipt) => {
                event!(
                    EventCode::ChangePublished,
                    "version={} base={} next={} bytes={}",
                    change.version,
                    change.base,
                    change.next,
                    records.iter().map(Vec::len).sum::<usize>()
                );
                return;
            }
            Err(StoreError::Moved { .. }) => board.wait_changes(end, READ_TIME),
            Err(error) => failure = Some(error),
        }
        if board.wait_published(change.next, READ_TIME) {
            return;
        }
    }
    let cause = failure.map_or_else(|| "others append".to_owned(), |error| error.to_string());
    event!(
        EventCode::ChangeNotPublished,
        "version={} cause={cause}",
        change.version
    );
}
