//! Threads that follow topics of the metadata store.

use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use hibiscus_events::EventCode;
use hibiscus_events::event;
use hibiscus_ledger::account;
use hibiscus_ledger::account::snapshot::AccountSnapshot;
use hibiscus_ledger::account::snapshot::SNAPSHOT_TOPIC;
use hibiscus_traffic::model::InstanceEntry;
use hibiscus_traffic::updates::ConfigArrival;
use hibiscus_traffic::updates::TrafficUpdate;
use hibiscus_traffic::updates::UpdateSender;
use hibiscus_types::ServerName;
use hibiscus_types::codec;
use platform::config;
use platform::records;
use platform::records::KeyedRecord;
use platform::servers;
use platform::store::ReplyTransfer;
use platform::store::StoreClient;
use platform::store::StoreError;

/// Topic of the instances' announcements.
const INSTANCES_TOPIC: &str = "keyed.instances";
/// Time for which a read waits for a record. A connection that fell silent
/// shows after it, and a change must be known within 2 s of being made.
const READ_WAIT: Duration = Duration::from_millis(1_500);
/// Time for which a read waits while the store is away: its return is seen by
/// the next call, not by one that waits on a connection of before.
const AWAY_WAIT: Duration = Duration::from_millis(100);
/// Pause after a failed call.
const FAILURE_PAUSE: Duration = Duration::from_millis(150);
/// Pause between reads of the servers' entries, which are written all the
/// time: a leaving server is known well within the 2 s that it may take.
const SERVERS_PAUSE: Duration = Duration::from_millis(250);
/// Pause between reads of the accounts, so that one read brings the records
/// of several instances. A verdict that is awaited ends it.
const ACCOUNTS_PAUSE: Duration = Duration::from_millis(300);

/// What a thread does with the records of a keyed topic.
trait TopicReader {
    /// The topic.
    fn topic(&self) -> &'static str;

    /// Pause after each read.
    fn pause(&self) -> Duration {
        Duration::ZERO
    }

    /// Notes how the records came that are taken over next.
    fn note_arrival(&mut self, _arrival: PageArrival) {}

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

/// How a page of records came.
#[derive(Clone, Copy, Debug, Default)]
struct PageArrival {
    transfer: ReplyTransfer,
    /// Records of the topic after the page, when it was sent.
    behind: u64,
}

/// Sends news to the traffic thread, waiting for room. It fails only when
/// that thread has ended, and the process with it.
fn tell(updates: &UpdateSender, update: TrafficUpdate) {
    if updates.blocking_send(update).is_err() {
        event!(EventCode::UpdateTooLate, "");
    }
}

/// Logs the loss and the return of a topic.
#[derive(Default)]
struct ReachLog {
    /// When the first of the present failures was.
    lost: Option<Instant>,
    /// Failures since then.
    failures: u32,
    /// Bytes of replies that were cut since then.
    cut_bytes: usize,
}

impl ReachLog {
    /// Time for which the next read waits.
    fn wait(&self) -> Duration {
        if self.lost.is_some() {
            AWAY_WAIT
        } else {
            READ_WAIT
        }
    }

    fn failed(&mut self, topic: &str, error: &StoreError) {
        if let StoreError::Cut { transfer, .. } = error {
            self.cut_bytes += transfer.bytes;
            event!(EventCode::ReplyCut, "topic={topic} cause={error}");
        }
        if self.lost.is_none() {
            event!(EventCode::TopicLost, "topic={topic} cause={error}");
        }
        self.lost.get_or_insert_with(Instant::now);
        self.failures += 1;
    }

