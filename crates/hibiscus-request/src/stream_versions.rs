//! Software versions of servers, and the versions that began streams.
//!
//! What two versions of a server's software write does not fit together, so a stream
//! that is taken up again may only go on at the version that began it.
//!
//! [`VersionHistory`] keeps, for each service, the versions that may have begun a
//! stream that is still taken up: those with servers, and those whose last server has
//! gone a short time ago. The fleet keeps it in a topic ([`ServiceVersions`]), so that it
//! outlives all processes. While there is only one version, nothing has to be known of
//! a stream. A version begins streams only once the topic holds it
//! ([`VersionHistory::is_recorded`]): an instance that reads the topic after a stream has
//! begun learns of its version.
//!
//! While there are several versions, instances tell each other which one began each
//! stream ([`StreamNotes`]). A stream that is in no note is not guessed.

pub mod held_notes;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use hibiscus_types::ServiceName;
use hibiscus_types::SoftwareVersion;
use hibiscus_types::UnixMillis;
use hibiscus_types::hash::stable_hash;
use serde::Deserialize;
use serde::Serialize;

/// Time after the last server of a version has gone in which its streams are taken up
/// again: callers wait less, and a server that has left the list goes on for some time.
pub const VERSION_MEMORY: Duration = Duration::from_secs(120);
/// Time from the record of a new version until servers of it begin streams. Within
/// less, all instances that can read the store have read it.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// Time after this instance has read of a version in which streams begin at others, and in
/// which it does not count as the only one: instances read the entries within a moment.
const YOUNG_TIME: Duration = Duration::from_millis(500);
/// Time after a version was read in the fleet's record within which this instance reads
/// the entries of its servers too.
const SEEN_TIME: Duration = Duration::from_secs(5);
/// Time without a server of a version until its end is recorded: entries may be written
/// again.
const END_DELAY: Duration = Duration::from_secs(1);
/// Maximum number of noted streams.
const NOTE_LIMIT: usize = 32_768;

/// A version in the fleet's topic.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionRecord {
    /// The version.
    pub software: SoftwareVersion,
    /// When its last server had gone; `None` while there are servers.
    pub ended_at: Option<UnixMillis>,
}

/// The versions of a service in the fleet's topic.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceVersions {
    /// The versions, in no particular order.
    pub versions: Vec<VersionRecord>,
}

/// What other instances know of a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum VersionStanding {
    /// Others may not know it yet.
    Young,
    /// Most instances know it.
    Known,
    /// All instances that can read the store know it.
    Settled,
}

/// What is known of one version of a service.
#[derive(Clone, Debug, Default)]
struct VersionState {
    /// Number of servers in the registry.
    servers: usize,
    /// Time of the steady clock until which its streams are taken up, if there is no
    /// server.
    forget_at: Option<Duration>,
    /// Time of the steady clock from which on servers may begin streams.
    settled_at: Option<Duration>,
    /// Time of the steady clock at which the registry had the first server.
    seen_at: Option<Duration>,
    /// Time of the steady clock at which the fleet's record was last read.
    recorded_at: Option<Duration>,
}

impl VersionState {
    /// Whether streams that the version began may be taken up at `now`.
    fn is_remembered(&self, now: Duration) -> bool {
        self.servers > 0 || self.forget_at.is_none_or(|until| now < until)
    }

    /// Time for which there has been no server at `now`; `None` if there is one, or
    /// there may be one that this instance has not read yet.
    fn gone_for(&self, now: Duration) -> Option<Duration> {
        let until = self.forget_at.filter(|_until| self.servers == 0)?;
        let is_recent = |read: Duration| now < read + SEEN_TIME;
        if self.seen_at.is_none() && self.recorded_at.is_some_and(is_recent) {
            return None;
        }
        let gone = VERSION_MEMORY.saturating_sub(until.saturating_sub(now));
        (gone >= END_DELAY).then_some(gone)
    }
}

/// The versions of one service.
#[derive(Clone, Debug, Default)]
struct ServiceState {
    versions: BTreeMap<SoftwareVersion, VersionState>,
    /// What the fleet's topic holds.
    recorded: Option<ServiceVersions>,
}

/// Versions that may have begun streams, by service.
#[derive(Clone, Debug, Default)]
pub struct VersionHistory {
    services: HashMap<ServiceName, ServiceState>,
    /// Whether the fleet's topic has been read.
    is_read: bool,
}

impl VersionHistory {
    /// Whether the fleet's topic has been read.
    pub fn is_read(&self) -> bool {
        self.is_read
    }

