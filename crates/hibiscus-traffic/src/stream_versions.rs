//! Keeps streams that are taken up again at the software version that began them.
//!
//! [`StreamTracker`] follows the versions of the servers and the streams that began
//! here ([`hibiscus_request::stream_versions`]). While a service has servers of several
//! versions, or had them a short time ago, the instance tells the others by a topic of
//! the fleet which version began each stream that may still be taken up. [`run`] sends
//! these notes in batches. A request that takes a stream up goes on only at the version
//! that is known to have begun it, and is refused where this is not known.
//!
//! A version is concluded only from the process that responds ([`crate::process_state`]).
//! The notes also go to a few other instances, whether the service is mixed or not
//! ([`witnesses`]): an instance that carries streams may freeze or end before the others
//! need them.
//!
//! Streams begin only at versions that the topic of the versions holds. An instance that
//! knows one version of a service therefore reads that topic after the request has
//! arrived ([`VersionReads`]), before it takes the version for the one that began the
//! stream. However long it could not read the store or did not run, it learns of every
//! version that began a stream by then.

mod completeness;
pub mod take_up;
mod version_reads;
pub mod witnesses;

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::mpsc::SyncSender;
use std::time::Duration;
use std::time::Instant;

use hibiscus_events::EventCode;
use hibiscus_events::event;
use hibiscus_request::stream_versions::ServiceVersions;
use hibiscus_request::stream_versions::StreamBatch;
use hibiscus_request::stream_versions::StreamKey;
use hibiscus_request::stream_versions::StreamNotes;
use hibiscus_request::stream_versions::VERSION_MEMORY;
use hibiscus_request::stream_versions::VersionHistory;
use hibiscus_request::stream_versions::VersionStanding;
use hibiscus_request::stream_versions::held_notes::HeldNotes;
use hibiscus_types::ServiceName;
use hibiscus_types::SoftwareVersion;
use hibiscus_types::StoreEra;
use hibiscus_types::UnixMillis;
use metrics::gauge;
use tokio::sync::Notify;

use crate::model::ServerEntry;
use crate::state::TrafficState;
use crate::stream_versions::completeness::VersionsCompleteness;
pub use crate::stream_versions::version_reads::VersionReads;
use crate::wire_format::WireFormat;

/// Counts requests that take streams up again, by outcome.
pub const STREAM_TAKE_UPS: &str = "hibiscus_stream_take_ups_total";
/// Number of services of which several software versions may have begun streams.
pub const MIXED_SERVICES: &str = "hibiscus_mixed_services";
/// Number of streams of which the version is noted.
pub const NOTED_STREAMS: &str = "hibiscus_noted_streams";

/// Time without a successful read of the servers' entries after which other instances
/// may know versions that this one does not: a read waits 1.5 s and fails 0.9 s later.
const FRESHNESS_LIMIT: Duration = Duration::from_millis(2_600);
/// Minimum time between two batches of notes.
const MIN_BATCH_INTERVAL: Duration = Duration::from_millis(300);
/// Time between two batches for each instance, so that all together append at most 200
/// times a second.
const BATCH_INTERVAL_PER_INSTANCE: Duration = Duration::from_millis(5);
/// Subject by which the instance that maintains the topic of the versions is chosen.
const MAINTAINER_SUBJECT: &str = "versions";
/// Maximum number of streams of this instance to remember.
const OWN_STREAM_LIMIT: usize = 16_384;
/// Maximum number of streams in one batch: less than 200 KB.
const BATCH_LIMIT: usize = 16_384;

/// Servers that may get a request, by software version.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum VersionRule {
    /// Servers of any version.
    #[default]
    Any,
    /// Servers of this version.
    Only(SoftwareVersion),
    /// Servers of one of these versions, with a preference for those that other instances
    /// know.
    Begin(BTreeMap<SoftwareVersion, VersionStanding>),
}

impl VersionRule {
    /// Whether a server may get the request.
    pub fn allows(&self, entry: &ServerEntry) -> bool {
        match self {
            Self::Any => true,
            Self::Begin(versions) => versions.contains_key(&entry.software),
            Self::Only(software) => entry.software == *software,
        }
    }

