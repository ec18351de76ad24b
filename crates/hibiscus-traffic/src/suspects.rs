//! Servers that ended, and the requests under which they did.
//!
//! Servers that say that they leave are told in the same way.
//!
//! [`SuspectTracker`] holds the book ([`hibiscus_request::suspects`]). News go two
//! ways: over the link from neighbour to neighbour ([`run`]), which takes
//! milliseconds and needs no store, and those of requests into a topic of the
//! fleet, which outlives all processes. Whoever learns something new passes it
//! on, so a server's end costs each instance a message to each of its few
//! contacts.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::mpsc::SyncSender;
use std::time::Duration;

use hibiscus_events::EventCode;
use hibiscus_events::event;
use hibiscus_request::fingerprint::RequestFingerprint;
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
use crate::peers;
use crate::servers::ServerHandle;
use crate::state::TrafficState;
use crate::wire_format::WireFormat;

/// Requests under which servers ended, by what became of them.
pub const SUSPECT_REQUESTS: &str = "hibiscus_suspect_requests_total";
/// Requests in the book.
pub const SUSPECTS: &str = "hibiscus_suspects";

/// News of each kind in one message over the link: less than 20 KB.
const NEWS_LIMIT: usize = 100;
/// News that wait to be passed on over the link; the topic has what is lost.
const WAITING_LIMIT: usize = 10_000;
/// Pause after a message, so that what is found at the same moment goes
/// together.
const NEWS_PAUSE: Duration = Duration::from_millis(20);
/// Pause before an instance that did not answer is told once more.
const REPEAT_PAUSE: Duration = Duration::from_millis(200);
/// Time after which another instance appends what the topic does not hold: the
/// one that saw the server end may have been killed.
const STORE_TIME: Duration = Duration::from_secs(5);
/// Subject by which one instance is chosen for that.
const STORE_SUBJECT: &str = "suspects";

/// What a request that is to be sent is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SuspectStatus {
    /// Nothing is known against it.
    Clear,
    /// Servers ended under it: it may be sent to one server.
    Suspect(CrashSummary),
    /// It must not be sent.
    Quarantined(CrashSummary),
}

impl SuspectStatus {
    /// Rounds of ends that are known.
    pub fn rounds(&self) -> u8 {
        match self {
            Self::Clear => 0,
            Self::Suspect(case) | Self::Quarantined(case) => case.rounds,
        }
    }
}

/// What instances tell each other of servers that ended or leave.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashNotice {
    /// Servers whose ports were found closed.
    pub servers: Vec<ServerIncarnation>,
    /// The requests under which servers ended.
    pub suspects: Vec<SuspectRecord>,
    /// Servers that said that they leave.
    pub draining: Vec<ServerIncarnation>,
}

impl CrashNotice {
    fn is_empty(&self) -> bool {
        self.servers.is_empty() && self.suspects.is_empty() && self.draining.is_empty()
    }
}

/// What the topic of the fleet holds.
#[derive(Debug)]
pub enum SuspectUpdate {
    /// All of it, read anew.
    Whole(Vec<CrashReport>),
    /// A record that was appended.
    Appended(SuspectRecord),
}

/// Holds the requests under which servers ended.
#[derive(Debug)]
pub struct SuspectTracker {
    own: InstanceName,
    book: RefCell<CrashTable>,
    waiting: RefCell<CrashNotice>,
    has_news: Notify,
    outbox: SyncSender<Vec<SuspectRecord>>,
}

impl SuspectTracker {
    /// The empty desk of the instance `own`, whose records go to `outbox`.
    pub fn new(own: InstanceName, outbox: SyncSender<Vec<SuspectRecord>>) -> Self {
        Self {
            own,
            book: RefCell::default(),
            waiting: RefCell::default(),
            has_news: Notify::new(),
            outbox,
        }
    }

    /// What is known against a request. Its body is read only when others of
    /// its team, path and length are known.
    pub fn status(&self, identity: &RequestIdentity) -> SuspectStatus {
        let book = self.book.borrow();
        if book.is_empty() || !book.may_hold(identity.coarse()) {
            return SuspectStatus::Clear;
        }
        match book.case(&identity.fingerprint(), UnixMillis::now()) {
            None => SuspectStatus::Clear,
            Some(case) if case.released.is_some() => SuspectStatus::Quarantined(case),
            Some(case) => SuspectStatus::Suspect(case),
        }
    }

