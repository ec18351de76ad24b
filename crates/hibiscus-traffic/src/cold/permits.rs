//! Permits for requests to cold servers.
//!
//! One instance schedules the requests of all instances to a cold server
//! ([`hibiscus_routing::cold::lending`]). It need not know that the server is cold, so
//! an instance that learned of it first gets permits at once. Before it grants permits,
//! the lender asks the instance that ranks next whether that one is the lender in its
//! own view, and if so grants none.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use hibiscus_events::EventCode;
use hibiscus_events::event;
use hibiscus_routing::cold::lending::CONFIRMATION_TIME;
use hibiscus_routing::cold::lending::ColdRole;
use hibiscus_routing::cold::lending::LenderView;
use hibiscus_routing::permits::PermitGrant;
use hibiscus_routing::permits::PermitSchedule;
use hibiscus_routing::permits::TRIAL_RATE;
use hibiscus_types::InstanceName;
use hibiscus_types::ServerName;
use hibiscus_types::ServiceName;
use metrics::counter;
use serde::Deserialize;
use serde::Serialize;

use crate::cold::exchange::ColdNotice;
use crate::cold::exchange::ColdOutbox;
use crate::peers;
use crate::servers::ServerHandle;
use crate::state::TrafficState;
use crate::wire_format::WireFormat;

/// Counts permit requests for cold servers by outcome.
pub const COLD_PERMIT_REQUESTS: &str = "hibiscus_cold_permit_requests_total";
/// Counts permits for cold servers that this instance granted as the lender.
pub const COLD_PERMITS_GRANTED: &str = "hibiscus_cold_permits_granted_total";

/// Time after which an unused schedule is dropped.
const SCHEDULE_RETENTION: Duration = Duration::from_secs(60);
/// Number of schedules from which unused ones are looked for.
const SCHEDULE_CHECK_SIZE: usize = 64;

/// A request for permits for a cold server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdPermitRequest {
    /// The instance that gets the permits.
    pub instance: InstanceName,
    /// The service of the server.
    pub service: ServiceName,
    /// The server process, and what is known of its cold time.
    pub notice: ColdNotice,
    /// Number of permits that the instance can use. Zero only asks whether the
    /// receiver is the lender.
    pub wanted: u16,
}

/// What an instance needs to lend and borrow permits for cold servers.
#[derive(Debug)]
pub struct ColdCoordinator {
    /// Servers that other instances are told of.
    pub outbox: ColdOutbox,
    view: RefCell<LenderView>,
    /// Generation of the directory that `view` shows.
    generation: Cell<u64>,
    /// Whether `view` shows this instance as leaving.
    is_leaving: Cell<bool>,
    schedules: RefCell<HashMap<ServerName, PermitSchedule>>,
    /// When another instance confirmed that this one is the lender.
    confirmed: RefCell<HashMap<ServerName, Instant>>,
}

impl ColdCoordinator {
    /// The coordinator of the process `own`, which starts now.
    pub fn new(own: InstanceName) -> Self {
        Self {
            outbox: ColdOutbox::default(),
            view: RefCell::new(LenderView::new(own, Instant::now())),
            generation: Cell::new(0),
            is_leaving: Cell::new(false),
            schedules: RefCell::default(),
            confirmed: RefCell::default(),
        }
    }

    /// Records that the announcements of the instances were read.
    pub fn note_instances_read(&self) {
        self.view.borrow_mut().note_read(Instant::now());
    }

    /// Whether another instance has confirmed recently that this one is the lender.
    fn is_confirmed(&self, server: &ServerName, now: Instant) -> bool {
        let confirmed = self.confirmed.borrow();
        let at = confirmed.get(server);
        at.is_some_and(|at| now.saturating_duration_since(*at) < CONFIRMATION_TIME)
    }

    fn note_confirmed(&self, server: &ServerName, now: Instant) {
        let mut confirmed = self.confirmed.borrow_mut();
        confirmed.retain(|_server, at| now.saturating_duration_since(*at) < CONFIRMATION_TIME);
        confirmed.insert(server.clone(), now);
    }

    /// Grants permits for `server` to `instance` under `terms`.
    fn lend(
        &self,
        (instance, wanted): (&InstanceName, u16),
        server: &ServerName,
        terms: &LendingTerms,
        now: Instant,
    ) -> PermitGrant {
        let mut schedules = self.schedules.borrow_mut();
        if schedules.len() >= SCHEDULE_CHECK_SIZE
            && let Some(before) = now.checked_sub(SCHEDULE_RETENTION)
        {
            schedules.retain(|_server, schedule| !schedule.is_unused_since(before));
        }
        let schedule = schedules.entry(server.clone());
        let schedule = schedule.or_insert_with(|| PermitSchedule::starting_at(terms.begin, now));
        schedule.delay_until(terms.begin);
        if terms.share < 1.0 {
            let offset = self
                .view
                .borrow()
                .start_offset(&subject(server), terms.share);
            schedule.spread_start(terms.rate, offset, now);
        }
        let grant = schedule.grant(instance, terms.rate, wanted, now);
        counter!(COLD_PERMITS_GRANTED).increment(u64::from(grant.count));
        grant
    }
}

