//! What changes among the servers, as a few instances tell the others.
//!
//! Every server writes its entry each second or so, mostly unchanged. In a large
//! fleet a few instances, the relays, read these entries and publish what
//! changes in a topic of the fleet; the others follow that. News name the
//! offsets of the servers' topic that they cover, so copies, late ones and those
//! of several relays change nothing, and a follower sees that some are missing.
//! It then reads the servers' topic itself, as it does when no news come.

use std::collections::BTreeMap;
use std::time::Duration;

use hibiscus_types::ServerName;
use serde::Deserialize;
use serde::Serialize;

use crate::model::ServerEntry;

/// Topic of the news.
pub const SERVER_CHANGES_TOPIC: &str = "server-changes";
/// Time after which a relay publishes also when nothing changed.
pub const CHANGE_SET_INTERVAL: Duration = Duration::from_secs(1);
/// Time by which each further relay waits longer for those before it.
const RELAY_STAGGER: Duration = Duration::from_millis(400);
/// Time without news after which a follower reads the servers' topic itself: a
/// leaving server must be known within 2 s.
const SILENCE_LIMIT: Duration = Duration::from_millis(1_300);
/// Changes in one record: an entry is some 150 bytes, a record of the store
/// takes 262,144.
const CHANGES_LIMIT: usize = 1_000;

/// What became of one server's entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerChange {
    /// It is there, or changed.
    Present(ServerEntry),
    /// It was removed, or names no server any more.
    Gone(ServerName),
}

impl ServerChange {
    /// The server.
    pub fn name(&self) -> &ServerName {
        match self {
            Self::Present(entry) => &entry.name,
            Self::Gone(name) => name,
        }
    }
}

/// The changes in a part of the servers' topic.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerChangeSet {
    /// Offset of the first record of the servers' topic that is covered.
    pub from: u64,
    /// Offset after the last one.
    pub upto: u64,
    /// The changes, each with the offset of its record.
    pub changes: Vec<(u64, ServerChange)>,
}

/// News that are missing before others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChangeGap {
    /// Offset from which on the servers' topic has to be read.
    pub position: u64,
}

/// The servers by the records of their topic up to an offset.
#[derive(Clone, Debug, Default)]
pub struct EntryTable {
    position: u64,
    servers: BTreeMap<ServerName, ServerEntry>,
}

impl EntryTable {
    /// A book of the `entries` that the records before `position` leave.
    pub fn new(entries: &[ServerEntry], position: u64) -> Self {
        let servers = entries
            .iter()
            .map(|entry| (entry.name.clone(), entry.clone()));
        Self {
            position,
            servers: servers.collect(),
        }
    }

    /// Offset after the last record that is covered.
    pub fn position(&self) -> u64 {
        self.position
    }

    /// Takes the record at `offset` over; `None` when nothing changed by it.
    pub fn take(&mut self, offset: u64, change: ServerChange) -> Option<ServerChange> {
        if offset < self.position {
            return None;
        }
        self.position = offset + 1;
        let is_new = match &change {
            ServerChange::Gone(name) => self.servers.remove(name).is_some(),
            ServerChange::Present(entry) => {
                let before = self.servers.insert(entry.name.clone(), entry.clone());
                before.as_ref() != Some(entry)
            }
        };
        is_new.then_some(change)
    }

    /// Notes that there is nothing before `position` that is not covered.
    pub fn advance(&mut self, position: u64) {
        self.position = self.position.max(position);
    }

    /// Takes news over; the changes that were not known.
    ///
    /// # Errors
    ///
    /// Fails when news before these are missing.
    pub fn apply_change_set(
        &mut self,
        news: ServerChangeSet,
    ) -> Result<Vec<ServerChange>, ChangeGap> {
        if news.from > self.position {
            return Err(ChangeGap {
                position: self.position,
            });
        }
        let mut changes = Vec::new();
        for (offset, change) in news.changes {
            changes.extend(self.take(offset, change));
        }
        self.advance(news.upto);
        Ok(changes)
    }
}

/// What a relay has found and not seen published.
#[derive(Clone, Debug)]
pub struct PendingChanges {
    from: u64,
    changes: Vec<(u64, ServerChange)>,
    /// When the oldest of them was found.
    since: Option<Duration>,
    /// When news were published last.
    published: Duration,
}

impl PendingChanges {
    /// A draft of a relay that begins at `now` with the records before `from`.
    pub fn new(from: u64, now: Duration) -> Self {
        Self {
            from,
            changes: Vec::new(),
            since: None,
            published: now,
        }
    }

    /// Adds a change that the record at `offset` made.
    pub fn note(&mut self, offset: u64, change: ServerChange, now: Duration) {
        self.since.get_or_insert(now);
        self.changes.push((offset, change));
    }

    /// News that cover the records before `upto` were published, by this
    /// relay or another.
    pub fn note_published(&mut self, upto: u64, now: Duration) {
        self.published = self.published.max(now);
        self.changes.retain(|(offset, _change)| *offset >= upto);
        self.from = self.from.max(upto);
        if self.changes.is_empty() {
            self.since = None;
        }
    }

    /// Whether the relay with `place` others before it publishes at `now`.
    pub fn is_due(&self, place: u32, now: Duration) -> bool {
        let stagger = RELAY_STAGGER * place;
        let waits = |since: Duration, most: Duration| now.saturating_sub(since) >= most + stagger;
        self.since.is_some_and(|since| waits(since, Duration::ZERO))
            || waits(self.published, CHANGE_SET_INTERVAL)
    }

    /// The records to publish when those before `position` were read.
    pub fn news(&self, position: u64) -> Vec<ServerChangeSet> {
        let mut news = Vec::new();
        let mut from = self.from;
        let mut parts = self.changes.chunks(CHANGES_LIMIT).peekable();
        while let Some(part) = parts.next() {
            let last = part.last().map_or(from, |(offset, _change)| offset + 1);
            let upto = if parts.peek().is_some() {
                last
            } else {
                position
            };
            news.push(ServerChangeSet {
                from,
                upto,
                changes: part.to_vec(),
            });
            from = upto;
        }
        if news.is_empty() {
            news.push(ServerChangeSet {
                from,
                upto: position.max(from),
                changes: Vec::new(),
            });
        }
        news
    }
}

/// Whether a follower that heard news last at `heard` reads the servers' topic
/// itself at `now`.
pub fn is_silent(heard: Duration, now: Duration) -> bool {
    now.saturating_sub(heard) >= SILENCE_LIMIT
}