    /// `server` ended at `now` under `requests`.
    pub fn note_crash(&self, server: &ServerHandle, requests: &[CrashCandidate], now: Duration) {
        let entry = &server.entry;
        let process = ServerProcess::of(&entry.name, entry.started);
        let mut news = Vec::with_capacity(requests.len());
        if self.book.borrow_mut().note_crash(process, now) {
            self.waiting.borrow_mut().servers.push(entry.incarnation());
            self.has_news.notify_one();
        }
        for request in requests {
            let fingerprint = request.fingerprint();
            let mut book = self.book.borrow_mut();
            let evidence = CrashReport {
                fingerprint,
                server: entry.name.clone(),
                started: entry.started,
                known: request.known,
                alone: book.is_alone(&fingerprint, process, now),
                reporter: self.own.clone(),
                seen: UnixMillis::now(),
            };
            let before = book.case(&fingerprint, evidence.seen);
            event!(
                EventCode::RequestAtEnd,
                "request={} server={} print={fingerprint} bytes={} sent_ms={} known_rounds={} servers_before={} alone={}",
                request.id,
                entry.name,
                request.bytes(),
                request.sent.elapsed().as_millis(),
                request.known,
                before.map_or(0, |case| case.servers),
                evidence.alone
            );
            if book.take(evidence.clone(), now) {
                news.push(SuspectRecord::Crashed(evidence));
            }
        }
        self.store(news.clone());
        self.pass_on(news);
    }

    /// The process `start` of a server leaves, which was not known here.
    pub fn note_draining(&self, start: ServerIncarnation) {
        self.waiting.borrow_mut().draining.push(start);
        self.has_news.notify_one();
    }

    /// The request was answered, so it ends no servers.
    pub fn note_response(&self, id: &str, fingerprint: &RequestFingerprint) {
        let keys = self.book.borrow_mut().clear(fingerprint);
        if keys.is_empty() {
            return;
        }
        counter!(SUSPECT_REQUESTS, "verdict" => "cleared").increment(1);
        event!(
            EventCode::SuspectCleared,
            "request={id} print={fingerprint} servers={}",
            keys.len()
        );
        let news: Vec<_> = keys.into_iter().map(SuspectRecord::Removed).collect();
        self.store(news.clone());
        self.pass_on(news);
    }

    /// Takes over at `now` what another instance tells; the servers of which
    /// nothing was known.
    pub fn take_news(&self, news: &CrashNotice, now: Duration) -> Vec<ServerIncarnation> {
        let mut servers = Vec::new();
        for closed in &news.servers {
            let process = ServerProcess::of(&closed.server, closed.started);
            if self.book.borrow_mut().note_crash(process, now) {
                servers.push(closed.clone());
            }
        }
        self.waiting
            .borrow_mut()
            .servers
            .extend_from_slice(&servers);
        let mut suspects = news.suspects.clone();
        suspects.retain(|item| self.take(item, "instance", now));
        self.waiting.borrow_mut().suspects.extend(suspects);
        self.has_news.notify_one();
        servers
    }

    /// Takes over at `now` what the topic holds. `keeps` says whether this
    /// instance keeps the topic tidy.
    pub fn take_stored(&self, update: SuspectUpdate, keeps: bool, now: Duration) {
        match update {
            SuspectUpdate::Whole(records) => {
                let listed: BTreeSet<_> = records.iter().map(CrashReport::key).collect();
                for evidence in records {
                    self.take_record(SuspectRecord::Crashed(evidence), keeps, now);
                }
                self.book.borrow_mut().keep_stored(&listed);
            }
            SuspectUpdate::Appended(news) => self.take_record(news, keeps, now),
        }
    }

    fn take_record(&self, record: SuspectRecord, keeps: bool, now: Duration) {
        let key = record.key();
        let _new = self.take(&record, "topic", now);
        if let SuspectRecord::Removed(_) = record {
            return;
        }
        let mut book = self.book.borrow_mut();
        book.note_stored(&key);
        // A late append brought back what had been dropped.
        let is_late = book.was_dropped(&key);
        drop(book);
        if is_late && keeps {
            self.store(vec![SuspectRecord::Removed(key)]);
        }
    }

    /// Takes one piece of news over; whether it was new.
    fn take(&self, news: &SuspectRecord, source: &str, now: Duration) -> bool {
        let mut book = self.book.borrow_mut();
        let evidence = match news {
            SuspectRecord::Removed(key) => return book.drop_end(key),
            SuspectRecord::Crashed(evidence) => evidence,
        };
        if !book.take(evidence.clone(), now) {
            return false;
        }
        event!(
            EventCode::SuspectLearned,
            "print={} server={} known_rounds={} reporter={} source={source} age_ms={}",
            evidence.fingerprint,
            evidence.server,
            evidence.known,
            evidence.reporter,
            UnixMillis::now().since(evidence.seen).as_millis()
        );
        true
    }