    /// What other instances know of the version of a server that may get the request.
    pub fn standing(&self, entry: &ServerEntry) -> VersionStanding {
        let Self::Begin(versions) = self else {
            return VersionStanding::Settled;
        };
        let standing = versions.get(&entry.software).copied();
        standing.unwrap_or(VersionStanding::Young)
    }

    /// Whether the process that answers must be the one that wrote the entry.
    pub fn is_strict(&self) -> bool {
        matches!(self, Self::Only(_))
    }
}

/// A record for the topics of the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamRecord {
    /// The versions of a service.
    Versions(ServiceName, ServiceVersions),
    /// The era of the store in which the topic of the versions is complete.
    CompleteEra(StoreEra),
    /// Versions that began streams.
    Notes(Vec<StreamBatch>),
}

/// What was read from the topics of the fleet.
#[derive(Debug)]
pub enum StreamUpdate {
    /// The versions of all services, read from the start.
    AllVersions(Vec<(ServiceName, ServiceVersions)>),
    /// The versions of a service.
    Versions(ServiceName, ServiceVersions),
    /// A read of the topic of the versions that [`VersionReads`] requested by this number
    /// has succeeded in this era of the store; its records were sent before.
    VersionsConfirmed(u64, StoreEra),
    /// A read of the topic of the versions that [`VersionReads`] requested has failed.
    VersionsUnconfirmed,
    /// Versions that began streams.
    Notes(Vec<StreamBatch>),
    /// The era in which the topic of the versions is complete, as recorded, and the present
    /// one.
    VersionsCompleteEra(Option<StoreEra>, StoreEra),
    /// The store came back from a copy and is in this era, so the topic of the versions may
    /// lack records.
    VersionsRestored(StoreEra),
    /// The store came back from a copy, so the topic of the streams may lack notes.
    NotesRestored,
}

/// A stream that began here and is not complete.
#[derive(Clone, Debug)]
struct OwnStream {
    service: ServiceName,
    software: Option<SoftwareVersion>,
}

/// The beginning of a stream at a server.
#[derive(Debug)]
pub struct StreamStart {
    tracker: Rc<StreamTracker>,
    /// Whether the process that responds is the one that wrote the server's entry.
    is_verified: bool,
    is_noted: bool,
}

impl StreamStart {
    /// Prepares the note of a stream.
    pub fn new(tracker: Rc<StreamTracker>, is_verified: bool) -> Self {
        Self {
            tracker,
            is_verified,
            is_noted: false,
        }
    }

    /// Records an event of the stream of the request `id` from `server`. The first one
    /// counts.
    pub fn note_begun(&mut self, id: &str, server: &ServerEntry) {
        if !self.is_noted {
            self.is_noted = true;
            self.tracker.note_begun(id, server, self.is_verified);
        }
    }

    /// Records that the stream of the request `id` is complete.
    pub fn note_complete(&self, id: &str) {
        self.tracker.note_complete(id);
    }
}

/// What is known of the version that began a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
enum StreamOrigin {
    /// This version began the stream.
    Known(SoftwareVersion),
    /// It is not known which process of a server began the stream.
    Doubted,
    /// The stream is in no note, and this instance knows this version only.
    OnlyKnown(SoftwareVersion),
    /// The stream is in no note.
    Unknown,
}

/// Follows the versions of servers and of the streams that they began.
#[derive(Debug)]
pub struct StreamTracker {
    history: RefCell<VersionHistory>,
    notes: RefCell<StreamNotes>,
    own: RefCell<HashMap<StreamKey, OwnStream>>,
    /// Streams of `own`, oldest first.
    own_order: RefCell<VecDeque<(StreamKey, Duration)>>,
    /// Notes for the next batch.
    pending: RefCell<Vec<(StreamKey, ServiceName, Option<SoftwareVersion>)>>,
    has_pending: Notify,
    /// Notes for the next batch to the witnesses.
    unsent: RefCell<HashMap<StreamKey, (ServiceName, Option<SoftwareVersion>)>>,
    has_unsent: Notify,
    /// Notes of streams that other instances carry.
    held: RefCell<HeldNotes>,
    /// Notifies requests that notes of other instances or records of versions arrived.
    noted: Notify,
    /// Services that were mixed at the last look.
    mixed: RefCell<BTreeSet<ServiceName>>,
    /// Time at which the servers' entries were last read.
    entries_read_at: Cell<Option<Duration>>,
    version_reads: Arc<VersionReads>,
    /// Number of the last request for a read of the versions that was fulfilled.
    confirmed: Cell<u64>,
    completeness: VersionsCompleteness,
    outbox: SyncSender<StreamRecord>,
    started: Instant,
}

