//! Tracks requests that were running when servers crashed.
//!
//! [`SuspectTracker`] holds the crash reports ([`hibiscus_request::suspects`]).
//! They spread in two ways. Over the peer link ([`run`]) each instance forwards
//! what is new to it to a few contacts, which takes milliseconds and needs no
//! store, so that a crash costs each instance one message to each of its few
//! contacts. Reports on requests are also appended to a topic of the fleet, which
//! outlives all processes. Draining servers are announced over the link too.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::mpsc::SyncSender;
use std::time::Duration;
use std::time::Instant;

use hibiscus_events::EventCode;
use hibiscus_events::event;
use hibiscus_request::fingerprint::RequestFingerprint;
use hibiscus_request::prompt_parts::PartId;
use hibiscus_request::prompt_parts::suspension::StoredPart;
use hibiscus_request::suspects::CrashReport;
use hibiscus_request::suspects::CrashSummary;
use hibiscus_request::suspects::CrashTable;
use hibiscus_request::suspects::ServerProcess;
use hibiscus_request::suspects::SuspectRecord;
use hibiscus_types::InstanceName;
use hibiscus_types::UnixMillis;
use metrics::counter;
use metrics::gauge;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::Notify;

use crate::crash_detector::CrashCandidate;
use crate::crash_detector::RequestIdentity;
use crate::model::ServerIncarnation;
use crate::notices;
use crate::part_tracker::PartNotice;
use crate::part_tracker::PartRecord;
use crate::peers::PeerRequest;
use crate::servers::ServerHandle;
use crate::state::TrafficState;
use crate::wire_format::WireFormat;

/// Counts suspected requests by what was decided about them.
pub const SUSPECT_REQUESTS: &str = "hibiscus_suspect_requests_total";
/// Number of suspected requests that are tracked.
pub const SUSPECTS: &str = "hibiscus_suspects";

/// Maximum number of items of each kind in one message: less than 20 KB.
const NOTICE_ITEM_LIMIT: usize = 100;
/// Maximum number of items queued for the link; the topic holds what is dropped.
const QUEUED_ITEM_LIMIT: usize = 10_000;
/// Pause after a message, so that items found at the same moment are sent
/// together.
const NOTICE_PAUSE: Duration = Duration::from_millis(20);
/// Time after which the maintainer of the topic appends reports that it does not
/// hold: the instance that detected the crash may have been killed.
const APPEND_TAKEOVER_DELAY: Duration = Duration::from_secs(5);
/// Subject by which the instance that maintains the topic is chosen.
const MAINTAINER_SUBJECT: &str = "suspects";

/// Whether a request may be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SuspectStatus {
    /// No server is known to have crashed while it ran the request.
    Clear,
    /// Servers crashed while they ran the request: it may be sent to one server.
    Suspect(CrashSummary),
    /// The request is quarantined and must not be sent.
    Quarantined(CrashSummary),
}

impl SuspectStatus {
    /// Number of known rounds of crashes.
    pub fn rounds(&self) -> u8 {
        match self {
            Self::Clear => 0,
            Self::Suspect(summary) | Self::Quarantined(summary) => summary.rounds,
        }
    }
}

/// What instances report to each other about crashed and draining servers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashNotice {
    /// Servers whose ports were found closed.
    pub servers: Vec<ServerIncarnation>,
    /// Changes to the crash reports.
    pub suspects: Vec<SuspectRecord>,
    /// Servers that announced that they are draining.
    pub draining: Vec<ServerIncarnation>,
}

impl CrashNotice {
    fn is_empty(&self) -> bool {
        self.servers.is_empty() && self.suspects.is_empty() && self.draining.is_empty()
    }
}

/// A record of the topic of the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TopicRecord {
    /// A request under which a server crashed.
    Suspect(SuspectRecord),
    /// A part of prompts that servers crashed with.
    Part(PartRecord),
}

/// What was read from the topic of the fleet.
#[derive(Debug)]
pub enum SuspectUpdate {
    /// All that the topic holds, read again from the start.
    Snapshot {
        /// Requests under which servers crashed.
        reports: Vec<CrashReport>,
        /// Parts of prompts that servers crashed with.
        parts: Vec<StoredPart>,
    },
    /// A record that was appended to the topic.
    Appended(TopicRecord),
    /// The store came back from a copy, so the topic may lack records that it held.
    TopicRestored,
}

/// Tracks the requests that were running when servers crashed.
#[derive(Debug)]
pub struct SuspectTracker {
    own: InstanceName,
    crashes: RefCell<CrashTable>,
    queued: RefCell<CrashNotice>,
    has_queued: Notify,
    outbox: SyncSender<Vec<TopicRecord>>,
}

