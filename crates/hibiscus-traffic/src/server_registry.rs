//! Which servers may be used while the store is lost and returns.
//!
//! A server whose entry was removed during an outage of the store may just have
//! failed to renew it. Such a server stays in the registry until shortly after
//! the store returns, and is removed if its entry is still missing then.

use std::collections::BTreeMap;
use std::time::Duration;

use hibiscus_types::ServerName;

use crate::model::ServerEntry;
use crate::model::ServerPhase;

/// Time after the store's return by which expired entries are written again,
/// as stated by the platform.
pub const ENTRY_RETURN_TIME: Duration = Duration::from_secs(2);

/// A server in the registry.
#[derive(Clone, Debug)]
struct RegisteredServer {
    entry: ServerEntry,
    /// Time at which the server is removed unless its entry is written again.
    expires_at: Option<Duration>,
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
    is_store_lost: bool,
    store_returned_at: Option<Duration>,
}

impl ServerRegistry {
    /// Records that the store cannot be read.
    pub fn note_store_lost(&mut self) {
        self.is_store_lost = true;
    }

    /// Records that the store was read at `now`.
    pub fn note_store_read(&mut self, now: Duration) {
        if self.is_store_lost {
            self.store_returned_at = Some(now);
        }
        self.is_store_lost = false;
    }

    /// Adds or updates an entry; returns `None` if only its age changed. A process that
    /// is draining stays so: a store that came back from a copy shows its earlier entry.
    pub fn put(&mut self, mut entry: ServerEntry) -> Option<RegistryChange> {
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

    /// Handles the removal of an entry from the store at `now`.
    pub fn remove(&mut self, name: &ServerName, now: Duration) -> Option<RegistryChange> {
        let until = match self.store_returned_at {
            _ if self.is_store_lost => Some(now + ENTRY_RETURN_TIME),
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
        self.servers.remove(name);
        Some(RegistryChange::Gone(name.clone()))
    }

    /// Replaces all entries by `entries`, which were read at `now`.
    pub fn replace(&mut self, entries: Vec<ServerEntry>, now: Duration) -> Vec<RegistryChange> {
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

    /// Removes the servers whose entries did not return by `now`.
    pub fn expire(&mut self, now: Duration) -> Vec<RegistryChange> {
        let mut changes = Vec::new();
        if self.is_store_lost {
            return changes;
        }
        self.servers.retain(|name, held| {
            let gone = held.expires_at.is_some_and(|until| now >= until);
            if gone {
                changes.push(RegistryChange::Gone(name.clone()));
            }
            !gone
        });
        changes
    }
}