    /// Lets time pass: forgets what is old, and appends what whoever saw it did
    /// not, if this instance `keeps` the topic.
    pub fn tick(&self, keeps: bool, now: Duration) {
        let expired = self.book.borrow_mut().expire(UnixMillis::now());
        gauge!(SUSPECTS).set(self.book.borrow().len() as f64);
        if !expired.is_empty() {
            event!(EventCode::SuspectsExpired, "ends={}", expired.len());
        }
        if !keeps {
            return;
        }
        let mut news: Vec<_> = expired.into_iter().map(SuspectRecord::Removed).collect();
        let before = now.saturating_sub(STORE_TIME);
        let missing = self.book.borrow().not_stored(before);
        news.extend(missing.into_iter().map(SuspectRecord::Crashed));
        self.store(news);
    }

    /// Appends `news` to the topic. A full ring loses them: the tick repeats
    /// ends that the topic does not hold, and the next answer drops others.
    fn store(&self, news: Vec<SuspectRecord>) {
        if news.is_empty() {
            return;
        }
        let count = news.len();
        if self.outbox.try_send(news).is_err() {
            event!(
                EventCode::SuspectsNotStored,
                "records={count} cause=ring_full"
            );
        }
    }

    fn pass_on(&self, news: Vec<SuspectRecord>) {
        if news.is_empty() {
            return;
        }
        self.waiting.borrow_mut().suspects.extend(news);
        self.has_news.notify_one();
    }

    /// The next news for the contacts.
    fn next_news(&self) -> CrashNotice {
        let mut waiting = self.waiting.borrow_mut();
        CrashNotice {
            servers: take_first(&mut waiting.servers),
            suspects: take_first(&mut waiting.suspects),
            draining: take_first(&mut waiting.draining),
        }
    }
}

/// Takes the first news out of `waiting`; surplus ones are lost.
fn take_first<T>(waiting: &mut Vec<T>) -> Vec<T> {
    let surplus = waiting.len().saturating_sub(WAITING_LIMIT);
    waiting.drain(..surplus);
    let count = waiting.len().min(NEWS_LIMIT);
    waiting.drain(..count).collect()
}

impl<D: WireFormat> TrafficState<D> {
    /// The process `start` of a server leaves, as `source` tells: it gets
    /// nothing new from here, and the other instances learn it.
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

    /// Takes over what another instance tells of servers that ended or leave.
    pub fn apply_crash_notice(&self, news: &CrashNotice) {
        for start in &news.draining {
            self.note_draining(start, "instance");
        }
        let servers = self.suspects.take_news(news, self.now());
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

    /// Whether this instance keeps the topic of suspects tidy.
    pub fn maintains_suspects(&self) -> bool {
        self.directory.borrow().is_first_for(STORE_SUBJECT)
    }
}

/// Logs that the request `id` is sent on suspicion, or refused.
pub fn log_suspect_status(id: &str, fingerprint: &RequestFingerprint, status: &SuspectStatus) {
    let (code, verdict, case) = match status {
        SuspectStatus::Clear => return,
        SuspectStatus::Suspect(case) => (EventCode::RequestSuspect, "suspect", case),
        SuspectStatus::Quarantined(case) => (EventCode::RequestCondemned, "condemned", case),
    };
    counter!(SUSPECT_REQUESTS, "verdict" => verdict).increment(1);
    let now = UnixMillis::now();
    event!(
        code,
        "request={id} print={fingerprint} servers={} rounds={} newest_server={} reporter={} age_ms={} released_s={}",
        case.servers,
        case.rounds,
        case.newest.server,
        case.newest.reporter,
        now.since(case.newest.seen).as_millis(),
        case.released.map_or(0, |at| at.since(now).as_secs())
    );
}

/// Passes news on over the link for as long as the runtime runs.
pub async fn run<D: WireFormat>(state: Rc<TrafficState<D>>) {
    loop {
        let news = state.suspects.next_news();
        if news.is_empty() {
            state.suspects.has_news.notified().await;
            continue;
        }
        let contacts = state.directory.borrow().contact_addresses();
        for contact in contacts {
            tokio::task::spawn_local(tell(Rc::clone(&state), contact, news.clone()));
        }
        tokio::time::sleep(NEWS_PAUSE).await;
    }
}

/// Tells one instance, twice if it does not answer.
async fn tell<D: WireFormat>(state: Rc<TrafficState<D>>, contact: SocketAddr, news: CrashNotice) {
    let Some(link) = state.link.borrow().clone() else {
        return;
    };
    if peers::send_crashes(&link, contact, &news).await {
        return;
    }
    tokio::time::sleep(REPEAT_PAUSE).await;
    if !peers::send_crashes(&link, contact, &news).await {
        event!(
            EventCode::SuspectsNotTold,
            "peer={contact} servers={} suspects={} leaving={}",
            news.servers.len(),
            news.suspects.len(),
            news.draining.len()
        );
    }
}
