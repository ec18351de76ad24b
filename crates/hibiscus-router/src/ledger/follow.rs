//! Duty: reads a shard's stream and passes its records to the broker.

use std::sync::mpsc::SyncSender;
use std::thread;
use std::time::Duration;

use hibiscus_clients::log::LogError;
use hibiscus_clients::log::LogService;
use hibiscus_events::EventCode;
use hibiscus_events::EventFields;
use hibiscus_ledger::stream_of;

use crate::context::SharedContext;
use crate::ledger::broker::BrokerMessage;
use crate::ledger::client;

/// Time that a read waits for a record.
const POLL_WAIT: Duration = Duration::from_millis(1_000);
/// Delay before a failed read is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Reads the stream of `shard` while this instance is ranked for it.
pub fn run(context: &SharedContext, shard: u32, ring: &SyncSender<BrokerMessage>) {
    let stream = stream_of(shard);
    let mut next = 0;
    while !context.is_ended() {
        if client::own_rank(context, shard).is_none() {
            thread::sleep(RETRY_DELAY);
            continue;
        }
        let message = match context.log.read(&stream, next, POLL_WAIT) {
            Ok(page) => {
                let Some(last) = page.records.last() else {
                    continue;
                };
                next = next.max(last.offset + 1);
                let records = page.records;
                BrokerMessage::Page { shard, records }
            }
            Err(LogError::Expired { first, .. }) => {
                next = next.max(first);
                BrokerMessage::Expired { shard, first }
            }
            Err(error) => {
                note_failure(context, &error.to_string());
                thread::sleep(RETRY_DELAY);
                continue;
            }
        };
        if ring.send(message).is_err() {
            return;
        }
    }
}

/// Records that a stream could not be read.
pub fn note_failure(context: &SharedContext, detail: &str) {
    let fields = EventFields {
        detail: detail.to_owned(),
        ..EventFields::default()
    };
    context.events.record(EventCode::LedgerUnreadable, fields);
}
