//! Requests that were running when servers crashed, as known to the fleet.
//!
//! A crashing server takes every request on it down, so one crash proves
//! nothing about one request. What counts are crashes in sequence: when a
//! request's sender already knew of earlier crashes and the next server crashes
//! too, that adds a round ([`CrashReport::known_rounds`]), while all servers that
//! crash at the same moment make one round. A response proves that the request
//! does not crash servers, and clears it. So a request that many callers send is
//! cleared by the first one that gets a response, however many servers crash
//! with it.
//!
//! Reports form a set that instances merge in any order: a repeated report
//! changes nothing, and a removed report stays removed. The
//! [`RequestFingerprint`] covers the team, so that no team can quarantine
//! another team's request.

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

/// Rounds of crashes after which a request is quarantined.
const ROUNDS_TO_QUARANTINE: usize = 3;
/// Rounds after which a request is quarantined if no server crashed without the
/// request shortly before.
const ISOLATED_ROUNDS_TO_QUARANTINE: usize = 2;
/// Time for which the crash of a server that did not run the request counts in
/// the request's favour.
const ISOLATION_WINDOW: Duration = Duration::from_secs(10);
/// Time for which a request is quarantined the first time. Each further round
/// doubles it.
const FIRST_QUARANTINE_TIME: Duration = Duration::from_secs(3_600);
/// Time after its last crash at which a request is forgotten, and the longest
/// quarantine.
const CRASH_REPORT_LIFETIME: Duration = Duration::from_secs(24 * 3_600);
/// Maximum number of requests; those with the fewest rounds are evicted first.
pub const SUSPECT_LIMIT: usize = 4_096;
/// Crash reports kept for one request; further reports prove nothing more.
const REPORTS_PER_REQUEST_LIMIT: usize = 16;
/// Keys of removed reports that are remembered, so that late copies of a report
/// do not restore it.
const REMOVED_KEY_LIMIT: usize = 4_096;
/// Server crashes that are remembered for [`ISOLATION_WINDOW`].
const RECENT_CRASH_LIMIT: usize = 4_096;

/// Identifies one process of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ServerProcess(u64);

impl ServerProcess {
    /// Identifies the process of `server` that started at `started`.
    pub fn of(server: &ServerName, started: u64) -> Self {
        Self(stable_hash(&[
            server.as_str().as_bytes(),
            &started.to_be_bytes(),
        ]))
    }
}

/// Identifies the crash of one server process while it ran one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CrashKey {
    /// The request that was running.
    pub fingerprint: RequestFingerprint,
    /// The server process that crashed.
    pub process: ServerProcess,
}

impl CrashKey {
    /// Parses the text that [`fmt::Display`] writes.
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
        let sketch = self.fingerprint.coarse();
        write!(
            formatter,
            "{sketch}{}/{:016x}",
            self.fingerprint, self.process.0
        )
    }
}

/// Reports that a server crashed while it ran a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The request that was running.
    pub fingerprint: RequestFingerprint,
    /// The server that crashed.
    pub server: ServerName,
    /// Start time of the server process, on the server's own clock.
    pub started: u64,
    /// Rounds of crashes that the sender knew of when it sent the request.
    pub known_rounds: u8,
    /// Whether the reporter knew of no server that crashed without the request
    /// shortly before.
    pub isolated: bool,
    /// The instance that sent the request and detected the crash.
    pub reporter: InstanceName,
    /// Time at which the reporter detected the crash.
    pub seen: UnixMillis,
}

impl CrashReport {
    /// The key of the crash.
    pub fn key(&self) -> CrashKey {
        CrashKey {
            fingerprint: self.fingerprint,
            process: ServerProcess::of(&self.server, self.started),
        }
    }
}

/// Change to the reported crashes, as instances exchange and store it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SuspectRecord {
    /// A server crashed while it ran a request.
    Crashed(CrashReport),
    /// The crash report no longer counts.
    Removed(CrashKey),
}

impl SuspectRecord {
    /// The key of the crash that the record concerns.
    pub fn key(&self) -> CrashKey {
        match self {
            Self::Crashed(report) => report.key(),
            Self::Removed(key) => *key,
        }
    }
}

/// The crash reports of one request, summarized.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashSummary {
    /// Number of servers that crashed while they ran the request.
    pub servers: usize,
    /// Number of rounds of crashes.
    pub rounds: u8,
    /// The newest crash report.
    pub newest: CrashReport,
    /// End of the request's quarantine; `None` when it is not quarantined.
    pub quarantined_until: Option<UnixMillis>,
}

/// The crash reports of one request.
#[derive(Clone, Debug, Default)]
struct SuspectState {
    crashes: BTreeMap<ServerProcess, HeldReport>,
}

/// A crash report and where it is stored.
#[derive(Clone, Debug)]
struct HeldReport {
    report: CrashReport,
    /// Whether the fleet's topic has held the report.
    stored: bool,
    /// Time of the steady clock at which the report was received.
    received_at: Duration,
}

