//! Threads that follow topics of the metadata store and send their records to the
//! traffic thread.

use std::collections::BTreeSet;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::Thread;
use std::time::Duration;
use std::time::Instant;

use hibiscus_events::EventCode;
use hibiscus_events::event;
use hibiscus_ledger::account;
use hibiscus_ledger::account::snapshot::AccountSnapshot;
use hibiscus_ledger::account::snapshot::SNAPSHOT_TOPIC;
use hibiscus_traffic::budgets::COMPLETE_ERA_TOPIC;
use hibiscus_traffic::budgets::StreamPosition;
use hibiscus_traffic::model::InstanceEntry;
use hibiscus_traffic::updates::TrafficUpdate;
use hibiscus_traffic::updates::UpdateSender;
use hibiscus_types::BudgetName;
use hibiscus_types::StoreEra;
use hibiscus_types::codec;
use platform::records;
use platform::records::KeyedRecord;
use platform::store::StoreClient;
use platform::store::StoreError;

use crate::topic_monitor::READ_WAIT;
use crate::topic_monitor::RETRY_DELAY;
use crate::topic_monitor::TopicMonitor;

/// Topic of the announcements, in which each instance publishes its entry.
const INSTANCES_TOPIC: &str = "keyed.instances";
/// Pause between reads of the account stream, so that one read returns records of
/// several instances. The traffic thread ends it early when it waits for the
/// result of a draw.
const ACCOUNTS_READ_INTERVAL: Duration = Duration::from_millis(300);

/// Shortest and longest time between reads of the snapshots while the history of budgets is
/// lacking. It doubles with each read that finds nothing new.
const MIN_SNAPSHOT_READ_INTERVAL: Duration = Duration::from_secs(1);
const MAX_SNAPSHOT_READ_INTERVAL: Duration = Duration::from_secs(16);

/// Time between reads of the era in which the account stream is complete, while none is
/// recorded.
const COMPLETE_ERA_READ_INTERVAL: Duration = Duration::from_secs(2);

/// Handles the records of a keyed topic.
pub(crate) trait TopicReader {
    /// Returns the name of the topic.
    fn topic(&self) -> &'static str;

    /// Returns the pause after each read.
    fn pause(&self) -> Duration {
        Duration::ZERO
    }

    /// Returns the time for which a read waits for a record while the store is
    /// reachable. A dead connection is detected only after it.
    fn wait(&self) -> Duration {
        READ_WAIT
    }

    /// Handles the newest record of each key.
    fn reset(&mut self, records: Vec<KeyedRecord>, updates: &UpdateSender) {
        for record in records {
            self.apply(record, updates);
        }
    }

    /// Handles a record that was appended.
    fn apply(&mut self, record: KeyedRecord, updates: &UpdateSender);

    /// Handles the result of a call to the store.
    fn call_finished(&mut self, _succeeded: bool, _updates: &UpdateSender) {}

    /// Handles that the store came back from a copy: records that were read or
    /// appended may be lost. The newest records are read afterwards.
    fn store_restored(&mut self, _store: &StoreClient, _updates: &UpdateSender) {}
}

/// Sends `update` to the traffic thread and blocks while its queue is full. It
/// fails only after that thread has ended, when the process is about to exit.
pub(crate) fn send_update(updates: &UpdateSender, update: TrafficUpdate) {
    if updates.blocking_send(update).is_err() {
        event!(EventCode::UpdateTooLate, "");
    }
}

/// Follows a keyed topic: reads the newest record of each key, then the records
/// that are appended. If records expired before they were read, it starts again
/// with the newest records.
pub(crate) fn follow_keyed<R: TopicReader>(
    store: &StoreClient,
    updates: &UpdateSender,
    mut reader: R,
) {
    let topic = reader.topic();
    let mut monitor = TopicMonitor::default();
    let mut next: Option<u64> = None;
    loop {
        let step = match next {
            None => store.newest(topic).map(|newest| {
                reader.call_finished(true, updates);
                let records = newest.records.into_iter();
                let records = records.map(|newest_record| newest_record.record).collect();
                reader.reset(records, updates);
                newest.next
            }),
            Some(from) => store
                .read(topic, from, monitor.wait_or(reader.wait()))
                .map(|read| {
                    reader.call_finished(true, updates);
                    let records = &read.page.records;
                    let count = u64::try_from(records.len()).unwrap_or(u64::MAX);
                    for record in records {
                        match records::decode_keyed(record) {
                            Some(record) => reader.apply(record, updates),
                            None => event!(EventCode::RecordWithoutKey, "topic={topic}"),
                        }
                    }
                    from + count
                }),
        };
        match step {
            Ok(offset) => {
                monitor.succeeded(topic);
                next = Some(offset);
                thread::sleep(reader.pause());
            }
            Err(StoreError::Expired { from, first }) => {
                log_expired(topic, from, first);
                next = None;
                thread::sleep(RETRY_DELAY);
            }
            Err(StoreError::EraChanged { previous, current }) => {
                log_era_change(topic, (previous, current), next.take());
                reader.store_restored(store, updates);
            }
            Err(error) => {
                let delay = monitor.failed(topic, &error);
                reader.call_finished(false, updates);
                thread::sleep(delay);
            }
        }
    }
}

