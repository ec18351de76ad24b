//! Requests under which servers ended, as the whole fleet knows them.
//!
//! A server that ends takes every request on it along, so one end proves
//! nothing about one request. What counts are ends one after the other: a
//! server that ended although its sender knew of earlier ends adds a round
//! ([`CrashReport::known`]), while all servers that end at the same moment are
//! one. An answer proves that the request ends no servers, and clears it. So a
//! request that many callers send is cleared by the first that is answered,
//! however many servers end with it.
//!
//! Evidence is a set that instances merge in any order: a repeat changes
//! nothing, and what was dropped stays dropped. It names the caller by way of
//! its [`RequestFingerprint`], so no team can condemn another's request.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::fmt;
use std::time::Duration;

use hibiscus_types::InstanceName;
use hibiscus_types::ServerName;
use hibiscus_types::UnixMillis;
use hibiscus_types::hash::stable_hash;
use serde::Deserialize;
use serde::Serialize;

use crate::fingerprint::CoarseFingerprint;
use crate::fingerprint::RequestFingerprint;

/// Rounds after which a request is condemned.
const ROUNDS_TO_CONDEMN: usize = 3;
/// The same when no server ended without the request meanwhile.
const ROUNDS_ALONE: usize = 2;
/// Time within which the end of a server without the request speaks for it.
const ALONE_TIME: Duration = Duration::from_secs(10);
/// Time for which a request is condemned the first time. Each end after that
/// doubles it.
const CONDEMNED_TIME: Duration = Duration::from_secs(3_600);
/// Time after its last end at which a request is forgotten, and the longest
/// for which it is condemned.
const FORGOTTEN_TIME: Duration = Duration::from_secs(24 * 3_600);
/// Requests kept at most; those with the fewest rounds go first.
pub const SUSPECT_LIMIT: usize = 4_096;
/// Ends kept of one request: more prove nothing more.
const END_LIMIT: usize = 16;
/// Removed ends that are remembered, so that late copies change nothing.
const DROPPED_LIMIT: usize = 4_096;
/// Ends of servers that are remembered for [`ALONE_TIME`].
const RECENT_LIMIT: usize = 4_096;

/// Names one process of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ServerProcess(u64);

impl ServerProcess {
    /// The process of `server` that began at `started`.
    pub fn of(server: &ServerName, started: u64) -> Self {
        Self(stable_hash(&[
            server.as_str().as_bytes(),
            &started.to_be_bytes(),
        ]))
    }
}

/// Names the end of one server under one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CrashKey {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// The server.
    pub process: ServerProcess,
}

impl CrashKey {
    /// The key that [`fmt::Display`] wrote as `text`.
    pub fn parse(text: &str) -> Option<Self> {
        let (fingerprint, process) = text.split_once('/')?;
        Some(Self {
            fingerprint: RequestFingerprint::parse(fingerprint)?,
            process: ServerProcess(u64::from_str_radix(process, 16).ok()?),
        })
    }
}

impl fmt::Display for CrashKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let coarse = self.fingerprint.coarse();
        write!(
            formatter,
            "{coarse}{}/{:016x}",
            self.fingerprint, self.process.0
        )
    }
}

/// A server that ended under a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// The server.
    pub server: ServerName,
    /// When the server had begun, in its own time.
    pub started: u64,
    /// Rounds that the sender knew of when it sent the request.
    pub known: u8,
    /// Whether the reporter knew of no server that ended without the request
    /// shortly before.
    pub alone: bool,
    /// The instance that sent the request and saw the server end.
    pub reporter: InstanceName,
    /// When it saw that.
    pub seen: UnixMillis,
}

impl CrashReport {
    /// What names the end.
    pub fn key(&self) -> CrashKey {
        CrashKey {
            fingerprint: self.fingerprint,
            process: ServerProcess::of(&self.server, self.started),
        }
    }
}

/// News of a request under which servers ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SuspectRecord {
    /// A server ended under it.
    Crashed(CrashReport),
    /// An end proves nothing any more.
    Removed(CrashKey),
}

impl SuspectRecord {
    /// The end that it is about.
    pub fn key(&self) -> CrashKey {
        match self {
            Self::Crashed(evidence) => evidence.key(),
            Self::Removed(key) => *key,
        }
    }
}

/// What is known against a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashSummary {
    /// Servers that ended under it.
    pub servers: usize,
    /// Rounds of ends one after the other.
    pub rounds: u8,
    /// The newest of the ends.
    pub newest: CrashReport,
    /// When it may be sent again; `None` when it may now.
    pub released: Option<UnixMillis>,
}

