//! Duty: follows the backend servers: which are listed, how loaded they are,
//! which fail, and what this process has in progress at each.

pub mod claims;
pub mod reports;
pub mod suspects;
pub mod watch;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Instant;

use hibiscus_clients::list::ListedServer;
use hibiscus_clients::list::ListedState;
use hibiscus_request::retry::RetryBudget;
use hibiscus_routing::health::ServerHealth;
use hibiscus_routing::load::LoadTracker;
use hibiscus_routing::load::ServerLoad;
use hibiscus_routing::policy::LagAware;
use hibiscus_routing::policy::RoutingPolicy;
use hibiscus_types::ServerName;
use hibiscus_types::ServiceName;
use hibiscus_types::hash::stable_hash;

use crate::servers::claims::ClaimAnswer;
use crate::servers::claims::ServerClaim;

/// What an attempt showed of its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// It answered to the end.
    Answered,
    /// It refused before it began.
    Busy,
    /// It failed.
    Failed,
    /// Nothing.
    Nothing,
}

/// One server as this process knows it.
#[derive(Clone, Debug)]
struct TrackedServer {
    name: ServerName,
    service: ServiceName,
    address: SocketAddr,
    leaving: bool,
    load: LoadTracker,
    health: ServerHealth,
    /// Whether a suspect of this process has the server for itself.
    alone: bool,
    /// The suspect of another process that has the server for itself, and
    /// until when.
    lent: Option<(u64, Instant)>,
}

/// State behind the table's lock.
#[derive(Default)]
struct TableState {
    servers: BTreeMap<ServerName, TrackedServer>,
    retries: BTreeMap<ServiceName, RetryBudget>,
}

/// The servers and the requests that this process has at each.
#[derive(Default)]
pub struct ServerTable {
    state: Mutex<TableState>,
    picks: AtomicU64,
}

impl ServerTable {
    /// Takes the listed servers over; what is known of them stays.
    pub fn set_listed(&self, listed: &[ListedServer]) {
        let mut state = self.lock();
        let mut kept = BTreeMap::new();
        for server in listed {
            let known = state
                .servers
                .remove(&server.name)
                .filter(|known| known.address == server.address);
            let mut tracked = known.unwrap_or_else(|| TrackedServer::new(server));
            tracked.leaving = server.state == ListedState::Leaving;
            kept.insert(server.name.clone(), tracked);
        }
        state.servers = kept;
    }

    /// Counts a request to `service` for its retry budget.
    pub fn count_request(&self, service: &ServiceName) {
        let mut state = self.lock();
        state
            .retries
            .entry(service.clone())
            .or_default()
            .count_request();
    }

    /// Takes a retry from the budget of `service`.
    pub fn take_retry(&self, service: &ServiceName) -> bool {
        let mut state = self.lock();
        state
            .retries
            .entry(service.clone())
            .or_default()
            .take_retry()
    }

    /// Chooses a server of `service` that is not in `tried`, and counts a
    /// request there until [`Self::release`]. Servers that fail are avoided
    /// while there is another.
    pub fn choose(
        &self,
        service: &ServiceName,
        tried: &[ServerName],
        others: u32,
    ) -> Option<ServerLoad> {
        let pick = self.picks.fetch_add(1, Ordering::Relaxed);
        let now = Instant::now();
        let mut state = self.lock();
        let mut usable = Vec::new();
        let mut avoided = Vec::new();
        for server in state.servers.values() {
            if server.service != *service || tried.contains(&server.name) || server.is_claimed(now)
            {
                continue;
            }
            if server.health.is_usable(now) {
                usable.push(server.view(now, others));
            } else {
                avoided.push(server.view(now, others));
            }
        }
        let (mut candidates, index) = match LagAware.choose(&usable, pick) {
            Some(index) => (usable, index),
            None => {
                let index = LagAware.choose(&avoided, pick)?;
                (avoided, index)
            }
        };
        let chosen = candidates.swap_remove(index);
        state.count(&chosen.name, now);
        Some(chosen)
    }

    /// Keeps other requests of this process off one server, unless that would
    /// leave them fewer than half of the servers.
    pub fn claim(
        &self,
        service: &ServiceName,
        tried: &[ServerName],
        seed: u64,
    ) -> Option<ServerName> {
        let now = Instant::now();
        let mut state = self.lock();
        let mut best: Option<(u64, ServerName)> = None;
        let mut free = 0;
        let mut claimed = 0;
        for (name, server) in &state.servers {
            if server.service != *service || server.leaving {
                continue;
            }
            if server.is_claimed(now) {
                claimed += 1;
                continue;
            }
            free += 1;
            if tried.contains(name) || !server.health.is_usable(now) {
                continue;
            }
            let rank = stable_hash(&[name.as_str().as_bytes(), &seed.to_be_bytes()]);
            if best.as_ref().is_none_or(|(held, _name)| rank > *held) {
                best = Some((rank, name.clone()));
            }
        }
        if claimed >= free && claimed > 0 {
            return None;
        }
        let (_rank, name) = best?;
        state.servers.get_mut(&name)?.alone = true;
        Some(name)
    }

