//! Reads and writes the fleet's topics about software versions of servers and the
//! streams that they began.
//!
//! The topic of the versions is keyed by service, and a topic beside it names the era of
//! the store in which it is complete. The topic of the streams is a log of notes; a process
//! that starts reads what the store still keeps of it.

use std::collections::VecDeque;
use std::sync::mpsc::Receiver;
use std::thread;
use std::time::Duration;

use hibiscus_events::EventCode;
use hibiscus_events::event;
use hibiscus_request::stream_versions::ServiceVersions;
use hibiscus_request::stream_versions::StreamBatch;
use hibiscus_traffic::stream_versions::StreamRecord;
use hibiscus_traffic::stream_versions::StreamUpdate;
use hibiscus_traffic::stream_versions::VersionReads;
use hibiscus_traffic::updates::TrafficUpdate;
use hibiscus_traffic::updates::UpdateSender;
use hibiscus_types::ServiceName;
use hibiscus_types::codec;
use platform::records;
use platform::records::KeyedRecord;
use platform::store::StoreClient;
use platform::store::StoreError;

use crate::follow;
use crate::follow::TopicReader;
use crate::topic_monitor::RETRY_DELAY;
use crate::topic_monitor::TopicMonitor;

/// Topic of the software versions, keyed by service.
const VERSIONS_TOPIC: &str = "keyed.versions";
/// Topic of the era in which the topic of the versions is complete.
const COMPLETE_ERA_TOPIC: &str = "keyed.versions-era";
/// Key of the only record of that topic.
const COMPLETE_ERA_KEY: &str = "complete";
/// Topic of the notes on streams.
const NOTES_TOPIC: &str = "stream-versions";
/// Capacity of the queue of records to the appending thread.
pub(crate) const QUEUE_CAPACITY: usize = 64;
/// Time for which a read of the versions waits for a record; they change rarely.
const VERSIONS_READ_WAIT: Duration = Duration::from_secs(5);
/// Time for which a read of the notes waits for a record.
const NOTES_READ_WAIT: Duration = Duration::from_secs(2);
/// Pause after a read that returned notes, so that one read returns the notes of several
/// instances.
const NOTES_READ_INTERVAL: Duration = Duration::from_millis(300);
/// Pause after a read of the versions that requests waited for: one read serves all
/// requests that arrived before it.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum number of records to keep while the store is unreachable; the oldest are
/// dropped first, as their streams are taken up before.
const PENDING_LIMIT: usize = 64;

/// Reads the software versions.
struct VersionsReader;

impl TopicReader for VersionsReader {
    fn topic(&self) -> &'static str {
        VERSIONS_TOPIC
    }

    fn wait(&self) -> Duration {
        VERSIONS_READ_WAIT
    }

    fn reset(&mut self, records: Vec<KeyedRecord>, updates: &UpdateSender) {
        let services = records.iter().filter_map(decode_versions).collect();
        send(updates, StreamUpdate::AllVersions(services));
    }

    fn apply(&mut self, record: KeyedRecord, updates: &UpdateSender) {
        if let Some((service, versions)) = decode_versions(&record) {
            send(updates, StreamUpdate::Versions(service, versions));
        }
    }

    fn store_restored(&mut self, store: &StoreClient, updates: &UpdateSender) {
        send(updates, StreamUpdate::VersionsRestored(store.era()));
    }
}

fn send(updates: &UpdateSender, update: StreamUpdate) {
    follow::send_update(updates, TrafficUpdate::Streams(update));
}

/// Decodes the versions of a service; `None` if the record is not valid.
fn decode_versions(record: &KeyedRecord) -> Option<(ServiceName, ServiceVersions)> {
    let value = record.value.as_ref()?;
    match codec::decode(value) {
        Ok(versions) => Some((ServiceName::new(record.key.as_str()), versions)),
        Err(error) => {
            event!(
                EventCode::StreamRecordUnreadable,
                "key={} cause={error}",
                record.key
            );
            None
        }
    }
}

/// Follows the software versions of all services.
pub(crate) fn follow_versions(store: &StoreClient, updates: &UpdateSender) {
    follow::follow_keyed(store, updates, VersionsReader);
}

/// Reads the software versions at the start and whenever `reads` requests it, from the record
/// after the last one that was read here.
pub(crate) fn confirm_versions(store: &StoreClient, updates: &UpdateSender, reads: &VersionReads) {
    let mut monitor = TopicMonitor::default();
    let mut next = None;
    let mut fulfilled = 0;
    loop {
        let requested = reads.requested();
        if requested == fulfilled && next.is_some() {
            thread::park();
            continue;
        }
        match read_versions(store, updates, next) {
            Ok(offset) => {
                monitor.succeeded(VERSIONS_TOPIC);
                next = Some(offset);
                send(
                    updates,
                    StreamUpdate::VersionsConfirmed(requested, store.era()),
                );
            }
            Err(StoreError::EraChanged { .. }) => {
                next = None;
                continue;
            }
            Err(StoreError::Expired { from, first }) => {
                follow::log_expired(VERSIONS_TOPIC, from, first);
                next = None;
                thread::sleep(RETRY_DELAY);
                continue;
            }
            Err(error) => {
                let delay = monitor.failed(VERSIONS_TOPIC, &error);
                send(updates, StreamUpdate::VersionsUnconfirmed);
                thread::sleep(delay);
            }
        }
        fulfilled = requested;
        thread::sleep(CONFIRM_INTERVAL);
    }
}

