//! Follows the entries of the backend servers.
//!
//! In a small fleet each instance reads the entries. In a large fleet a few
//! relays read them and publish change sets ([`hibiscus_traffic::server_changes`]).
//! The other instances follow the change sets, and read the entries if a change
//! set is missing or none arrives in time.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use hibiscus_events::EventCode;
use hibiscus_events::event;
use hibiscus_traffic::model::ServerEntry;
use hibiscus_traffic::server_changes;
use hibiscus_traffic::server_changes::CHANGE_SET_INTERVAL;
use hibiscus_traffic::server_changes::EntryTable;
use hibiscus_traffic::server_changes::PendingChanges;
use hibiscus_traffic::server_changes::PublishedChangeSet;
use hibiscus_traffic::server_changes::SERVER_CHANGES_TOPIC;
use hibiscus_traffic::server_changes::ServerChange;
use hibiscus_traffic::updates::TrafficUpdate;
use hibiscus_traffic::updates::UpdateSender;
use hibiscus_types::ServerName;
use hibiscus_types::codec;
use platform::records;
use platform::records::KeyedRecord;
use platform::servers;
use platform::store::Result;
use platform::store::StoreClient;
use platform::store::StoreError;

use crate::follow::log_era_change;
use crate::follow::log_expired;
use crate::follow::send_update;
use crate::relay::RelayRole;
use crate::topic_monitor::READ_WAIT;
use crate::topic_monitor::RETRY_DELAY;
use crate::topic_monitor::TopicMonitor;

/// Pause between reads of the entries, which are written continuously: a draining
/// server must be detected within 2 s.
const ENTRIES_READ_INTERVAL: Duration = Duration::from_millis(250);

/// Follows the entries of the servers for as long as the process runs.
pub(crate) fn follow_servers(store: &StoreClient, updates: &UpdateSender, role: &RelayRole) {
    let mut follower = ServersFollower {
        store,
        publisher: store.clone(),
        updates,
        role,
        started: Instant::now(),
        registry: None,
        draft: None,
        changes_next: 0,
        last_received: Duration::ZERO,
    };
    let mut monitor = TopicMonitor::default();
    loop {
        match follower.read_once(monitor.wait_or(READ_WAIT)) {
            Ok(()) => {
                monitor.succeeded(servers::TOPIC);
                send_update(updates, TrafficUpdate::ServerTopicRead);
            }
            Err(StoreError::Expired { from, first }) => {
                log_expired(servers::TOPIC, from, first);
                follower.registry = None;
                thread::sleep(RETRY_DELAY);
            }
            Err(StoreError::EraChanged { previous, current }) => {
                let position = follower.registry.take().map(|registry| registry.position());
                log_era_change(servers::TOPIC, (previous, current), position);
                send_update(updates, TrafficUpdate::ServerTopicUnavailable);
            }
            Err(error) => {
                let delay = monitor.failed(servers::TOPIC, &error);
                send_update(updates, TrafficUpdate::ServerTopicUnavailable);
                thread::sleep(delay);
            }
        }
    }
}

/// Follows the entries of the servers, according to the role of the instance.
struct ServersFollower<'a> {
    store: &'a StoreClient,
    /// Client for change sets: an era change that it reports must still be reported to
    /// the reads.
    publisher: StoreClient,
    updates: &'a UpdateSender,
    role: &'a RelayRole,
    started: Instant,
    /// The servers; `None` until all entries were read.
    registry: Option<EntryTable>,
    /// Changes that this instance will publish; only set while it is a relay.
    draft: Option<PendingChanges>,
    /// Offset of the next record in the topic of the change sets.
    changes_next: u64,
    /// Time at which the last change set was received, since `started`.
    last_received: Duration,
}