    /// Records that the registry has a further server of a version at `now`.
    pub fn note_server(
        &mut self,
        service: &ServiceName,
        software: &SoftwareVersion,
        now: Duration,
    ) {
        let state = self.state_of(service, software);
        state.servers += 1;
        state.seen_at.get_or_insert(now);
        state.forget_at = None;
    }

    /// Records that the registry lost a server of a version at `now`.
    pub fn note_server_gone(
        &mut self,
        service: &ServiceName,
        software: &SoftwareVersion,
        now: Duration,
    ) {
        let state = self.state_of(service, software);
        state.servers = state.servers.saturating_sub(1);
        if state.servers == 0 {
            state.forget_at = Some(now + VERSION_MEMORY);
        }
    }

    fn state_of(&mut self, service: &ServiceName, software: &SoftwareVersion) -> &mut VersionState {
        let versions = &mut self.services.entry(service.clone()).or_default().versions;
        versions.entry(software.clone()).or_default()
    }

    /// Applies the fleet's record of `service`, read at `now`, which is `unix` by the
    /// machine's clock. `first` is whether it was read when the process started.
    pub fn apply_record(
        &mut self,
        service: &ServiceName,
        record: ServiceVersions,
        first: bool,
        now: Duration,
        unix: UnixMillis,
    ) {
        let state = self.services.entry(service.clone()).or_default();
        for version in &record.versions {
            let known = state.versions.entry(version.software.clone()).or_default();
            let settled_at = if first {
                Duration::ZERO
            } else {
                now + SETTLE_TIME
            };
            known.settled_at.get_or_insert(settled_at);
            known.recorded_at = Some(now);
            if known.servers > 0 || known.forget_at.is_some() {
                continue;
            }
            // An end that the record does not have is not older than this moment.
            let age = version.ended_at.map_or(Duration::ZERO, |at| unix.since(at));
            known.forget_at = Some(now + VERSION_MEMORY.saturating_sub(age));
        }
        state.recorded = Some(record);
    }

    /// Records that the fleet's topic has been read to its end.
    pub fn note_read(&mut self) {
        self.is_read = true;
    }

    /// Whether the fleet's topic holds a version of `service`.
    pub fn is_recorded(&self, service: &ServiceName, software: &SoftwareVersion) -> bool {
        let recorded = self.services.get(service);
        let recorded = recorded.and_then(|state| state.recorded.as_ref());
        recorded.is_some_and(|recorded| {
            let mut versions = recorded.versions.iter();
            versions.any(|version| version.software == *software)
        })
    }

    /// Records that the fleet's topic may have lost records that it held.
    pub fn forget_recorded(&mut self) {
        for state in self.services.values_mut() {
            state.recorded = None;
        }
    }

    /// Versions of `service` that may have begun streams which are taken up at `now`.
    pub fn versions(
        &self,
        service: &ServiceName,
        now: Duration,
    ) -> impl Iterator<Item = &SoftwareVersion> {
        let state = self.services.get(service).into_iter();
        let versions = state.flat_map(|state| &state.versions);
        let remembered = versions.filter(move |(_software, state)| state.is_remembered(now));
        remembered.map(|(software, _state)| software)
    }

    /// Whether streams of `service` may have begun at several versions.
    pub fn is_mixed(&self, service: &ServiceName, now: Duration) -> bool {
        self.versions(service, now).nth(1).is_some()
    }

    /// The version that began all streams of `service` which are taken up at `now`; `None`
    /// if there may be others, or if this instance read of it only a moment ago.
    pub fn only_version(&self, service: &ServiceName, now: Duration) -> Option<&SoftwareVersion> {
        let mut versions = self.versions(service, now);
        let only = versions.next().filter(|_only| versions.next().is_none())?;
        let is_young = self.standing(service, only, now) == VersionStanding::Young;
        (!is_young).then_some(only)
    }

    /// Services of which several versions may have begun streams.
    pub fn mixed_services(&self, now: Duration) -> Vec<ServiceName> {
        let mut mixed = Vec::new();
        for service in self.services.keys() {
            if self.is_mixed(service, now) {
                mixed.push(service.clone());
            }
        }
        mixed
    }

    /// Returns what other instances know of a version at `now`.
    pub fn standing(
        &self,
        service: &ServiceName,
        software: &SoftwareVersion,
        now: Duration,
    ) -> VersionStanding {
        let state = self.services.get(service);
        let version = state.and_then(|state| state.versions.get(software));
        let Some(version) = version else {
            return VersionStanding::Young;
        };
        if version.settled_at.is_some_and(|at| now >= at) {
            return VersionStanding::Settled;
        }
        let is_young = |seen_at: Duration| now < seen_at + YOUNG_TIME;
        if version.seen_at.is_none_or(is_young) {
            VersionStanding::Young
        } else {
            VersionStanding::Known
        }
    }