impl StreamTracker {
    /// An empty tracker, which sends records to `outbox` and requests reads of the topic of
    /// the versions by `version_reads`.
    pub fn new(outbox: SyncSender<StreamRecord>, version_reads: Arc<VersionReads>) -> Self {
        Self {
            started: Instant::now(),
            history: RefCell::default(),
            notes: RefCell::default(),
            own: RefCell::default(),
            own_order: RefCell::default(),
            pending: RefCell::default(),
            has_pending: Notify::new(),
            unsent: RefCell::default(),
            has_unsent: Notify::new(),
            held: RefCell::default(),
            noted: Notify::new(),
            mixed: RefCell::default(),
            entries_read_at: Cell::new(None),
            version_reads,
            confirmed: Cell::default(),
            completeness: VersionsCompleteness::default(),
            outbox,
        }
    }

    /// Records that the servers' entries were read at `now`.
    pub fn note_entries_read(&self, now: Duration) {
        self.entries_read_at.set(Some(now));
        self.noted.notify_waiters();
    }

    /// Whether the last read of the servers' entries has failed.
    fn entries_are_lost(&self) -> bool {
        self.entries_read_at.get().is_none()
    }

    /// Records that the servers' entries can't be read.
    pub fn note_entries_lost(&self) {
        self.entries_read_at.set(None);
        self.noted.notify_waiters();
    }

    /// Records that the entry of a server changed at `now` from `before` to `after`.
    pub fn note_entry(
        &self,
        before: Option<&ServerEntry>,
        after: Option<&ServerEntry>,
        now: Duration,
    ) {
        let mut history = self.history.borrow_mut();
        if let Some(entry) = after {
            history.note_server(&entry.service, &entry.software, now);
        }
        if let Some(entry) = before {
            history.note_server_gone(&entry.service, &entry.software, now);
        }
        drop(history);
        self.note_mixed(now);
    }

    /// Notes the streams of services that have become mixed at `now`.
    fn note_mixed(&self, now: Duration) {
        let mixed = self.history.borrow().mixed_services(now);
        let mixed: BTreeSet<_> = mixed.into_iter().collect();
        let before = self.mixed.replace(mixed.clone());
        for service in mixed.difference(&before) {
            let history = self.history.borrow();
            let versions: Vec<_> = history
                .versions(service, now)
                .map(SoftwareVersion::to_string)
                .collect();
            event!(
                EventCode::ServiceMixed,
                "service={service} versions={}",
                versions.join(",")
            );
            drop(history);
            self.note_own_streams(service);
            self.publish_all_held(service, now);
        }
        for service in before.difference(&mixed) {
            event!(EventCode::ServiceUniform, "service={service}");
        }
    }

    /// Notes the streams of `service` that began here and are not complete.
    fn note_own_streams(&self, service: &ServiceName) {
        let mut pending = self.pending.borrow_mut();
        for (stream, own) in self.own.borrow().iter() {
            if own.service == *service {
                pending.push((*stream, service.clone(), own.software.clone()));
            }
        }
        self.has_pending.notify_one();
    }

    /// Whether several versions of `service` may have begun streams.
    pub fn is_mixed(&self, service: &ServiceName) -> bool {
        self.mixed.borrow().contains(service)
    }

    /// Records that the stream of the request `id` began at `server`. `verified` is
    /// whether its process is known to be the one that wrote the entry.
    fn note_begun(&self, id: &str, server: &ServerEntry, verified: bool) {
        let now = self.started.elapsed();
        let stream = StreamKey::of(id);
        let software = verified.then(|| server.software.clone());
        let own = OwnStream {
            service: server.service.clone(),
            software: software.clone(),
        };
        self.own.borrow_mut().insert(stream, own);
        self.forget_old(stream, now);
        self.queue_for_witnesses(stream, &server.service, software.as_ref());
        // An instance that knows one version would take it for that of this stream.
        if software.is_none() || self.is_mixed(&server.service) {
            let note = (stream, server.service.clone(), software);
            self.pending.borrow_mut().push(note);
            self.has_pending.notify_one();
        }
    }

