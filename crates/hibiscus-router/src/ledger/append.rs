//! Appends records in batches, at most a set number of times a second.
//!
//! A batch carries this incarnation and a sequence number and is repeated
//! until the log acknowledges it, so a reply lost after the append took
//! effect does no harm: the fold ignores the repeat.

use std::sync::mpsc::Receiver;
use std::sync::mpsc::RecvTimeoutError;
use std::sync::mpsc::SyncSender;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use hibiscus_clients::log::LogService;
use hibiscus_events::EventCode;
use hibiscus_events::EventFields;
use hibiscus_ledger::record::LedgerRecord;
use hibiscus_ledger::record::RecordBatch;
use hibiscus_ledger::stream_of;
use hibiscus_types::codec;

use crate::context::SharedContext;
use crate::witness::hand_over;

/// Records that wait for a shard's appender.
pub const RING_CAPACITY: usize = 100_000;
/// Records in one batch.
const BATCH_LIMIT: usize = 4_096;
/// Time between looks at the stop flag.
const IDLE_WAIT: Duration = Duration::from_millis(100);
/// Delay before a failed append is first repeated.
const FIRST_DELAY: Duration = Duration::from_millis(50);
/// Longest delay before a failed append is repeated.
const LAST_DELAY: Duration = Duration::from_secs(2);

/// The rings of all shards' appenders.
#[derive(Clone)]
pub struct AppendRings {
    /// One ring a shard.
    pub rings: Vec<SyncSender<LedgerRecord>>,
}

impl AppendRings {
    /// Hands a record to the appender of `shard`, waiting while it is full.
    pub fn push(&self, shard: u32, record: LedgerRecord) {
        let Some(ring) = self.rings.get(shard as usize) else {
            return;
        };
        // The appender ends last, so its ring is open while duties run.
        let _ended = ring.send(record);
    }
}

/// Appends the records of one shard until every sender has ended.
pub fn run(context: &SharedContext, shard: u32, ring: &Receiver<LedgerRecord>) {
    let stream = stream_of(shard);
    let interval = Duration::from_secs(1) / context.settings.budgets.appends_per_second;
    let mut sequence = 0;
    loop {
        let first = match ring.recv_timeout(IDLE_WAIT) {
            Ok(first) => first,
            Err(RecvTimeoutError::Timeout) => continue,
            Err(RecvTimeoutError::Disconnected) => return,
        };
        let started = Instant::now();
        let mut records = vec![first];
        records.extend(ring.try_iter().take(BATCH_LIMIT - 1));
        sequence += 1;
        let batch = RecordBatch {
            incarnation: context.incarnation,
            sequence,
            records,
        };
        append_batch(context, shard, &stream, &batch);
        thread::sleep(interval.saturating_sub(started.elapsed()));
    }
}

/// Appends one batch, repeating it until the log acknowledges it. After a
/// planned stop the records may go to other instances instead; a process that
/// was killed appends nothing more.
fn append_batch(context: &SharedContext, shard: u32, stream: &str, batch: &RecordBatch) {
    let Ok(data) = codec::encode(batch) else {
        return;
    };
    let mut delay = FIRST_DELAY;
    while let Err(error) = context.log.append(stream, &data) {
        note(context, EventCode::AppendFailed, error.to_string());
        if context.is_ended() {
            if !context.is_draining() {
                return;
            }
            if hand_over::to_peers(context, shard, &batch.records) {
                let count = format!("{} records", batch.records.len());
                note(context, EventCode::RecordsHandedOver, count);
                return;
            }
        }
        thread::sleep(delay);
        delay = (delay * 2).min(LAST_DELAY);
    }
}

/// Records an event of the appender.
fn note(context: &SharedContext, code: EventCode, detail: String) {
    let fields = EventFields {
        detail,
        ..EventFields::default()
    };
    context.events.record(code, fields);
}
