//! Reads and writes the fleet's topic of crash reports: requests during which a
//! server crashed, and parts of prompts that servers crashed with.
//!
//! The topic is keyed by request and server, or by part, so the store keeps the
//! reports that are in force and a starting process reads no history.

use std::sync::mpsc::Receiver;
use std::thread;
use std::time::Duration;

use hibiscus_events::EventCode;
use hibiscus_events::event;
use hibiscus_request::prompt_parts::PartEvidence;
use hibiscus_request::prompt_parts::PartId;
use hibiscus_request::prompt_parts::suspension::PartStanding;
use hibiscus_request::prompt_parts::suspension::StoredPart;
use hibiscus_request::suspects::CrashKey;
use hibiscus_request::suspects::CrashReport;
use hibiscus_request::suspects::SuspectRecord;
use hibiscus_traffic::part_tracker::PartRecord;
use hibiscus_traffic::suspects::SuspectUpdate;
use hibiscus_traffic::suspects::TopicRecord;
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
/// Prefix of the keys of parts of prompts. Other keys are of requests.
const PART_PREFIX: &str = "part/";
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
        let (mut reports, mut parts) = (Vec::new(), Vec::new());
        for record in records {
            match decode(&record) {
                Some(TopicRecord::Suspect(SuspectRecord::Crashed(report))) => reports.push(report),
                Some(TopicRecord::Part(PartRecord::Known(stored))) => parts.push(stored),
                Some(_removed) => {}
                None => {}
            }
        }
        let update = SuspectUpdate::Snapshot { reports, parts };
        follow::send_update(updates, TrafficUpdate::Suspects(update));
    }

    fn apply(&mut self, record: KeyedRecord, updates: &UpdateSender) {
        if let Some(topic_record) = decode(&record) {
            let update = SuspectUpdate::Appended(topic_record);
            follow::send_update(updates, TrafficUpdate::Suspects(update));
        }
    }

    fn store_restored(&mut self, _store: &StoreClient, updates: &UpdateSender) {
        let update = SuspectUpdate::TopicRestored;
        follow::send_update(updates, TrafficUpdate::Suspects(update));
    }
}

/// Decodes a record; `None` if it is not valid, such as one from another writer.
fn decode(record: &KeyedRecord) -> Option<TopicRecord> {
    let topic_record = match record.key.strip_prefix(PART_PREFIX) {
        Some(part) => decode_part(part, record).map(TopicRecord::Part),
        None => decode_report(record).map(TopicRecord::Suspect),
    };
    if topic_record.is_none() {
        event!(EventCode::SuspectUnreadable, "key={}", record.key);
    }
    topic_record
}

fn decode_report(record: &KeyedRecord) -> Option<SuspectRecord> {
    let key = CrashKey::parse(&record.key)?;
    let Some(value) = &record.value else {
        return Some(SuspectRecord::Removed(key));
    };
    let report = codec::decode::<CrashReport>(value).ok();
    let report = report.filter(|report| report.key() == key);
    report.map(SuspectRecord::Crashed)
}

fn decode_part(part: &str, record: &KeyedRecord) -> Option<PartRecord> {
    let part = PartId::parse(part)?;
    let Some(value) = &record.value else {
        return Some(PartRecord::Dropped(part));
    };
    let stored = codec::decode::<StoredPart>(value).or_else(|_fault| decode_earlier_part(value));
    let stored = stored.ok().filter(|stored| stored.evidence.part == part);
    stored.map(PartRecord::Known)
}

/// Decodes a part that an earlier release wrote, which is evidence alone.
fn decode_earlier_part(value: &[u8]) -> codec::Result<StoredPart> {
    let evidence = codec::decode::<PartEvidence>(value)?;
    Ok(StoredPart {
        evidence,
        standing: PartStanding::default(),
    })
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
    batches: &Receiver<Vec<TopicRecord>>,
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

/// Removes `part` from the topic, so that the instances send requests with it again.
///
/// # Errors
///
/// Fails if the store does not take the record.
pub(crate) fn release_part(store: &StoreClient, part: PartId) -> platform::store::Result<()> {
    let record = encode(&TopicRecord::Part(PartRecord::Dropped(part)));
    store.append(TOPIC, record.as_slice()).map(|_end| ())
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

/// Encodes a keyed record for the topic. An empty value removes the key.
fn encode(record: &TopicRecord) -> Option<Vec<u8>> {
    let (key, value) = match record {
        TopicRecord::Suspect(SuspectRecord::Removed(key)) => (key.to_string(), Ok(Vec::new())),
        TopicRecord::Suspect(SuspectRecord::Crashed(report)) => {
            (report.key().to_string(), codec::encode(report))
        }
        TopicRecord::Part(PartRecord::Dropped(part)) => (part_key(*part), Ok(Vec::new())),
        TopicRecord::Part(PartRecord::Known(stored)) => {
            (part_key(stored.evidence.part), codec::encode(stored))
        }
    };
    match value {
        Ok(value) => Some(records::encode_keyed(&key, &value)),
        Err(error) => {
            event!(EventCode::SuspectsNotStored, "records=1 cause={error}");
            None
        }
    }
}

/// Key of the record of a part of prompts.
fn part_key(part: PartId) -> String {
    format!("{PART_PREFIX}{part}")
}
