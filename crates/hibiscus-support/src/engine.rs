//! Stand-in for a model engine: streams, batching, resume and cancel.
//!
//! The text of an answer is made from the prompt, so that a crossed answer is
//! recognised: the first word of the last message marks every token, and
//! `len=N` in it sets the length. `crash` in it stops the engine, `hang`
//! stops the answer after its first token.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use hibiscus_clients::engine::ChatChunk;
use hibiscus_clients::engine::ChunkChoice;
use hibiscus_clients::engine::ChunkDelta;
use hibiscus_clients::engine::DEADLINE_HEADER;
use hibiscus_clients::engine::FENCING_HEADER;
use hibiscus_clients::engine::LoadReport;
use hibiscus_clients::engine::PRIORITY_HEADER;
use hibiscus_clients::engine::REQUEST_ID_HEADER;
use hibiscus_clients::engine::RESUME_HEADER;
use hibiscus_clients::engine::TokenUsage;
use hibiscus_types::UnixMillis;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::channel::Channel;
use http_body_util::channel::Sender;
use http_body_util::combinators::BoxBody;
use hyper::Request;
use hyper::Response;
use hyper::body::Bytes;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use tokio::net::TcpListener;
use tokio::sync::Notify;

/// Tokens of an answer whose prompt sets no length.
const DEFAULT_LENGTH: u64 = 16;
/// Bytes of prompt that make one token.
const BYTES_PER_TOKEN: u64 = 4;
/// Events that wait for a slow reader.
const EVENT_BUFFER: usize = 16;

/// Time between looks at the reader of a stream that hangs.
const HANG_POLL: Duration = Duration::from_millis(10);

/// Body of an answer.
type AnswerBody = BoxBody<Bytes, Infallible>;

/// Speed and faults of an engine.
#[derive(Clone, Debug)]
pub struct EngineBehaviour {
    /// Time to the first token.
    pub prefill: Duration,
    /// Time between tokens.
    pub token_interval: Duration,
    /// Refuses an order whose fencing number is below one seen before.
    pub checks_fencing: bool,
    /// Accepts and never answers.
    pub hanging: bool,
    /// Answers with another request's id.
    pub crossed: bool,
    /// Ends every answer after this many tokens, without an end marker.
    pub truncate_after: Option<u64>,
    /// Answers every request with status 503.
    pub refusing: bool,
}

impl Default for EngineBehaviour {
    fn default() -> Self {
        Self {
            prefill: Duration::from_millis(5),
            token_interval: Duration::from_millis(2),
            checks_fencing: false,
            hanging: false,
            crossed: false,
            truncate_after: None,
            refusing: false,
        }
    }
}

/// One run of a request, as the engine saw it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineRun {
    /// Time of arrival.
    pub started: UnixMillis,
    /// The request id received.
    pub request_id: String,
    /// The first word of the last message.
    pub marker: String,
    /// Tokens sent.
    pub sent: u64,
    /// The token that the run began with.
    pub resumed_from: u64,
    /// The priority received.
    pub priority: String,
    /// Milliseconds to the deadline, as received.
    pub deadline_ms: u64,
    /// Whether the end marker was sent.
    pub whole: bool,
    /// Whether the reader closed the connection before the end.
    pub cancelled: bool,
}

/// State behind the port.
struct EngineState {
    behaviour: EngineBehaviour,
    runs: Vec<EngineRun>,
    running: usize,
    fencing: BTreeMap<String, u128>,
    stopped: bool,
}

/// State and the signal to stop.
struct EngineShared {
    state: Mutex<EngineState>,
    stop: Notify,
}

/// A model engine on a loopback port.
pub struct EngineStandin {
    address: SocketAddr,
    shared: Arc<EngineShared>,
}