impl SuspectTracker {
    /// An empty tracker of the instance `own`, which sends new records to `outbox`.
    pub fn new(own: InstanceName, outbox: SyncSender<Vec<TopicRecord>>) -> Self {
        Self {
            own,
            crashes: RefCell::default(),
            queued: RefCell::default(),
            has_queued: Notify::new(),
            outbox,
        }
    }

    /// Returns whether a request may be sent. Its body is hashed only if a suspect
    /// has the same team, path and length.
    pub fn status(&self, identity: &RequestIdentity) -> SuspectStatus {
        let crashes = self.crashes.borrow();
        if crashes.is_empty() || !crashes.may_contain(identity.coarse()) {
            return SuspectStatus::Clear;
        }
        match crashes.summary(&identity.fingerprint(), UnixMillis::now()) {
            None => SuspectStatus::Clear,
            Some(summary) if summary.quarantined_until.is_some() => {
                SuspectStatus::Quarantined(summary)
            }
            Some(summary) => SuspectStatus::Suspect(summary),
        }
    }

    /// Records that `server` crashed at `now` while it ran `requests`.
    pub fn note_crash(&self, server: &ServerHandle, requests: &[CrashCandidate], now: Duration) {
        let entry = &server.entry;
        let process = ServerProcess::of(&entry.name, entry.started);
        let mut records = Vec::with_capacity(requests.len());
        if self.crashes.borrow_mut().note_crash(process, now) {
            self.queued.borrow_mut().servers.push(entry.incarnation());
            self.has_queued.notify_one();
        }
        for request in requests {
            let fingerprint = request.fingerprint();
            let mut crashes = self.crashes.borrow_mut();
            let report = CrashReport {
                fingerprint,
                server: entry.name.clone(),
                started: entry.started,
                known_rounds: request.known_rounds,
                isolated: crashes.is_isolated(&fingerprint, process, now),
                reporter: self.own.clone(),
                seen: UnixMillis::now(),
            };
            let before = crashes.summary(&fingerprint, report.seen);
            event!(
                EventCode::RequestAtEnd,
                "request={} server={} print={fingerprint} bytes={} sent_ms={} known_rounds={} servers_before={} alone={} parts={} head_ms={} begun_ms={}",
                request.id,
                entry.name,
                request.bytes(),
                request.sent.elapsed().as_millis(),
                request.known_rounds,
                before.map_or(0, |summary| summary.servers),
                report.isolated,
                format_parts(&request.prompt.parts),
                format_age(request.head_at),
                format_age(request.begun_at)
            );
            if crashes.merge(report.clone(), now) {
                records.push(SuspectRecord::Crashed(report));
            }
        }
        self.append(records.clone());
        self.enqueue(records);
    }

    /// Queues a notice that the server process `start` is draining.
    pub fn note_draining(&self, start: ServerIncarnation) {
        self.queued.borrow_mut().draining.push(start);
        self.has_queued.notify_one();
    }

    /// Clears a request that got a response, which proves that it crashes no
    /// servers.
    pub fn note_response(&self, id: &str, fingerprint: &RequestFingerprint) {
        let keys = self.crashes.borrow_mut().clear(fingerprint);
        if keys.is_empty() {
            return;
        }
        counter!(SUSPECT_REQUESTS, "verdict" => "cleared").increment(1);
        event!(
            EventCode::SuspectCleared,
            "request={id} print={fingerprint} servers={}",
            keys.len()
        );
        let records: Vec<_> = keys.into_iter().map(SuspectRecord::Removed).collect();
        self.append(records.clone());
        self.enqueue(records);
    }

    /// Merges a notice from another instance at `now`; returns the crashed servers
    /// that were not known here.
    pub fn merge_notice(&self, notice: &CrashNotice, now: Duration) -> Vec<ServerIncarnation> {
        let mut servers = Vec::new();
        for closed in &notice.servers {
            let process = ServerProcess::of(&closed.server, closed.started);
            if self.crashes.borrow_mut().note_crash(process, now) {
                servers.push(closed.clone());
            }
        }
        self.queued.borrow_mut().servers.extend_from_slice(&servers);
        let mut suspects = notice.suspects.clone();
        suspects.retain(|item| self.merge(item, "instance", now));
        self.queued.borrow_mut().suspects.extend(suspects);
        self.has_queued.notify_one();
        servers
    }

    /// Whether the server process `start` is known to have crashed recently.
    pub fn has_crashed(&self, start: &ServerIncarnation) -> bool {
        let process = ServerProcess::of(&start.server, start.started);
        self.crashes.borrow().has_crashed(process)
    }