/// The ends of one request.
#[derive(Clone, Debug, Default)]
struct SuspectState {
    ends: BTreeMap<ServerProcess, HeldEnd>,
}

/// An end and how far it has come.
#[derive(Clone, Debug)]
struct HeldEnd {
    evidence: CrashReport,
    /// Whether the fleet's topic held it.
    stored: bool,
    /// When it came here, on the steady clock.
    heard: Duration,
}

impl SuspectState {
    fn rounds(&self) -> usize {
        if self.ends.len() <= 1 {
            return self.ends.len();
        }
        let known = self.ends.values().map(|held| held.evidence.known);
        known.collect::<BTreeSet<_>>().len()
    }

    fn newest(&self) -> Option<&CrashReport> {
        let ends = self.ends.values().map(|held| &held.evidence);
        ends.max_by_key(|evidence| evidence.seen)
    }

    /// Rounds after which the request is condemned.
    fn needed(&self) -> usize {
        let mut ends = self.ends.values().map(|held| &held.evidence);
        if ends.any(|evidence| evidence.alone && evidence.known > 0) {
            ROUNDS_ALONE
        } else {
            ROUNDS_TO_CONDEMN
        }
    }

    /// Until when the request is condemned.
    fn condemned_until(&self) -> Option<UnixMillis> {
        let beyond = self.rounds().checked_sub(self.needed())?;
        let doublings = u32::try_from(beyond.min(END_LIMIT)).unwrap_or_default();
        let span = CONDEMNED_TIME * 2_u32.pow(doublings);
        Some(self.newest()?.seen.after(span.min(FORGOTTEN_TIME)))
    }
}

/// The requests under which servers ended.
#[derive(Clone, Debug, Default)]
pub struct CrashTable {
    suspects: BTreeMap<RequestFingerprint, SuspectState>,
    /// Requests of each sketch.
    sketches: HashMap<CoarseFingerprint, usize>,
    dropped: BTreeSet<CrashKey>,
    /// The dropped ends, oldest first.
    dropped_order: VecDeque<CrashKey>,
    /// Servers that ended, and when.
    recent: HashMap<ServerProcess, Duration>,
    /// Ends that had no room any more.
    surplus: Vec<CrashKey>,
}

impl CrashTable {
    /// Number of requests.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Whether a request with `coarse` may be among them.
    pub fn may_hold(&self, coarse: CoarseFingerprint) -> bool {
        self.sketches.contains_key(&coarse)
    }

    /// What is known against the request at the time `now`.
    pub fn case(&self, fingerprint: &RequestFingerprint, now: UnixMillis) -> Option<CrashSummary> {
        let state = self.suspects.get(fingerprint)?;
        let newest = state.newest()?;
        let until = state.condemned_until();
        Some(CrashSummary {
            servers: state.ends.len(),
            rounds: u8::try_from(state.rounds()).unwrap_or(u8::MAX),
            newest: newest.clone(),
            released: until.filter(|until| now < *until),
        })
    }

    /// A server ended at `now`, whatever was on it; false when that was known.
    pub fn note_crash(&mut self, process: ServerProcess, now: Duration) -> bool {
        if self.recent.contains_key(&process) {
            return false;
        }
        if self.recent.len() >= RECENT_LIMIT {
            let recent = &mut self.recent;
            recent.retain(|_process, at| now.saturating_sub(*at) <= ALONE_TIME);
        }
        if self.recent.len() < RECENT_LIMIT {
            self.recent.insert(process, now);
        }
        true
    }

    /// Whether no server ended without the request shortly before `now`, other
    /// than `process`.
    pub fn is_alone(
        &self,
        fingerprint: &RequestFingerprint,
        process: ServerProcess,
        now: Duration,
    ) -> bool {
        let state = self.suspects.get(fingerprint);
        self.recent.iter().all(|(ended, at)| {
            let old = now.saturating_sub(*at) > ALONE_TIME;
            let own = state.is_some_and(|state| state.ends.contains_key(ended));
            old || own || *ended == process
        })
    }

    /// Takes evidence over that came at `now`; false when it says nothing new.
    pub fn take(&mut self, evidence: CrashReport, now: Duration) -> bool {
        let key = evidence.key();
        if self.dropped.contains(&key) {
            return false;
        }
        self.note_crash(key.process, now);
        let is_new = !self.suspects.contains_key(&key.fingerprint);
        let state = self.suspects.entry(key.fingerprint).or_default();
        if state.ends.contains_key(&key.process) || state.ends.len() >= END_LIMIT {
            return false;
        }
        let held = HeldEnd {
            evidence,
            stored: false,
            heard: now,
        };
        state.ends.insert(key.process, held);
        if is_new {
            *self.sketches.entry(key.fingerprint.coarse()).or_default() += 1;
            self.make_room(&key.fingerprint);
        }
        true
    }

