//! Detects servers that crashed while they ran requests.
//!
//! A crashing server closes all its connections and its port. A server that
//! resets a single response, or that is unreachable from this instance, did not
//! crash. The request path only reports broken connections to [`CrashDetector`];
//! [`run`] collects those that break at the same moment and checks the server's
//! port once. Confirmed crashes go to [`crate::suspects`].

use std::cell::Cell;
use std::cell::OnceCell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use hibiscus_events::EventCode;
use hibiscus_events::event;
use hibiscus_request::fingerprint::CoarseFingerprint;
use hibiscus_request::fingerprint::RequestFingerprint;
use hibiscus_request::prompt_parts::SharedPrompt;
use hibiscus_types::TeamName;
use http::Uri;
use metrics::counter;
use tokio::sync::Notify;

use crate::callers::BodyBytes;
use crate::connect;
use crate::connect::PortState;
use crate::model::ServerIncarnation;
use crate::servers::ServerHandle;
use crate::state::TrafficState;
use crate::wire_format::WireFormat;

/// Counts servers that crashed while they ran requests of this instance.
pub const SERVERS_CRASHED: &str = "hibiscus_servers_ended_total";

/// Time for which broken requests of one server are collected before its port is
/// checked: a crash closes all connections within a few milliseconds.
const CANDIDATE_GATHER_TIME: Duration = Duration::from_millis(10);
/// Time for which a server whose port was found open is not checked again.
const OPEN_PORT_RECHECK_DELAY: Duration = Duration::from_millis(300);
/// Time after a crash for which streams remain crash candidates after their first
/// event.
const CRASH_ALERT_TIME: Duration = Duration::from_secs(60);
/// Time after its first event for which a stream remains a crash candidate.
const STREAM_CANDIDATE_TIME: Duration = Duration::from_secs(2);
/// Maximum number of crash candidates per server, whose bodies are kept meanwhile.
const CANDIDATES_PER_SERVER_LIMIT: usize = 64;

/// What identifies a request when it is sent again.
#[derive(Debug)]
pub struct RequestIdentity {
    team: Option<TeamName>,
    target: Uri,
    /// The request's body.
    pub body: Bytes,
    /// Counts the bytes of the body for as long as it is kept.
    _body_bytes: BodyBytes,
    fingerprint: OnceCell<RequestFingerprint>,
}

impl RequestIdentity {
    /// The identity of a request with `body` that `team` sends to `target`.
    pub fn new(
        team: Option<TeamName>,
        target: Uri,
        (body, body_bytes): (Bytes, BodyBytes),
    ) -> Self {
        Self {
            team,
            target,
            body,
            _body_bytes: body_bytes,
            fingerprint: OnceCell::new(),
        }
    }

    /// The path and query of the request.
    pub fn target(&self) -> &Uri {
        &self.target
    }

    fn team(&self) -> &str {
        self.team.as_ref().map_or("", TeamName::as_str)
    }

    fn path(&self) -> &str {
        self.target
            .path_and_query()
            .map_or("", |path| path.as_str())
    }

    /// The fingerprint without the content of the body.
    pub fn coarse(&self) -> CoarseFingerprint {
        CoarseFingerprint::of(self.team(), self.path(), self.body.len())
    }

    /// The request's fingerprint. The first call hashes the body.
    pub fn fingerprint(&self) -> RequestFingerprint {
        *self
            .fingerprint
            .get_or_init(|| RequestFingerprint::of(self.team(), self.path(), &self.body))
    }
}

/// What is kept of a crash candidate to identify its request.
#[derive(Clone, Debug)]
enum RequestSubject {
    /// The whole request, until its response has started.
    Identity(Rc<RequestIdentity>),
    /// The request's fingerprint and the length of its body in bytes.
    Fingerprint(RequestFingerprint, usize),
}

/// A request at a server, which is a suspect if the server crashes.
#[derive(Clone, Debug)]
pub struct CrashCandidate {
    /// The request's id, for the log.
    pub id: String,
    subject: RequestSubject,
    /// Time at which the request was sent.
    pub sent: Instant,
    /// Rounds of crashes of the request that were known when it was sent.
    pub known_rounds: u8,
    /// What the prompt shares with others.
    pub prompt: Rc<SharedPrompt>,
    /// Time at which the head of the response arrived.
    pub head_at: Option<Instant>,
    /// Time at which the first event of the response arrived.
    pub begun_at: Option<Instant>,
}