impl SuspectState {
    fn rounds(&self) -> usize {
        if self.crashes.len() <= 1 {
            return self.crashes.len();
        }
        let known_rounds = self.crashes.values().map(|held| held.report.known_rounds);
        known_rounds.collect::<BTreeSet<_>>().len()
    }

    fn newest(&self) -> Option<&CrashReport> {
        let crashes = self.crashes.values().map(|held| &held.report);
        crashes.max_by_key(|report| report.seen)
    }

    /// Rounds after which this request is quarantined.
    fn rounds_to_quarantine(&self) -> usize {
        let mut crashes = self.crashes.values().map(|held| &held.report);
        if crashes.any(|report| report.isolated && report.known_rounds > 0) {
            ISOLATED_ROUNDS_TO_QUARANTINE
        } else {
            ROUNDS_TO_QUARANTINE
        }
    }

    /// End of the request's quarantine, which may have passed.
    fn quarantined_until(&self) -> Option<UnixMillis> {
        let beyond = self.rounds().checked_sub(self.rounds_to_quarantine())?;
        let doublings = u32::try_from(beyond.min(REPORTS_PER_REQUEST_LIMIT)).unwrap_or_default();
        let span = FIRST_QUARANTINE_TIME * 2_u32.pow(doublings);
        Some(self.newest()?.seen.after(span.min(CRASH_REPORT_LIFETIME)))
    }
}

/// Crash reports, indexed by request.
#[derive(Clone, Debug, Default)]
pub struct CrashTable {
    suspects: BTreeMap<RequestFingerprint, SuspectState>,
    /// Number of requests with each coarse fingerprint.
    coarse_counts: HashMap<CoarseFingerprint, usize>,
    removed: BTreeSet<CrashKey>,
    /// Keys of removed reports, oldest first.
    removed_order: VecDeque<CrashKey>,
    /// Server processes that crashed, with the time at which that was learned.
    recent: HashMap<ServerProcess, Duration>,
    /// Keys of reports that were evicted since the last [`Self::expire`].
    evicted: Vec<CrashKey>,
}

impl CrashTable {
    /// Number of requests.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Whether there are no requests.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Whether the table may contain a request with this coarse fingerprint.
    pub fn may_contain(&self, coarse: CoarseFingerprint) -> bool {
        self.coarse_counts.contains_key(&coarse)
    }

    /// Summarizes the reports on the request at the time `now`.
    pub fn summary(
        &self,
        fingerprint: &RequestFingerprint,
        now: UnixMillis,
    ) -> Option<CrashSummary> {
        let state = self.suspects.get(fingerprint)?;
        let newest = state.newest()?;
        let until = state.quarantined_until();
        Some(CrashSummary {
            servers: state.crashes.len(),
            rounds: u8::try_from(state.rounds()).unwrap_or(u8::MAX),
            newest: newest.clone(),
            quarantined_until: until.filter(|until| now < *until),
        })
    }

    /// Records that a server process crashed, whatever it ran. Returns false if
    /// the crash was already known.
    pub fn note_crash(&mut self, process: ServerProcess, now: Duration) -> bool {
        if self.recent.contains_key(&process) {
            return false;
        }
        if self.recent.len() >= RECENT_CRASH_LIMIT {
            let recent = &mut self.recent;
            recent.retain(|_process, at| now.saturating_sub(*at) <= ISOLATION_WINDOW);
        }
        if self.recent.len() < RECENT_CRASH_LIMIT {
            self.recent.insert(process, now);
        }
        true
    }

    /// Whether a server process is known to have crashed recently.
    pub fn has_crashed(&self, process: ServerProcess) -> bool {
        self.recent.contains_key(&process)
    }

    /// Whether no process other than `process` crashed without the request
    /// shortly before `now`.
    pub fn is_isolated(
        &self,
        fingerprint: &RequestFingerprint,
        process: ServerProcess,
        now: Duration,
    ) -> bool {
        let state = self.suspects.get(fingerprint);
        self.recent.iter().all(|(ended, at)| {
            let old = now.saturating_sub(*at) > ISOLATION_WINDOW;
            let own = state.is_some_and(|state| state.crashes.contains_key(ended));
            old || own || *ended == process
        })
    }

    /// Adds a report that was received at `now`. Returns false if it was already
    /// known, was removed, or exceeds the limit of the request.
    pub fn merge(&mut self, report: CrashReport, now: Duration) -> bool {
        let key = report.key();
        if self.removed.contains(&key) {
            return false;
        }
        self.note_crash(key.process, now);
        let is_new = !self.suspects.contains_key(&key.fingerprint);
        let state = self.suspects.entry(key.fingerprint).or_default();
        if state.crashes.contains_key(&key.process)
            || state.crashes.len() >= REPORTS_PER_REQUEST_LIMIT
        {
            return false;
        }
        let held = HeldReport {
            report,
            stored: false,
            received_at: now,
        };
        state.crashes.insert(key.process, held);
        if is_new {
            *self
                .coarse_counts
                .entry(key.fingerprint.coarse())
                .or_default() += 1;
            self.evict_weakest(&key.fingerprint);
        }
        true
    }

