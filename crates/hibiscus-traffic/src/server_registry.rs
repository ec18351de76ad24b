//! Which servers may be used while the store is lost and returns.
//!
//! A server whose entry was removed during an outage of the store may just have
//! failed to renew it. Such a server stays in the registry until shortly after
//! the store returns, and is removed if its entry is still missing then.
//!
//! A store that came back from a copy of itself has entries that were removed
//! since, until the removal is written again. So an entry whose removal was known
//! before all entries were read again is held back until then. The sequence number
//! in the entries cannot tell such an entry from a renewed one: relays do not
//! publish entries that differ in nothing else.

use std::collections::BTreeMap;
use std::time::Duration;

use hibiscus_types::ServerName;

use crate::model::ServerEntry;
use crate::model::ServerPhase;

/// Time after the store's return by which expired entries are written again,
/// as stated by the platform.
pub const ENTRY_RETURN_TIME: Duration = Duration::from_secs(2);
/// Shortest time without a read in which entries may lapse: an entry lapses 3.6 s after it
/// was last written, and servers write it about every 1.2 s.
pub const MIN_LAPSE_TIME: Duration = Duration::from_secs(2);
/// Time after all entries were read in which the removal of an entry that the store lost
/// is written again, within three heartbeats of 1.2 s, and known, within 2 s.
pub const REMOVAL_RETURN_TIME: Duration = Duration::from_millis(5_600);
/// Time for which the removal of an entry is remembered; copies of the store are some
/// seconds old.
const REMOVAL_RETENTION: Duration = Duration::from_secs(60);

/// A server in the registry.
#[derive(Clone, Debug)]
struct RegisteredServer {
    entry: ServerEntry,
    /// Time at which the server is removed unless its entry is written again.
    expires_at: Option<Duration>,
}

/// A process whose entry was removed.
#[derive(Clone, Debug)]
struct RemovedServer {
    started: u64,
    removed_at: Duration,
    /// How often all entries had been read by then.
    full_reads: u64,
    /// Its entry, if that was read again since and is held back.
    returned: Option<ServerEntry>,
}

/// Change to the servers in the registry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RegistryChange {
    /// A server was added, or its entry changed.
    Present(ServerEntry),
    /// A server was removed.
    Gone(ServerName),
}

/// The servers that may be used, by name.
#[derive(Clone, Debug, Default)]
pub struct ServerRegistry {
    servers: BTreeMap<ServerName, RegisteredServer>,
    removed: BTreeMap<ServerName, RemovedServer>,
    /// How often all entries were read, and when for the last time.
    full_reads: u64,
    fully_read_at: Duration,
    is_store_lost: bool,
    last_read_at: Option<Duration>,
    /// End of the last outage in which entries may have lapsed.
    store_returned_at: Option<Duration>,
}

impl ServerRegistry {
    /// Records that the store cannot be read.
    pub fn note_store_lost(&mut self) {
        self.is_store_lost = true;
    }

    /// Records that the store was read at `now`.
    pub fn note_store_read(&mut self, now: Duration) {
        if self.is_in_outage(now) {
            self.store_returned_at = Some(now);
        }
        self.is_store_lost = false;
        self.last_read_at = Some(now);
    }

    /// Whether the store has not been read for so long that entries may have lapsed.
    /// Single calls also fail in a stable store, for example beyond its rates.
    fn is_in_outage(&self, now: Duration) -> bool {
        let may_have_lapsed = |last_read: Duration| now >= last_read + MIN_LAPSE_TIME;
        self.is_store_lost && self.last_read_at.is_none_or(may_have_lapsed)
    }

    /// Adds or updates an entry; returns `None` if only its age changed, or if the entry is
    /// held back. A process that is draining stays so: a store that came back from a copy
    /// shows its earlier entry.
    pub fn put(&mut self, mut entry: ServerEntry) -> Option<RegistryChange> {
        if self.hold_back(&entry) {
            return None;
        }
        let held = self.servers.get_mut(&entry.name);
        if let Some(held) = held {
            held.expires_at = None;
            if held.entry.started == entry.started && held.entry.phase != ServerPhase::Serving {
                entry.phase = held.entry.phase;
            }
            if held.entry == entry {
                return None;
            }
            held.entry = entry.clone();
            return Some(RegistryChange::Present(entry));
        }
        let held = RegisteredServer {
            entry: entry.clone(),
            expires_at: None,
        };
        self.servers.insert(entry.name.clone(), held);
        Some(RegistryChange::Present(entry))
    }

