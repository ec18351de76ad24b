//! Finds out whether a server ended under the requests that it broke off.
//!
//! A server that ends closes all its connections and its port. One that resets
//! a single answer, or is cut off from here, has ended under nobody. The
//! request path only notes what broke ([`CrashDetector`]); [`run`] gathers what
//! broke at the same moment and looks at the server once.

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

/// Servers that ended with requests of this instance on them.
pub const SERVERS_CRASHED: &str = "hibiscus_servers_ended_total";

/// Time in which what broke at one server is gathered: its connections end
/// within a few milliseconds of each other.
const GATHER_TIME: Duration = Duration::from_millis(10);
/// Time for which a server that was found open is not looked at again.
const OPEN_TIME: Duration = Duration::from_millis(300);
/// Time after the end of a server for which more is kept of streams.
const ALERT_TIME: Duration = Duration::from_secs(60);
/// Time after its first event for which a stream may yet show that it ends its
/// server.
const YOUNG_TIME: Duration = Duration::from_secs(2);
/// Requests noted at one server at the most. Their bodies are kept meanwhile.
const NOTED_LIMIT: usize = 64;

/// What is the same about a request when it comes again.
#[derive(Debug)]
pub struct RequestIdentity {
    team: Option<TeamName>,
    target: Uri,
    /// The body.
    pub body: Bytes,
    /// Counts the body's bytes for as long as it is kept.
    _body_bytes: BodyBytes,
    fingerprint: OnceCell<RequestFingerprint>,
}

impl RequestIdentity {
    /// The identity of `body` that `team` sends to `target`.
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

    /// The path and query.
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

    /// Its print without the body's bytes.
    pub fn coarse(&self) -> CoarseFingerprint {
        CoarseFingerprint::of(self.team(), self.path(), self.body.len())
    }

    /// Its print, which takes a hash of the body the first time.
    pub fn fingerprint(&self) -> RequestFingerprint {
        *self
            .fingerprint
            .get_or_init(|| RequestFingerprint::of(self.team(), self.path(), &self.body))
    }
}

/// What is kept of a request to know it again.
#[derive(Clone, Debug)]
enum RequestSubject {
    /// All of it, until its answer has begun.
    Identity(Rc<RequestIdentity>),
    /// Its print, and the bytes of its body.
    Print(RequestFingerprint, usize),
}

/// A request at a server that may yet end under it.
#[derive(Clone, Debug)]
pub struct CrashCandidate {
    /// Its number, for the log.
    pub id: String,
    subject: RequestSubject,
    /// When it was sent.
    pub sent: Instant,
    /// Rounds of ends under it that were known then.
    pub known: u8,
}

impl CrashCandidate {
    /// The request `id`, which is sent now, with `known` rounds of ends.
    pub fn new(id: &str, identity: &Rc<RequestIdentity>, known: u8) -> Self {
        Self {
            id: id.to_owned(),
            subject: RequestSubject::Identity(Rc::clone(identity)),
            sent: Instant::now(),
            known,
        }
    }

    /// Its print.
    pub fn fingerprint(&self) -> RequestFingerprint {
        match &self.subject {
            RequestSubject::Identity(identity) => identity.fingerprint(),
            RequestSubject::Print(fingerprint, _bytes) => *fingerprint,
        }
    }

    /// Bytes of its body.
    pub fn bytes(&self) -> usize {
        match &self.subject {
            RequestSubject::Identity(identity) => identity.body.len(),
            RequestSubject::Print(_print, bytes) => *bytes,
        }
    }

    /// Gives the body up, and keeps the print.
    fn drop_body(&mut self) {
        self.subject = RequestSubject::Print(self.fingerprint(), self.bytes());
    }
}

/// The request of a stream, for as long as its server may end under it.
#[derive(Debug)]
pub struct StreamCandidate {
    request: Option<CrashCandidate>,
    /// When its first event came.
    begun: Option<Instant>,
    watch: Rc<CrashDetector>,
}

impl StreamCandidate {
    /// The exposure of `request`, which has not begun to be answered.
    pub fn new(request: CrashCandidate, watch: Rc<CrashDetector>) -> Self {
        Self {
            request: Some(request),
            begun: None,
            watch,
        }
    }

