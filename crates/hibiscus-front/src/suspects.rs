//! Reads and writes the fleet's topic of crash reports: requests during which a
//! server crashed.
//!
//! The topic is keyed by request and server, so the store keeps the reports that
//! are in force and a starting process reads no history.

use std::sync::mpsc::Receiver;
use std::thread;
use std::time::Duration;

use hibiscus_events::EventCode;
use hibiscus_events::event;
use hibiscus_request::suspects::CrashKey;
use hibiscus_request::suspects::CrashReport;
use hibiscus_request::suspects::SuspectRecord;
use hibiscus_traffic::suspects::SuspectUpdate;
use hibiscus_traffic::updates::TrafficUpdate;
use hibiscus_traffic::updates::UpdateSender;
use hibiscus_types::codec;
use platform::records;
use platform::records::KeyedRecord;
use platform::records::StoreLimits;
use platform::store::StoreClient;

use crate::follow;
use crate::follow::TopicReader;

/// Topic of the crash reports.
const TOPIC: &str = "keyed.suspects";
/// Capacity of the queue of batches to the appending thread.
pub(crate) const QUEUE_CAPACITY: usize = 64;
/// Time for which a read waits for a record. A dead connection is detected 0.9 s
/// after it, within the 3 s in which instances must receive a report.
const READ_WAIT: Duration = Duration::from_secs(2);
/// Time to collect further records for one append.
const BATCH_DELAY: Duration = Duration::from_millis(20);
/// Delay before the retry of a failed append.
const RETRY_DELAY: Duration = Duration::from_millis(400);
/// Largest number of records to keep while the store is unreachable; the oldest
/// are dropped first.
const PENDING_RECORDS_LIMIT: usize = 4_096;

/// Reads the crash reports.
struct SuspectsReader;

impl TopicReader for SuspectsReader {
    fn topic(&self) -> &'static str {
        TOPIC
    }

    fn wait(&self) -> Duration {
        READ_WAIT
    }

    fn reset(&mut self, records: Vec<KeyedRecord>, updates: &UpdateSender) {
        let mut reports = Vec::with_capacity(records.len());
        for record in records {
            if let Some(SuspectRecord::Crashed(report)) = decode(&record) {
                reports.push(report);
            }
        }
        let update = SuspectUpdate::Snapshot(reports);
        follow::send_update(updates, TrafficUpdate::Suspects(update));
    }

    fn apply(&mut self, record: KeyedRecord, updates: &UpdateSender) {
        if let Some(suspect_record) = decode(&record) {
            let update = SuspectUpdate::Appended(suspect_record);
            follow::send_update(updates, TrafficUpdate::Suspects(update));
        }
    }
}

/// Decodes a record; `None` if it is not a valid crash report, such as one from
/// another writer.
fn decode(record: &KeyedRecord) -> Option<SuspectRecord> {
    let key = CrashKey::parse(&record.key);
    let suspect_record = match &record.value {
        None => key.map(SuspectRecord::Removed),
        Some(value) => codec::decode::<CrashReport>(value)
            .ok()
            .filter(|report| Some(report.key()) == key)
            .map(SuspectRecord::Crashed),
    };
    if suspect_record.is_none() {
        event!(EventCode::SuspectUnreadable, "key={}", record.key);
    }
    suspect_record
}

/// Follows the crash reports of all instances.
pub(crate) fn follow_suspects(store: &StoreClient, updates: &UpdateSender) {
    follow::follow_keyed(store, updates, SuspectsReader);
}

/// Appends the received batches until the sender is dropped. A failed append is
/// retried; the records are idempotent.
pub(crate) fn append_suspects(
    store: &StoreClient,
    limits: StoreLimits,
    batches: &Receiver<Vec<SuspectRecord>>,
) {
    let mut pending: Vec<Vec<u8>> = Vec::new();
    while let Ok(batch) = batches.recv() {
        pending.extend(batch.iter().filter_map(encode));
        thread::sleep(BATCH_DELAY);
        loop {
            while let Ok(more) = batches.try_recv() {
                pending.extend(more.iter().filter_map(encode));
            }
            let surplus = pending.len().saturating_sub(PENDING_RECORDS_LIMIT);
            pending.drain(..surplus);
            if append(store, limits, &mut pending) {
                break;
            }
            thread::sleep(RETRY_DELAY);
        }
    }
}

/// Appends the records of `pending` and removes those that the store acknowledged;
/// returns false if a call failed.
fn append(store: &StoreClient, limits: StoreLimits, pending: &mut Vec<Vec<u8>>) -> bool {
    for call in limits.batches(pending.clone()) {
        if let Err(error) = store.append(TOPIC, &call) {
            event!(
                EventCode::SuspectsNotStored,
                "records={} cause={error}",
                pending.len()
            );
            return false;
        }
        pending.drain(..call.len());
    }
    true
}

/// Encodes a keyed record for the topic.
fn encode(record: &SuspectRecord) -> Option<Vec<u8>> {
    let key = record.key().to_string();
    let value = match record {
        SuspectRecord::Removed(_) => Vec::new(),
        SuspectRecord::Crashed(report) => match codec::encode(report) {
            Ok(value) => value,
            Err(error) => {
                event!(EventCode::SuspectsNotStored, "records=1 cause={error}");
                return None;
            }
        },
    };
    Some(records::encode_keyed(&key, &value))
}