/// Logs that `topic` cannot be read from the offset `from`, since its oldest record is at
/// `first`.
pub(crate) fn log_expired(topic: &str, from: u64, first: u64) {
    event!(
        EventCode::HistoryDropped,
        "topic={topic} from={from} first={first}"
    );
}

/// Logs that the store came back from a copy after `topic` was read up to `offset`.
pub(crate) fn log_era_change(
    topic: &str,
    (previous, current): (StoreEra, StoreEra),
    offset: Option<u64>,
) {
    let offset = offset.map_or_else(|| "none".to_owned(), |offset| offset.to_string());
    event!(
        EventCode::StoreEraChanged,
        "topic={topic} previous={previous} current={current} offset={offset}"
    );
}

/// The announcement of this instance.
pub(crate) struct OwnAnnouncement {
    entry: Mutex<InstanceEntry>,
}

impl OwnAnnouncement {
    pub(crate) fn new(entry: InstanceEntry) -> Self {
        Self {
            entry: Mutex::new(entry),
        }
    }

    /// Changes the announcement to one of an instance that is shutting down.
    pub(crate) fn set_shutting_down(&self) {
        self.lock().shutting_down = true;
    }

    /// Appends the announcement with retries; announcements are idempotent.
    pub(crate) fn publish(&self, store: &StoreClient) {
        while let Err(error) = self.append(store) {
            event!(EventCode::AnnouncementRepeated, "cause={error}");
            thread::sleep(RETRY_DELAY);
        }
    }