    /// An event came. Its request is of interest for some time after the
    /// first, if servers ended lately; its body is not.
    pub fn note_event(&mut self) {
        let Some(begun) = self.begun else {
            self.begun = Some(Instant::now());
            if !self.watch.is_alert() {
                self.request = None;
            }
            if let Some(request) = &mut self.request {
                request.drop_body();
            }
            return;
        };
        if self.request.is_some() && begun.elapsed() > YOUNG_TIME {
            self.request = None;
        }
    }

    /// `server` broke the stream off.
    pub fn note_broken(&mut self, server: &Rc<ServerHandle>) {
        self.watch.note_broken(server, self.request.take());
    }
}

/// Requests that broke at one server.
#[derive(Debug)]
struct EndingCase {
    server: Rc<ServerHandle>,
    requests: Vec<CrashCandidate>,
    is_taken: bool,
}

/// Takes note of requests that servers broke off.
#[derive(Debug, Default)]
pub struct CrashDetector {
    cases: RefCell<HashMap<ServerIncarnation, EndingCase>>,
    /// Servers that were found open, and when.
    open: RefCell<HashMap<ServerIncarnation, Instant>>,
    /// When a server ended last, as far as is known.
    last_end: Cell<Option<Instant>>,
    noted: Notify,
}

impl CrashDetector {
    /// The server broke a connection off, with `request` on it if that may have
    /// ended the server, or refuses new ones.
    pub fn note_broken(&self, server: &Rc<ServerHandle>, request: Option<CrashCandidate>) {
        if server.is_closed() && request.is_none() {
            return;
        }
        let process = server.entry.incarnation();
        let found = self.open.borrow().get(&process).copied();
        if found.is_some_and(|found| found.elapsed() < OPEN_TIME) {
            return;
        }
        let mut cases = self.cases.borrow_mut();
        let case = cases.entry(process).or_insert_with(|| EndingCase {
            server: Rc::clone(server),
            requests: Vec::new(),
            is_taken: false,
        });
        if case.requests.len() < NOTED_LIMIT {
            case.requests.extend(request);
        }
        self.noted.notify_one();
    }

    /// A server has ended.
    pub fn note_crash(&self) {
        self.last_end.set(Some(Instant::now()));
    }

    /// Whether servers ended lately.
    fn is_alert(&self) -> bool {
        let last = self.last_end.get();
        last.is_some_and(|at| at.elapsed() < ALERT_TIME)
    }

    /// Servers that nobody looks at yet, which are looked at from now on.
    fn take_new(&self) -> Vec<Rc<ServerHandle>> {
        let mut servers = Vec::new();
        for case in self.cases.borrow_mut().values_mut() {
            if !case.is_taken {
                case.is_taken = true;
                servers.push(Rc::clone(&case.server));
            }
        }
        servers
    }

    /// The look at `server` is over: the requests that broke there.
    fn close(&self, server: &ServerHandle, port: PortState) -> Vec<CrashCandidate> {
        let process = server.entry.incarnation();
        if port == PortState::Open {
            let mut open = self.open.borrow_mut();
            open.retain(|_process, found| found.elapsed() < OPEN_TIME);
            open.insert(process.clone(), Instant::now());
        }
        let case = self.cases.borrow_mut().remove(&process);
        case.map_or_else(Vec::new, |case| case.requests)
    }
}

/// Looks at servers that broke requests off for as long as the runtime runs.
pub async fn run<D: WireFormat>(state: Rc<TrafficState<D>>) {
    loop {
        state.crash_detector.noted.notified().await;
        for server in state.crash_detector.take_new() {
            tokio::task::spawn_local(look(Rc::clone(&state), server));
        }
    }
}

/// Finds out whether `server` has ended.
async fn look<D: WireFormat>(state: Rc<TrafficState<D>>, server: Rc<ServerHandle>) {
    tokio::time::sleep(GATHER_TIME).await;
    let port = if server.has_open_link() {
        PortState::Open
    } else {
        connect::probe_port(server.entry.address).await
    };
    let requests = state.crash_detector.close(&server, port);
    let entry = &server.entry;
    // One that leaves as planned ends with or without requests on it.
    if port != PortState::Closed || !server.is_serving() {
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
}