    /// Counts a request at the claimed server, once this process has none
    /// there.
    pub fn take_claimed(&self, name: &ServerName) -> Option<ServerLoad> {
        let now = Instant::now();
        let mut state = self.lock();
        let server = state.servers.get(name)?;
        if server.load.own() > 0 {
            return None;
        }
        let chosen = server.view(now, 0);
        state.count(name, now);
        Some(chosen)
    }

    /// Gives a claimed server up.
    pub fn unclaim(&self, name: &ServerName) {
        if let Some(server) = self.lock().servers.get_mut(name) {
            server.alone = false;
        }
    }

    /// Keeps this process's requests off a server for another's suspect.
    pub fn lend(&self, claim: &ServerClaim, now: Instant) -> ClaimAnswer {
        let mut state = self.lock();
        let Some(server) = state.servers.get_mut(&claim.server) else {
            return ClaimAnswer::Free;
        };
        let lent = server.lent.filter(|(_seed, until)| now < *until);
        let other = lent.is_some_and(|(seed, _until)| seed != claim.seed);
        if claim.lease.is_zero() {
            if !other {
                server.lent = None;
            }
            return ClaimAnswer::Free;
        }
        if server.alone || other {
            return ClaimAnswer::Taken;
        }
        server.lent = Some((claim.seed, now + claim.lease));
        if server.load.own() == 0 {
            ClaimAnswer::Free
        } else {
            ClaimAnswer::Busy
        }
    }

    /// Servers whose load is asked for.
    pub fn addresses(&self) -> Vec<(ServerName, SocketAddr)> {
        let state = self.lock();
        let mut addresses = Vec::with_capacity(state.servers.len());
        for server in state.servers.values() {
            addresses.push((server.name.clone(), server.address));
        }
        addresses
    }

    /// Takes a load report made at `made`.
    pub fn note_report(&self, server: &ServerName, load: u32, made: Instant) {
        if let Some(server) = self.lock().servers.get_mut(server) {
            server.load.note_report(load, made);
        }
    }

    /// Takes a measured time between two tokens of `server`.
    pub fn note_speed(&self, server: &ServerName, token_seconds: f64) {
        if let Some(server) = self.lock().servers.get_mut(server) {
            server.load.note_speed(token_seconds);
        }
    }

    /// Ends the count of a request at `server`, which ended as `end`.
    pub fn release(&self, server: &ServerName, end: AttemptEnd) {
        let mut state = self.lock();
        let Some(server) = state.servers.get_mut(server) else {
            return;
        };
        let now = Instant::now();
        server.load.note_ended(now);
        match end {
            AttemptEnd::Answered => server.health.note_success(),
            AttemptEnd::Failed | AttemptEnd::Busy => server.health.note_failed(now),
            AttemptEnd::Nothing => server.health.note_inconclusive(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, TableState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl TableState {
    /// Counts a request that goes to `name`.
    fn count(&mut self, name: &ServerName, now: Instant) {
        if let Some(server) = self.servers.get_mut(name) {
            server.load.note_sent(now);
            server.health.note_sent();
        }
    }
}

impl TrackedServer {
    /// A server that was listed just now.
    fn new(server: &ListedServer) -> Self {
        Self {
            name: server.name.clone(),
            service: server.service.clone(),
            address: server.address,
            leaving: false,
            load: LoadTracker::default(),
            health: ServerHealth::default(),
            alone: false,
            lent: None,
        }
    }

    /// Whether a suspect has the server for itself.
    fn is_claimed(&self, now: Instant) -> bool {
        self.alone || self.lent.is_some_and(|(_seed, until)| now < until)
    }

    /// The server as the policy compares it.
    fn view(&self, now: Instant, others: u32) -> ServerLoad {
        ServerLoad {
            name: self.name.clone(),
            service: self.service.clone(),
            address: self.address,
            draining: self.leaving,
            reported: self.load.reported(),
            own: self.load.own(),
            expected: self.load.expected(now, others),
            token_seconds: self.load.token_seconds(),
            cached: 0.0,
        }
    }
}
