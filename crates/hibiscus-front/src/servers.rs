//! Follows the servers' entries.
//!
//! In a small fleet each instance reads them. In a large one a few relays do,
//! and publish what changes ([`hibiscus_traffic::server_changes`]); the others
//! follow the news, and read the entries when news are missing or do not come.

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
use hibiscus_traffic::server_changes::SERVER_CHANGES_TOPIC;
use hibiscus_traffic::server_changes::ServerChange;
use hibiscus_traffic::server_changes::ServerChangeSet;
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

use crate::follow::tell;
use crate::reach::FAILURE_PAUSE;
use crate::reach::READ_WAIT;
use crate::reach::ReachLog;
use crate::relay::RelayDuty;

/// Pause between reads of the servers' entries, which are written all the
/// time: a leaving server is known well within the 2 s that it may take.
const ENTRIES_PAUSE: Duration = Duration::from_millis(250);

/// Follows the servers' entries for as long as the process runs.
pub(crate) fn follow_servers(store: &StoreClient, updates: &UpdateSender, duty: &RelayDuty) {
    let mut follower = ServersFollower {
        store,
        updates,
        duty,
        begun: Instant::now(),
        book: None,
        draft: None,
        news_next: 0,
        heard: Duration::ZERO,
    };
    let mut reach = ReachLog::default();
    loop {
        match follower.step(reach.wait_or(READ_WAIT)) {
            Ok(()) => {
                reach.succeeded(servers::TOPIC);
                tell(updates, TrafficUpdate::ServerTopicRead);
            }
            Err(StoreError::Expired { first }) => {
                event!(
                    EventCode::HistoryDropped,
                    "topic={} first={first}",
                    servers::TOPIC
                );
                follower.book = None;
            }
            Err(error) => {
                reach.failed(servers::TOPIC, &error);
                tell(updates, TrafficUpdate::ServerTopicUnavailable);
                thread::sleep(FAILURE_PAUSE);
            }
        }
    }
}

/// Follows the servers' entries for one instance.
struct ServersFollower<'a> {
    store: &'a StoreClient,
    updates: &'a UpdateSender,
    duty: &'a RelayDuty,
    begun: Instant,
    /// The servers; `None` before their entries were read.
    book: Option<EntryTable>,
    /// What this instance is to publish, while it is a relay.
    draft: Option<PendingChanges>,
    /// Offset of the next record of the news.
    news_next: u64,
    /// When news came last.
    heard: Duration,
}

