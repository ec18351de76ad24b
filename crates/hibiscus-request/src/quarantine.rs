//! Requests that stop the servers that run them.
//!
//! A server that stops takes every request on it along, so one death proves
//! nothing about one request. A request seen at a death is a suspect and runs
//! alone from then on; one whose server stops again while it runs alone is
//! quarantined. Deaths count by the body's fingerprint, since callers send
//! the same request again under new keys, and by team, so that no team can
//! condemn another's request.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use hibiscus_types::ServerName;
use hibiscus_types::TeamName;
use hibiscus_types::UnixMillis;
use hibiscus_types::hash::stable_hash;
use serde::Deserialize;
use serde::Serialize;

/// Time after which a death is forgotten.
pub const CRASH_LIFETIME: Duration = Duration::from_secs(3_600);
/// Distinct servers that a quarantined request has stopped.
const SERVERS_TO_QUARANTINE: usize = 2;
/// Suspects kept at most; the ones seen longest ago go first.
const SUSPECT_LIMIT: usize = 10_000;

/// What a request does, whatever key it is sent under.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct BodyFingerprint(u64);

impl BodyFingerprint {
    /// The fingerprint of `body` sent to `path` by `team`.
    pub fn of(team: &TeamName, path: &str, body: &[u8]) -> Self {
        Self(stable_hash(&[
            team.as_str().as_bytes(),
            path.as_bytes(),
            body,
        ]))
    }

    /// The fingerprint as a number.
    pub fn get(self) -> u64 {
        self.0
    }
}

/// A server that stopped while it ran a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerCrash {
    /// The request.
    pub fingerprint: BodyFingerprint,
    /// The server.
    pub server: ServerName,
    /// Whether the reporting router had nothing else on the server.
    pub alone: bool,
    /// When it was seen.
    pub seen: UnixMillis,
}

/// How a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestSuspicion {
    /// Beside others.
    Clear,
    /// Alone on its server.
    Suspect,
    /// Not at all.
    Quarantined,
}

/// Deaths at which one request was seen.
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
    /// Takes a death over. A repeat changes nothing.
    pub fn record(&mut self, death: &ServerCrash) {
        let state = self
            .suspects
            .entry(death.fingerprint)
            .or_insert_with(|| SuspectState {
                servers: BTreeSet::new(),
                alone: false,
                seen: death.seen,
            });
        state.servers.insert(death.server.clone());
        state.alone |= death.alone;
        state.seen = state.seen.max(death.seen);
        self.drop_oldest();
    }

    /// How the request may run at the time `now`.
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

    /// The request ended whole: what it was seen at was not its doing.
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
