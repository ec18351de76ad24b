//! Threads that follow topics of the metadata store.

use std::sync::OnceLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::Thread;
use std::time::Duration;

use hibiscus_events::EventCode;
use hibiscus_events::event;
use hibiscus_ledger::account;
use hibiscus_ledger::account::snapshot::AccountSnapshot;
use hibiscus_ledger::account::snapshot::SNAPSHOT_TOPIC;
use hibiscus_traffic::model::InstanceEntry;
use hibiscus_traffic::updates::TrafficUpdate;
use hibiscus_traffic::updates::UpdateSender;
use hibiscus_types::codec;
use platform::records;
use platform::records::KeyedRecord;
use platform::store::StoreClient;
use platform::store::StoreError;

use crate::reach::FAILURE_PAUSE;
use crate::reach::READ_WAIT;
use crate::reach::ReachLog;

/// Topic of the instances' announcements.
const INSTANCES_TOPIC: &str = "keyed.instances";
/// Pause between reads of the accounts, so that one read brings the records
/// of several instances. A verdict that is awaited ends it.
const ACCOUNTS_PAUSE: Duration = Duration::from_millis(300);

/// What a thread does with the records of a keyed topic.
pub(crate) trait TopicReader {
    /// The topic.
    fn topic(&self) -> &'static str;

    /// Pause after each read.
    fn pause(&self) -> Duration {
        Duration::ZERO
    }

    /// Time for which a read waits for a record while the store answers. A
    /// connection that fell silent shows only after it.
    fn wait(&self) -> Duration {
        READ_WAIT
    }

    /// Takes over the newest record of each key.
    fn reset(&mut self, records: Vec<KeyedRecord>, updates: &UpdateSender) {
        for record in records {
            self.take(record, updates);
        }
    }

    /// Takes over a record that was appended.
    fn take(&mut self, record: KeyedRecord, updates: &UpdateSender);

    /// A call failed, or succeeded.
    fn reached(&mut self, _reached: bool, _updates: &UpdateSender) {}
}

/// Sends news to the traffic thread, waiting for room. It fails only when
/// that thread has ended, and the process with it.
pub(crate) fn tell(updates: &UpdateSender, update: TrafficUpdate) {
    if updates.blocking_send(update).is_err() {
        event!(EventCode::UpdateTooLate, "");
    }
}

/// Follows a keyed topic: the newest records first, then what is appended;
/// after a gap, the newest records again.
pub(crate) fn follow_keyed<R: TopicReader>(
    store: &StoreClient,
    updates: &UpdateSender,
    mut reader: R,
) {
    let topic = reader.topic();
    let mut reach = ReachLog::default();
    let mut next: Option<u64> = None;
    loop {
        let step = match next {
            None => store.newest(topic).map(|newest| {
                reader.reached(true, updates);
                let records = newest.records.into_iter();
                let records = records.map(|kept| kept.record).collect();
                reader.reset(records, updates);
                newest.next
            }),
            Some(from) => store
                .read(topic, from, reach.wait_or(reader.wait()))
                .map(|read| {
                    reader.reached(true, updates);
                    let records = &read.page.records;
                    let count = u64::try_from(records.len()).unwrap_or(u64::MAX);
                    for record in records {
                        match records::decode_keyed(record) {
                            Some(record) => reader.take(record, updates),
                            None => event!(EventCode::RecordWithoutKey, "topic={topic}"),
                        }
                    }
                    from + count
                }),
        };
        match step {
            Ok(offset) => {
                reach.succeeded(topic);
                next = Some(offset);
                thread::sleep(reader.pause());
            }
            Err(StoreError::Expired { first }) => {
                event!(EventCode::HistoryDropped, "topic={topic} first={first}");
                next = None;
            }
            Err(error) => {
                reach.failed(topic, &error);
                reader.reached(false, updates);
                thread::sleep(FAILURE_PAUSE);
            }
        }
    }
}

/// Reads the instances' announcements.
struct InstancesReader;

impl TopicReader for InstancesReader {
    fn topic(&self) -> &'static str {
        INSTANCES_TOPIC
    }

    fn reset(&mut self, records: Vec<KeyedRecord>, updates: &UpdateSender) {
        for record in records {
            self.take(record, updates);
        }
        tell(updates, TrafficUpdate::InstancesRead);
    }

    fn take(&mut self, record: KeyedRecord, updates: &UpdateSender) {
        let Some(value) = record.value else {
            return;
        };
        match codec::decode::<InstanceEntry>(&value) {
            Ok(entry) => tell(updates, TrafficUpdate::Instance(entry)),
            Err(error) => event!(
                EventCode::AnnouncementUnreadable,
                "key={} cause={error}",
                record.key
            ),
        }
    }
}