    /// Appends the announcement. The lock is held meanwhile, so that no announcement
    /// follows that of the shutdown.
    fn append(&self, store: &StoreClient) -> platform::store::Result<()> {
        let entry = self.lock();
        match codec::encode(&*entry) {
            Ok(value) => {
                let record = records::encode_keyed(entry.name.as_str(), &value);
                store.append(INSTANCES_TOPIC, &[record]).map(|_receipt| ())
            }
            Err(error) => {
                event!(EventCode::AnnouncementNotEncoded, "cause={error}");
                Ok(())
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, InstanceEntry> {
        self.entry.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Reads the announcements of instances.
struct InstancesReader<'a> {
    own: &'a OwnAnnouncement,
}

impl TopicReader for InstancesReader<'_> {
    fn topic(&self) -> &'static str {
        INSTANCES_TOPIC
    }

    fn reset(&mut self, records: Vec<KeyedRecord>, updates: &UpdateSender) {
        for record in records {
            self.apply(record, updates);
        }
        send_update(updates, TrafficUpdate::InstancesRead);
    }

    fn apply(&mut self, record: KeyedRecord, updates: &UpdateSender) {
        let Some(value) = record.value else {
            return;
        };
        match InstanceEntry::decode(&value) {
            Ok(entry) => send_update(updates, TrafficUpdate::Instance(entry)),
            Err(error) => event!(
                EventCode::AnnouncementUnreadable,
                "key={} cause={error}",
                record.key
            ),
        }
    }

    fn store_restored(&mut self, store: &StoreClient, _updates: &UpdateSender) {
        self.own.publish(store);
    }
}

/// Publishes the announcement of this instance, then follows the announcements of
/// all instances.
pub(crate) fn follow_instances(store: &StoreClient, updates: &UpdateSender, own: &OwnAnnouncement) {
    own.publish(store);
    follow_keyed(store, updates, InstancesReader { own });
}

/// Switch by which the traffic thread starts and stops the reading of the account
/// stream.
#[derive(Debug, Default)]
pub(crate) struct AccountsGate {
    open: AtomicBool,
    /// Whether the traffic thread lacks the history of budgets, of which others may write
    /// snapshots.
    lacks_history: AtomicBool,
    reader: OnceLock<Thread>,
}

impl AccountsGate {
    /// Sets the thread that reads the stream.
    pub(crate) fn set_reader(&self, reader: Thread) {
        // There is only one reading thread, and it is set once.
        let _first = self.reader.set(reader);
    }

    /// Opens or closes the gate; opening it wakes the reading thread.
    pub(crate) fn set(&self, open: bool) {
        let was_open = self.open.swap(open, Ordering::Relaxed);
        if let Some(reader) = self.reader.get().filter(|_reader| open && !was_open) {
            reader.unpark();
        }
    }

    /// Sets whether the traffic thread lacks the history of budgets.
    pub(crate) fn set_lacks_history(&self, lacks: bool) {
        self.lacks_history.store(lacks, Ordering::Relaxed);
    }

    /// Waits until the gate is open; calls `pause` first if it is closed. Returns whether it
    /// was.
    fn wait(&self, pause: impl FnOnce()) -> bool {
        if self.open.load(Ordering::Relaxed) {
            return false;
        }
        pause();
        while !self.open.load(Ordering::Relaxed) {
            thread::park();
        }
        true
    }
}

/// Reads the highest era that `topic` names as one in which another topic is complete.
pub(crate) fn read_complete_era(
    store: &StoreClient,
    topic: &str,
) -> platform::store::Result<Option<StoreEra>> {
    let mut recorded = None;
    for newest_record in store.newest(topic)?.records {
        let value = newest_record.record.value.unwrap_or_default();
        match codec::decode::<StoreEra>(&value) {
            Ok(era) => recorded = recorded.max(Some(era)),
            Err(error) => event!(EventCode::RecordWithoutKey, "topic={topic} cause={error}"),
        }
    }
    Ok(recorded)
}

/// Reads the era in which the account stream is complete, until it is the present one.
#[derive(Default)]
struct CompleteEraReader {
    recorded: Option<StoreEra>,
    read_at: Option<Instant>,
}

impl CompleteEraReader {
    /// Reads the era if it may have changed. Returns whether it did.
    fn read_if_due(
        &mut self,
        store: &StoreClient,
        updates: &UpdateSender,
    ) -> platform::store::Result<bool> {
        if self.recorded.is_some() && self.recorded == Some(store.era()) {
            return Ok(false);
        }
        let interval = match self.recorded {
            Some(_earlier) => ACCOUNTS_READ_INTERVAL,
            None => COMPLETE_ERA_READ_INTERVAL,
        };
        if self.read_at.is_some_and(|at| at.elapsed() < interval) {
            return Ok(false);
        }
        let recorded = read_complete_era(store, COMPLETE_ERA_TOPIC)?;
        let is_first = self.read_at.replace(Instant::now()).is_none();
        let is_changed = recorded != self.recorded;
        self.recorded = recorded;
        if is_first || is_changed {
            let update = TrafficUpdate::AccountsCompleteEra(recorded, store.era());
            send_update(updates, update);
        }
        Ok(is_changed)
    }
}

/// The snapshots from which the account stream was last continued.
struct SnapshotReader {
    /// Budgets whose snapshots were not older than the oldest record.
    fresh: BTreeSet<BudgetName>,
    /// Offset of the oldest record at the last read of the stream.
    first: u64,
    read_at: Option<Instant>,
    /// Time until the next read.
    interval: Duration,
}

impl SnapshotReader {
    fn new() -> Self {
        Self {
            fresh: BTreeSet::new(),
            first: 0,
            read_at: None,
            interval: MIN_SNAPSHOT_READ_INTERVAL,
        }
    }

    /// Reads the snapshots that replace the records before [`Self::first`] and sends them to
    /// the traffic thread.
    fn read(&mut self, store: &StoreClient, updates: &UpdateSender) -> platform::store::Result<()> {
        let snapshots = read_snapshots(store)?;
        let fresh = self.fresh_of(&snapshots);
        self.apply(snapshots, fresh, updates);
        Ok(())
    }

    /// The same if there are fresh snapshots of further budgets, and it is time to look.
    /// Returns whether there were.
    fn read_if_newer(
        &mut self,
        store: &StoreClient,
        updates: &UpdateSender,
    ) -> platform::store::Result<bool> {
        let last = self.read_at;
        if last.is_none_or(|at| at.elapsed() < self.interval) {
            return Ok(false);
        }
        self.read_at = Some(Instant::now());
        self.interval = (self.interval * 2).min(MAX_SNAPSHOT_READ_INTERVAL);
        let snapshots = read_snapshots(store)?;
        let fresh = self.fresh_of(&snapshots);
        let is_newer = !fresh.is_subset(&self.fresh);
        if is_newer {
            self.apply(snapshots, fresh, updates);
        }
        Ok(is_newer)
    }

    fn apply(
        &mut self,
        snapshots: Vec<AccountSnapshot>,
        fresh: BTreeSet<BudgetName>,
        updates: &UpdateSender,
    ) {
        self.fresh = fresh;
        self.read_at = Some(Instant::now());
        self.interval = MIN_SNAPSHOT_READ_INTERVAL;
        let first = self.first;
        let update = TrafficUpdate::AccountsTruncated { first, snapshots };
        send_update(updates, update);
    }

    fn fresh_of(&self, snapshots: &[AccountSnapshot]) -> BTreeSet<BudgetName> {
        let fresh = snapshots.iter();
        let fresh = fresh.filter(|snapshot| snapshot.next >= self.first && !snapshot.is_assumed);
        fresh.map(|snapshot| snapshot.budget.clone()).collect()
    }
}

/// Follows the account stream from its first record while `gate` is open. If
/// records expired before they were read, it continues from the snapshots.
pub(crate) fn follow_accounts(store: &StoreClient, updates: &UpdateSender, gate: &AccountsGate) {
    let mut monitor = TopicMonitor::default();
    let mut complete_era = CompleteEraReader::default();
    let mut snapshots = SnapshotReader::new();
    let mut next = 0;
    let mut caught_up = false;
    loop {
        let has_paused = gate.wait(|| send_update(updates, TrafficUpdate::AccountsPaused));
        caught_up &= !has_paused;
        let newer = if gate.lacks_history.load(Ordering::Relaxed) {
            snapshots.read_if_newer(store, updates)
        } else {
            Ok(false)
        };
        if let Ok(true) = newer {
            next = snapshots.first;
            caught_up = false;
        }
        let era = newer.and_then(|_is_newer| complete_era.read_if_due(store, updates));
        match era {
            // Records that were missing before stand before the era.
            Ok(true) => caught_up = false,
            Ok(false) => {}
            Err(StoreError::EraChanged { previous, current }) => {
                log_era_change(account::STREAM, (previous, current), Some(next));
                next = 0;
                caught_up = false;
                send_update(updates, TrafficUpdate::AccountsRestored(current));
                continue;
            }
            Err(error) => {
                thread::sleep(monitor.failed(account::STREAM, &error));
                continue;
            }
        }
        let wait = if caught_up {
            monitor.wait()
        } else {
            Duration::ZERO
        };
        let page = match store.read(account::STREAM, next, wait) {
            Err(StoreError::Expired { first, .. }) => {
                event!(EventCode::AccountsExpired, "first={first} next={next}");
                snapshots.first = first;
                snapshots.read(store, updates).map(|()| {
                    next = first;
                    caught_up = false;
                    None
                })
            }
            read => read.map(|read| Some(read.page)),
        };
        match page {
            Ok(None) => thread::sleep(RETRY_DELAY),
            Ok(Some(page)) => {
                monitor.succeeded(account::STREAM);
                let end = page.end;
                let position = StreamPosition {
                    era: store.era(),
                    offset: end,
                };
                snapshots.first = page.first;
                let update = TrafficUpdate::AccountsEnd {
                    end: position,
                    first: page.first,
                };
                send_update(updates, update);
                let first = next;
                let records = page.records;
                next += u64::try_from(records.len()).unwrap_or(u64::MAX);
                if !records.is_empty() {
                    send_update(updates, TrafficUpdate::Accounts { first, records });
                }
                if next >= end && !caught_up {
                    caught_up = true;
                    send_update(updates, TrafficUpdate::AccountsCaughtUp);
                }
                if caught_up {
                    thread::park_timeout(ACCOUNTS_READ_INTERVAL);
                }
            }
            Err(StoreError::EraChanged { previous, current }) => {
                log_era_change(account::STREAM, (previous, current), Some(next));
                next = 0;
                caught_up = false;
                send_update(updates, TrafficUpdate::AccountsRestored(current));
            }
            Err(error) => {
                thread::sleep(monitor.failed(account::STREAM, &error));
            }
        }
    }
}

/// Reads the snapshots of all budgets.
fn read_snapshots(store: &StoreClient) -> platform::store::Result<Vec<AccountSnapshot>> {
    let newest = store.newest(SNAPSHOT_TOPIC)?;
    let mut snapshots = Vec::new();
    for newest_record in newest.records {
        let record = newest_record.record;
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
    Ok(snapshots)
}
