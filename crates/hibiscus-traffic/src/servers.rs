//! Backend servers.

pub mod admission;
pub mod choice;
pub mod cost;
pub mod evacuated;

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use hibiscus_events::EventCode;
use hibiscus_events::event;
use hibiscus_routing::availability::ServerEligibility;
use hibiscus_routing::health::ServerHealth;
use hibiscus_routing::load::LoadTracker;
use hibiscus_routing::permits::SendPermit;
use hibiscus_routing::placement;
use hibiscus_routing::placement::PartTokens;
use hibiscus_routing::placement::PrefillTracker;
use hibiscus_types::InstanceName;
use hibiscus_types::ServerName;
use hibiscus_types::ServiceName;
use metrics::counter;
use tokio::sync::Notify;

use crate::availability_table::AvailabilityTable;
use crate::availability_table::KnownProcess;
use crate::cold::servers::ColdStarts;
use crate::connect::ServerConnection;
use crate::idle::IdleConnectionId;
use crate::idle::IdleConnections;
use crate::model::ServerEntry;
use crate::model::ServerIncarnation;
use crate::model::ServerLoadReport;
use crate::model::ServerPhase;
use crate::server_limits::SharedLimit;
use crate::server_registry::RegistryChange;
use crate::servers::cost::CostState;
use crate::servers::cost::ServiceCosts;
use crate::servers::evacuated::EvacuatedCentres;

/// Counts servers that asked to be avoided, by service and cause.
pub const SERVERS_AVOIDED: &str = "hibiscus_servers_avoided_total";

/// Time without a byte from a server with requests in progress, after which new
/// requests avoid it: steps take about 5 ms, calls 30 ms and prompts 300 ms.
const SERVER_SILENCE_LIMIT: Duration = Duration::from_millis(450);
/// Time for which a server whose port was closed is avoided. Meanwhile its entry
/// expires or names a new process.
const CLOSED_SERVER_AVOIDANCE: Duration = Duration::from_secs(6);
/// Maximum number of idle connections per server.
const IDLE_LINK_LIMIT: usize = 16;
/// Share of a server's connection limit that all instances together keep idle; the
/// rest is for requests in progress.
const IDLE_SHARE: f64 = 0.5;

/// Number of idle connections that one of `instances` instances keeps to a server
/// that accepts `limit` connections from all of them.
pub fn idle_share(limit: u32, instances: u32) -> usize {
    let share = f64::from(limit) * IDLE_SHARE / f64::from(instances.max(1));
    (share as usize).clamp(1, IDLE_LINK_LIMIT)
}

/// A server process and its state as seen by this instance.
#[derive(Debug)]
pub struct ServerHandle {
    /// The server's own entry.
    pub entry: ServerEntry,
    removed: Cell<bool>,
    /// Time at which the port was found closed.
    closed_at: Cell<Option<Instant>>,
    load: RefCell<LoadTracker>,
    waiting: Cell<u32>,
    in_progress: Cell<u32>,
    /// Responses that are read no further since their callers do not read.
    paused: Cell<u32>,
    /// Time of the last received byte, or of the first request after idling.
    last_received: Cell<Instant>,
    /// Time of the last received byte.
    last_heard: Cell<Option<Instant>>,
    health: RefCell<ServerHealth>,
    process: KnownProcess,
    evacuated: Rc<EvacuatedCentres>,
    /// This instance's jitter for the server, from 0 to 1.
    jitter: f64,
    prefill: RefCell<PrefillTracker>,
    cost: CostState,
    /// Idle connections, the most recently used last.
    idle: RefCell<Vec<IdleConnectionId>>,
    idle_limit: Cell<usize>,
    idle_links: Rc<IdleConnections<ServerConnection>>,
}

impl ServerHandle {
    fn new(
        entry: ServerEntry,
        process: KnownProcess,
        cost: CostState,
        own: &InstanceName,
        evacuated: &Rc<EvacuatedCentres>,
        idle_links: &Rc<IdleConnections<ServerConnection>>,
    ) -> Self {
        Self {
            jitter: placement::jitter_of(own.as_str(), entry.name.as_str()),
            entry,
            removed: Cell::new(false),
            closed_at: Cell::new(None),
            load: RefCell::default(),
            waiting: Cell::new(0),
            in_progress: Cell::new(0),
            paused: Cell::new(0),
            last_received: Cell::new(Instant::now()),
            last_heard: Cell::new(None),
            health: RefCell::default(),
            process,
            evacuated: Rc::clone(evacuated),
            prefill: RefCell::default(),
            cost,
            idle: RefCell::default(),
            idle_limit: Cell::new(IDLE_LINK_LIMIT),
            idle_links: Rc::clone(idle_links),
        }
    }