/// Follows the instances' announcements, after making the own one.
pub(crate) fn follow_instances(store: &StoreClient, updates: &UpdateSender, own: &InstanceEntry) {
    announce(store, own);
    follow_keyed(store, updates, InstancesReader);
}

/// Writes the announcement of `own`, however often it takes. Copies change
/// nothing.
pub(crate) fn announce(store: &StoreClient, own: &InstanceEntry) {
    let value = match codec::encode(own) {
        Ok(value) => value,
        Err(error) => {
            event!(EventCode::AnnouncementNotEncoded, "cause={error}");
            return;
        }
    };
    let record = records::encode_keyed(own.name.as_str(), &value);
    while let Err(error) = store.append(INSTANCES_TOPIC, std::slice::from_ref(&record)) {
        event!(EventCode::AnnouncementRepeated, "cause={error}");
        thread::sleep(FAILURE_PAUSE);
    }
}

/// Whether this instance reads the account stream now.
#[derive(Debug, Default)]
pub(crate) struct AccountsGate {
    open: AtomicBool,
    reader: OnceLock<Thread>,
}

impl AccountsGate {
    /// Names the thread that reads.
    pub(crate) fn set_reader(&self, reader: Thread) {
        // There is one thread, and it is named once.
        let _first = self.reader.set(reader);
    }

    /// Has the stream read, or not.
    pub(crate) fn set(&self, open: bool) {
        let was_open = self.open.swap(open, Ordering::Relaxed);
        if let Some(reader) = self.reader.get().filter(|_reader| open && !was_open) {
            reader.unpark();
        }
    }

    /// Waits until the stream is to be read.
    fn wait(&self) {
        while !self.open.load(Ordering::Relaxed) {
            thread::park();
        }
    }
}

/// Follows the account stream from its oldest record, after the snapshots if
/// records have expired, for as long as `gate` is open.
pub(crate) fn follow_accounts(store: &StoreClient, updates: &UpdateSender, gate: &AccountsGate) {
    let mut reach = ReachLog::default();
    let mut next = 0;
    let mut current = false;
    loop {
        gate.wait();
        let wait = if current {
            reach.wait()
        } else {
            Duration::ZERO
        };
        let page = match store.read(account::STREAM, next, wait) {
            Err(StoreError::Expired { first }) => {
                event!(EventCode::AccountsExpired, "first={first} next={next}");
                resume_accounts(store, updates, first).map(|()| {
                    next = first;
                    current = false;
                    None
                })
            }
            read => read.map(|read| Some(read.page)),
        };
        match page {
            Ok(None) => {}
            Ok(Some(page)) => {
                reach.succeeded(account::STREAM);
                let end = page.end;
                tell(updates, TrafficUpdate::AccountsEnd(end));
                let first = next;
                let records = page.records;
                next += u64::try_from(records.len()).unwrap_or(u64::MAX);
                if !records.is_empty() {
                    tell(updates, TrafficUpdate::Accounts { first, records });
                }
                if next >= end && !current {
                    current = true;
                    tell(updates, TrafficUpdate::AccountsCaughtUp);
                }
                if current {
                    thread::park_timeout(ACCOUNTS_PAUSE);
                }
            }
            Err(error) => {
                reach.failed(account::STREAM, &error);
                thread::sleep(FAILURE_PAUSE);
            }
        }
    }
}

/// Hands the snapshots over that stand for the records before `first`.
fn resume_accounts(
    store: &StoreClient,
    updates: &UpdateSender,
    first: u64,
) -> platform::store::Result<()> {
    let newest = store.newest(SNAPSHOT_TOPIC)?;
    let mut snapshots = Vec::new();
    for kept in newest.records {
        let record = kept.record;
        let value = record.value.unwrap_or_default();
        match codec::decode::<AccountSnapshot>(&value) {
            Ok(snapshot) => snapshots.push(snapshot),
            Err(error) => event!(
                EventCode::SnapshotUnreadable,
                "budget={} cause={error}",
                record.key
            ),
        }
    }
    tell(
        updates,
        TrafficUpdate::AccountsTruncated { first, snapshots },
    );
    Ok(())
}
