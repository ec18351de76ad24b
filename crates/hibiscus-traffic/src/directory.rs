//! Which instances callers are told to use.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use hibiscus_types::DataCentre;
use hibiscus_types::IncarnationId;
use hibiscus_types::InstanceName;

use crate::model::InstanceEntry;

/// Addresses in one answer; callers use no more.
const ADDRESS_LIMIT: usize = 64;

/// One instance and whether it answers.
#[derive(Clone, Debug)]
struct KnownInstance {
    entry: InstanceEntry,
    reachable: bool,
}

/// The instances of the fleet as this one sees them.
#[derive(Clone, Debug)]
pub struct InstanceDirectory {
    own: InstanceEntry,
    ready: bool,
    others: BTreeMap<InstanceName, KnownInstance>,
}

impl InstanceDirectory {
    /// A directory that knows only its own instance.
    pub fn new(own: InstanceEntry) -> Self {
        Self {
            own,
            ready: false,
            others: BTreeMap::new(),
        }
    }

    /// Whether `entry` is the newest process known of its instance.
    pub fn knows(&self, entry: &InstanceEntry) -> bool {
        let known = self.others.get(&entry.name);
        known.is_some_and(|known| known.entry.incarnation == entry.incarnation)
    }

    /// Takes an announcement over; true when it names a process that was not
    /// known. An older process of the same instance changes nothing.
    pub fn announce(&mut self, entry: InstanceEntry) -> bool {
        if entry.name == self.own.name {
            return false;
        }
        let known = self.others.get(&entry.name);
        let held: Option<IncarnationId> = known.map(|known| known.entry.incarnation);
        if held.is_some_and(|held| entry.incarnation < held) {
            return false;
        }
        let is_new = held != Some(entry.incarnation);
        let reachable = known
            .is_some_and(|known| known.reachable && known.entry.incarnation == entry.incarnation);
        let known = KnownInstance { entry, reachable };
        self.others.insert(known.entry.name.clone(), known);
        is_new
    }

    /// Notes whether the process that announced `entry` answers.
    pub fn note_reachable(&mut self, entry: &InstanceEntry, reachable: bool) {
        let Some(known) = self.others.get_mut(&entry.name) else {
            return;
        };
        if known.entry.incarnation == entry.incarnation {
            known.reachable = reachable;
        }
    }

    /// Notes whether this instance serves.
    pub fn set_ready(&mut self, ready: bool) {
        self.ready = ready;
    }

    /// Whether this instance serves.
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// Instances that may serve, this one included.
    pub fn live(&self) -> u32 {
        let others = self.others.values().filter(|known| known.reachable);
        u32::try_from(others.count())
            .unwrap_or(u32::MAX)
            .saturating_add(1)
    }

    /// Where the instances that answer take questions.
    pub fn peers(&self) -> Vec<SocketAddr> {
        let others = self.others.values().filter(|known| known.reachable);
        others.map(|known| known.entry.peers).collect()
    }

    /// Addresses for a caller in `data_centre`: those of the same data centre
    /// while there are several, else all that serve. Callers pick one at
    /// random, so a single near instance would get all of them. Never none.
    pub fn addresses(&self, _data_centre: Option<&DataCentre>) -> Vec<SocketAddr> {
        let mut addresses = Vec::new();
        if self.ready {
            addresses.push(self.own.callers);
        }
        for known in self.others.values() {
            if known.reachable && !known.entry.leaving {
                addresses.push(known.entry.callers);
            }
        }
        if addresses.is_empty() {
            let others = self.others.values();
            addresses.extend(others.map(|known| known.entry.callers));
            addresses.push(self.own.callers);
        }
        addresses.truncate(ADDRESS_LIMIT);
        addresses
    }
}