impl EngineStandin {
    /// Starts an engine.
    ///
    /// # Panics
    ///
    /// Panics when the port cannot be opened.
    pub fn start(behaviour: EngineBehaviour) -> Self {
        let shared = Arc::new(EngineShared {
            state: Mutex::new(EngineState {
                behaviour,
                runs: Vec::new(),
                running: 0,
                fencing: BTreeMap::new(),
                stopped: false,
            }),
            stop: Notify::new(),
        });
        let served = Arc::clone(&shared);
        let (ready, started) = mpsc::sync_channel(1);
        thread::spawn(move || run_server(served, &ready));
        let address = started.recv().expect("the engine opens its port");
        Self { address, shared }
    }

    /// Address of the port.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces speed and faults.
    pub fn set_behaviour(&self, behaviour: EngineBehaviour) {
        self.lock().behaviour = behaviour;
    }

    /// Every run so far, in order of arrival.
    pub fn runs(&self) -> Vec<EngineRun> {
        self.lock().runs.clone()
    }

    /// Number of runs in progress.
    pub fn running(&self) -> usize {
        self.lock().running
    }

    /// Whether a crash request or [`Self::stop`] stopped the engine.
    pub fn is_stopped(&self) -> bool {
        self.lock().stopped
    }

    /// Closes the port and every connection.
    pub fn stop(&self) {
        self.lock().stopped = true;
        self.shared.stop.notify_one();
    }

    fn lock(&self) -> MutexGuard<'_, EngineState> {
        self.shared.state.lock().expect("the engine state is whole")
    }
}

impl Drop for EngineStandin {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Serves until the engine stops; dropping the runtime closes all connections.
fn run_server(shared: Arc<EngineShared>, ready: &mpsc::SyncSender<SocketAddr>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the runtime starts");
    runtime.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("the port opens");
        let address = listener.local_addr().expect("the port has an address");
        ready.send(address).expect("the starter waits");
        let accepting = accept_all(&listener, &shared);
        tokio::select! {
            () = accepting => {}
            () = shared.stop.notified() => {}
        }
    });
    runtime.shutdown_background();
}

/// Accepts connections for ever.
async fn accept_all(listener: &TcpListener, shared: &Arc<EngineShared>) {
    loop {
        let Ok((stream, _peer)) = listener.accept().await else {
            continue;
        };
        let shared = Arc::clone(shared);
        tokio::spawn(async move {
            let service = service_fn(move |request| answer(Arc::clone(&shared), request));
            let connection = http1::Builder::new()
                .half_close(false)
                .serve_connection(TokioIo::new(stream), service);
            // A reader that closes early ends the connection with an error.
            let _closed = connection.await;
        });
    }
}

/// The part of a chat request that the engine reads.
#[derive(Deserialize)]
struct ChatRequest {
    #[serde(default)]
    model: String,
    #[serde(default)]
    messages: Vec<ChatMessage>,
    #[serde(default)]
    max_tokens: Option<u64>,
}

/// One message of a chat request.
#[derive(Deserialize)]
struct ChatMessage {
    #[serde(default)]
    content: String,
}

/// What one run generates.
struct RunPlan {
    index: usize,
    id: String,
    model: String,
    marker: String,
    start: u64,
    length: u64,
    prompt_tokens: u64,
    hang: bool,
    finish_reason: &'static str,
    behaviour: EngineBehaviour,
}