impl CrashCandidate {
    /// A candidate for the request `id` with `prompt`, which is being sent.
    pub fn new(
        id: &str,
        identity: &Rc<RequestIdentity>,
        known_rounds: u8,
        prompt: Rc<SharedPrompt>,
    ) -> Self {
        Self {
            id: id.to_owned(),
            subject: RequestSubject::Identity(Rc::clone(identity)),
            sent: Instant::now(),
            known_rounds,
            prompt,
            head_at: None,
            begun_at: None,
        }
    }

    /// The request's fingerprint.
    pub fn fingerprint(&self) -> RequestFingerprint {
        match &self.subject {
            RequestSubject::Identity(identity) => identity.fingerprint(),
            RequestSubject::Fingerprint(fingerprint, _bytes) => *fingerprint,
        }
    }

    /// Length of the request's body in bytes.
    pub fn bytes(&self) -> usize {
        match &self.subject {
            RequestSubject::Identity(identity) => identity.body.len(),
            RequestSubject::Fingerprint(_fingerprint, bytes) => *bytes,
        }
    }

    /// Replaces the request by its fingerprint, to free the body.
    fn drop_body(&mut self) {
        self.subject = RequestSubject::Fingerprint(self.fingerprint(), self.bytes());
    }
}

/// The crash candidate of a streamed response, while its server may crash.
#[derive(Debug)]
pub struct StreamCandidate {
    request: Option<CrashCandidate>,
    /// Time of the stream's first event.
    begun: Option<Instant>,
    detector: Rc<CrashDetector>,
}

impl StreamCandidate {
    /// A candidate for `request`, of whose response the head has arrived.
    pub fn new(mut request: CrashCandidate, detector: Rc<CrashDetector>) -> Self {
        request.head_at = Some(Instant::now());
        Self {
            request: Some(request),
            begun: None,
            detector,
        }
    }

    /// Records an event of the stream. After the first event the body is dropped,
    /// and the request remains a candidate for a while if servers crashed recently.
    pub fn note_event(&mut self) {
        let Some(begun) = self.begun else {
            self.begun = Some(Instant::now());
            if !self.detector.is_alert() {
                self.request = None;
            }
            if let Some(request) = &mut self.request {
                request.drop_body();
                request.begun_at = self.begun;
            }
            return;
        };
        if self.request.is_some() && begun.elapsed() > STREAM_CANDIDATE_TIME {
            self.request = None;
        }
    }

    /// Reports that `server` broke the stream off. `prompt` is the prompt if a crash
    /// may be due to it.
    pub fn note_broken(&mut self, server: &Rc<ServerHandle>, prompt: Option<SharedPrompt>) {
        let broken = BrokenRequest {
            request: self.request.take(),
            prompt,
        };
        self.detector.note_broken(server, broken);
    }
}

/// What a broken connection says about the request on it.
#[derive(Debug, Default)]
pub struct BrokenRequest {
    /// The request, if it may have crashed the server.
    pub request: Option<CrashCandidate>,
    /// Its prompt, if a part of it may have crashed the server.
    pub prompt: Option<SharedPrompt>,
}

/// Requests whose connections to one server broke.
#[derive(Debug)]
struct CrashCase {
    server: Rc<ServerHandle>,
    requests: Vec<CrashCandidate>,
    prompts: Vec<SharedPrompt>,
    is_being_checked: bool,
}

/// Collects requests whose connections to their servers broke.
#[derive(Debug, Default)]
pub struct CrashDetector {
    cases: RefCell<HashMap<ServerIncarnation, CrashCase>>,
    /// Servers whose port was found open, and when.
    open: RefCell<HashMap<ServerIncarnation, Instant>>,
    /// Time of the last known crash of a server.
    last_crash: Cell<Option<Instant>>,
    noted: Notify,
}

