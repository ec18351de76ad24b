//! Backend servers as the request path uses them.

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
use hibiscus_routing::placement;
use hibiscus_routing::placement::PartTokens;
use hibiscus_routing::placement::PlacementCandidate;
use hibiscus_routing::placement::PlacementRequest;
use hibiscus_routing::placement::PrefillTracker;
use hibiscus_types::DataCentre;
use hibiscus_types::InstanceName;
use hibiscus_types::ServerName;
use hibiscus_types::ServiceName;
use metrics::counter;

use crate::availability_table::AvailabilityTable;
use crate::availability_table::SharedAvailability;
use crate::connect::ServerConnection;
use crate::idle::IdleConnectionId;
use crate::idle::IdleConnections;
use crate::model::ServerEntry;
use crate::model::ServerIncarnation;
use crate::model::ServerLoadReport;
use crate::model::ServerPhase;
use crate::server_registry::RegistryChange;

/// Servers that were avoided since they said so, by service and cause.
pub const SERVERS_AVOIDED: &str = "hibiscus_servers_avoided_total";

/// Time without a byte from a server that has work, after which new requests
/// avoid it: steps take some 5 ms, calls 30 ms, and prompts some 300 ms.
const SILENCE_LIMIT: Duration = Duration::from_millis(450);
/// Time for which a server that was found closed is avoided. Its entry lapses
/// meanwhile, or names another start.
const CLOSED_TIME: Duration = Duration::from_secs(6);
/// Idle connections kept to one server at the most.
const IDLE_LINKS: usize = 16;
/// Part of the connections that a server accepts which all instances together
/// keep idle; the rest is for requests in progress.
const IDLE_PART: f64 = 0.5;

/// Idle connections that one of `instances` keeps to a server that accepts
/// `most` from all of them.
pub fn idle_share(most: u32, instances: u32) -> usize {
    let share = f64::from(most) * IDLE_PART / f64::from(instances.max(1));
    (share as usize).clamp(1, IDLE_LINKS)
}

/// One server and what is known of it.
#[derive(Debug)]
pub struct ServerHandle {
    /// Its own description.
    pub entry: ServerEntry,
    gone: Cell<bool>,
    /// When it was found that it has ended.
    ended: Cell<Option<Instant>>,
    load: RefCell<LoadTracker>,
    waiting: Cell<u32>,
    in_progress: Cell<u32>,
    /// When it was last heard, or got work after it had none.
    heard: Cell<Instant>,
    health: RefCell<ServerHealth>,
    availability: SharedAvailability,
    /// Its place in this instance's own order of the servers.
    jitter: f64,
    prefill: RefCell<PrefillTracker>,
    /// Its connections that are kept, the one used last at the end.
    idle: RefCell<Vec<IdleConnectionId>>,
    idle_limit: Cell<usize>,
    idle_links: Rc<IdleConnections<ServerConnection>>,
}

impl ServerHandle {
    fn new(
        entry: ServerEntry,
        availability: SharedAvailability,
        own: &InstanceName,
        idle_links: &Rc<IdleConnections<ServerConnection>>,
    ) -> Self {
        Self {
            jitter: placement::jitter_of(own.as_str(), entry.name.as_str()),
            entry,
            gone: Cell::new(false),
            ended: Cell::new(None),
            load: RefCell::default(),
            waiting: Cell::new(0),
            in_progress: Cell::new(0),
            heard: Cell::new(Instant::now()),
            health: RefCell::default(),
            availability,
            prefill: RefCell::default(),
            idle: RefCell::default(),
            idle_limit: Cell::new(IDLE_LINKS),
            idle_links: Rc::clone(idle_links),
        }
    }

    /// Whether it does not leave.
    pub fn is_serving(&self) -> bool {
        let serving = !self.gone.get() && self.entry.phase == ServerPhase::Serving;
        serving && !self.availability.borrow().is_draining()
    }

