//! Directory of the fleet's instances: which ones respond, and which addresses
//! callers are given.

mod addresses;
mod headroom;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use hibiscus_events::EventCode;
use hibiscus_events::event;
use hibiscus_membership::headroom::reports::HeadroomReports;
use hibiscus_membership::headroom::reports::ReportSubject;
use hibiscus_membership::silence::FailureDetector;
use hibiscus_membership::suspicion::SuspicionMessage;
use hibiscus_peer::CertificatePin;
use hibiscus_types::IncarnationId;
use hibiscus_types::InstanceName;
use hibiscus_types::hash::stable_hash;

use crate::model::InstanceEntry;

/// Number of replaced processes that are remembered for each instance. A late
/// copy of an announcement arrives within seconds.
const REPLACED_PROCESS_LIMIT: usize = 8;

/// How long an unresponsive instance still counts as possibly live. Network
/// partitions between instances last seconds, and instances that were replaced
/// must not count forever.
const UNRESPONSIVE_RETENTION: Duration = Duration::from_secs(600);

/// Number of instances that hold the notes of an instance's streams.
const WITNESS_COUNT: usize = 2;

/// Maximum number of subjects in the cache of ranks; more than there are budgets.
const RANK_CACHE_LIMIT: usize = 4_096;

/// Another instance, and whether it responds.
#[derive(Clone, Debug)]
struct KnownInstance {
    entry: InstanceEntry,
    /// Since when the instance has been unresponsive; `None` if it responds.
    unresponsive_since: Option<Instant>,
    /// Earlier processes of the instance, oldest first.
    replaced: VecDeque<IncarnationId>,
}

/// The instances of the fleet, from the view of this instance.
#[derive(Clone, Debug)]
pub struct InstanceDirectory {
    own: InstanceEntry,
    ready: bool,
    others: BTreeMap<InstanceName, KnownInstance>,
    failure_detector: FailureDetector,
    created: Instant,
    /// Number of other instances that respond.
    responding: u32,
    /// Number of other instances that respond or have been unresponsive for less
    /// than [`UNRESPONSIVE_RETENTION`].
    possibly_live: u32,
    /// Number of other instances that count as possibly live but do not respond and
    /// did not announce their shutdown.
    absent: u32,
    /// Certificate pins of the processes that were replaced since the last call of
    /// [`Self::take_replaced_pins`].
    replaced_pins: Vec<CertificatePin>,
    /// Cached results of [`Self::is_first_for`] by subject. Cleared when the set of
    /// responding instances changes.
    first_for: RefCell<HashMap<String, bool>>,
    /// Increases when the set of responding instances or an announcement changes.
    generation: u64,
    headroom: HeadroomReports,
}

impl InstanceDirectory {
    /// Creates a directory that contains only this instance.
    pub fn new(own: InstanceEntry) -> Self {
        Self {
            failure_detector: FailureDetector::new(own.name.clone(), own.incarnation),
            headroom: HeadroomReports::new(ReportSubject::new(&own.name, own.incarnation)),
            own,
            ready: false,
            others: BTreeMap::new(),
            created: Instant::now(),
            responding: 0,
            possibly_live: 0,
            absent: 0,
            replaced_pins: Vec::new(),
            first_for: RefCell::default(),
            generation: 1,
        }
    }

    /// Number that increases when the set of responding instances or an announcement
    /// changes.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// The newest known process of the other instance `name`.
    pub fn find(&self, name: &InstanceName) -> Option<&InstanceEntry> {
        self.others.get(name).map(|known| &known.entry)
    }

    /// Whether `entry` is the newest known process of its instance.
    pub fn is_current(&self, entry: &InstanceEntry) -> bool {
        let known = self.others.get(&entry.name);
        known.is_some_and(|known| known.entry.incarnation == entry.incarnation)
    }