/// How a lender grants permits.
#[derive(Clone, Copy, Debug)]
struct LendingTerms {
    /// Requests per second that may be sent with them.
    rate: f64,
    /// Share of the server's rate that this is.
    share: f64,
    /// Earliest start of a permit.
    begin: Instant,
}

/// Part of this instance in the permits for one cold server.
enum OwnRole {
    /// Grants permits.
    Lender(LendingTerms),
    /// Requests permits from the lender at this address.
    Borrower(SocketAddr),
    /// Gets no permits now.
    None,
}

impl<D: WireFormat> TrafficState<D> {
    /// Records who may lend at `now`.
    pub(crate) fn observe_lenders(&self, now: Instant) {
        let directory = self.directory.borrow();
        let mut view = self.cold.view.borrow_mut();
        let generation = directory.generation();
        let is_leaving = self.shutdown_start().is_some();
        let was_leaving = self.cold.is_leaving.replace(is_leaving);
        if self.cold.generation.replace(generation) == generation && was_leaving == is_leaving {
            view.note_share(directory.live_share(), now);
            return;
        }
        let own = &directory.own().name;
        let lending = || directory.responding().filter(|entry| entry.lends_permits);
        // An instance that is leaving lends only if it is the last one.
        let leaving = is_leaving && lending().any(|entry| entry.name != *own);
        let instances = lending().filter(|entry| !leaving || entry.name != *own);
        view.observe(
            instances.map(|entry| &entry.name),
            directory.live_share(),
            now,
        );
    }

    /// Requests permits for the cold `server`, unless a permit request is in progress
    /// or none is due. If this instance is the lender, they are granted at once.
    pub(crate) fn request_cold_permits(self: &Rc<Self>, server: &Rc<ServerHandle>) {
        let now = Instant::now();
        let mut limit = server.limit().borrow_mut();
        let cold = &mut limit.cold;
        cold.permits.note_wanted();
        let Some(wanted) = cold.permits.begin_request(now) else {
            return;
        };
        let remaining = cold.tracker.remaining(now).unwrap_or_default();
        drop(limit);
        let own = self.directory.borrow().own().name.clone();
        let request = ColdPermitRequest {
            instance: own,
            service: server.entry.service.clone(),
            notice: ColdNotice {
                server: server.entry.incarnation(),
                remaining,
            },
            wanted,
        };
        match self.cold_role(&request, now) {
            OwnRole::Borrower(lender) => {
                let (state, server) = (Rc::clone(self), Rc::clone(server));
                tokio::task::spawn_local(send_request(state, server, lender, request));
            }
            OwnRole::Lender(terms) if self.is_lender_confirmed(&request, now) => {
                let grant = self.lend_cold(&request, &terms, now);
                let mut limit = server.limit().borrow_mut();
                limit.cold.permits.end_request(Some(&grant), now);
            }
            OwnRole::Lender(..) => {
                let (state, server) = (Rc::clone(self), Rc::clone(server));
                tokio::task::spawn_local(lend_to_own(state, server, request));
            }
            OwnRole::None => {
                let mut limit = server.limit().borrow_mut();
                limit.cold.permits.end_request(None, now);
            }
        }
    }

    /// Responds to a permit request of another instance; `None` if this instance is
    /// not the lender.
    pub async fn answer_cold_permits(&self, request: &ColdPermitRequest) -> Option<PermitGrant> {
        if !request.notice.remaining.is_zero() {
            self.merge_cold(&request.notice);
        }
        if request.wanted == 0 {
            self.observe_lenders(Instant::now());
            let view = self.cold.view.borrow();
            let first = view.first_in_rank(&subject(&request.notice.server.server));
            let is_confirmed = first == Some(&request.instance);
            return (!is_confirmed).then(PermitGrant::default);
        }
        self.lend_if_confirmed(request).await.ok()
    }

    /// Grants the permits that `request` is for if this instance is the lender.
    ///
    /// # Errors
    ///
    /// Fails if this instance is not the lender, with the address of the one that
    /// claims to be, if known.
    async fn lend_if_confirmed(
        &self,
        request: &ColdPermitRequest,
    ) -> Result<PermitGrant, Option<SocketAddr>> {
        let now = Instant::now();
        if !matches!(self.cold_role(request, now), OwnRole::Lender(..)) {
            return Err(None);
        }
        if !self.is_lender_confirmed(request, now) {
            self.confirm_lender(request).await?;
        }
        let now = Instant::now();
        match self.cold_role(request, now) {
            OwnRole::Lender(terms) => Ok(self.lend_cold(request, &terms, now)),
            OwnRole::Borrower(_) | OwnRole::None => Err(None),
        }
    }