    /// Whether the request that `trial` was noted for, and that has not left
    /// yet, may still be sent.
    pub fn still_accepts(&self, trial: bool) -> bool {
        let availability = self.availability.borrow();
        availability.still_accepts(trial, Instant::now())
    }

    /// It refused a request, and wants none for `pause`.
    pub fn note_refused(&self, pause: Option<Duration>) {
        let mut availability = self.availability.borrow_mut();
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

    /// It took the request that `trial` was noted for.
    pub fn note_accepted(&self, trial: bool) {
        let mut availability = self.availability.borrow_mut();
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

    /// The request that `trial` was noted for ended without its word.
    pub fn note_unanswered(&self, trial: bool) {
        self.availability.borrow_mut().note_unanswered(trial);
    }

    /// Notes that its port is closed.
    pub fn note_closed(&self) {
        self.ended.set(Some(Instant::now()));
        self.drop_idle(0);
    }

    /// Whether it was found closed lately. One that starts again is another.
    pub fn is_closed(&self) -> bool {
        let ended = self.ended.get();
        ended.is_some_and(|at| at.elapsed() < CLOSED_TIME)
    }

    /// Notes that bytes came from it.
    pub fn note_received(&self) {
        self.heard.set(Instant::now());
    }

    /// Requests of this instance in progress there.
    pub fn in_progress(&self) -> u32 {
        self.in_progress.get()
    }

    /// Whether it has work and has been silent for long.
    pub fn is_silent(&self) -> bool {
        self.in_progress.get() > 0 && self.heard.get().elapsed() > SILENCE_LIMIT
    }

    /// Whether nothing speaks against sending to it.
    fn is_well(&self, now: Instant) -> bool {
        !self.is_silent() && !self.is_closed() && self.health.borrow().is_usable(now)
    }

    /// Whether it wants requests, as far as it said.
    fn is_open(&self, now: Instant) -> bool {
        self.availability.borrow().eligibility(now) == ServerEligibility::Open
    }

    /// An idle connection, the one used last first.
    pub fn take_idle(&self) -> Option<ServerConnection> {
        let mut idle = self.idle.borrow_mut();
        while let Some(ticket) = idle.pop() {
            if let Some(link) = self.idle_links.take(ticket) {
                return Some(link);
            }
        }
        None
    }

    /// Whether one of its idle connections is open.
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
        idle.retain(|ticket| self.idle_links.holds(*ticket));
        if idle.len() < self.idle_limit.get() {
            idle.push(self.idle_links.put(link));
        }
    }

    /// Drops the oldest idle connections until at most `most` are left.
    fn drop_idle(&self, most: usize) {
        let mut idle = self.idle.borrow_mut();
        let surplus = idle.len().saturating_sub(most);
        for ticket in idle.drain(..surplus) {
            drop(self.idle_links.take(ticket));
        }
    }

    /// Counts a request sent there; whether it tries the server after a
    /// refusal.
    pub fn note_sent(&self, parts: &[PartTokens], prefill_tokens: u64, now: Duration) -> bool {
        if self.in_progress.get() == 0 {
            self.note_received();
        }
        self.in_progress.set(self.in_progress.get() + 1);
        self.load.borrow_mut().note_sent(Instant::now());
        self.health.borrow_mut().note_sent();
        self.prefill
            .borrow_mut()
            .note_sent(parts, prefill_tokens, now);
        self.availability.borrow_mut().note_sent(Instant::now())
    }

    /// Its first answer bytes came, so its prompt has been read.
    pub fn note_prefill_done(&self, prefill_tokens: u64) {
        self.prefill.borrow_mut().note_prefill_done(prefill_tokens);
    }

    /// Counts the end of a request.
    pub fn note_ended(&self) {
        self.in_progress
            .set(self.in_progress.get().saturating_sub(1));
        self.load.borrow_mut().note_ended(Instant::now());
    }

    /// The server answered properly.
    pub fn note_healthy(&self) {
        self.health.borrow_mut().note_success();
    }

    /// The server failed a request.
    pub fn note_failed(&self) {
        self.health.borrow_mut().note_failed(Instant::now());
    }

    /// A request showed nothing of the server's health.
    pub fn note_inconclusive(&self) {
        self.health.borrow_mut().note_inconclusive();
    }

    /// Takes a load report over.
    pub fn note_load(&self, report: &ServerLoadReport) {
        let load = report.running.saturating_add(report.waiting);
        self.load.borrow_mut().note_report(load, Instant::now());
        self.waiting.set(report.waiting);
    }
}

/// Where a request goes.
#[derive(Debug)]
pub struct ChosenServer {
    /// The server.
    pub server: Rc<ServerHandle>,
    /// Prompt tokens that it has to read.
    pub prefill_tokens: u64,
}

/// Why no server of a service can be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoServer {
    /// None is left that serves.
    Missing,
    /// Those that serve want no requests now; the first does after the time,
    /// if it named one.
    Pausing(Option<Duration>),
}