    /// Remembers the time of `stream`, and forgets streams that are too old.
    fn forget_old(&self, stream: StreamKey, now: Duration) {
        let mut order = self.own_order.borrow_mut();
        let mut own = self.own.borrow_mut();
        order.push_back((stream, now));
        while let Some((oldest, begun_at)) = order.front().copied() {
            let is_complete = !own.contains_key(&oldest);
            let is_old = now > begun_at + VERSION_MEMORY || own.len() > OWN_STREAM_LIMIT;
            if !is_complete && !is_old {
                break;
            }
            order.pop_front();
            own.remove(&oldest);
        }
    }

    /// Records that the stream of the request `id` is complete, so that nobody takes it up.
    fn note_complete(&self, id: &str) {
        let stream = StreamKey::of(id);
        self.own.borrow_mut().remove(&stream);
        self.unsent.borrow_mut().remove(&stream);
    }

    /// The servers of `service` at which new streams may begin at `now`: those of versions
    /// that the fleet's topic holds.
    pub fn rule_for_new(&self, service: &ServiceName, now: Duration) -> VersionRule {
        let history = self.history.borrow();
        let mut standings = BTreeMap::new();
        for software in history.versions(service, now) {
            if !history.is_recorded(service, software) {
                continue;
            }
            let standing = history.standing(service, software, now);
            standings.insert(software.clone(), standing);
        }
        VersionRule::Begin(standings)
    }

    /// Records the versions of `service` in the fleet's topic if it lacks one, whichever
    /// instance maintains the topic.
    fn record_versions(&self, service: &ServiceName, now: Duration) {
        let history = self.history.borrow();
        let record = history.record_due(service, now, UnixMillis::now());
        if let Some(record) = record {
            self.send(StreamRecord::Versions(service.clone(), record));
        }
    }

    /// What is known of the version that began `stream`.
    fn find(
        &self,
        service: &ServiceName,
        stream: Option<StreamKey>,
        now: Duration,
    ) -> StreamOrigin {
        let known = stream.and_then(|stream| {
            let own = self.own.borrow().get(&stream).cloned();
            own.map(|own| own.software)
                .or_else(|| self.notes.borrow().find(stream).cloned())
        });
        if let Some(software) = known {
            return software.map_or(StreamOrigin::Doubted, StreamOrigin::Known);
        }
        let history = self.history.borrow();
        let only = history.only_version(service, now).cloned();
        only.map_or(StreamOrigin::Unknown, StreamOrigin::OnlyKnown)
    }

    /// Whether the topic of the versions held all versions that had begun streams when the
    /// read with `number` was requested, and was read.
    fn is_confirmed(&self, number: u64, now: Duration) -> bool {
        self.confirmed.get() >= number && self.completeness.is_complete(now)
    }

    /// Records that the topic of the versions was read in `era` for the request `number`.
    fn note_confirmed(&self, number: u64, era: StoreEra, now: Duration) {
        self.completeness.note_read(era, now);
        self.confirmed.set(self.confirmed.get().max(number));
    }

    /// Whether this instance has read what others know, at `now`.
    fn is_fresh(&self, now: Duration) -> bool {
        let read_at = self.entries_read_at.get();
        let is_recent = read_at.is_some_and(|at| now < at + FRESHNESS_LIMIT);
        is_recent && self.history.borrow().is_read()
    }

    /// Time between two batches of notes in a fleet of `instances`.
    fn batch_interval(instances: u32) -> Duration {
        MIN_BATCH_INTERVAL.max(BATCH_INTERVAL_PER_INSTANCE * instances)
    }

    /// Takes the notes for the next batch, grouped by service and version.
    fn take_batches(&self, now: Duration) -> Vec<StreamBatch> {
        let mut pending = self.pending.borrow_mut();
        let count = pending.len().min(BATCH_LIMIT);
        let batches = group_notes(pending.drain(..count));
        drop(pending);
        self.merge_notes(&batches, now);
        batches
    }

