//! Duty: asks the servers for their load, within a bound on the traffic.
//!
//! Each instance asks a bounded subset: the servers that rendezvous hashing
//! ranks first for its name, so that the subset is stable and each server is
//! asked by about as many instances as any other. Servers outside it are used
//! too, by what this process has in progress there.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use hibiscus_clients::engine::LoadClient;
use hibiscus_types::ServerName;
use hibiscus_types::hash::stable_hash;

use crate::context::SharedContext;

/// Servers that one instance asks at most.
const SUBSET: usize = 32;
/// Shortest time between two reports of one server.
const ROUND_INTERVAL: Duration = Duration::from_millis(500);
/// Shortest time between two calls: with 300 bytes a call, 2.4 KB a second.
const CALL_INTERVAL: Duration = Duration::from_millis(125);
/// Time that a report may take.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);

/// Time between the events of a stream.
#[derive(Clone, Copy, Debug, Default)]
pub struct TokenPace {
    first: Option<Instant>,
    last: Option<Instant>,
    events: u32,
}

impl TokenPace {
    /// Counts an event at `now`.
    pub fn note_event(&mut self, now: Instant) {
        self.first.get_or_insert(now);
        self.last = Some(now);
        self.events += 1;
    }

    /// The mean time between two events in seconds, `None` before the second.
    pub fn token_seconds(&self) -> Option<f64> {
        if self.events < 2 {
            return None;
        }
        let span = self.last?.duration_since(self.first?);
        Some(span.as_secs_f64() / f64::from(self.events - 1))
    }
}

/// Asks for the load until the process ends.
pub fn follow(context: &SharedContext) {
    let client = LoadClient::new(REPORT_TIMEOUT, SUBSET);
    while !context.is_ended() {
        let started = Instant::now();
        for (name, address) in subset(context) {
            if context.is_ended() {
                return;
            }
            let asked = Instant::now();
            if let Some(report) = client.read(address) {
                let load = report.running.saturating_add(report.waiting);
                let age = Duration::from_millis(report.age_ms);
                let made = asked.checked_sub(age).unwrap_or(asked);
                context.servers.note_report(&name, load, made);
            }
            thread::sleep(CALL_INTERVAL.saturating_sub(asked.elapsed()));
        }
        thread::sleep(ROUND_INTERVAL.saturating_sub(started.elapsed()));
    }
}

/// The servers that this instance asks.
fn subset(context: &SharedContext) -> Vec<(ServerName, SocketAddr)> {
    let mut servers = context.servers.addresses();
    let own = context.settings.instance.name.as_str().as_bytes();
    servers.sort_by_cached_key(|(name, _address)| stable_hash(&[own, name.as_str().as_bytes()]));
    servers.truncate(SUBSET);
    servers
}
