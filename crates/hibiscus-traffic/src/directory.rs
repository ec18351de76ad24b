//! Which instances callers are told to use.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use hibiscus_events::EventCode;
use hibiscus_events::event;
use hibiscus_membership::detector::FailureDetector;
use hibiscus_membership::suspicion::SuspicionMessage;
use hibiscus_peer::CertificatePin;
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

/// Subjects whose first instance is remembered: more than there are budgets.
const FIRST_KEPT: usize = 4_096;

/// One instance and whether it answers.
#[derive(Clone, Debug)]
struct KnownInstance {
    entry: InstanceEntry,
    /// Since when it is held not to answer.
    silent_since: Option<Instant>,
    /// Processes that the present one replaced, oldest first.
    replaced: VecDeque<IncarnationId>,
}

/// The instances of the fleet as this one sees them.
#[derive(Clone, Debug)]
pub struct InstanceDirectory {
    own: InstanceEntry,
    ready: bool,
    others: BTreeMap<InstanceName, KnownInstance>,
    board: FailureDetector,
    begun: Instant,
    /// Others that are held to answer.
    answering: u32,
    /// Others that are not forgotten.
    remembered: u32,
    /// Pins of processes that were replaced since they were last asked for.
    replaced_pins: Vec<CertificatePin>,
    /// For which subjects this instance is the first, until the instances
    /// that answer change.
    firsts: RefCell<HashMap<String, bool>>,
    /// Grows when the instances that answer change, or what they announced.
    generation: u64,
}

impl InstanceDirectory {
    /// A directory that knows only its own instance.
    pub fn new(own: InstanceEntry) -> Self {
        Self {
            board: FailureDetector::new(own.name.clone(), own.incarnation),
            own,
            ready: false,
            others: BTreeMap::new(),
            begun: Instant::now(),
            answering: 0,
            remembered: 0,
            replaced_pins: Vec::new(),
            firsts: RefCell::default(),
            generation: 1,
        }
    }

    /// Grows when the instances that answer change, or what they announced.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// The newest process known of the instance `name`.
    pub fn find(&self, name: &InstanceName) -> Option<&InstanceEntry> {
        self.others.get(name).map(|known| &known.entry)
    }

    /// Whether `entry` is the newest process known of its instance.
    pub fn is_current(&self, entry: &InstanceEntry) -> bool {
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
        let now = self.begun.elapsed();
        let (name, incarnation) = (entry.name.clone(), entry.incarnation);
        let leaving = entry.shutting_down;
        let Some(known) = self.others.get_mut(&name) else {
            let known = KnownInstance {
                entry,
                silent_since: None,
                replaced: VecDeque::new(),
            };
            self.others.insert(name.clone(), known);
            self.board.announce(&name, incarnation, leaving, now);
            self.recount();
            return true;
        };
        if known.replaced.contains(&incarnation) {
            return false;
        }
        let replaced = known.entry.incarnation != incarnation;
        if replaced {
            known.replaced.push_back(known.entry.incarnation);
            while known.replaced.len() > REPLACED_KEPT {
                known.replaced.pop_front();
            }
            known.silent_since = None;
            if known.entry.pin != entry.pin {
                self.replaced_pins.push(known.entry.pin);
            }
        }
        if known.entry != entry {
            self.generation += 1;
        }
        known.entry = entry;
        self.board.announce(&name, incarnation, leaving, now);
        self.recount();
        replaced
    }

    /// Pins of the processes that were replaced since the last call.
    pub fn take_replaced_pins(&mut self) -> Vec<CertificatePin> {
        std::mem::take(&mut self.replaced_pins)
    }

    /// Notes whether the process that announced `entry` answers.
    pub fn note_reachable(&mut self, entry: &InstanceEntry, reachable: bool) {
        let now = self.begun.elapsed();
        self.board
            .record_finding(&entry.name, entry.incarnation, reachable, now);
        self.recount();
    }

    /// Lets time pass: whom to watch, and who is forgotten.
    pub fn tick(&mut self) {
        self.board.tick(self.begun.elapsed());
        self.recount();
    }

    /// Takes over what another instance found, and answers it.
    pub fn handle_message(&mut self, message: SuspicionMessage) -> SuspicionMessage {
        let answer = self.board.receive(message, self.begun.elapsed());
        self.recount();
        answer
    }

    /// Takes over an answer, to a question for all that is known if `joining`.
    pub fn handle_response(&mut self, answer: SuspicionMessage, joining: bool) {
        self.board.receive_response(answer, self.begun.elapsed());
        if joining {
            self.board.record_join_response();
        }
        self.recount();
    }

