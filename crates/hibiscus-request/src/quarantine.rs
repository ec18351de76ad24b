//! Detects requests that crash the servers that run them.
//!
//! A crashing server takes every request on it down, so one crash proves
//! nothing about one request. A request that was on a crashed server is a
//! suspect and runs alone on its server from then on; if a server crashes
//! while it runs alone, the request is quarantined. Crashes are counted by a
//! fingerprint of the body, since callers resend a request under new keys, and
//! of the team, so that no team can quarantine another team's request.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use hibiscus_types::ServerName;
use hibiscus_types::TeamName;
use hibiscus_types::UnixMillis;
use hibiscus_types::hash::stable_hash;
use serde::Deserialize;
use serde::Serialize;

/// Time after which a crash is forgotten.
pub const CRASH_LIFETIME: Duration = Duration::from_secs(3_600);
/// Distinct servers that a request must have crashed to be quarantined.
const SERVERS_TO_QUARANTINE: usize = 2;
/// Maximum number of suspects; the least recently seen are evicted first.
const SUSPECT_LIMIT: usize = 10_000;

/// Identifies a request by its team, path and body, regardless of its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct BodyFingerprint(u64);

impl BodyFingerprint {
    /// Computes the fingerprint of `body` that `team` sends to `path`.
    pub fn of(team: &TeamName, path: &str, body: &[u8]) -> Self {
        Self(stable_hash(&[
            team.as_str().as_bytes(),
            path.as_bytes(),
            body,
        ]))
    }

    /// Returns the hash.
    pub fn get(self) -> u64 {
        self.0
    }
}

/// A server that crashed while it ran a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerCrash {
    /// The request that the server ran.
    pub fingerprint: BodyFingerprint,
    /// The server that crashed.
    pub server: ServerName,
    /// Whether the reporting router had no other request on the server.
    pub alone: bool,
    /// Time at which the crash was seen.
    pub seen: UnixMillis,
}

/// Restriction on how a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestSuspicion {
    /// The request may share a server with others.
    Clear,
    /// The request must run alone on its server.
    Suspect,
    /// The request must not run.
    Quarantined,
}

/// Crashes that one request was involved in.
#[derive(Clone, Debug)]
struct SuspectState {
    servers: BTreeSet<ServerName>,
    alone: bool,
    seen: UnixMillis,
}

/// The suspects known to one process.
#[derive(Clone, Debug, Default)]
pub struct SuspectTable {
    suspects: BTreeMap<BodyFingerprint, SuspectState>,
}

impl SuspectTable {
    /// Records a crash. Recording it again changes nothing.
    pub fn record(&mut self, crash: &ServerCrash) {
        let state = self
            .suspects
            .entry(crash.fingerprint)
            .or_insert_with(|| SuspectState {
                servers: BTreeSet::new(),
                alone: false,
                seen: crash.seen,
            });
        state.servers.insert(crash.server.clone());
        state.alone |= crash.alone;
        state.seen = state.seen.max(crash.seen);
        self.drop_oldest();
    }

    /// Returns how the request may run at the time `now`.
    pub fn suspicion(&self, fingerprint: BodyFingerprint, now: UnixMillis) -> RequestSuspicion {
        let Some(state) = self.suspects.get(&fingerprint) else {
            return RequestSuspicion::Clear;
        };
        if now.since(state.seen) > CRASH_LIFETIME {
            return RequestSuspicion::Clear;
        }
        if state.alone && state.servers.len() >= SERVERS_TO_QUARANTINE {
            return RequestSuspicion::Quarantined;
        }
        RequestSuspicion::Suspect
    }

    /// Clears a request that completed: it did not cause the crashes.
    pub fn clear(&mut self, fingerprint: BodyFingerprint) {
        self.suspects.remove(&fingerprint);
    }

    /// Number of suspects.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Whether there are no suspects.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    fn drop_oldest(&mut self) {
        if self.suspects.len() <= SUSPECT_LIMIT {
            return;
        }
        let oldest = self
            .suspects
            .iter()
            .min_by_key(|(_fingerprint, state)| state.seen)
            .map(|(fingerprint, _state)| *fingerprint);
        if let Some(oldest) = oldest {
            self.suspects.remove(&oldest);
        }
    }
}