    /// Records that the topic may have lost reports that it held.
    pub fn forget_stored(&self) {
        self.crashes.borrow_mut().forget_stored();
    }

    /// Applies all reports of the topic, read at `now`. `maintains` is whether this
    /// instance maintains the topic.
    pub fn apply_snapshot(&self, reports: Vec<CrashReport>, maintains: bool, now: Duration) {
        let listed: BTreeSet<_> = reports.iter().map(CrashReport::key).collect();
        for report in reports {
            self.apply_record(SuspectRecord::Crashed(report), maintains, now);
        }
        self.crashes.borrow_mut().retain_stored(&listed);
    }

    /// Applies a record of the topic, read at `now`. `maintains` is whether this
    /// instance maintains the topic.
    pub fn apply_record(&self, record: SuspectRecord, maintains: bool, now: Duration) {
        let key = record.key();
        let _new = self.merge(&record, "topic", now);
        if let SuspectRecord::Removed(_) = record {
            return;
        }
        let mut crashes = self.crashes.borrow_mut();
        crashes.note_stored(&key);
        // A late append has restored a report that was removed.
        let is_late = crashes.was_removed(&key);
        drop(crashes);
        if is_late && maintains {
            self.append(vec![SuspectRecord::Removed(key)]);
        }
    }

    /// Merges one record; returns whether it was new.
    fn merge(&self, record: &SuspectRecord, source: &str, now: Duration) -> bool {
        let mut crashes = self.crashes.borrow_mut();
        let report = match record {
            SuspectRecord::Removed(key) => return crashes.remove_report(key),
            SuspectRecord::Crashed(report) => report,
        };
        if !crashes.merge(report.clone(), now) {
            return false;
        }
        event!(
            EventCode::SuspectLearned,
            "print={} server={} known_rounds={} reporter={} source={source} age_ms={}",
            report.fingerprint,
            report.server,
            report.known_rounds,
            report.reporter,
            UnixMillis::now().since(report.seen).as_millis()
        );
        true
    }

    /// Removes expired reports. If this instance `maintains` the topic, also
    /// appends reports that their reporters did not append.
    pub fn tick(&self, maintains: bool, now: Duration) {
        let expired = self.crashes.borrow_mut().expire(UnixMillis::now());
        gauge!(SUSPECTS).set(self.crashes.borrow().len() as f64);
        if !expired.is_empty() {
            event!(EventCode::SuspectsExpired, "ends={}", expired.len());
        }
        if !maintains {
            return;
        }
        let mut records: Vec<_> = expired.into_iter().map(SuspectRecord::Removed).collect();
        let before = now.saturating_sub(APPEND_TAKEOVER_DELAY);
        let missing = self.crashes.borrow().not_stored(before);
        records.extend(missing.into_iter().map(SuspectRecord::Crashed));
        self.append(records);
    }

    /// Appends `records` to the topic. If the ring is full they are lost: the tick
    /// appends missing reports again, and the next response removes others again.
    fn append(&self, records: Vec<SuspectRecord>) {
        if records.is_empty() {
            return;
        }
        let count = records.len();
        let records = records.into_iter().map(TopicRecord::Suspect).collect();
        if self.outbox.try_send(records).is_err() {
            event!(
                EventCode::SuspectsNotStored,
                "records={count} cause=ring_full"
            );
        }
    }

    fn enqueue(&self, records: Vec<SuspectRecord>) {
        if records.is_empty() {
            return;
        }
        self.queued.borrow_mut().suspects.extend(records);
        self.has_queued.notify_one();
    }

    /// Takes the next notice for the contacts from the queue.
    fn next_notice(&self) -> CrashNotice {
        let mut queued = self.queued.borrow_mut();
        CrashNotice {
            servers: dequeue(&mut queued.servers),
            suspects: dequeue(&mut queued.suspects),
            draining: dequeue(&mut queued.draining),
        }
    }
}

/// Formats the identifiers of parts in hexadecimal, separated by commas.
fn format_parts(parts: &[PartId]) -> String {
    let parts: Vec<_> = parts.iter().map(PartId::to_string).collect();
    parts.join(",")
}

/// Formats the milliseconds since `at`; `none` if it has not happened.
fn format_age(at: Option<Instant>) -> String {
    at.map_or_else(
        || "none".to_owned(),
        |at| at.elapsed().as_millis().to_string(),
    )
}

/// Takes the first items out of `queued`; items beyond the limit are dropped.
fn dequeue<T>(queued: &mut Vec<T>) -> Vec<T> {
    let surplus = queued.len().saturating_sub(QUEUED_ITEM_LIMIT);
    queued.drain(..surplus);
    let count = queued.len().min(NOTICE_ITEM_LIMIT);
    queued.drain(..count).collect()
}