    fn merge_notes(&self, batches: &[StreamBatch], now: Duration) {
        let mut notes = self.notes.borrow_mut();
        for batch in batches {
            for stream in &batch.streams {
                notes.insert(*stream, batch.software.clone(), now);
            }
        }
        drop(notes);
        self.noted.notify_waiters();
    }

    /// Applies what was read from the topics of the fleet at `now`.
    pub fn apply_update(&self, update: StreamUpdate, now: Duration) {
        let unix = UnixMillis::now();
        match update {
            StreamUpdate::AllVersions(services) => {
                let mut history = self.history.borrow_mut();
                let is_first = !history.is_read();
                for (service, record) in services {
                    history.apply_record(&service, record, is_first, now, unix);
                }
                history.note_read();
            }
            StreamUpdate::Versions(service, record) => {
                let mut history = self.history.borrow_mut();
                history.apply_record(&service, record, false, now, unix);
            }
            StreamUpdate::VersionsConfirmed(number, era) => self.note_confirmed(number, era, now),
            StreamUpdate::VersionsUnconfirmed => {}
            StreamUpdate::Notes(batches) => {
                let mut held = self.held.borrow_mut();
                for batch in &batches {
                    held.note_published(batch);
                }
                drop(held);
                self.merge_notes(&batches, now);
            }
            StreamUpdate::VersionsCompleteEra(recorded, era) => {
                self.completeness.note_recorded(recorded, era, now);
            }
            StreamUpdate::VersionsRestored(era) => {
                self.history.borrow_mut().forget_recorded();
                self.completeness.note_restored(era, now);
            }
            StreamUpdate::NotesRestored => {
                self.held.borrow_mut().forget_published();
                for service in self.mixed.borrow().iter() {
                    self.note_own_streams(service);
                }
            }
        }
        self.note_mixed(now);
        self.noted.notify_waiters();
    }

    /// Appends records of versions that the topic lacks if this instance `maintains`
    /// the topic, and forgets old versions.
    pub fn tick(&self, maintains: bool, now: Duration) {
        self.note_mixed(now);
        self.publish_missing(now);
        self.history.borrow_mut().expire(now);
        if !maintains {
            return;
        }
        for (service, record) in self.history.borrow().records_due(now, UnixMillis::now()) {
            self.send(StreamRecord::Versions(service, record));
        }
        // It follows the versions in the queue, so that it never stands before them.
        if let Some(era) = self.completeness.record_due(now) {
            self.send(StreamRecord::CompleteEra(era));
        }
    }

    /// Publishes levels as metrics.
    pub fn show_levels(&self) {
        gauge!(MIXED_SERVICES).set(self.mixed.borrow().len() as f64);
        gauge!(NOTED_STREAMS).set(self.notes.borrow().len() as f64);
    }

    fn send(&self, record: StreamRecord) {
        if self.outbox.try_send(record).is_err() {
            event!(EventCode::StreamNotesLost, "cause=ring_full");
        }
    }
}

/// Groups notes of streams by service and version.
fn group_notes(
    notes: impl Iterator<Item = (StreamKey, ServiceName, Option<SoftwareVersion>)>,
) -> Vec<StreamBatch> {
    let mut grouped: BTreeMap<_, Vec<_>> = BTreeMap::new();
    for (stream, service, software) in notes {
        grouped.entry((service, software)).or_default().push(stream);
    }
    let mut batches = Vec::with_capacity(grouped.len());
    for ((service, software), streams) in grouped {
        batches.push(StreamBatch {
            service,
            software,
            streams,
        });
    }
    batches
}

/// Sends notes of streams to the other instances until the runtime stops.
pub async fn run<D: WireFormat>(state: Rc<TrafficState<D>>) {
    loop {
        state.streams.has_pending.notified().await;
        loop {
            let batches = state.streams.take_batches(state.now());
            if batches.is_empty() {
                break;
            }
            state.streams.send(StreamRecord::Notes(batches));
            let instances = state.directory.borrow().live_count();
            tokio::time::sleep(StreamTracker::batch_interval(instances)).await;
        }
    }
}