    /// Holds `entry` back if its removal was known before all entries were read last;
    /// returns whether it did.
    fn hold_back(&mut self, entry: &ServerEntry) -> bool {
        let Some(removed) = self.removed.get_mut(&entry.name) else {
            return false;
        };
        let is_other = removed.started != entry.started;
        if is_other || removed.full_reads == self.full_reads {
            self.removed.remove(&entry.name);
            return false;
        }
        removed.returned = Some(entry.clone());
        true
    }

    /// Records that `entry` was removed at `now`.
    fn note_removed(&mut self, entry: &ServerEntry, now: Duration) {
        let removed = RemovedServer {
            started: entry.started,
            removed_at: now,
            full_reads: self.full_reads,
            returned: None,
        };
        self.removed.insert(entry.name.clone(), removed);
    }

    /// Handles the removal of an entry from the store at `now`.
    pub fn remove(&mut self, name: &ServerName, now: Duration) -> Option<RegistryChange> {
        if let Some(removed) = self.removed.get_mut(name) {
            removed.returned = None;
            removed.removed_at = now;
            removed.full_reads = self.full_reads;
        }
        let until = match self.store_returned_at {
            _ if self.is_in_outage(now) => Some(now + ENTRY_RETURN_TIME),
            Some(returned_at) if now < returned_at + ENTRY_RETURN_TIME => {
                Some(returned_at + ENTRY_RETURN_TIME)
            }
            _ => None,
        };
        let held = self.servers.get_mut(name)?;
        // The entry of a draining server did not expire because of the outage.
        if let Some(until) = until
            && held.entry.phase == ServerPhase::Serving
        {
            held.expires_at = Some(until);
            return None;
        }
        let held = self.servers.remove(name)?;
        self.note_removed(&held.entry, now);
        Some(RegistryChange::Gone(name.clone()))
    }

    /// Replaces all entries by `entries`, which were read at `now`.
    pub fn replace(&mut self, entries: Vec<ServerEntry>, now: Duration) -> Vec<RegistryChange> {
        self.full_reads += 1;
        self.fully_read_at = now;
        // The store may have come back from a copy that lacks entries.
        if self.is_store_lost {
            self.store_returned_at = Some(now);
        }
        for removed in self.removed.values_mut() {
            removed.returned = None;
        }
        let mut changes = Vec::new();
        let mut missing = Vec::new();
        for name in self.servers.keys() {
            if !entries.iter().any(|entry| entry.name == *name) {
                missing.push(name.clone());
            }
        }
        for name in missing {
            changes.extend(self.remove(&name, now));
        }
        for entry in entries {
            changes.extend(self.put(entry));
        }
        changes
    }

    /// Removes the servers whose entries did not return by `now`, and adds those whose
    /// entries were held back and not removed again.
    pub fn expire(&mut self, now: Duration) -> Vec<RegistryChange> {
        let mut changes = Vec::new();
        if self.is_store_lost {
            return changes;
        }
        let mut expired = Vec::new();
        self.servers.retain(|_name, held| {
            let is_gone = held.expires_at.is_some_and(|until| now >= until);
            if is_gone {
                expired.push(held.entry.clone());
            }
            !is_gone
        });
        for entry in expired {
            self.note_removed(&entry, now);
            changes.push(RegistryChange::Gone(entry.name));
        }
        changes.extend(self.release(now));
        changes
    }

    /// Adds the servers whose entries need not be held back any longer.
    fn release(&mut self, now: Duration) -> Vec<RegistryChange> {
        let is_over = now >= self.fully_read_at + REMOVAL_RETURN_TIME;
        let mut released = Vec::new();
        self.removed.retain(|_name, removed| {
            let Some(entry) = &removed.returned else {
                return now < removed.removed_at + REMOVAL_RETENTION;
            };
            if is_over {
                released.push(entry.clone());
            }
            !is_over
        });
        released
            .into_iter()
            .filter_map(|entry| self.put(entry))
            .collect()
    }
}