impl<D: WireFormat> TrafficState<D> {
    /// Marks the server process `start` as draining, as reported by `source`: this
    /// instance sends it no new requests, and the other instances are notified.
    pub fn note_draining(&self, start: &ServerIncarnation, source: &str) {
        if !self.servers.borrow_mut().note_draining(start) {
            return;
        }
        event!(
            EventCode::ServerLeaving,
            "server={} started={} source={source}",
            start.server,
            start.started
        );
        self.suspects.note_draining(start.clone());
    }

    /// Applies a notice from another instance about crashed and draining servers.
    pub fn apply_crash_notice(&self, notice: &CrashNotice) {
        for start in &notice.draining {
            self.note_draining(start, "instance");
        }
        let servers = self.suspects.merge_notice(notice, self.now());
        if !servers.is_empty() {
            self.crash_detector.note_crash();
        }
        let pool = self.servers.borrow();
        for closed in servers {
            let Some(server) = pool.find(&closed.server, closed.started) else {
                continue;
            };
            event!(
                EventCode::ServerEndLearned,
                "server={} started={}",
                closed.server,
                closed.started
            );
            server.note_closed();
        }
    }

    /// Applies what was read from the topic of suspects.
    pub fn apply_suspect_update(&self, update: SuspectUpdate) {
        let (maintains, now) = (self.maintains_suspects(), self.now());
        match update {
            SuspectUpdate::Snapshot { reports, parts } => {
                self.suspects.apply_snapshot(reports, maintains, now);
                self.parts.apply_snapshot(parts, now);
                self.startup.note_suspects();
            }
            SuspectUpdate::Appended(TopicRecord::Suspect(record)) => {
                self.suspects.apply_record(record, maintains, now);
            }
            SuspectUpdate::Appended(TopicRecord::Part(record)) => {
                self.parts.apply_record(&record, now);
            }
            SuspectUpdate::TopicRestored => {
                self.suspects.forget_stored();
                self.parts.forget_stored();
            }
        }
    }

    /// Applies a notice from another instance about prompts at servers that crashed.
    pub fn apply_part_notice(&self, notice: &PartNotice) {
        self.parts.merge_notice(notice, self.now());
        self.review_parts();
    }

    /// Condemns parts of prompts that the known crashes speak against.
    pub fn review_parts(&self) {
        let instances = self.directory.borrow().live_count();
        self.parts.review(self.maintains_suspects(), instances);
    }

    /// Condemns parts, and repeats what the topic of suspects lacks.
    pub fn tick_parts(&self) {
        let instances = self.directory.borrow().live_count();
        self.parts
            .tick(self.maintains_suspects(), instances, self.now());
    }

    /// Whether this instance maintains the topic of suspects.
    pub fn maintains_suspects(&self) -> bool {
        self.directory.borrow().is_first_for(MAINTAINER_SUBJECT)
    }
}

/// Logs that the request `id` is suspected, or refused by quarantine.
pub fn log_suspect_status(id: &str, fingerprint: &RequestFingerprint, status: &SuspectStatus) {
    let (code, verdict, summary) = match status {
        SuspectStatus::Clear => return,
        SuspectStatus::Suspect(summary) => (EventCode::RequestSuspect, "suspect", summary),
        SuspectStatus::Quarantined(summary) => (EventCode::RequestCondemned, "condemned", summary),
    };
    counter!(SUSPECT_REQUESTS, "verdict" => verdict).increment(1);
    let now = UnixMillis::now();
    event!(
        code,
        "request={id} print={fingerprint} servers={} rounds={} newest_server={} reporter={} age_ms={} released_s={}",
        summary.servers,
        summary.rounds,
        summary.newest.server,
        summary.newest.reporter,
        now.since(summary.newest.seen).as_millis(),
        summary
            .quarantined_until
            .map_or(0, |at| at.since(now).as_secs())
    );
}

/// Sends notices over the peer link until the runtime stops.
pub async fn run<D: WireFormat>(state: Rc<TrafficState<D>>) {
    loop {
        let notice = state.suspects.next_notice();
        if notice.is_empty() {
            state.suspects.has_queued.notified().await;
            continue;
        }
        let counts = (
            notice.servers.len(),
            notice.suspects.len(),
            notice.draining.len(),
        );
        notices::send_to_contacts(&state, PeerRequest::Crashes(notice), move |contact| {
            let (servers, suspects, leaving) = counts;
            event!(
                EventCode::SuspectsNotTold,
                "peer={contact} servers={servers} suspects={suspects} leaving={leaving}"
            );
        });
        tokio::time::sleep(NOTICE_PAUSE).await;
    }
}
