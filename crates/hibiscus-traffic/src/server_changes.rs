//! Changes to the servers' entries, published by a few instances for the others.
//!
//! Every server rewrites its entry about every second, mostly unchanged. In a
//! large fleet a few instances, the relays, read these entries and publish the
//! changes in a topic of the fleet, which the other instances follow. A change
//! set names the offsets of the servers' topic that it covers, so that repeated
//! and late change sets and those of several relays change nothing, and a
//! follower detects missing ones. It then reads the servers' topic itself, as it
//! does when no change sets arrive.

use std::collections::BTreeMap;
use std::time::Duration;

use hibiscus_types::ServerName;
use hibiscus_types::StoreEra;
use serde::Deserialize;
use serde::Serialize;

use crate::model::ServerEntry;

/// Topic of the change sets.
pub const SERVER_CHANGES_TOPIC: &str = "server-changes-4"; // earlier releases cannot decode its records
/// Time after which a relay publishes an empty change set.
pub const CHANGE_SET_INTERVAL: Duration = Duration::from_secs(1);
/// Additional time that each further relay waits for the relays before it.
const RELAY_STAGGER: Duration = Duration::from_millis(400);
/// Time without a change set after which a follower reads the servers' topic
/// itself: a draining server must be known within 2 s.
const CHANGE_SET_SILENCE_LIMIT: Duration = Duration::from_millis(1_300);
/// Maximum number of changes in one record: an entry has about 150 bytes, and the
/// store accepts records of up to 262,144 bytes.
const CHANGES_PER_SET_LIMIT: usize = 1_000;

/// Maximum number of records that a change set may cover beyond those before: more than
/// servers write while a relay cannot publish. A set of another writer that claims more
/// would hide all further records.
const COVERED_LIMIT: u64 = 100_000;

/// Change to one server's entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerChange {
    /// The entry was added or changed.
    Present(ServerEntry),
    /// The entry was removed, or no longer describes a server.
    Gone(ServerName),
}

impl ServerChange {
    /// Name of the server.
    pub fn name(&self) -> &ServerName {
        match self {
            Self::Present(entry) => &entry.name,
            Self::Gone(name) => name,
        }
    }
}

/// The changes in a range of the servers' topic.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerChangeSet {
    /// Offset of the first covered record of the servers' topic.
    pub from: u64,
    /// Offset after the last covered record.
    pub upto: u64,
    /// The changes, each with the offset of its record.
    pub changes: Vec<(u64, ServerChange)>,
}

/// A change set and the era of the store in which its offsets were read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishedChangeSet {
    /// The era.
    pub era: StoreEra,
    /// The change set.
    pub change_set: ServerChangeSet,
}

/// Reports that change sets before the received one are missing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChangeGap {
    /// Offset from which the servers' topic has to be read.
    pub position: u64,
}

/// The servers' entries according to the records of their topic up to an offset.
#[derive(Clone, Debug, Default)]
pub struct EntryTable {
    position: u64,
    servers: BTreeMap<ServerName, ServerEntry>,
}

impl EntryTable {
    /// A table of `entries`, which result from the records before `position`.
    pub fn new(entries: &[ServerEntry], position: u64) -> Self {
        let servers = entries
            .iter()
            .map(|entry| (entry.name.clone(), entry.clone()));
        Self {
            position,
            servers: servers.collect(),
        }
    }

    /// Offset after the last covered record.
    pub fn position(&self) -> u64 {
        self.position
    }

    /// Applies the record at `offset`; returns `None` if it changes nothing.
    pub fn apply(&mut self, offset: u64, change: ServerChange) -> Option<ServerChange> {
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

    /// Marks all records before `position` as covered.
    pub fn advance(&mut self, position: u64) {
        self.position = self.position.max(position);
    }

    /// Applies a change set; returns the changes that were not known.
    ///
    /// # Errors
    ///
    /// Fails if change sets before this one are missing, or if it claims to cover more
    /// records than it can. The servers' topic has to be read then.
    pub fn apply_change_set(
        &mut self,
        change_set: ServerChangeSet,
    ) -> Result<Vec<ServerChange>, ChangeGap> {
        let covers_too_much = change_set.upto > self.position.saturating_add(COVERED_LIMIT);
        if change_set.from > self.position || covers_too_much {
            return Err(ChangeGap {
                position: self.position,
            });
        }
        let mut changes = Vec::new();
        for (offset, change) in change_set.changes {
            changes.extend(self.apply(offset, change));
        }
        self.advance(change_set.upto);
        Ok(changes)
    }
}

/// Changes that a relay has read and that no relay has published yet.
#[derive(Clone, Debug)]
pub struct PendingChanges {
    from: u64,
    changes: Vec<(u64, ServerChange)>,
    /// Time at which the oldest of the changes was read.
    oldest_change: Option<Duration>,
    /// Time at which a change set was last published.
    last_published: Duration,
}

impl PendingChanges {
    /// Pending changes of a relay that starts at `now` and has read the records
    /// before `from`.
    pub fn new(from: u64, now: Duration) -> Self {
        Self {
            from,
            changes: Vec::new(),
            oldest_change: None,
            last_published: now,
        }
    }

    /// Adds a change made by the record at `offset`.
    pub fn push(&mut self, offset: u64, change: ServerChange, now: Duration) {
        self.oldest_change.get_or_insert(now);
        self.changes.push((offset, change));
    }

    /// Records that this or another relay published a change set that covers the
    /// records before `upto`.
    pub fn note_published(&mut self, upto: u64, now: Duration) {
        self.last_published = self.last_published.max(now);
        self.changes.retain(|(offset, _change)| *offset >= upto);
        self.from = self.from.max(upto);
        if self.changes.is_empty() {
            self.oldest_change = None;
        }
    }

    /// Whether a relay with `place` relays before it has to publish at `now`.
    pub fn is_due(&self, place: u32, now: Duration) -> bool {
        let stagger = RELAY_STAGGER * place;
        let waits = |since: Duration, limit: Duration| now.saturating_sub(since) >= limit + stagger;
        self.oldest_change
            .is_some_and(|oldest_change| waits(oldest_change, Duration::ZERO))
            || waits(self.last_published, CHANGE_SET_INTERVAL)
    }

    /// The change sets to publish after the records before `position` were read.
    pub fn change_sets(&self, position: u64) -> Vec<ServerChangeSet> {
        let mut change_sets = Vec::new();
        let mut from = self.from;
        let mut parts = self.changes.chunks(CHANGES_PER_SET_LIMIT).peekable();
        while let Some(part) = parts.next() {
            let last = part.last().map_or(from, |(offset, _change)| offset + 1);
            let upto = if parts.peek().is_some() {
                last
            } else {
                position
            };
            change_sets.push(ServerChangeSet {
                from,
                upto,
                changes: part.to_vec(),
            });
            from = upto;
        }
        if change_sets.is_empty() {
            change_sets.push(ServerChangeSet {
                from,
                upto: position.max(from),
                changes: Vec::new(),
            });
        }
        change_sets
    }
}

/// Whether a follower that last received a change set at `last_received` has to
/// read the servers' topic itself at `now`.
pub fn is_stale(last_received: Duration, now: Duration) -> bool {
    now.saturating_sub(last_received) >= CHANGE_SET_SILENCE_LIMIT
}