/// All servers, by service.
#[derive(Debug)]
pub struct ServerPool {
    own: InstanceName,
    idle_links: Rc<IdleConnections<ServerConnection>>,
    availability_table: AvailabilityTable,
    by_name: HashMap<ServerName, Rc<ServerHandle>>,
    by_service: HashMap<ServiceName, Vec<Rc<ServerHandle>>>,
}

impl NoServer {
    /// The reason when another server wants no requests until `until`.
    fn or_back(self, until: Option<Instant>, now: Instant) -> Self {
        let back = until.map(|until| until.saturating_duration_since(now));
        match self {
            Self::Pausing(Some(first)) => {
                Self::Pausing(Some(back.map_or(first, |back| back.min(first))))
            }
            Self::Missing | Self::Pausing(None) => Self::Pausing(back),
        }
    }
}

impl ServerPool {
    /// A pool of the instance `own` without servers, that keeps at most `idle`
    /// connections to all of them.
    pub fn new(own: InstanceName, idle: usize) -> Self {
        Self {
            own,
            idle_links: Rc::new(IdleConnections::new(idle)),
            availability_table: AvailabilityTable::default(),
            by_name: HashMap::new(),
            by_service: HashMap::new(),
        }
    }

    /// The idle connections to all servers.
    pub fn idle_links(&self) -> &IdleConnections<ServerConnection> {
        &self.idle_links
    }

    /// Takes a change of the roster over.
    pub fn apply(&mut self, change: RegistryChange) {
        match change {
            RegistryChange::Present(entry) => self.put(entry),
            RegistryChange::Gone(name) => self.remove(&name),
        }
    }

    /// Keeps at most `limit` idle connections to each server of `service`.
    pub fn set_idle_limit(&self, service: &ServiceName, limit: usize) {
        for server in self.by_service.get(service).into_iter().flatten() {
            server.idle_limit.set(limit);
            server.drop_idle(limit);
        }
    }

    /// Servers that take requests, and servers that are leaving.
    pub fn count(&self) -> (usize, usize) {
        let serving = self.by_name.values().filter(|server| server.is_serving());
        let serving = serving.count();
        (serving, self.by_name.len() - serving)
    }

    /// Servers with work that have been silent for long.
    pub fn count_silent(&self) -> usize {
        let silent = self.by_name.values().filter(|server| server.is_silent());
        silent.count()
    }

    /// Whether there are no servers.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    /// The process of the server `name` that began at `started`.
    pub fn find(&self, name: &ServerName, started: u64) -> Option<&Rc<ServerHandle>> {
        let server = self.by_name.get(name);
        server.filter(|server| server.entry.started == started)
    }

    /// Notes that the process `start` leaves; whether that is new.
    pub fn note_draining(&mut self, start: &ServerIncarnation) -> bool {
        let new = self.availability_table.note_draining(start);
        if new && let Some(server) = self.find(&start.server, start.started) {
            server.drop_idle(0);
            counter!(SERVERS_AVOIDED, "service" => server.entry.service.to_string(), "cause" => "leaving")
                .increment(1);
        }
        new
    }