/// Reads the versions from the offset `next`, or the newest of all services, and sends them
/// to the traffic thread. Returns the offset of the next record.
fn read_versions(
    store: &StoreClient,
    updates: &UpdateSender,
    next: Option<u64>,
) -> platform::store::Result<u64> {
    let Some(from) = next else {
        let recorded = follow::read_complete_era(store, COMPLETE_ERA_TOPIC)?;
        let newest = store.newest(VERSIONS_TOPIC)?;
        let update = StreamUpdate::VersionsCompleteEra(recorded, store.era());
        send(updates, update);
        let records: Vec<_> = newest
            .records
            .into_iter()
            .map(|newest| newest.record)
            .collect();
        VersionsReader.reset(records, updates);
        return Ok(newest.next);
    };
    let mut offset = from;
    loop {
        let page = store.read(VERSIONS_TOPIC, offset, Duration::ZERO)?.page;
        for record in &page.records {
            offset += 1;
            match records::decode_keyed(record) {
                Some(record) => VersionsReader.apply(record, updates),
                None => event!(EventCode::RecordWithoutKey, "topic={VERSIONS_TOPIC}"),
            }
        }
        if page.records.is_empty() || offset >= page.end {
            return Ok(offset);
        }
    }
}

/// Follows the notes on streams, from the oldest that the store keeps.
pub(crate) fn follow_notes(store: &StoreClient, updates: &UpdateSender) {
    let mut monitor = TopicMonitor::default();
    let mut next = 0;
    loop {
        let read = store.read(NOTES_TOPIC, next, monitor.wait_or(NOTES_READ_WAIT));
        match read {
            Ok(read) => {
                monitor.succeeded(NOTES_TOPIC);
                for record in &read.page.records {
                    match codec::decode::<Vec<StreamBatch>>(record) {
                        Ok(batches) => send(updates, StreamUpdate::Notes(batches)),
                        Err(error) => event!(
                            EventCode::StreamRecordUnreadable,
                            "offset={next} cause={error}"
                        ),
                    }
                    next += 1;
                }
                if !read.page.records.is_empty() {
                    thread::sleep(NOTES_READ_INTERVAL);
                }
            }
            Err(StoreError::Expired { from, first }) => {
                follow::log_expired(NOTES_TOPIC, from, first);
                next = first;
                thread::sleep(RETRY_DELAY);
            }
            Err(StoreError::EraChanged { previous, current }) => {
                follow::log_era_change(NOTES_TOPIC, (previous, current), Some(next));
                next = 0;
                send(updates, StreamUpdate::NotesRestored);
            }
            Err(error) => {
                thread::sleep(monitor.failed(NOTES_TOPIC, &error));
            }
        }
    }
}

/// Appends the received records until the sender is dropped. A failed append is
/// retried; the records are idempotent.
pub(crate) fn append_streams(store: &StoreClient, queue: &Receiver<StreamRecord>) {
    let mut pending = VecDeque::new();
    while let Ok(record) = queue.recv() {
        pending.push_back(record);
        while let Some(record) = pending.front() {
            match append(store, record) {
                Ok(()) => {
                    pending.pop_front();
                }
                Err(error) => {
                    event!(
                        EventCode::StreamNotesLost,
                        "records={} cause={error}",
                        pending.len()
                    );
                    thread::sleep(RETRY_DELAY);
                }
            }
            pending.extend(queue.try_iter());
            let surplus = pending.len().saturating_sub(PENDING_LIMIT);
            pending.drain(..surplus);
        }
    }
}

/// Appends one record. A record that can't be encoded is skipped.
fn append(store: &StoreClient, record: &StreamRecord) -> platform::store::Result<()> {
    let (topic, encoded) = match record {
        StreamRecord::Versions(service, versions) => {
            let value = codec::encode(versions);
            let record = value.map(|value| records::encode_keyed(service.as_str(), &value));
            (VERSIONS_TOPIC, record)
        }
        StreamRecord::CompleteEra(era) => {
            let value = codec::encode(era);
            let record = value.map(|value| records::encode_keyed(COMPLETE_ERA_KEY, &value));
            (COMPLETE_ERA_TOPIC, record)
        }
        StreamRecord::Notes(batches) => (NOTES_TOPIC, codec::encode(batches)),
    };
    match encoded {
        Ok(record) => store.append(topic, &[record]).map(|_receipt| ()),
        Err(error) => {
            event!(EventCode::StreamNotesLost, "records=1 cause={error}");
            Ok(())
        }
    }
}