    /// The limit that the server names, and this instance's permits under it.
    pub fn limit(&self) -> &SharedLimit {
        &self.process.limit
    }

    /// Notifies requests that wait for permits.
    pub fn permits_changed(&self) -> &Notify {
        &self.process.permits_changed
    }

    /// Whether a request needs a permit and there is none.
    pub fn lacks_permit(&self, now: Instant) -> bool {
        self.limit().borrow().lacks_permit(now)
    }

    /// Whether the server is present and not draining.
    pub fn is_serving(&self) -> bool {
        let serving = !self.removed.get() && self.entry.phase == ServerPhase::Serving;
        serving && !self.process.availability.borrow().is_draining()
    }

    /// Whether the server is in an evacuated data centre.
    pub fn is_evacuated(&self) -> bool {
        self.evacuated.contains(&self.entry.data_centre)
    }

    /// Whether a request that was counted but not yet sent may still be sent;
    /// `trial` is what [`Self::note_sent`] returned for it, and `permit` was taken
    /// for it.
    pub fn still_accepts(&self, trial: bool, permit: Option<SendPermit>) -> bool {
        let now = Instant::now();
        let availability = self.process.availability.borrow();
        !self.is_evacuated()
            && availability.still_accepts(trial, now)
            && self.limit().borrow_mut().admits(permit, now)
    }

    /// Records that the server refused a request and requested a pause, if any.
    pub fn note_refused(&self, pause: Option<Duration>) {
        let mut availability = self.process.availability.borrow_mut();
        if pause.is_some() && !availability.is_paused() {
            counter!(SERVERS_AVOIDED, "service" => self.entry.service.to_string(), "cause" => "pause")
                .increment(1);
            event!(
                EventCode::ServerPaused,
                "server={} started={} pause_ms={:?}",
                self.entry.name,
                self.entry.started,
                pause.map(|pause| pause.as_millis())
            );
        }
        availability.note_refused(pause, Instant::now());
    }

    /// Records that the server accepted the request that `trial` belongs to.
    pub fn note_accepted(&self, trial: bool) {
        let mut availability = self.process.availability.borrow_mut();
        let paused = availability.is_paused();
        availability.note_accepted(trial);
        if paused && !availability.is_paused() {
            event!(
                EventCode::ServerBack,
                "server={} started={}",
                self.entry.name,
                self.entry.started
            );
        }
    }

    /// Records that the request that `trial` belongs to ended without a response.
    pub fn note_unanswered(&self, trial: bool) {
        self.process
            .availability
            .borrow_mut()
            .note_unanswered(trial);
    }

    /// Records that the server's port is closed.
    pub fn note_closed(&self) {
        self.closed_at.set(Some(Instant::now()));
        self.limit().borrow_mut().cold.tracker.note_closed();
        self.drop_idle(0);
    }

    /// Whether the port was found closed recently. A restarted server has a new
    /// handle.
    pub fn is_closed(&self) -> bool {
        let closed_at = self.closed_at.get();
        closed_at.is_some_and(|at| at.elapsed() < CLOSED_SERVER_AVOIDANCE)
    }

    /// Records that bytes were received from the server.
    pub fn note_received(&self) {
        let now = Instant::now();
        self.last_received.set(now);
        self.last_heard.set(Some(now));
    }

    /// Whether the server is known to have been open at `time`: it sent something
    /// since, or an idle connection is still open.
    pub fn was_open_at(&self, time: Instant) -> bool {
        self.last_heard.get().is_some_and(|at| at >= time) || self.has_open_link()
    }

    /// Requests of this instance in progress at the server.
    pub fn in_progress(&self) -> u32 {
        self.in_progress.get()
    }

    /// Records that a response is read no further since its caller does not read.
    pub(crate) fn note_reading_paused(&self) {
        self.paused.set(self.paused.get() + 1);
    }

    /// Records that a response is read on. The server could send nothing before.
    pub(crate) fn note_reading_resumed(&self) {
        self.paused.set(self.paused.get().saturating_sub(1));
        self.last_received.set(Instant::now());
    }

    /// Whether the server has requests in progress whose responses are read, and has sent
    /// nothing for long.
    pub fn is_silent(&self) -> bool {
        self.in_progress.get() > self.paused.get()
            && self.last_received.get().elapsed() > SERVER_SILENCE_LIMIT
    }

    /// Whether the server is responsive, open and not ejected for failures.
    fn is_healthy(&self, now: Instant) -> bool {
        !self.is_silent() && !self.is_closed() && self.health.borrow().is_usable(now)
    }