impl CrashDetector {
    /// Reports that the server broke a connection or refuses new ones.
    pub fn note_broken(&self, server: &Rc<ServerHandle>, broken: BrokenRequest) {
        let is_candidate = broken.request.is_some() || broken.prompt.is_some();
        if server.is_closed() && !is_candidate {
            return;
        }
        let process = server.entry.incarnation();
        let mut cases = self.cases.borrow_mut();
        let case = cases.entry(process).or_insert_with(|| CrashCase {
            server: Rc::clone(server),
            requests: Vec::new(),
            prompts: Vec::new(),
            is_being_checked: false,
        });
        if case.requests.len() < CANDIDATES_PER_SERVER_LIMIT {
            case.requests.extend(broken.request);
        }
        case.prompts.extend(broken.prompt);
        self.noted.notify_one();
    }

    /// Records that a server crashed.
    pub fn note_crash(&self) {
        self.last_crash.set(Some(Instant::now()));
    }

    /// Whether a server crashed recently.
    fn is_alert(&self) -> bool {
        let last = self.last_crash.get();
        last.is_some_and(|at| at.elapsed() < CRASH_ALERT_TIME)
    }

    /// Returns the servers that are not being checked, and marks them as being
    /// checked.
    fn take_unchecked(&self) -> Vec<Rc<ServerHandle>> {
        let mut servers = Vec::new();
        for case in self.cases.borrow_mut().values_mut() {
            if !case.is_being_checked {
                case.is_being_checked = true;
                servers.push(Rc::clone(&case.server));
            }
        }
        servers
    }

    /// Time until `server` is checked: a moment to collect broken connections, and
    /// more if its port was found open recently.
    fn check_delay(&self, server: &ServerHandle) -> Duration {
        let found = self.open.borrow().get(&server.entry.incarnation()).copied();
        let recheck = found.map_or(Duration::ZERO, |found| {
            OPEN_PORT_RECHECK_DELAY.saturating_sub(found.elapsed())
        });
        recheck.max(CANDIDATE_GATHER_TIME)
    }

    /// Ends the check of `server`; returns what is known of the requests whose
    /// connections broke.
    fn finish_check(&self, server: &ServerHandle, port: PortState) -> Option<CrashCase> {
        let process = server.entry.incarnation();
        if port == PortState::Open {
            let mut open = self.open.borrow_mut();
            open.retain(|_process, found| found.elapsed() < OPEN_PORT_RECHECK_DELAY);
            open.insert(process.clone(), Instant::now());
        }
        self.cases.borrow_mut().remove(&process)
    }
}

/// Checks servers that broke connections, until the runtime stops.
pub async fn run<D: WireFormat>(state: Rc<TrafficState<D>>) {
    loop {
        state.crash_detector.noted.notified().await;
        for server in state.crash_detector.take_unchecked() {
            tokio::task::spawn_local(check_server(Rc::clone(&state), server));
        }
    }
}

/// Checks whether `server` has crashed, and reports the crash.
async fn check_server<D: WireFormat>(state: Rc<TrafficState<D>>, server: Rc<ServerHandle>) {
    tokio::time::sleep(state.crash_detector.check_delay(&server)).await;
    let port = if server.has_open_link() {
        PortState::Open
    } else {
        connect::probe_port(server.entry.address).await
    };
    let Some(case) = state.crash_detector.finish_check(&server, port) else {
        return;
    };
    let CrashCase {
        requests, prompts, ..
    } = case;
    let entry = &server.entry;
    // A server that another instance found closed may have restarted since. A
    // draining server shuts down whether it has requests or not.
    let was_found_closed = state.suspects.has_crashed(&entry.incarnation());
    if !was_found_closed && (port != PortState::Closed || !server.is_serving()) {
        event!(
            EventCode::ServerNotEnded,
            "server={} started={} port={port:?} serving={} requests={}",
            entry.name,
            entry.started,
            server.is_serving(),
            requests.len()
        );
        return;
    }
    counter!(SERVERS_CRASHED).increment(1);
    event!(
        EventCode::ServerEnded,
        "server={} started={} requests={}",
        entry.name,
        entry.started,
        requests.len()
    );
    server.note_closed();
    state.crash_detector.note_crash();
    let now = state.now();
    state.suspects.note_crash(&server, &requests, now);
    state.parts.note_crash(&server, prompts, now);
    state.review_parts();
}
