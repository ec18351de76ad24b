//! Which instances callers are told to use.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use hibiscus_types::DataCentre;
use hibiscus_types::IncarnationId;
use hibiscus_types::InstanceName;
use hibiscus_types::hash::stable_hash;

use crate::model::InstanceEntry;

/// Addresses in one answer; callers use no more.
const ADDRESS_LIMIT: usize = 64;

/// Addresses in one answer at the least, if so many instances serve: a caller
/// that keeps the answer still finds one after several have died.
const ADDRESS_LEAST: usize = 12;

/// Replaced processes of an instance that are remembered: a late copy of an
/// announcement comes within seconds.
const REPLACED_KEPT: usize = 8;

/// Time after which an instance that does not answer is taken for gone: cuts
/// between instances last seconds, and replaced ones must not count for ever.
const FORGOTTEN_TIME: Duration = Duration::from_secs(600);

/// One instance and whether it answers.
#[derive(Clone, Debug)]
struct KnownInstance {
    entry: InstanceEntry,
    reachable: bool,
    /// When it answered last, or announced itself.
    heard: Instant,
    /// Processes that the present one replaced, oldest first.
    replaced: VecDeque<IncarnationId>,
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
    /// known. A process that was replaced changes nothing: announcements come
    /// in the order of their topic, and the time of day that incarnations show
    /// may have been set back.
    pub fn announce(&mut self, entry: InstanceEntry) -> bool {
        if entry.name == self.own.name {
            return false;
        }
        let Some(known) = self.others.get_mut(&entry.name) else {
            let known = KnownInstance {
                entry,
                reachable: false,
                heard: Instant::now(),
                replaced: VecDeque::new(),
            };
            self.others.insert(known.entry.name.clone(), known);
            return true;
        };
        if known.entry.incarnation == entry.incarnation {
            known.entry = entry;
            return false;
        }
        if known.replaced.contains(&entry.incarnation) {
            return false;
        }
        known.replaced.push_back(known.entry.incarnation);
        while known.replaced.len() > REPLACED_KEPT {
            known.replaced.pop_front();
        }
        known.entry = entry;
        known.reachable = false;
        known.heard = Instant::now();
        true
    }

    /// Notes whether the process that announced `entry` answers.
    pub fn note_reachable(&mut self, entry: &InstanceEntry, reachable: bool) {
        let Some(known) = self.others.get_mut(&entry.name) else {
            return;
        };
        if known.entry.incarnation == entry.incarnation {
            known.reachable = reachable;
            if reachable {
                known.heard = Instant::now();
            }
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

    /// Instances that may be serving, this one included: also those that do
    /// not answer, since they may be cut off from here only.
    pub fn may_serve(&self) -> u32 {
        let others = self.others.values();
        let others = others.filter(|known| known.heard.elapsed() < FORGOTTEN_TIME);
        u32::try_from(others.count())
            .unwrap_or(u32::MAX)
            .saturating_add(1)
    }

    /// Whether this instance is the first of those that answer in the order
    /// that `subject` gives them. All instances agree on it but for moments, so
    /// it may only choose who does what may be done twice.
    pub fn is_first_for(&self, subject: &str) -> bool {
        let rank = |entry: &InstanceEntry| {
            stable_hash(&[subject.as_bytes(), entry.name.as_str().as_bytes()])
        };
        let own = rank(&self.own);
        let mut others = self.others.values().filter(|known| known.reachable);
        others.all(|known| rank(&known.entry) > own)
    }

    /// This instance and those that answer and do not leave.
    pub fn answering(&self) -> impl Iterator<Item = &InstanceEntry> {
        let others = self.others.values();
        let others = others.filter(|known| known.reachable && !known.entry.leaving);
        others.map(|known| &known.entry).chain([&self.own])
    }

    /// This instance.
    pub fn own(&self) -> &InstanceEntry {
        &self.own
    }

    /// Where the instances that answer take questions.
    pub fn peers(&self) -> Vec<SocketAddr> {
        let others = self.others.values().filter(|known| known.reachable);
        others.map(|known| known.entry.peers).collect()
    }

    /// [`Self::addresses_for`] a caller of whom nothing is known.
    pub fn addresses(&self, near: Option<&DataCentre>) -> Vec<SocketAddr> {
        self.addresses_for(near, None)
    }

    /// Addresses of instances that serve, those in the data centre `near`
    /// first, in random order within the two groups. Far ones are named too:
    /// callers pick one at random, and the near ones alone would get all of
    /// the load. Never none.
    ///
    /// Instances are named the more often the more capacity they have; all of
    /// them when all have the same. One `caller` is named the same instances
    /// each time: it gives up connections to those that a new answer misses.
    pub fn addresses_for(
        &self,
        near: Option<&DataCentre>,
        caller: Option<IpAddr>,
    ) -> Vec<SocketAddr> {
        let mut named: Vec<&InstanceEntry> = Vec::new();
        if self.ready {
            named.push(&self.own);
        }
        for known in self.others.values() {
            if known.reachable && !known.entry.leaving {
                named.push(&known.entry);
            }
        }
        if named.is_empty() {
            named.extend(self.others.values().map(|known| &known.entry));
            named.push(&self.own);
        }
        fastrand::shuffle(&mut named);
        let mut named = match caller.map(|caller| caller.to_string()) {
            Some(caller) => draw_by_capacity(named, |entry| {
                stable_hash(&[caller.as_bytes(), entry.name.as_str().as_bytes()])
            }),
            None => draw_by_capacity(named, |_entry| fastrand::u64(..)),
        };
        named.sort_by_key(|entry| Some(&entry.data_centre) != near);
        named.truncate(ADDRESS_LIMIT);
        named.into_iter().map(|entry| entry.callers).collect()
    }
}

/// Those of `entries` whose draw falls below their share of the largest
/// capacity; the largest are always among them. Up to [`ADDRESS_LEAST`], others
/// follow in the order of their draws.
fn draw_by_capacity(
    entries: Vec<&InstanceEntry>,
    draw: impl Fn(&InstanceEntry) -> u64,
) -> Vec<&InstanceEntry> {
    let largest = entries.iter().map(|entry| entry.capacity).max();
    let largest = u64::from(largest.unwrap_or_default()).max(1);
    let mut named = Vec::with_capacity(entries.len());
    let mut left_out = Vec::new();
    for entry in entries {
        let drawn = draw(entry);
        if drawn % largest < u64::from(entry.capacity) {
            named.push(entry);
        } else {
            left_out.push((drawn, entry));
        }
    }
    let missing = ADDRESS_LEAST.saturating_sub(named.len());
    left_out.sort_by_key(|(drawn, _entry)| *drawn);
    let others = left_out.into_iter().take(missing);
    named.extend(others.map(|(_drawn, entry)| entry));
    named
}