    /// Whether this instance may lend without asking another one.
    fn is_lender_confirmed(&self, request: &ColdPermitRequest, now: Instant) -> bool {
        let view = self.cold.view.borrow();
        let name = &request.notice.server.server;
        view.next_in_rank(&subject(name)).is_none() || self.cold.is_confirmed(name, now)
    }

    /// Asks the instance that ranks next whether this one is the lender in its view too.
    /// Two instances that cannot reach each other may both take themselves for the
    /// lender, while the others reach both.
    async fn confirm_lender(&self, request: &ColdPermitRequest) -> Result<(), Option<SocketAddr>> {
        let name = &request.notice.server.server;
        let asked_at = Instant::now();
        let next = {
            let view = self.cold.view.borrow();
            let directory = self.directory.borrow();
            let next = view.next_in_rank(&subject(name));
            let entry = next.and_then(|next| directory.find(next));
            entry.map(|entry| entry.peers).ok_or(None)?
        };
        let link = self.link.borrow().clone().ok_or(None)?;
        let question = ColdPermitRequest {
            instance: self.directory.borrow().own().name.clone(),
            wanted: 0,
            ..request.clone()
        };
        let response = peers::request_cold_permits(&link, next, &question).await;
        match response {
            None => Err(None),
            Some(Some(_claim)) => Err(Some(next)),
            Some(None) => {
                self.cold.note_confirmed(name, asked_at);
                Ok(())
            }
        }
    }

    fn lend_cold(
        &self,
        request: &ColdPermitRequest,
        terms: &LendingTerms,
        now: Instant,
    ) -> PermitGrant {
        let name = &request.notice.server.server;
        let instance = (&request.instance, request.wanted);
        self.cold.lend(instance, name, terms, now)
    }

    /// Part of this instance in the permits that `request` is for.
    fn cold_role(&self, request: &ColdPermitRequest, now: Instant) -> OwnRole {
        self.observe_lenders(now);
        let view = self.cold.view.borrow();
        let name = &request.notice.server.server;
        match view.role(&subject(name), now) {
            ColdRole::Lender { share, not_before } => {
                let servers = self.servers.borrow();
                let Some(rate) = servers.cold_rate(name, &request.service) else {
                    return OwnRole::None;
                };
                OwnRole::Lender(LendingTerms {
                    rate: rate.max(TRIAL_RATE) * share,
                    share,
                    begin: not_before,
                })
            }
            ColdRole::Borrower(lender) => {
                let directory = self.directory.borrow();
                let lender = directory.find(lender);
                lender.map_or(OwnRole::None, |entry| OwnRole::Borrower(entry.peers))
            }
            ColdRole::Unsettled => OwnRole::None,
        }
    }
}

/// What the instances are ranked by for the server `name`.
fn subject(name: &ServerName) -> String {
    format!("cold/{name}")
}

/// Grants permits for `server` to this instance once another one has confirmed that it
/// is the lender, or requests them from the one that claims to be.
async fn lend_to_own<D: WireFormat>(
    state: Rc<TrafficState<D>>,
    server: Rc<ServerHandle>,
    request: ColdPermitRequest,
) {
    let grant = match state.lend_if_confirmed(&request).await {
        Ok(grant) => Some(grant),
        Err(Some(lender)) => return send_request(state, server, lender, request).await,
        Err(None) => None,
    };
    let mut limit = server.limit().borrow_mut();
    let permits = &mut limit.cold.permits;
    permits.end_request(grant.as_ref(), Instant::now());
    drop(limit);
    server.permits_changed().notify_waiters();
}

/// Requests permits from `lender`, and wakes the requests that wait for them.
async fn send_request<D: WireFormat>(
    state: Rc<TrafficState<D>>,
    server: Rc<ServerHandle>,
    lender: SocketAddr,
    request: ColdPermitRequest,
) {
    let link = state.link.borrow().clone();
    let response = match link {
        Some(link) => peers::request_cold_permits(&link, lender, &request).await,
        None => None,
    };
    let outcome = match &response {
        None => "unanswered",
        Some(None) => "not_lender",
        Some(Some(grant)) if grant.count == 0 => "denied",
        Some(Some(_)) => "granted",
    };
    counter!(COLD_PERMIT_REQUESTS, "outcome" => outcome).increment(1);
    if response.is_none() {
        event!(
            EventCode::ColdPermitsNotAnswered,
            "server={} lender={lender}",
            server.entry.name
        );
    }
    let grant = response.flatten();
    let mut limit = server.limit().borrow_mut();
    let permits = &mut limit.cold.permits;
    permits.end_request(grant.as_ref(), Instant::now());
    drop(limit);
    server.permits_changed().notify_waiters();
}