impl ServersFollower<'_> {
    fn now(&self) -> Duration {
        self.begun.elapsed()
    }

    /// One read, by the present duty; it waits for news up to `wait`.
    fn step(&mut self, wait: Duration) -> Result<()> {
        let Some(mut book) = self.book.take() else {
            return self.begin();
        };
        let is_relay = self.duty.is_relay();
        let done = if !self.duty.is_large() {
            self.draft = None;
            self.read_entries(&mut book, wait)
        } else if is_relay {
            self.relay(&mut book, wait)
        } else {
            self.follow_news(&mut book, wait)
        };
        // What was read stays, whatever the last call came to.
        if !matches!(done, Err(StoreError::Expired { .. })) {
            self.book = Some(book);
        }
        done
    }

    /// Reads the newest entries of all servers.
    fn begin(&mut self) -> Result<()> {
        // News from here on are missed by nobody who reads the entries next.
        self.news_next = self.store.end(SERVER_CHANGES_TOPIC)?;
        let newest = self.store.newest(servers::TOPIC)?;
        let mut entries = Vec::with_capacity(newest.records.len());
        for kept in newest.records {
            match decode(kept.record) {
                ServerChange::Present(entry) => entries.push(entry),
                ServerChange::Gone(name) => event!(EventCode::EntryUnreadable, "key={name}"),
            }
        }
        self.book = Some(EntryTable::new(&entries, newest.next));
        self.draft = None;
        self.heard = self.now();
        tell(self.updates, TrafficUpdate::AllServers(entries));
        Ok(())
    }

    /// Reads the entries that were written since, waiting up to `wait`, and
    /// pauses.
    fn read_entries(&mut self, book: &mut EntryTable, wait: Duration) -> Result<()> {
        let from = book.position();
        let read = self.store.read(servers::TOPIC, from, wait)?;
        let now = self.now();
        for (offset, record) in (from..).zip(read.page.records) {
            let Some(record) = records::decode_keyed(&record) else {
                event!(EventCode::RecordWithoutKey, "topic={}", servers::TOPIC);
                book.advance(offset + 1);
                continue;
            };
            if let Some(change) = book.take(offset, decode(record)) {
                if let Some(draft) = &mut self.draft {
                    draft.note(offset, change.clone(), now);
                }
                self.tell_change(change);
            }
        }
        thread::sleep(ENTRIES_PAUSE);
        Ok(())
    }

    /// Reads the entries, and publishes what changed unless a relay before this
    /// one does.
    fn relay(&mut self, book: &mut EntryTable, wait: Duration) -> Result<()> {
        if self.draft.is_none() {
            self.draft = Some(PendingChanges::new(book.position(), self.now()));
        }
        self.read_entries(book, wait)?;
        let place = self.duty.place();
        if place > 0 {
            self.read_news(book, Duration::ZERO)?;
        }
        let now = self.now();
        let Some(draft) = &mut self.draft else {
            return Ok(());
        };
        if !draft.is_due(place, now) {
            return Ok(());
        }
        let news = draft.news(book.position());
        let mut encoded = Vec::with_capacity(news.len());
        for part in &news {
            match codec::encode(part) {
                Ok(record) => encoded.push(record),
                Err(error) => event!(EventCode::ServerNewsNotPublished, "cause={error}"),
            }
        }
        match self.store.append(SERVER_CHANGES_TOPIC, &encoded) {
            // Copies change nothing, so one whose reply is lost goes out again.
            Ok(_receipt) => draft.note_published(book.position(), now),
            Err(error) => event!(EventCode::ServerNewsNotPublished, "cause={error}"),
        }
        Ok(())
    }

    /// Follows the news; without any for a while reads the entries.
    fn follow_news(&mut self, book: &mut EntryTable, wait: Duration) -> Result<()> {
        if self.draft.take().is_some() {
            // A relay reads no news; what it missed shows as a gap.
            self.news_next = self.store.end(SERVER_CHANGES_TOPIC)?;
            self.heard = self.now();
        }
        if server_changes::is_silent(self.heard, self.now()) {
            self.read_entries(book, wait)?;
            return self.read_news(book, Duration::ZERO);
        }
        self.read_news(book, wait.min(CHANGE_SET_INTERVAL))
    }

    /// Reads the news that were published since, waiting up to `wait`.
    fn read_news(&mut self, book: &mut EntryTable, wait: Duration) -> Result<()> {
        let read = match self.store.read(SERVER_CHANGES_TOPIC, self.news_next, wait) {
            Ok(read) => read,
            Err(StoreError::Expired { first }) => {
                self.news_next = first;
                return Ok(());
            }
            Err(error) => return Err(error),
        };
        let now = self.now();
        for record in read.page.records {
            self.news_next += 1;
            let news = match codec::decode::<ServerChangeSet>(&record) {
                Ok(news) => news,
                Err(error) => {
                    event!(EventCode::ServerNewsUnreadable, "cause={error}");
                    continue;
                }
            };
            self.heard = now;
            if let Some(draft) = &mut self.draft {
                draft.note_published(news.upto, now);
            }
            let upto = news.upto;
            match book.apply_change_set(news) {
                Ok(changes) => {
                    for change in changes {
                        self.tell_change(change);
                    }
                }
                Err(gap) => {
                    event!(
                        EventCode::ServerNewsMissing,
                        "position={} upto={upto}",
                        gap.position
                    );
                    self.read_entries(book, Duration::ZERO)?;
                }
            }
        }
        Ok(())
    }

    fn tell_change(&self, change: ServerChange) {
        let update = match change {
            ServerChange::Present(entry) => TrafficUpdate::Server(entry),
            ServerChange::Gone(name) => TrafficUpdate::ServerRemoved(name),
        };
        tell(self.updates, update);
    }
}

/// What a record says of a server; bytes that name no server remove it.
fn decode(record: KeyedRecord) -> ServerChange {
    let entry: Option<ServerEntry> = record
        .value
        .as_ref()
        .and_then(|value| servers::decode(&record.key, value));
    match entry {
        Some(entry) => ServerChange::Present(entry),
        None => ServerChange::Gone(ServerName::new(record.key)),
    }
}