    /// Chooses a server of `service` that is not among `tried`. Servers that
    /// failed, refused or were found closed lately are used only when there is
    /// no other.
    ///
    /// # Errors
    ///
    /// Fails when there is none that serves, or when all want no requests now.
    pub fn choose(
        &self,
        service: &ServiceName,
        tried: &[ServerName],
        data_centre: &DataCentre,
        others: u32,
        case: &PlacementRequest<'_>,
    ) -> Result<ChosenServer, NoServer> {
        let now = Instant::now();
        let servers = self.by_service.get(service).ok_or(NoServer::Missing)?;
        let mut usable = Vec::with_capacity(servers.len());
        let mut avoided = Vec::new();
        let mut none = NoServer::Missing;
        for server in servers {
            if !server.is_serving() || tried.contains(&server.entry.name) {
                continue;
            }
            match server.availability.borrow().eligibility(now) {
                ServerEligibility::Open => usable.push(server),
                ServerEligibility::LastResort => avoided.push(server),
                ServerEligibility::Paused(until) => none = none.or_back(until, now),
                ServerEligibility::Draining => {}
            }
        }
        let healthy = |server: &&Rc<ServerHandle>| server.is_well(now);
        if usable.iter().any(healthy) {
            usable.retain(healthy);
        } else {
            usable.append(&mut avoided);
        }
        let books: Vec<_> = usable
            .iter()
            .map(|server| server.prefill.borrow())
            .collect();
        let mut views = Vec::with_capacity(usable.len());
        for (server, prefill) in usable.iter().zip(&books) {
            views.push(PlacementCandidate {
                name: server.entry.name.as_str(),
                prefill,
                expected: server.load.borrow().expected(now, others),
                waiting: server.waiting.get(),
                slots: server.entry.slots,
                remote: server.entry.data_centre != *data_centre,
                connected: server.has_open_link(),
                jitter: server.jitter,
            });
        }
        let (index, prefill_tokens) = placement::choose(&views, case).ok_or(none)?;
        Ok(ChosenServer {
            server: Rc::clone(usable[index]),
            prefill_tokens,
        })
    }

    /// Whether a server of `service` that was not `tried` takes requests and
    /// is well.
    pub fn has_other(&self, service: &ServiceName, tried: &[ServerName]) -> bool {
        let now = Instant::now();
        let servers = self.by_service.get(service).into_iter().flatten();
        let mut others = servers.filter(|server| !tried.contains(&server.entry.name));
        others.any(|server| server.is_serving() && server.is_open(now) && server.is_well(now))
    }

    fn put(&mut self, entry: ServerEntry) {
        let held = self.by_name.get(&entry.name);
        let same = held.is_some_and(|held| {
            held.entry.address == entry.address
                && held.entry.started == entry.started
                && held.entry.service == entry.service
                && held.entry.phase == entry.phase
        });
        if same {
            return;
        }
        let start = entry.incarnation();
        let availability = self.availability_table.of(&start);
        if let Some(before) = self.take_out(&entry.name)
            && before.entry.incarnation() != start
        {
            self.availability_table
                .note_absent(&before.entry.incarnation());
        }
        let server = Rc::new(ServerHandle::new(
            entry,
            availability,
            &self.own,
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
        if let Some(server) = self.take_out(name) {
            self.availability_table
                .note_absent(&server.entry.incarnation());
        }
    }

    /// Takes the handle of `name` out, which gets nothing more.
    fn take_out(&mut self, name: &ServerName) -> Option<Rc<ServerHandle>> {
        let server = self.by_name.remove(name)?;
        server.gone.set(true);
        server.drop_idle(0);
        if let Some(servers) = self.by_service.get_mut(&server.entry.service) {
            servers.retain(|held| held.entry.name != *name);
        }
        Some(server)
    }
}