    /// Marks a report as held by the fleet's topic.
    pub fn note_stored(&mut self, key: &CrashKey) {
        let state = self.suspects.get_mut(&key.fingerprint);
        if let Some(held) = state.and_then(|state| state.crashes.get_mut(&key.process)) {
            held.stored = true;
        }
    }

    /// Whether the report was removed and its key is still remembered.
    pub fn was_removed(&self, key: &CrashKey) -> bool {
        self.removed.contains(key)
    }

    /// Removes a report permanently. Returns false if it was not present.
    pub fn remove_report(&mut self, key: &CrashKey) -> bool {
        self.note_removed(*key);
        let Some(state) = self.suspects.get_mut(&key.fingerprint) else {
            return false;
        };
        let known_rounds = state.crashes.remove(&key.process).is_some();
        if state.crashes.is_empty() {
            self.remove(&key.fingerprint);
        }
        known_rounds
    }

    /// Removes all reports on a request that got a response; returns their keys.
    pub fn clear(&mut self, fingerprint: &RequestFingerprint) -> Vec<CrashKey> {
        let keys = self.keys_of(fingerprint);
        for key in &keys {
            self.note_removed(*key);
        }
        self.remove(fingerprint);
        keys
    }

    /// Removes requests whose last crash is too old at `now`. Returns the keys of
    /// the removed reports and of those that were evicted before.
    pub fn expire(&mut self, now: UnixMillis) -> Vec<CrashKey> {
        let mut old = Vec::new();
        for (fingerprint, state) in &self.suspects {
            let newest = state.newest().map(|report| report.seen);
            if newest.is_none_or(|seen| now.since(seen) > CRASH_REPORT_LIFETIME) {
                old.push(*fingerprint);
            }
        }
        let mut gone = std::mem::take(&mut self.evicted);
        for fingerprint in old {
            gone.extend(self.clear(&fingerprint));
        }
        gone
    }

    /// Removes the reports that the fleet's topic held before but does not list
    /// now, after a gap in reading the topic.
    pub fn retain_stored(&mut self, listed: &BTreeSet<CrashKey>) {
        let mut gone = Vec::new();
        for state in self.suspects.values() {
            for held in state.crashes.values() {
                let key = held.report.key();
                if held.stored && !listed.contains(&key) {
                    gone.push(key);
                }
            }
        }
        for key in gone {
            self.remove_report(&key);
        }
    }

    /// Records that the fleet's topic may have lost reports that it held.
    pub fn forget_stored(&mut self) {
        for state in self.suspects.values_mut() {
            for held in state.crashes.values_mut() {
                held.stored = false;
            }
        }
    }

    /// Reports that were received before `before` and that the fleet's topic does
    /// not hold.
    pub fn not_stored(&self, before: Duration) -> Vec<CrashReport> {
        let mut missing = Vec::new();
        for state in self.suspects.values() {
            for held in state.crashes.values() {
                if !held.stored && held.received_at < before {
                    missing.push(held.report.clone());
                }
            }
        }
        missing
    }

    fn keys_of(&self, fingerprint: &RequestFingerprint) -> Vec<CrashKey> {
        let state = self.suspects.get(fingerprint);
        let processes = state.into_iter().flat_map(|state| state.crashes.keys());
        let key = |process: &ServerProcess| CrashKey {
            fingerprint: *fingerprint,
            process: *process,
        };
        processes.map(key).collect()
    }

    fn note_removed(&mut self, key: CrashKey) {
        if !self.removed.insert(key) {
            return;
        }
        self.removed_order.push_back(key);
        if self.removed_order.len() > REMOVED_KEY_LIMIT
            && let Some(oldest) = self.removed_order.pop_front()
        {
            self.removed.remove(&oldest);
        }
    }

    fn remove(&mut self, fingerprint: &RequestFingerprint) {
        if self.suspects.remove(fingerprint).is_none() {
            return;
        }
        let coarse = fingerprint.coarse();
        if let Some(count) = self.coarse_counts.get_mut(&coarse) {
            *count -= 1;
            if *count == 0 {
                self.coarse_counts.remove(&coarse);
            }
        }
    }

    /// Evicts the request with the fewest rounds, but not `newest`, when the
    /// table is full.
    fn evict_weakest(&mut self, newest: &RequestFingerprint) {
        if self.suspects.len() <= SUSPECT_LIMIT {
            return;
        }
        let others = self
            .suspects
            .iter()
            .filter(|(fingerprint, _)| *fingerprint != newest);
        let least = others.min_by_key(|(_print, state)| {
            let seen = state.newest().map(|report| report.seen);
            (state.rounds(), seen)
        });
        if let Some(fingerprint) = least.map(|(fingerprint, _state)| *fingerprint) {
            let keys = self.clear(&fingerprint);
            self.evicted.extend(keys);
        }
    }
}