    /// The fleet's topic holds the end.
    pub fn note_stored(&mut self, key: &CrashKey) {
        let state = self.suspects.get_mut(&key.fingerprint);
        if let Some(held) = state.and_then(|state| state.ends.get_mut(&key.process)) {
            held.stored = true;
        }
    }

    /// Whether the end was dropped lately.
    pub fn was_dropped(&self, key: &CrashKey) -> bool {
        self.dropped.contains(key)
    }

    /// Drops an end for good; false when it was not known.
    pub fn drop_end(&mut self, key: &CrashKey) -> bool {
        self.note_dropped(*key);
        let Some(state) = self.suspects.get_mut(&key.fingerprint) else {
            return false;
        };
        let known = state.ends.remove(&key.process).is_some();
        if state.ends.is_empty() {
            self.remove(&key.fingerprint);
        }
        known
    }

    /// The request was answered: drops its ends, and returns them.
    pub fn clear(&mut self, fingerprint: &RequestFingerprint) -> Vec<CrashKey> {
        let keys = self.keys_of(fingerprint);
        for key in &keys {
            self.note_dropped(*key);
        }
        self.remove(fingerprint);
        keys
    }

    /// Drops requests whose last end is long ago at `now`, and returns the ends
    /// that went, with those that had no room.
    pub fn expire(&mut self, now: UnixMillis) -> Vec<CrashKey> {
        let mut old = Vec::new();
        for (fingerprint, state) in &self.suspects {
            let newest = state.newest().map(|evidence| evidence.seen);
            if newest.is_none_or(|seen| now.since(seen) > FORGOTTEN_TIME) {
                old.push(*fingerprint);
            }
        }
        let mut gone = std::mem::take(&mut self.surplus);
        for fingerprint in old {
            gone.extend(self.clear(&fingerprint));
        }
        gone
    }

    /// Takes over which ends the fleet's topic holds, after a gap in reading
    /// it: those that it held before and does not now are dropped.
    pub fn keep_stored(&mut self, listed: &BTreeSet<CrashKey>) {
        let mut gone = Vec::new();
        for state in self.suspects.values() {
            for held in state.ends.values() {
                let key = held.evidence.key();
                if held.stored && !listed.contains(&key) {
                    gone.push(key);
                }
            }
        }
        for key in gone {
            self.drop_end(&key);
        }
    }

    /// Evidence that came before `before` and that the fleet's topic does not
    /// hold.
    pub fn not_stored(&self, before: Duration) -> Vec<CrashReport> {
        let mut missing = Vec::new();
        for state in self.suspects.values() {
            for held in state.ends.values() {
                if !held.stored && held.heard < before {
                    missing.push(held.evidence.clone());
                }
            }
        }
        missing
    }

    fn keys_of(&self, fingerprint: &RequestFingerprint) -> Vec<CrashKey> {
        let state = self.suspects.get(fingerprint);
        let processes = state.into_iter().flat_map(|state| state.ends.keys());
        let key = |process: &ServerProcess| CrashKey {
            fingerprint: *fingerprint,
            process: *process,
        };
        processes.map(key).collect()
    }

    fn note_dropped(&mut self, key: CrashKey) {
        if !self.dropped.insert(key) {
            return;
        }
        self.dropped_order.push_back(key);
        if self.dropped_order.len() > DROPPED_LIMIT
            && let Some(oldest) = self.dropped_order.pop_front()
        {
            self.dropped.remove(&oldest);
        }
    }

    fn remove(&mut self, fingerprint: &RequestFingerprint) {
        if self.suspects.remove(fingerprint).is_none() {
            return;
        }
        let coarse = fingerprint.coarse();
        if let Some(count) = self.sketches.get_mut(&coarse) {
            *count -= 1;
            if *count == 0 {
                self.sketches.remove(&coarse);
            }
        }
    }

    /// Drops the requests that prove least, but not `newest`.
    fn make_room(&mut self, newest: &RequestFingerprint) {
        if self.suspects.len() <= SUSPECT_LIMIT {
            return;
        }
        let others = self
            .suspects
            .iter()
            .filter(|(fingerprint, _)| *fingerprint != newest);
        let least = others.min_by_key(|(_print, state)| {
            let seen = state.newest().map(|evidence| evidence.seen);
            (state.rounds(), seen)
        });
        if let Some(fingerprint) = least.map(|(fingerprint, _state)| *fingerprint) {
            let keys = self.clear(&fingerprint);
            self.surplus.extend(keys);
        }
    }
}