/// Answers one request.
async fn answer(
    shared: Arc<EngineShared>,
    request: Request<Incoming>,
) -> Result<Response<AnswerBody>, Infallible> {
    let id = header(&request, REQUEST_ID_HEADER);
    let resume = header(&request, RESUME_HEADER).parse().unwrap_or(0);
    let fencing = u128::from_str_radix(&header(&request, FENCING_HEADER), 16).unwrap_or(0);
    let priority = header(&request, PRIORITY_HEADER);
    let deadline_ms = header(&request, DEADLINE_HEADER).parse().unwrap_or(0);
    let path = request.uri().path().to_owned();
    let Ok(body) = request.into_body().collect().await else {
        return Ok(plain(400, &id));
    };
    if path == "/v1/load" {
        return Ok(load_report(&shared));
    }
    let Ok(chat) = serde_json::from_slice::<ChatRequest>(&body.to_bytes()) else {
        return Ok(plain(400, &id));
    };
    let behaviour = shared
        .state
        .lock()
        .expect("the engine state is whole")
        .behaviour
        .clone();
    if behaviour.refusing || !accept_fencing(&shared, &chat.model, fencing) {
        return Ok(plain(503, &id));
    }
    let plan = start_run(&shared, chat, id, resume, behaviour);
    note_headers(&shared, plan.index, priority, deadline_ms);
    if plan.behaviour.hanging {
        let _cancelled = HangingRun {
            shared: &shared,
            index: plan.index,
        };
        std::future::pending::<()>().await;
    }
    let shown = if plan.behaviour.crossed {
        "another-request".to_owned()
    } else {
        plan.id.clone()
    };
    let (sender, body) = Channel::new(EVENT_BUFFER);
    tokio::spawn(generate(shared, plan, sender));
    let response = Response::builder()
        .header("content-type", "text/event-stream")
        .header(REQUEST_ID_HEADER, shown)
        .body(body.boxed())
        .expect("the answer is well formed");
    Ok(response)
}

/// A run that never answers. Dropping it means that its caller left.
struct HangingRun<'a> {
    shared: &'a EngineShared,
    index: usize,
}

impl Drop for HangingRun<'_> {
    fn drop(&mut self) {
        let mut state = self.shared.state.lock().expect("the engine state is whole");
        state.running -= 1;
        state.runs[self.index].cancelled = true;
    }
}

/// Waits until the reader closes the connection.
async fn wait_closed(sender: &mut Sender<Bytes, Infallible>) {
    // An empty piece sends nothing and fails once the reader has left.
    while sender.send_data(Bytes::new()).await.is_ok() {
        tokio::time::sleep(HANG_POLL).await;
    }
}

/// Records what came beside the body of a run.
fn note_headers(shared: &EngineShared, index: usize, priority: String, deadline_ms: u64) {
    let mut state = shared.state.lock().expect("the engine state is whole");
    let run = &mut state.runs[index];
    run.priority = priority;
    run.deadline_ms = deadline_ms;
}

/// Compares the fencing number when this engine checks it.
fn accept_fencing(shared: &EngineShared, model: &str, fencing: u128) -> bool {
    let mut state = shared.state.lock().expect("the engine state is whole");
    if !state.behaviour.checks_fencing {
        return true;
    }
    let newest = state.fencing.entry(model.to_owned()).or_default();
    if fencing < *newest {
        return false;
    }
    *newest = fencing;
    true
}

/// Records the run and works out what it generates.
fn start_run(
    shared: &EngineShared,
    chat: ChatRequest,
    id: String,
    start: u64,
    behaviour: EngineBehaviour,
) -> RunPlan {
    let prompt_bytes: usize = chat
        .messages
        .iter()
        .map(|message| message.content.len())
        .sum();
    let last = chat
        .messages
        .last()
        .map_or("", |message| message.content.as_str());
    let mut words = last.split_whitespace();
    let marker = words.next().unwrap_or("token").to_owned();
    let wanted = last
        .split_whitespace()
        .find_map(|word| word.strip_prefix("len=")?.parse().ok())
        .unwrap_or(DEFAULT_LENGTH);
    let length = wanted.min(chat.max_tokens.unwrap_or(u64::MAX));
    let crash = last.split_whitespace().any(|word| word == "crash");
    let hang = last.split_whitespace().any(|word| word == "hang");
    let mut state = shared.state.lock().expect("the engine state is whole");
    state.runs.push(EngineRun {
        started: UnixMillis::now(),
        request_id: id.clone(),
        marker: marker.clone(),
        resumed_from: start,
        ..EngineRun::default()
    });
    state.running += 1;
    let index = state.runs.len() - 1;
    if crash {
        state.stopped = true;
        shared.stop.notify_one();
    }
    RunPlan {
        index,
        id,
        model: chat.model,
        marker,
        start,
        length,
        prompt_tokens: (prompt_bytes as u64).div_ceil(BYTES_PER_TOKEN),
        hang,
        finish_reason: if length < wanted { "length" } else { "stop" },
        behaviour,
    }
}

