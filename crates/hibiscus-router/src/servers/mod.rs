//! Duty: follows the backend servers: which are listed, how loaded they are,
//! which fail, and what this process has in progress at each.

pub mod suspects;
pub mod watch;

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use hibiscus_platform::list::ListedServer;
use hibiscus_platform::list::ListedState;
use hibiscus_request::retry::RetryBudget;
use hibiscus_routing::health::ServerHealth;
use hibiscus_routing::load::ServerLoad;
use hibiscus_routing::policy::LeastExpected;
use hibiscus_routing::policy::RoutingPolicy;
use hibiscus_types::ServerName;
use hibiscus_types::ServiceName;
use hibiscus_types::hash::stable_hash;

/// Time between looks at a server that is being emptied.
const EMPTY_POLL: Duration = Duration::from_millis(10);

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
    load: ServerLoad,
    health: ServerHealth,
    /// Whether a suspect has the server for itself.
    alone: bool,
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
                .filter(|known| known.load.address == server.address);
            let mut tracked = known.unwrap_or_else(|| TrackedServer {
                load: new_load(server),
                health: ServerHealth::default(),
                alone: false,
            });
            tracked.load.leaving = server.state == ListedState::Leaving;
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
    pub fn choose(&self, service: &ServiceName, tried: &[ServerName]) -> Option<ServerLoad> {
        let pick = self.picks.fetch_add(1, Ordering::Relaxed);
        let now = Instant::now();
        let mut state = self.lock();
        let mut usable = Vec::new();
        let mut avoided = Vec::new();
        for server in state.servers.values() {
            if server.load.service != *service || tried.contains(&server.load.name) || server.alone
            {
                continue;
            }
            if server.health.is_usable(now) {
                usable.push(server.load.clone());
            } else {
                avoided.push(server.load.clone());
            }
        }
        let (mut candidates, index) = match LeastExpected.choose(&usable, pick) {
            Some(index) => (usable, index),
            None => {
                let index = LeastExpected.choose(&avoided, pick)?;
                (avoided, index)
            }
        };
        let chosen = candidates.swap_remove(index);
        state.count(&chosen.name);
        Some(chosen)
    }

    /// Chooses a server for a suspect and waits until `deadline` for it to be
    /// empty of this process's requests. `seed` leads the same request to the
    /// same server from every instance.
    pub fn choose_alone(
        &self,
        service: &ServiceName,
        tried: &[ServerName],
        seed: u64,
        deadline: Instant,
    ) -> Option<ServerLoad> {
        let claimed = loop {
            if let Some(claimed) = self.claim(service, tried, seed) {
                break claimed;
            }
            if Instant::now() >= deadline {
                return None;
            }
            thread::sleep(EMPTY_POLL);
        };
        loop {
            {
                let mut state = self.lock();
                let server = state.servers.get_mut(&claimed)?;
                if server.load.own == 0 {
                    let chosen = server.load.clone();
                    state.count(&claimed);
                    return Some(chosen);
                }
                if Instant::now() >= deadline {
                    server.alone = false;
                    return None;
                }
            }
            thread::sleep(EMPTY_POLL);
        }
    }

    /// Keeps other requests of this process off one server, unless that would
    /// leave them fewer than half of the servers.
    fn claim(&self, service: &ServiceName, tried: &[ServerName], seed: u64) -> Option<ServerName> {
        let now = Instant::now();
        let mut state = self.lock();
        let mut best: Option<(u64, ServerName)> = None;
        let mut free = 0;
        let mut claimed = 0;
        for (name, server) in &state.servers {
            if server.load.service != *service || server.load.leaving {
                continue;
            }
            if server.alone {
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

    /// Ends the count of a request at `server`, which ended as `end`.
    pub fn release(&self, server: &ServerName, end: AttemptEnd) {
        let mut state = self.lock();
        let Some(server) = state.servers.get_mut(server) else {
            return;
        };
        server.load.own = server.load.own.saturating_sub(1);
        server.alone = false;
        match end {
            AttemptEnd::Answered => server.health.note_answered(),
            AttemptEnd::Failed | AttemptEnd::Busy => server.health.note_failed(Instant::now()),
            AttemptEnd::Nothing => server.health.note_nothing(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, TableState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl TableState {
    /// Counts a request that goes to `name`.
    fn count(&mut self, name: &ServerName) {
        if let Some(server) = self.servers.get_mut(name) {
            server.load.own += 1;
            server.health.note_sent();
        }
    }
}

/// A server that was listed just now.
fn new_load(server: &ListedServer) -> ServerLoad {
    ServerLoad {
        name: server.name.clone(),
        service: server.service.clone(),
        address: server.address,
        leaving: false,
        reported: 0,
        own: 0,
    }
}