    /// Applies an announcement. Returns true if it names a process that was not
    /// known before.
    ///
    /// An announcement of a replaced process is ignored. Announcements arrive in
    /// the order of their topic, which decides which process is newer. The time
    /// of day in incarnation ids cannot, since it may have been set back.
    pub fn announce(&mut self, mut entry: InstanceEntry) -> bool {
        if entry.name == self.own.name {
            return false;
        }
        let now = self.created.elapsed();
        let (name, incarnation) = (entry.name.clone(), entry.incarnation);
        // A store that came back from a copy may have lost the announcement of a shutdown.
        let known = self.others.get(&name).map(|known| &known.entry);
        entry.shutting_down |=
            known.is_some_and(|known| known.incarnation == incarnation && known.shutting_down);
        let shutting_down = entry.shutting_down;
        let Some(known) = self.others.get_mut(&name) else {
            let known = KnownInstance {
                entry,
                unresponsive_since: None,
                replaced: VecDeque::new(),
            };
            self.others.insert(name.clone(), known);
            self.failure_detector
                .announce(&name, incarnation, shutting_down, now);
            self.update_counts();
            return true;
        };
        if known.replaced.contains(&incarnation) {
            return false;
        }
        let replaced = known.entry.incarnation != incarnation;
        if replaced {
            known.replaced.push_back(known.entry.incarnation);
            while known.replaced.len() > REPLACED_PROCESS_LIMIT {
                known.replaced.pop_front();
            }
            known.unresponsive_since = None;
            if known.entry.pin != entry.pin {
                self.replaced_pins.push(known.entry.pin);
            }
        }
        if known.entry != entry {
            self.generation += 1;
        }
        known.entry = entry;
        self.failure_detector
            .announce(&name, incarnation, shutting_down, now);
        self.update_counts();
        replaced
    }

    /// Certificate pins of the processes that were replaced since the last call.
    pub fn take_replaced_pins(&mut self) -> Vec<CertificatePin> {
        std::mem::take(&mut self.replaced_pins)
    }

    /// Records whether the process that announced `entry` responds.
    pub fn note_reachable(&mut self, entry: &InstanceEntry, reachable: bool) {
        let now = self.created.elapsed();
        self.failure_detector
            .record_finding(&entry.name, entry.incarnation, reachable, now);
        self.update_counts();
    }

    /// Updates what depends on time: which instances to monitor, and which ones
    /// count as possibly live.
    pub fn tick(&mut self) {
        self.failure_detector.tick(self.created.elapsed());
        self.update_counts();
    }

    /// Applies failure suspicions from another instance and returns the response.
    pub fn handle_message(&mut self, message: SuspicionMessage) -> SuspicionMessage {
        let response = self
            .failure_detector
            .receive(message, self.created.elapsed());
        self.update_counts();
        response
    }

    /// Applies the response of another instance. `joining` tells whether the request
    /// was for all known suspicions.
    pub fn handle_response(&mut self, response: SuspicionMessage, joining: bool) {
        self.failure_detector
            .receive_response(response, self.created.elapsed());
        if joining {
            self.failure_detector.record_join_response();
        }
        self.update_counts();
    }

    /// Whether this instance has failure suspicions to send to others.
    pub fn has_updates(&self) -> bool {
        self.failure_detector.has_updates()
    }

    /// The next message of failure suspicions to send to others.
    pub fn next_update(&mut self) -> Option<SuspicionMessage> {
        self.failure_detector.next_update()
    }

    /// The next periodic message, which repeats suspicions that others may have
    /// missed.
    pub fn next_exchange(&mut self) -> SuspicionMessage {
        self.failure_detector.next_exchange()
    }

    /// Whether the fleet is so large that each instance monitors only a few others.
    pub fn is_large(&self) -> bool {
        self.failure_detector.is_large()
    }

    /// The processes that this instance monitors.
    pub fn monitored(&self) -> Vec<&InstanceEntry> {
        let monitored = self.failure_detector.monitored().iter();
        let known = monitored.filter_map(|name| self.others.get(name));
        known.map(|known| &known.entry).collect()
    }

    /// Whether this instance monitors the process that announced `entry`.
    pub fn monitors(&self, entry: &InstanceEntry) -> bool {
        self.is_current(entry) && self.failure_detector.monitored().contains(&entry.name)
    }

    /// Peer addresses of the instances to which this instance sends its failure
    /// suspicions.
    pub fn contact_addresses(&self) -> Vec<SocketAddr> {
        let known = self
            .failure_detector
            .contacts()
            .filter_map(|name| self.others.get(name));
        known.map(|known| known.entry.peers).collect()
    }

    /// Updates the state of the other instances and their counts.
    fn update_counts(&mut self) {
        let mut changed = false;
        let (mut responding, mut possibly_live, mut absent) = (0_u32, 0_u32, 0_u32);
        for (name, known) in &mut self.others {
            let unresponsive = self.failure_detector.is_unresponsive(name);
            if unresponsive != known.unresponsive_since.is_some() {
                changed = true;
                // In a small fleet, the monitoring requests of this instance log it.
                if self.failure_detector.is_large() {
                    log_change(name, unresponsive);
                }
            }
            if !unresponsive {
                known.unresponsive_since = None;
                responding += 1;
                possibly_live += 1;
                continue;
            }
            let since = known.unresponsive_since.get_or_insert_with(Instant::now);
            if since.elapsed() < UNRESPONSIVE_RETENTION {
                possibly_live += 1;
                absent += u32::from(!known.entry.shutting_down);
            }
        }
        // An instance that responds from its announcement on changes only the
        // count.
        if changed || responding != self.responding {
            self.first_for.borrow_mut().clear();
            self.generation += 1;
        }
        self.responding = responding;
        self.possibly_live = possibly_live;
        self.absent = absent;
    }