/// Sends the events of one run.
async fn generate(shared: Arc<EngineShared>, plan: RunPlan, mut sender: Sender<Bytes, Infallible>) {
    let whole = send_events(&shared, &plan, &mut sender).await;
    let mut state = shared.state.lock().expect("the engine state is whole");
    state.running -= 1;
    let run = &mut state.runs[plan.index];
    run.whole = whole;
    run.cancelled = !whole && plan.behaviour.truncate_after.is_none();
}

/// Sends tokens, usage and end marker; false when it stopped before the end.
async fn send_events(
    shared: &EngineShared,
    plan: &RunPlan,
    sender: &mut Sender<Bytes, Infallible>,
) -> bool {
    tokio::time::sleep(plan.behaviour.prefill).await;
    for index in plan.start..plan.length {
        if plan
            .behaviour
            .truncate_after
            .is_some_and(|limit| index >= limit)
        {
            return false;
        }
        if index > plan.start {
            tokio::time::sleep(plan.behaviour.token_interval).await;
        }
        if plan.hang && index > plan.start {
            wait_closed(sender).await;
            return false;
        }
        let text = format!("{}.{index} ", plan.marker);
        if sender
            .send_data(event(plan, Some(text), None))
            .await
            .is_err()
        {
            return false;
        }
        let mut state = shared.state.lock().expect("the engine state is whole");
        state.runs[plan.index].sent += 1;
    }
    let usage = TokenUsage {
        prompt_tokens: plan.prompt_tokens,
        completion_tokens: plan.length,
    };
    let last = event(plan, None, Some(usage));
    let done = Bytes::from_static(b"data: [DONE]\n\n");
    sender.send_data(last).await.is_ok() && sender.send_data(done).await.is_ok()
}

/// One event of an answer.
fn event(plan: &RunPlan, content: Option<String>, usage: Option<TokenUsage>) -> Bytes {
    let finish_reason = usage.map(|_usage| plan.finish_reason.to_owned());
    let chunk = ChatChunk {
        id: plan.id.clone(),
        object: "chat.completion.chunk".to_owned(),
        model: plan.model.clone(),
        choices: vec![ChunkChoice {
            index: 0,
            delta: ChunkDelta { content },
            finish_reason,
        }],
        usage,
    };
    let json = serde_json::to_string(&chunk).expect("an event serialises");
    Bytes::from(format!("data: {json}\n\n"))
}

/// The engine's load report.
fn load_report(shared: &EngineShared) -> Response<AnswerBody> {
    let running = shared
        .state
        .lock()
        .expect("the engine state is whole")
        .running;
    let report = LoadReport {
        running: u32::try_from(running).unwrap_or(u32::MAX),
        ..LoadReport::default()
    };
    let body = serde_json::to_string(&report).expect("a report serialises");
    Response::builder()
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(body)).boxed())
        .expect("the answer is well formed")
}

/// An empty answer with `status`.
fn plain(status: u16, id: &str) -> Response<AnswerBody> {
    Response::builder()
        .status(status)
        .header(REQUEST_ID_HEADER, id)
        .body(Full::new(Bytes::new()).boxed())
        .expect("the answer is well formed")
}

/// A header's text, empty when it is missing.
fn header(request: &Request<Incoming>, name: &str) -> String {
    request
        .headers()
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or("")
        .to_owned()
}