    /// Whether this instance found something that others must learn.
    pub fn has_updates(&self) -> bool {
        self.board.has_updates()
    }

    /// What others must learn.
    pub fn next_update(&mut self) -> Option<SuspicionMessage> {
        self.board.next_update()
    }

    /// A message that repairs what others missed.
    pub fn next_exchange(&mut self) -> SuspicionMessage {
        self.board.next_exchange()
    }

    /// Whether the fleet is so large that this instance watches a few others.
    pub fn is_large(&self) -> bool {
        self.board.is_large()
    }

    /// The processes that this instance watches.
    pub fn monitored(&self) -> Vec<&InstanceEntry> {
        let watched = self.board.monitored().iter();
        let known = watched.filter_map(|name| self.others.get(name));
        known.map(|known| &known.entry).collect()
    }

    /// Whether this instance watches the process that announced `entry`.
    pub fn monitors(&self, entry: &InstanceEntry) -> bool {
        self.is_current(entry) && self.board.monitored().contains(&entry.name)
    }

    /// Where the instances take questions that learn of news from this one.
    pub fn contact_addresses(&self) -> Vec<SocketAddr> {
        let known = self
            .board
            .contacts()
            .filter_map(|name| self.others.get(name));
        known.map(|known| known.entry.peers).collect()
    }

    /// Counts the others anew.
    fn recount(&mut self) {
        let mut changed = false;
        let (mut answering, mut remembered) = (0_u32, 0_u32);
        for (name, known) in &mut self.others {
            let silent = self.board.is_unresponsive(name);
            if silent != known.silent_since.is_some() {
                changed = true;
                // In a small fleet the questions tell it.
                if self.board.is_large() {
                    log_belief(name, silent);
                }
            }
            if !silent {
                known.silent_since = None;
                answering += 1;
                remembered += 1;
                continue;
            }
            let since = known.silent_since.get_or_insert_with(Instant::now);
            if since.elapsed() < FORGOTTEN_TIME {
                remembered += 1;
            }
        }
        // One more that answers since its announcement changes the count.
        if changed || answering != self.answering {
            self.firsts.borrow_mut().clear();
            self.generation += 1;
        }
        self.answering = answering;
        self.remembered = remembered;
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
    pub fn live_count(&self) -> u32 {
        self.answering.saturating_add(1)
    }

    /// Instances that may be serving, this one included: also those that do
    /// not answer, since they may be cut off from here only.
    pub fn possibly_live_count(&self) -> u32 {
        self.remembered.saturating_add(1)
    }

    /// Whether more than half of the instances that may be serving answer.
    pub fn reaches_majority(&self) -> bool {
        self.live_count() * 2 > self.possibly_live_count()
    }

    /// Whether this instance is the first of those that answer in the order
    /// that `subject` gives them. All instances agree on it but for moments, so
    /// it may only choose who does what may be done twice.
    pub fn is_first_for(&self, subject: &str) -> bool {
        if let Some(first) = self.firsts.borrow().get(subject) {
            return *first;
        }
        let rank = |entry: &InstanceEntry| {
            stable_hash(&[subject.as_bytes(), entry.name.as_str().as_bytes()])
        };
        let own = rank(&self.own);
        let mut others = self.held_to_answer();
        let first = others.all(|known| rank(&known.entry) > own);
        let mut firsts = self.firsts.borrow_mut();
        if firsts.len() >= FIRST_KEPT {
            firsts.clear();
        }
        firsts.insert(subject.to_owned(), first);
        first
    }

    /// The others that are held to answer.
    fn held_to_answer(&self) -> impl Iterator<Item = &KnownInstance> {
        let others = self.others.values();
        others.filter(|known| known.silent_since.is_none())
    }

    /// This instance and those that answer and do not leave.
    pub fn answering(&self) -> impl Iterator<Item = &InstanceEntry> {
        let others = self.held_to_answer();
        let others = others.filter(|known| !known.entry.shutting_down);
        others.map(|known| &known.entry).chain([&self.own])
    }

    /// This instance.
    pub fn own(&self) -> &InstanceEntry {
        &self.own
    }

    /// Where the instances that answer take questions.
    pub fn peer_addresses(&self) -> Vec<SocketAddr> {
        self.held_to_answer()
            .map(|known| known.entry.peers)
            .collect()
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
        for known in self.held_to_answer() {
            if !known.entry.shutting_down {
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

/// Logs that `name` is held not to answer, or to answer again.
fn log_belief(name: &InstanceName, silent: bool) {
    if silent {
        event!(EventCode::InstanceSilent, "instance={name}");
    } else {
        event!(EventCode::InstanceHeard, "instance={name}");
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
