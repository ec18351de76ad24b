//! Stand-in for the platform's log service.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::io::Read;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use hibiscus_clients::log::AppendAnswer;
use hibiscus_clients::log::WirePage;
use hibiscus_clients::log::WireRecord;
use hibiscus_types::UnixMillis;
use rouille::Request;
use rouille::Response;

use crate::http;
use crate::http::HttpServer;

/// Records in one answer.
const PAGE_LIMIT: usize = 2_000;
/// Length of the window in which appends are counted.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Faults of the log service. The default has none.
#[derive(Clone, Debug, Default)]
pub struct LogFaults {
    /// Answers every call with status 503.
    pub outage: bool,
    /// Added to every append.
    pub append_delay: Duration,
    /// Loses the reply of every n-th append after its effect; 0 loses none.
    pub lose_every: u64,
    /// Delivers each page's last record again in the next page.
    pub duplicate_reads: bool,
    /// Appends accepted a second; 0 accepts all.
    pub appends_per_second: u64,
}

/// One record held.
struct HeldRecord {
    appended: UnixMillis,
    data: String,
}

/// One stream held.
#[derive(Default)]
struct HeldStream {
    first: u64,
    records: VecDeque<HeldRecord>,
}

impl HeldStream {
    /// The offset of the next append.
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }
}

/// State behind the port.
#[derive(Default)]
struct LogState {
    streams: BTreeMap<String, HeldStream>,
    faults: LogFaults,
    appends: u64,
    bytes: u64,
    window_start: Option<Instant>,
    window_appends: u64,
}

/// State and the signal of a new record.
#[derive(Default)]
struct LogShared {
    state: Mutex<LogState>,
    grown: Condvar,
}

/// A log service on a loopback port.
pub struct LogStandin {
    server: HttpServer,
    shared: Arc<LogShared>,
}

impl LogStandin {
    /// Starts a log service without records.
    pub fn start() -> Self {
        let shared = Arc::new(LogShared::default());
        let served = Arc::clone(&shared);
        let server = HttpServer::start("127.0.0.1:0", move |request| serve(&served, request));
        Self { server, shared }
    }

    /// Address of the port.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Base address for clients.
    pub fn url(&self) -> String {
        format!("http://{}", self.server.address)
    }

    /// Replaces the faults in force.
    pub fn set_faults(&self, faults: LogFaults) {
        self.lock().faults = faults;
        self.shared.grown.notify_all();
    }

    /// Removes all but the newest `keep` records of every stream.
    pub fn expire(&self, keep: usize) {
        let mut state = self.lock();
        for stream in state.streams.values_mut() {
            while stream.records.len() > keep {
                stream.records.pop_front();
                stream.first += 1;
            }
        }
    }

    /// Number of appends that took effect.
    pub fn appends(&self) -> u64 {
        self.lock().appends
    }

    /// Bytes appended, before base64.
    pub fn bytes(&self) -> u64 {
        self.lock().bytes
    }

    /// Names of the streams that hold records.
    pub fn streams(&self) -> Vec<String> {
        self.lock().streams.keys().cloned().collect()
    }

    fn lock(&self) -> MutexGuard<'_, LogState> {
        self.shared.state.lock().expect("the log state is whole")
    }
}

/// Serves one call.
fn serve(shared: &LogShared, request: &Request) -> Response {
    let Some(stream) = request.raw_url().strip_prefix("/v1/streams/") else {
        return http::status(404);
    };
    let stream = stream.split('?').next().unwrap_or(stream);
    match request.method() {
        "POST" => append(shared, stream, request),
        "GET" => read(shared, stream, request),
        _ => http::status(405),
    }
}

/// Appends the body as one record.
fn append(shared: &LogShared, stream: &str, request: &Request) -> Response {
    let mut data = Vec::new();
    let Some(mut body) = request.data() else {
        return http::status(400);
    };
    if body.read_to_end(&mut data).is_err() {
        return http::status(400);
    }
    let delay = {
        let mut state = shared.state.lock().expect("the log state is whole");
        if state.faults.outage {
            return http::status(503);
        }
        if !count_append(&mut state) {
            return http::status(429);
        }
        state.faults.append_delay
    };
    thread::sleep(delay);
    let mut state = shared.state.lock().expect("the log state is whole");
    state.appends += 1;
    state.bytes += data.len() as u64;
    let held = state.streams.entry(stream.to_owned()).or_default();
    let offset = held.end();
    held.records.push_back(HeldRecord {
        appended: UnixMillis::now(),
        data: STANDARD.encode(&data),
    });
    let lost = state.faults.lose_every > 0 && state.appends.is_multiple_of(state.faults.lose_every);
    drop(state);
    shared.grown.notify_all();
    if lost {
        return http::status(504);
    }
    Response::json(&AppendAnswer { offset })
}

/// Counts an append against the rate; false when the rate is used up.
fn count_append(state: &mut LogState) -> bool {
    let now = Instant::now();
    let fresh = state
        .window_start
        .is_some_and(|start| now.duration_since(start) < RATE_WINDOW);
    if !fresh {
        state.window_start = Some(now);
        state.window_appends = 0;
    }
    state.window_appends += 1;
    let limit = state.faults.appends_per_second;
    limit == 0 || state.window_appends <= limit
}

/// Answers a page, waiting for its first record.
fn read(shared: &LogShared, stream: &str, request: &Request) -> Response {
    let from = http::number_param(request, "from");
    let wait = Duration::from_millis(http::number_param(request, "wait_ms"));
    let deadline = Instant::now() + wait;
    let mut state = shared.state.lock().expect("the log state is whole");
    loop {
        if state.faults.outage {
            return http::status(503);
        }
        let page = page(&state, stream, from);
        let left = deadline.saturating_duration_since(Instant::now());
        if !page.records.is_empty() || left.is_zero() {
            return Response::json(&page);
        }
        let (woken, _timeout) = shared
            .grown
            .wait_timeout(state, left)
            .expect("the log state is whole");
        state = woken;
    }
}

/// The records of `stream` from offset `from`.
fn page(state: &LogState, stream: &str, from: u64) -> WirePage {
    let Some(held) = state.streams.get(stream) else {
        return WirePage {
            first: 0,
            end: 0,
            records: Vec::new(),
        };
    };
    let repeat = u64::from(state.faults.duplicate_reads && from < held.end());
    let start = from.saturating_sub(repeat).max(held.first);
    let skip = usize::try_from(start - held.first).unwrap_or(usize::MAX);
    let mut records = Vec::new();
    for (index, record) in held.records.iter().skip(skip).take(PAGE_LIMIT).enumerate() {
        records.push(WireRecord {
            offset: start + index as u64,
            appended_ms: record.appended.get(),
            data: record.data.clone(),
        });
    }
    WirePage {
        first: held.first,
        end: held.end(),
        records,
    }
}