    fn succeeded(&mut self, topic: &str) {
        if let Some(since) = self.lost {
            event!(
                EventCode::TopicRegained,
                "topic={topic} lost_ms={} failures={} cut_bytes={}",
                since.elapsed().as_millis(),
                self.failures,
                self.cut_bytes
            );
        }
        *self = Self::default();
    }
}

/// Follows a keyed topic: the newest records first, then what is appended;
/// after a gap, the newest records again.
fn follow_keyed<R: TopicReader>(store: &StoreClient, updates: &UpdateSender, mut reader: R) {
    let topic = reader.topic();
    let mut reach = ReachLog::default();
    let mut next: Option<u64> = None;
    loop {
        let step = match next {
            None => store.newest(topic).map(|newest| {
                reader.reached(true, updates);
                reader.note_arrival(PageArrival {
                    transfer: newest.transfer,
                    behind: 0,
                });
                reader.reset(newest.records, updates);
                newest.next
            }),
            Some(from) => store.read(topic, from, reach.wait()).map(|read| {
                reader.reached(true, updates);
                let records = &read.page.records;
                let count = u64::try_from(records.len()).unwrap_or(u64::MAX);
                reader.note_arrival(PageArrival {
                    transfer: read.transfer,
                    behind: read.page.end.saturating_sub(from + count),
                });
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

/// Reads the configuration.
#[derive(Default)]
struct ConfigReader {
    arrival: PageArrival,
}

impl TopicReader for ConfigReader {
    fn topic(&self) -> &'static str {
        config::TOPIC
    }

    fn note_arrival(&mut self, arrival: PageArrival) {
        self.arrival = arrival;
    }

    fn take(&mut self, record: KeyedRecord, updates: &UpdateSender) {
        let Some(value) = record.value.filter(|_value| record.key == config::KEY) else {
            return;
        };
        let received = Instant::now();
        match config::decode(&value) {
            Ok(config) => {
                if !config.left_out.is_empty() {
                    let (version, routes) = (config.version, config.left_out.join(","));
                    event!(EventCode::RouteLeftOut, "version={version} routes={routes}");
                }
                let arrival = ConfigArrival {
                    bytes: self.arrival.transfer.bytes,
                    read: self.arrival.transfer.time,
                    behind: self.arrival.behind,
                    decode: received.elapsed(),
                    told: Instant::now(),
                };
                let config = Arc::new(config);
                tell(updates, TrafficUpdate::Config { config, arrival });
            }
            Err(error) => event!(
                EventCode::ConfigUnreadable,
                "bytes={} cause={error}",
                value.len()
            ),
        }
    }
}

/// Follows the configuration.
pub(crate) fn follow_config(store: &StoreClient, updates: &UpdateSender) {
    follow_keyed(store, updates, ConfigReader::default());
}

/// Reads the servers' entries.
struct ServersReader;

impl TopicReader for ServersReader {
    fn topic(&self) -> &'static str {
        servers::TOPIC
    }

    fn pause(&self) -> Duration {
        SERVERS_PAUSE
    }

    fn reset(&mut self, records: Vec<KeyedRecord>, updates: &UpdateSender) {
        let mut entries = Vec::new();
        for record in records {
            let value = record.value.unwrap_or_default();
            match servers::decode(&record.key, &value) {
                Some(entry) => entries.push(entry),
                None => event!(EventCode::EntryUnreadable, "key={}", record.key),
            }
        }
        tell(updates, TrafficUpdate::AllServers(entries));
    }

    fn take(&mut self, record: KeyedRecord, updates: &UpdateSender) {
        let entry = record.value.as_ref();
        let entry = entry.and_then(|value| servers::decode(&record.key, value));
        let update = match entry {
            Some(entry) => TrafficUpdate::Server(entry),
            None => TrafficUpdate::ServerGone(ServerName::new(record.key)),
        };
        tell(updates, update);
    }

    fn reached(&mut self, reached: bool, updates: &UpdateSender) {
        let update = if reached {
            TrafficUpdate::ServersRead
        } else {
            TrafficUpdate::ServersLost
        };
        tell(updates, update);
    }
}

/// Follows the servers' entries.
pub(crate) fn follow_servers(store: &StoreClient, updates: &UpdateSender) {
    follow_keyed(store, updates, ServersReader);
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

/// Follows the account stream from its oldest record, after the snapshots if
/// records have expired.
pub(crate) fn follow_accounts(store: &StoreClient, updates: &UpdateSender) {
    let mut reach = ReachLog::default();
    let mut next = 0;
    let mut current = false;
    loop {
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
                    tell(updates, TrafficUpdate::AccountsCurrent);
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
    for record in newest.records {
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
    tell(updates, TrafficUpdate::AccountsResumed { first, snapshots });
    Ok(())
}