    /// Whether the server accepts new requests, as far as it has reported.
    fn is_eligible(&self, now: Instant) -> bool {
        self.process.availability.borrow().eligibility(now) == ServerEligibility::Open
    }

    /// Takes an idle connection, the most recently used first.
    pub fn take_idle(&self) -> Option<ServerConnection> {
        let mut idle = self.idle.borrow_mut();
        while let Some(ticket) = idle.pop() {
            if let Some(link) = self.idle_links.take(ticket) {
                return Some(link);
            }
        }
        None
    }

    /// Whether one of the idle connections is open.
    pub fn has_open_link(&self) -> bool {
        let idle = self.idle.borrow();
        idle.iter().any(|ticket| self.idle_links.is_usable(*ticket))
    }

    /// Keeps a connection for later requests.
    pub fn park(&self, mut link: ServerConnection) {
        if !self.is_serving() {
            return;
        }
        link.park();
        let mut idle = self.idle.borrow_mut();
        idle.retain(|ticket| self.idle_links.contains(*ticket));
        if idle.len() < self.idle_limit.get() {
            idle.push(self.idle_links.put(link));
        }
    }

    /// Drops the oldest idle connections until at most `limit` remain.
    fn drop_idle(&self, limit: usize) {
        let mut idle = self.idle.borrow_mut();
        let surplus = idle.len().saturating_sub(limit);
        for ticket in idle.drain(..surplus) {
            drop(self.idle_links.take(ticket));
        }
    }

    /// Counts a request sent to the server; returns whether it is a trial request
    /// after a refusal.
    pub fn note_sent(&self, parts: &[PartTokens], prefill_tokens: u64, now: Duration) -> bool {
        if self.in_progress.get() == 0 {
            self.last_received.set(Instant::now());
        }
        self.in_progress.set(self.in_progress.get() + 1);
        self.load.borrow_mut().note_sent(Instant::now());
        self.health.borrow_mut().note_sent();
        self.prefill
            .borrow_mut()
            .note_sent(parts, prefill_tokens, now);
        self.process
            .availability
            .borrow_mut()
            .note_sent(Instant::now())
    }

    /// Records that the first bytes of a response arrived, so the prompt was
    /// prefilled.
    pub fn note_prefill_done(&self, prefill_tokens: u64) {
        self.prefill.borrow_mut().note_prefill_done(prefill_tokens);
    }

    /// Counts the end of a request.
    pub fn note_ended(&self) {
        self.in_progress
            .set(self.in_progress.get().saturating_sub(1));
        self.load.borrow_mut().note_ended(Instant::now());
    }

    /// Records that the server completed a request.
    pub fn note_healthy(&self) {
        self.health.borrow_mut().note_success();
    }

    /// Records that the server failed a request.
    pub fn note_failed(&self) {
        self.health.borrow_mut().note_failed(Instant::now());
    }

    /// Records that a request proved nothing about the server's health.
    pub fn note_inconclusive(&self) {
        self.health.borrow_mut().note_inconclusive();
    }

    /// Stores a load report.
    pub fn note_load(&self, report: &ServerLoadReport) {
        let load = report.running.saturating_add(report.waiting);
        self.load.borrow_mut().note_report(load, Instant::now());
        self.waiting.set(report.waiting);
        self.cost.note_report(report, self.in_progress.get());
    }
}

/// All servers, by name and by service.
#[derive(Debug)]
pub struct ServerPool {
    own: InstanceName,
    idle_links: Rc<IdleConnections<ServerConnection>>,
    availability_table: AvailabilityTable,
    pub(crate) cold_starts: ColdStarts,
    /// Data centres whose servers get no requests.
    pub evacuated: Rc<EvacuatedCentres>,
    by_name: HashMap<ServerName, Rc<ServerHandle>>,
    by_service: HashMap<ServiceName, Vec<Rc<ServerHandle>>>,
    costs: ServiceCosts,
}

impl ServerPool {
    /// An empty pool of the instance `own`, which keeps at most `idle` idle
    /// connections to all servers together.
    pub fn new(own: InstanceName, idle: usize) -> Self {
        Self {
            own,
            idle_links: Rc::new(IdleConnections::new(idle)),
            availability_table: AvailabilityTable::default(),
            cold_starts: ColdStarts::default(),
            evacuated: Rc::default(),
            by_name: HashMap::new(),
            by_service: HashMap::new(),
            costs: ServiceCosts::default(),
        }
    }

    /// The idle connections to all servers.
    pub fn idle_links(&self) -> &IdleConnections<ServerConnection> {
        &self.idle_links
    }