    /// Records that the fleet's topic should hold at `now`, which is `unix` by the
    /// machine's clock, where it holds something else.
    pub fn records_due(
        &self,
        now: Duration,
        unix: UnixMillis,
    ) -> Vec<(ServiceName, ServiceVersions)> {
        let mut due = Vec::new();
        for service in self.services.keys() {
            let record = self.record_due(service, now, unix);
            due.extend(record.map(|record| (service.clone(), record)));
        }
        due
    }

    /// The record of `service` that the fleet's topic should hold at `now`; `None` if it
    /// holds it, or has not been read.
    pub fn record_due(
        &self,
        service: &ServiceName,
        now: Duration,
        unix: UnixMillis,
    ) -> Option<ServiceVersions> {
        let state = self.services.get(service).filter(|_state| self.is_read)?;
        let record = state.record(now, unix);
        let recorded = state.recorded.as_ref();
        let is_new = recorded.is_none_or(|recorded| !recorded.says_the_same(&record));
        (is_new && !record.versions.is_empty()).then_some(record)
    }

    /// Forgets versions whose streams are not taken up any more at `now`.
    pub fn expire(&mut self, now: Duration) {
        for state in self.services.values_mut() {
            state
                .versions
                .retain(|_software, version| version.is_remembered(now));
        }
    }
}

impl ServiceState {
    /// What the fleet's topic should hold. The end of a version that it holds stays.
    fn record(&self, now: Duration, unix: UnixMillis) -> ServiceVersions {
        let mut versions = Vec::new();
        for (software, state) in &self.versions {
            if !state.is_remembered(now) {
                continue;
            }
            let ended_at = state.gone_for(now).map(|gone| {
                let gone = u64::try_from(gone.as_millis()).unwrap_or(u64::MAX);
                UnixMillis::new(unix.get().saturating_sub(gone))
            });
            versions.push(VersionRecord {
                software: software.clone(),
                ended_at,
            });
        }
        ServiceVersions { versions }
    }
}

impl ServiceVersions {
    /// Whether the records agree on which versions there are and which have ended.
    /// Instances see the end at different times.
    fn says_the_same(&self, other: &Self) -> bool {
        let ended = |record: &Self| -> BTreeMap<SoftwareVersion, bool> {
            let versions = record.versions.iter();
            let versions =
                versions.map(|version| (version.software.clone(), version.ended_at.is_some()));
            versions.collect()
        };
        ended(self) == ended(other)
    }
}

/// Identifies a stream by the request id of the attempt that brought its first event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StreamKey(u64);

impl StreamKey {
    /// Identifies the stream of the request `id`.
    pub fn of(id: &str) -> Self {
        Self(stable_hash(&[id.as_bytes()]))
    }
}

/// Streams that one version of a service began.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamBatch {
    /// The service.
    pub service: ServiceName,
    /// The version; `None` if it is not known which process of a server began them.
    pub software: Option<SoftwareVersion>,
    /// The streams.
    pub streams: Vec<StreamKey>,
}

/// Which versions began streams.
#[derive(Clone, Debug, Default)]
pub struct StreamNotes {
    notes: HashMap<StreamKey, Option<SoftwareVersion>>,
    /// Streams and when they were noted, oldest first.
    order: VecDeque<(StreamKey, Duration)>,
}

impl StreamNotes {
    /// Number of noted streams.
    pub fn len(&self) -> usize {
        self.notes.len()
    }

    /// Whether no stream is noted.
    pub fn is_empty(&self) -> bool {
        self.notes.is_empty()
    }

    /// The version that began a stream: `None` if the stream is unknown, `Some(None)` if
    /// its version is not known.
    pub fn find(&self, stream: StreamKey) -> Option<&Option<SoftwareVersion>> {
        self.notes.get(&stream)
    }

    /// Notes at `now` which version began a stream. Notes that contradict each other make
    /// the version unknown.
    pub fn insert(&mut self, stream: StreamKey, software: Option<SoftwareVersion>, now: Duration) {
        if let Some(known) = self.notes.get_mut(&stream) {
            if *known != software {
                *known = None;
            }
            return;
        }
        self.notes.insert(stream, software);
        self.order.push_back((stream, now));
        let oldest = now.saturating_sub(VERSION_MEMORY);
        while self.order.len() > NOTE_LIMIT
            || self.order.front().is_some_and(|(_, at)| *at < oldest)
        {
            if let Some((stream, _at)) = self.order.pop_front() {
                self.notes.remove(&stream);
            }
        }
    }
}