    /// Sets whether this instance is ready to serve.
    pub fn set_ready(&mut self, ready: bool) {
        self.ready = ready;
    }

    /// Whether this instance is ready to serve.
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// Number of instances that respond, including this one.
    pub fn live_count(&self) -> u32 {
        self.responding.saturating_add(1)
    }

    /// Number of instances that may be live, including this one. Unresponsive
    /// instances count too, since a network partition may separate them only from
    /// this instance.
    pub fn possibly_live_count(&self) -> u32 {
        self.possibly_live.saturating_add(1)
    }

    /// Share of the instances that respond, of all that may be live. Both sides of a
    /// network partition together have at most the whole.
    pub fn live_share(&self) -> f64 {
        let live = f64::from(self.live_count());
        live / (live + f64::from(self.absent))
    }

    /// Whether more than half of the possibly live instances respond.
    pub fn reaches_majority(&self) -> bool {
        self.live_count() * 2 > self.possibly_live_count()
    }

    /// Whether this instance ranks first among the responding instances for
    /// `subject` (rendezvous hashing). Instances may briefly disagree, so this may
    /// only select who does work that may be done twice.
    pub fn is_first_for(&self, subject: &str) -> bool {
        if let Some(first) = self.first_for.borrow().get(subject) {
            return *first;
        }
        let rank = |entry: &InstanceEntry| {
            stable_hash(&[subject.as_bytes(), entry.name.as_str().as_bytes()])
        };
        let own = rank(&self.own);
        let mut others = self.responding_others();
        let first = others.all(|known| rank(&known.entry) > own);
        let mut firsts = self.first_for.borrow_mut();
        if firsts.len() >= RANK_CACHE_LIMIT {
            firsts.clear();
        }
        firsts.insert(subject.to_owned(), first);
        first
    }

    /// The other instances that respond.
    fn responding_others(&self) -> impl Iterator<Item = &KnownInstance> {
        let others = self.others.values();
        others.filter(|known| known.unresponsive_since.is_none())
    }

    /// This instance, and the others that respond and are not shutting down.
    pub fn responding(&self) -> impl Iterator<Item = &InstanceEntry> {
        let others = self.responding_others();
        let others = others.filter(|known| !known.entry.shutting_down);
        others.map(|known| &known.entry).chain([&self.own])
    }

    /// The entry of this instance.
    pub fn own(&self) -> &InstanceEntry {
        &self.own
    }

    /// Peer addresses of the instances that hold the notes of this one's streams: the
    /// first of a ranking in its data centre, then the first in others.
    pub fn witness_addresses(&self) -> Vec<SocketAddr> {
        let mut ranked = Vec::new();
        for known in self.responding_others() {
            let entry = &known.entry;
            let is_remote = entry.data_centre != self.own.data_centre;
            let own = self.own.name.as_str().as_bytes();
            let rank = stable_hash(&[own, entry.name.as_str().as_bytes()]);
            ranked.push((is_remote, rank, entry.peers));
        }
        ranked.sort_unstable();
        let mut witnesses: Vec<_> = ranked.iter().map(|(.., address)| *address).collect();
        // The loss of the data centre must not take all witnesses.
        if let Some(remote) = ranked.iter().position(|(is_remote, ..)| *is_remote)
            && remote >= WITNESS_COUNT
        {
            witnesses.swap(WITNESS_COUNT - 1, remote);
        }
        witnesses.truncate(WITNESS_COUNT);
        witnesses
    }

    /// Peer addresses of the other instances that respond.
    pub fn peer_addresses(&self) -> Vec<SocketAddr> {
        self.responding_others()
            .map(|known| known.entry.peers)
            .collect()
    }
}

/// Logs that `name` has become unresponsive or responds again.
fn log_change(name: &InstanceName, unresponsive: bool) {
    if unresponsive {
        event!(EventCode::InstanceSilent, "instance={name}");
    } else {
        event!(EventCode::InstanceHeard, "instance={name}");
    }
}
