//! Duty: follows the load of the backend servers.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use hibiscus_platform::list::ListedServer;
use hibiscus_platform::list::ListedState;
use hibiscus_routing::load::ServerLoad;
use hibiscus_routing::policy::LeastExpected;
use hibiscus_routing::policy::RoutingPolicy;
use hibiscus_types::ServerName;
use hibiscus_types::ServiceName;

/// The servers and the requests that this process has at each.
#[derive(Default)]
pub struct ServerTable {
    servers: Mutex<BTreeMap<ServerName, ServerLoad>>,
    picks: AtomicU64,
}

impl ServerTable {
    /// Takes the listed servers over; counts of known servers stay.
    pub fn set_listed(&self, listed: &[ListedServer]) {
        let mut servers = self.servers.lock().unwrap_or_else(PoisonError::into_inner);
        let mut kept = BTreeMap::new();
        for server in listed {
            let known = servers.remove(&server.name);
            let load = ServerLoad {
                name: server.name.clone(),
                service: server.service.clone(),
                address: server.address,
                leaving: server.state == ListedState::Leaving,
                reported: known.as_ref().map_or(0, |known| known.reported),
                own: known.as_ref().map_or(0, |known| known.own),
            };
            kept.insert(server.name.clone(), load);
        }
        *servers = kept;
    }

    /// Chooses a server of `service` that is not in `tried`, and counts a
    /// request there until [`Self::release`].
    pub fn choose(&self, service: &ServiceName, tried: &[ServerName]) -> Option<ServerLoad> {
        let pick = self.picks.fetch_add(1, Ordering::Relaxed);
        let mut servers = self.servers.lock().unwrap_or_else(PoisonError::into_inner);
        let mut candidates = Vec::new();
        for server in servers.values() {
            if server.service == *service && !tried.contains(&server.name) {
                candidates.push(server.clone());
            }
        }
        let index = LeastExpected.choose(&candidates, pick)?;
        let chosen = candidates.swap_remove(index);
        if let Some(server) = servers.get_mut(&chosen.name) {
            server.own += 1;
        }
        Some(chosen)
    }

    /// Ends the count of a request at `server`.
    pub fn release(&self, server: &ServerName) {
        let mut servers = self.servers.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(server) = servers.get_mut(server) {
            server.own = server.own.saturating_sub(1);
        }
    }
}
