//! Finds out whether a server ended under the requests that it broke off.
//!
//! A server that ends closes all its connections and its port. One that resets
//! a single answer, or is cut off from here, has ended under nobody. The
//! request path only notes what broke ([`EndingWatch`]); [`keep`] gathers what
//! broke at the same moment and looks at the server once.

use std::cell::OnceCell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use hibiscus_events::EventCode;
use hibiscus_events::event;
use hibiscus_request::print::RequestPrint;
use hibiscus_request::print::RequestSketch;
use hibiscus_types::ServerName;
use hibiscus_types::TeamName;
use http::Uri;
use metrics::counter;
use tokio::sync::Notify;

use crate::callers::BodyBytes;
use crate::connect;
use crate::connect::PortState;
use crate::dialect::RequestDialect;
use crate::servers::ServerHandle;
use crate::state::TrafficState;

/// Servers that ended with requests of this instance on them.
pub const SERVERS_ENDED: &str = "hibiscus_servers_ended_total";

/// Time in which what broke at one server is gathered: its connections end
/// within a few milliseconds of each other.
const GATHER_TIME: Duration = Duration::from_millis(10);
/// Time for which a server that was found open is not looked at again.
const OPEN_TIME: Duration = Duration::from_millis(300);
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
    print: OnceCell<RequestPrint>,
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
            print: OnceCell::new(),
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
    pub fn sketch(&self) -> RequestSketch {
        RequestSketch::of(self.team(), self.path(), self.body.len())
    }

    /// Its print, which takes a hash of the body the first time.
    pub fn print(&self) -> RequestPrint {
        *self
            .print
            .get_or_init(|| RequestPrint::of(self.team(), self.path(), &self.body))
    }
}

/// A request that was sent to a server and has not begun to be answered.
#[derive(Clone, Debug)]
pub struct UnbegunRequest {
    /// Its number, for the log.
    pub id: String,
    /// What it is.
    pub identity: Rc<RequestIdentity>,
    /// When it was sent.
    pub sent: Instant,
    /// Rounds of ends under it that were known then.
    pub known: u8,
}

/// One process of a server.
type ServerProcess = (ServerName, u64);

/// Requests that broke at one server.
#[derive(Debug)]
struct EndingCase {
    server: Rc<ServerHandle>,
    requests: Vec<UnbegunRequest>,
    is_taken: bool,
}

/// Takes note of requests that servers broke off.
#[derive(Debug, Default)]
pub struct EndingWatch {
    cases: RefCell<HashMap<ServerProcess, EndingCase>>,
    /// Servers that were found open, and when.
    open: RefCell<HashMap<ServerProcess, Instant>>,
    noted: Notify,
}

impl EndingWatch {
    /// The server broke a connection off, with `request` on it if it had not
    /// begun to be answered, or refuses new ones.
    pub fn note_broken(&self, server: &Rc<ServerHandle>, request: Option<UnbegunRequest>) {
        if server.is_closed() && request.is_none() {
            return;
        }
        let process = process_of(server);
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
    fn close(&self, server: &ServerHandle, port: PortState) -> Vec<UnbegunRequest> {
        let process = process_of(server);
        if port == PortState::Open {
            let mut open = self.open.borrow_mut();
            open.retain(|_process, found| found.elapsed() < OPEN_TIME);
            open.insert(process.clone(), Instant::now());
        }
        let case = self.cases.borrow_mut().remove(&process);
        case.map_or_else(Vec::new, |case| case.requests)
    }
}

fn process_of(server: &ServerHandle) -> ServerProcess {
    (server.entry.name.clone(), server.entry.started)
}

/// Looks at servers that broke requests off for as long as the runtime runs.
pub async fn keep<D: RequestDialect>(state: Rc<TrafficState<D>>) {
    loop {
        state.endings.noted.notified().await;
        for server in state.endings.take_new() {
            tokio::task::spawn_local(look(Rc::clone(&state), server));
        }
    }
}

/// Finds out whether `server` has ended.
async fn look<D: RequestDialect>(state: Rc<TrafficState<D>>, server: Rc<ServerHandle>) {
    tokio::time::sleep(GATHER_TIME).await;
    let port = if server.has_open_link() {
        PortState::Open
    } else {
        connect::look_at_port(server.entry.address).await
    };
    let requests = state.endings.close(&server, port);
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
    counter!(SERVERS_ENDED).increment(1);
    event!(
        EventCode::ServerEnded,
        "server={} started={} requests={}",
        entry.name,
        entry.started,
        requests.len()
    );
    server.note_closed();
    let now = state.now();
    state.suspects.note_end(&server, &requests, now);
}