    /// Applies a change of the server registry.
    pub fn apply(&mut self, change: RegistryChange) {
        match change {
            RegistryChange::Present(entry) => self.put(entry),
            RegistryChange::Gone(name) => self.remove(&name),
        }
    }

    /// Limits the idle connections to each server of `service`.
    pub fn set_idle_limit(&self, service: &ServiceName, limit: usize) {
        for server in self.by_service.get(service).into_iter().flatten() {
            server.idle_limit.set(limit);
            server.drop_idle(limit);
        }
    }

    /// Number of serving servers and of all others, which are draining.
    pub fn count(&self) -> (usize, usize) {
        let serving = self.by_name.values().filter(|server| server.is_serving());
        let serving = serving.count();
        (serving, self.by_name.len() - serving)
    }

    /// Number of servers that have requests in progress and are silent.
    pub fn count_silent(&self) -> usize {
        let silent = self.by_name.values().filter(|server| server.is_silent());
        silent.count()
    }

    /// All servers.
    pub fn servers(&self) -> impl Iterator<Item = &Rc<ServerHandle>> {
        self.by_name.values()
    }

    /// Whether there are no servers.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    /// The entry of the server `name`.
    pub fn entry(&self, name: &ServerName) -> Option<ServerEntry> {
        self.by_name.get(name).map(|server| server.entry.clone())
    }

    /// The newest known process of the server `name`.
    pub fn newest(&self, name: &ServerName) -> Option<&Rc<ServerHandle>> {
        self.by_name.get(name)
    }

    /// Finds the process of the server `name` that started at `started`.
    pub fn find(&self, name: &ServerName, started: u64) -> Option<&Rc<ServerHandle>> {
        let server = self.by_name.get(name);
        server.filter(|server| server.entry.started == started)
    }

    /// Marks the server process `start` as draining; returns whether that is new.
    pub fn note_draining(&mut self, start: &ServerIncarnation) -> bool {
        let new = self.availability_table.note_draining(start);
        if new && let Some(server) = self.find(&start.server, start.started) {
            server.drop_idle(0);
            counter!(SERVERS_AVOIDED, "service" => server.entry.service.to_string(), "cause" => "leaving")
                .increment(1);
        }
        new
    }

    /// What is known of the process `start`, which may have no entry yet.
    pub fn known_process(&mut self, start: &ServerIncarnation) -> KnownProcess {
        self.availability_table.get_without_entry(start)
    }

    /// The limits of all known processes.
    pub fn limits(&self) -> impl Iterator<Item = (&ServerIncarnation, &SharedLimit)> {
        self.availability_table.limits()
    }

    fn put(&mut self, entry: ServerEntry) {
        let held = self.by_name.get(&entry.name);
        let same = held.is_some_and(|held| {
            held.entry.address == entry.address
                && held.entry.started == entry.started
                && held.entry.service == entry.service
                && held.entry.data_centre == entry.data_centre
                && held.entry.phase == entry.phase
                && held.entry.software == entry.software
        });
        if same {
            return;
        }
        let start = entry.incarnation();
        let process = self.availability_table.get_or_insert(&start);
        // The process stays draining if its entry is removed and a store that came back
        // from a copy shows an earlier one.
        if entry.phase == ServerPhase::Leaving {
            process.availability.borrow_mut().note_draining();
        }
        if let Some(before) = self.detach(&entry.name)
            && before.entry.incarnation() != start
        {
            self.availability_table
                .note_entry_removed(&before.entry.incarnation());
        }
        let cost = CostState::new(self.costs.get(&entry.service));
        let server = Rc::new(ServerHandle::new(
            entry,
            process,
            cost,
            &self.own,
            &self.evacuated,
            &self.idle_links,
        ));
        let name = server.entry.name.clone();
        let service = server.entry.service.clone();
        self.by_service
            .entry(service)
            .or_default()
            .push(Rc::clone(&server));
        self.by_name.insert(name, server);
    }

    fn remove(&mut self, name: &ServerName) {
        if let Some(server) = self.detach(name) {
            self.availability_table
                .note_entry_removed(&server.entry.incarnation());
        }
    }

    /// Removes the handle of `name` from the pool, and drops its idle connections.
    fn detach(&mut self, name: &ServerName) -> Option<Rc<ServerHandle>> {
        let server = self.by_name.remove(name)?;
        server.removed.set(true);
        server.drop_idle(0);
        if let Some(servers) = self.by_service.get_mut(&server.entry.service) {
            servers.retain(|held| held.entry.name != *name);
        }
        Some(server)
    }
}