impl ServersFollower<'_> {
    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Reads once, according to the current role, waiting up to `wait` for a record.
    fn read_once(&mut self, wait: Duration) -> Result<()> {
        let Some(mut registry) = self.registry.take() else {
            return self.read_all();
        };
        let is_relay = self.role.is_relay();
        let done = if !self.role.is_large() {
            self.draft = None;
            self.read_entries(&mut registry, wait)
        } else if is_relay {
            self.relay(&mut registry, wait)
        } else {
            self.follow_changes(&mut registry, wait)
        };
        // The registry stays valid after a failed call, unless records expired unread.
        if !matches!(done, Err(StoreError::Expired { .. })) {
            self.registry = Some(registry);
        }
        done
    }

    /// Reads the entries of all servers.
    fn read_all(&mut self) -> Result<()> {
        // The end is read before the entries, so that no change set is missed.
        self.changes_next = self.store.end(SERVER_CHANGES_TOPIC)?;
        let newest = self.store.newest(servers::TOPIC)?;
        let mut entries = Vec::with_capacity(newest.records.len());
        for newest_record in newest.records {
            match decode_change(newest_record.record) {
                ServerChange::Present(entry) => entries.push(entry),
                ServerChange::Gone(name) => event!(EventCode::EntryUnreadable, "key={name}"),
            }
        }
        self.registry = Some(EntryTable::new(&entries, newest.next));
        self.draft = None;
        self.last_received = self.now();
        send_update(self.updates, TrafficUpdate::AllServers(entries));
        Ok(())
    }

    /// Reads the entries that were written since the last read, waiting up to
    /// `wait`, and then pauses.
    fn read_entries(&mut self, registry: &mut EntryTable, wait: Duration) -> Result<()> {
        let from = registry.position();
        let read = self.store.read(servers::TOPIC, from, wait)?;
        let now = self.now();
        for (offset, record) in (from..).zip(read.page.records) {
            let Some(record) = records::decode_keyed(&record) else {
                event!(EventCode::RecordWithoutKey, "topic={}", servers::TOPIC);
                registry.advance(offset + 1);
                continue;
            };
            if let Some(change) = registry.apply(offset, decode_change(record)) {
                if let Some(draft) = &mut self.draft {
                    draft.push(offset, change.clone(), now);
                }
                self.send_change(change);
            }
        }
        thread::sleep(ENTRIES_READ_INTERVAL);
        Ok(())
    }

    /// Reads the entries as a relay, and publishes the changes unless a relay with
    /// a lower rank does.
    fn relay(&mut self, registry: &mut EntryTable, wait: Duration) -> Result<()> {
        if self.draft.is_none() {
            self.draft = Some(PendingChanges::new(registry.position(), self.now()));
        }
        self.read_entries(registry, wait)?;
        let rank = self.role.rank();
        if rank > 0 {
            self.read_changes(registry, Duration::ZERO)?;
        }
        let now = self.now();
        let Some(draft) = &mut self.draft else {
            return Ok(());
        };
        if !draft.is_due(rank, now) {
            return Ok(());
        }
        let change_sets = draft.change_sets(registry.position());
        let mut encoded = Vec::with_capacity(change_sets.len());
        for change_set in change_sets {
            let era = self.store.era();
            match codec::encode(&PublishedChangeSet { era, change_set }) {
                Ok(record) => encoded.push(record),
                Err(error) => event!(EventCode::ServerNewsNotPublished, "cause={error}"),
            }
        }
        match self.publisher.append(SERVER_CHANGES_TOPIC, &encoded) {
            // Change sets are idempotent, so an append without a reply is repeated.
            Ok(_receipt) => draft.note_published(registry.position(), now),
            Err(error) => event!(EventCode::ServerNewsNotPublished, "cause={error}"),
        }
        Ok(())
    }

    /// Follows the change sets, and reads the entries if none has arrived for some
    /// time.
    fn follow_changes(&mut self, registry: &mut EntryTable, wait: Duration) -> Result<()> {
        if self.draft.take().is_some() {
            // A relay does not read all change sets; a missed one is detected as a
            // gap.
            self.changes_next = self.store.end(SERVER_CHANGES_TOPIC)?;
            self.last_received = self.now();
        }
        if server_changes::is_stale(self.last_received, self.now()) {
            self.read_entries(registry, wait)?;
            return self.read_changes(registry, Duration::ZERO);
        }
        self.read_changes(registry, wait.min(CHANGE_SET_INTERVAL))
    }

    /// Reads the change sets that were published since the last read, waiting up to
    /// `wait`.
    fn read_changes(&mut self, registry: &mut EntryTable, wait: Duration) -> Result<()> {
        let read = match self
            .store
            .read(SERVER_CHANGES_TOPIC, self.changes_next, wait)
        {
            Ok(read) => read,
            Err(StoreError::Expired { first, .. }) => {
                self.changes_next = first;
                return Ok(());
            }
            Err(error) => return Err(error),
        };
        let now = self.now();
        for record in read.page.records {
            self.changes_next += 1;
            let published = match codec::decode::<PublishedChangeSet>(&record) {
                Ok(published) => published,
                Err(error) => {
                    event!(EventCode::ServerNewsUnreadable, "cause={error}");
                    continue;
                }
            };
            if published.era != self.store.era() {
                continue;
            }
            let change_set = published.change_set;
            self.last_received = now;
            if let Some(draft) = &mut self.draft {
                draft.note_published(change_set.upto, now);
            }
            let upto = change_set.upto;
            match registry.apply_change_set(change_set) {
                Ok(changes) => {
                    for change in changes {
                        self.send_change(change);
                    }
                }
                Err(gap) => {
                    event!(
                        EventCode::ServerNewsMissing,
                        "position={} upto={upto}",
                        gap.position
                    );
                    self.read_entries(registry, Duration::ZERO)?;
                }
            }
        }
        Ok(())
    }

    fn send_change(&self, change: ServerChange) {
        let update = match change {
            ServerChange::Present(entry) => TrafficUpdate::Server(entry),
            ServerChange::Gone(name) => TrafficUpdate::ServerRemoved(name),
        };
        send_update(self.updates, update);
    }
}

/// Decodes a record; an invalid entry counts as the removal of the server.
fn decode_change(record: KeyedRecord) -> ServerChange {
    let entry: Option<ServerEntry> = record
        .value
        .as_ref()
        .and_then(|value| servers::decode(&record.key, value));
    match entry {
        Some(entry) => ServerChange::Present(entry),
        None => ServerChange::Gone(ServerName::new(record.key)),
    }
}
