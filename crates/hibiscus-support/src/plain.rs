//! Stand-in for a plain service whose calls may not all be repeated.

use std::io::Read;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::thread;
use std::time::Duration;

use hibiscus_clients::engine::LoadReport;
use hibiscus_clients::engine::REQUEST_ID_HEADER;
use hibiscus_types::UnixMillis;
use rouille::Request;
use rouille::Response;

use crate::http;
use crate::http::HttpServer;

/// One run of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlainRun {
    /// Time of arrival.
    pub started: UnixMillis,
    /// The request id received.
    pub request_id: String,
    /// The path called.
    pub path: String,
    /// The body received.
    pub body: String,
}

/// Faults of the service. The default has none.
#[derive(Clone, Debug, Default)]
pub struct PlainFaults {
    /// Time that a call takes.
    pub delay: Duration,
    /// Answers with another request's id.
    pub crossed: bool,
    /// Answers every call with status 500 after running it.
    pub failing: bool,
}

/// State behind the port.
#[derive(Default)]
struct PlainState {
    runs: Vec<PlainRun>,
    faults: PlainFaults,
}

/// A plain service on a loopback port.
pub struct PlainStandin {
    server: HttpServer,
    state: Arc<Mutex<PlainState>>,
}

impl PlainStandin {
    /// Starts a service that has run nothing.
    pub fn start() -> Self {
        let state = Arc::new(Mutex::new(PlainState::default()));
        let served = Arc::clone(&state);
        let server = HttpServer::start("127.0.0.1:0", move |request| serve(&served, request));
        Self { server, state }
    }

    /// Address of the port.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Replaces the faults in force.
    pub fn set_faults(&self, faults: PlainFaults) {
        self.lock().faults = faults;
    }

    /// Every run so far, in order.
    pub fn runs(&self) -> Vec<PlainRun> {
        self.lock().runs.clone()
    }

    fn lock(&self) -> MutexGuard<'_, PlainState> {
        self.state.lock().expect("the service state is whole")
    }
}

/// Runs one call.
fn serve(state: &Mutex<PlainState>, request: &Request) -> Response {
    if request.url() == "/v1/load" {
        return Response::json(&LoadReport::default());
    }
    let mut body = String::new();
    let Some(mut data) = request.data() else {
        return http::status(400);
    };
    if data.read_to_string(&mut body).is_err() {
        return http::status(400);
    }
    let request_id = request.header(REQUEST_ID_HEADER).unwrap_or("").to_owned();
    let (count, faults) = {
        let mut state = state.lock().expect("the service state is whole");
        state.runs.push(PlainRun {
            started: UnixMillis::now(),
            request_id: request_id.clone(),
            path: request.url(),
            body,
        });
        (state.runs.len(), state.faults.clone())
    };
    thread::sleep(faults.delay);
    if faults.failing {
        return http::status(500).with_unique_header(REQUEST_ID_HEADER, request_id);
    }
    let answered = if faults.crossed {
        "another-request".to_owned()
    } else {
        request_id
    };
    Response::text(format!("{{\"order\":{count}}}"))
        .with_unique_header("content-type", "application/json")
        .with_unique_header(REQUEST_ID_HEADER, answered)
}
