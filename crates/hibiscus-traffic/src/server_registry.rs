//! Which servers may be used, while the store comes and goes.
//!
//! A server whose entry was removed while the store was away may only have
//! been unable to renew it, so it stays until a little after the store's
//! return; whoever is still missing then is gone.

use std::collections::BTreeMap;
use std::time::Duration;

use hibiscus_types::ServerName;

use crate::model::ServerEntry;
use crate::model::ServerPhase;

/// Time after the store's return by which entries that lapsed are back, as
/// the platform states it.
pub const ENTRY_RETURN_TIME: Duration = Duration::from_secs(2);

/// One server of the roster.
#[derive(Clone, Debug)]
struct RosterEntry {
    entry: ServerEntry,
    /// When it is dropped unless it writes again.
    lapses: Option<Duration>,
}

/// What changed in the roster.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RegistryChange {
    /// A server is there, or described itself anew.
    Present(ServerEntry),
    /// A server is gone.
    Gone(ServerName),
}

/// The servers by name.
#[derive(Clone, Debug, Default)]
pub struct ServerRegistry {
    servers: BTreeMap<ServerName, RosterEntry>,
    away: bool,
    returned: Option<Duration>,
}

impl ServerRegistry {
    /// The store can't be read.
    pub fn note_store_lost(&mut self) {
        self.away = true;
    }

    /// The store was read again at `now`.
    pub fn note_store_read(&mut self, now: Duration) {
        if self.away {
            self.returned = Some(now);
        }
        self.away = false;
    }

    /// Takes an entry over; `None` when nothing but its age changed.
    pub fn put(&mut self, entry: ServerEntry) -> Option<RegistryChange> {
        let held = self.servers.get_mut(&entry.name);
        if let Some(held) = held {
            held.lapses = None;
            if held.entry == entry {
                return None;
            }
            held.entry = entry.clone();
            return Some(RegistryChange::Present(entry));
        }
        let held = RosterEntry {
            entry: entry.clone(),
            lapses: None,
        };
        self.servers.insert(entry.name.clone(), held);
        Some(RegistryChange::Present(entry))
    }

    /// Takes the removal of an entry over.
    pub fn remove(&mut self, name: &ServerName, now: Duration) -> Option<RegistryChange> {
        let until = match self.returned {
            _ if self.away => Some(now + ENTRY_RETURN_TIME),
            Some(returned) if now < returned + ENTRY_RETURN_TIME => {
                Some(returned + ENTRY_RETURN_TIME)
            }
            _ => None,
        };
        let held = self.servers.get_mut(name)?;
        // One that had said it was leaving did not lapse by the outage.
        if let Some(until) = until
            && held.entry.phase == ServerPhase::Serving
        {
            held.lapses = Some(until);
            return None;
        }
        self.servers.remove(name);
        Some(RegistryChange::Gone(name.clone()))
    }

    /// Takes over the newest entries of all servers, read at `now`.
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

    /// Drops the servers that did not come back by `now`.
    pub fn expire(&mut self, now: Duration) -> Vec<RegistryChange> {
        let mut changes = Vec::new();
        if self.away {
            return changes;
        }
        self.servers.retain(|name, held| {
            let gone = held.lapses.is_some_and(|until| now >= until);
            if gone {
                changes.push(RegistryChange::Gone(name.clone()));
            }
            !gone
        });
        changes
    }
}
