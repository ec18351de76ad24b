//! The callers' port: connections, limits and dispatch.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::sync::mpsc::SyncSender;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use hibiscus_events::EventCode;
use hibiscus_events::EventFields;
use hibiscus_types::BudgetName;
use hibiscus_types::RefusalReason;
use hibiscus_types::RequestKey;
use hibiscus_types::RequestOutcome;
use hibiscus_types::UnixMillis;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::http::request::Parts;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use hyper_util::server::graceful::GracefulShutdown;
use hyper_util::server::graceful::Watcher;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::sync::oneshot;

use crate::callers::address;
use crate::callers::admission;
use crate::callers::admission::CallerIdentity;
use crate::callers::answer;
use crate::callers::answer::RequestFailure;
use crate::callers::body::AnswerBody;
use crate::callers::receive;
use crate::callers::receive::BodyMemory;
use crate::callers::receive::ReceivedBody;
use crate::callers::stream::TimedStream;
use crate::context::RouterContext;
use crate::context::SharedContext;
use crate::holder::HolderMessage;
use crate::operators::metrics;
use crate::requests;
use crate::requests::AdmittedCall;
use crate::requests::RequestPath;
use crate::requests::progress::HeadSender;

/// Bytes of a request's headers at most.
const HEADER_LIMIT: usize = 16 * 1024;
/// Bytes of headers that are read at all, so that larger ones are refused
/// with a reason rather than cut.
const READ_LIMIT: usize = 2 * HEADER_LIMIT;
/// Connections over the limit that are being refused at one time.
const REFUSED_CONNECTIONS: usize = 64;
/// Time that the refusal of a connection may take.
const REFUSE_LIMIT: Duration = Duration::from_secs(1);
/// Bytes read of a refused connection, so that it is not reset unread.
const REFUSED_READ: usize = 4 * 1024;
/// Answer to a connection over the limit.
const REFUSAL: &str = "HTTP/1.1 429 Too Many Requests\r\n\
    content-type: application/json\r\n\
    x-hibiscus-outcome: not-run\r\n\
    retry-after: 1\r\n\
    connection: close\r\n\
    content-length: 150\r\n\r\n\
    {\"error\":{\"message\":\"failed to take the connection: too many are open\",\
    \"type\":\"service_error\",\"code\":\"overloaded\",\"retry\":true,\"retry_after_ms\":1000}}";
/// Stack of a request's thread, in bytes.
const REQUEST_STACK: usize = 256 * 1024;
/// Time between looks at the stop flag.
const STOP_POLL: Duration = Duration::from_millis(100);

/// What the port's connections share.
struct PortState {
    context: SharedContext,
    holder: SyncSender<HolderMessage>,
    connections: Arc<Semaphore>,
    refused: Arc<Semaphore>,
    bodies: BodyMemory,
}

/// Serves `listener` until the process ends. After a planned stop the
/// connections send what is left of their answers first.
pub async fn serve(
    context: SharedContext,
    listener: TcpListener,
    holder: SyncSender<HolderMessage>,
) {
    let graceful = GracefulShutdown::new();
    let send_limit = Duration::from_millis(context.settings.limits.send_ms);
    let connections = Arc::new(Semaphore::new(context.settings.limits.connections as usize));
    let bodies = BodyMemory::new(context.settings.limits.body_memory_bytes);
    let state = Arc::new(PortState {
        context,
        holder,
        connections,
        refused: Arc::new(Semaphore::new(REFUSED_CONNECTIONS)),
        bodies,
    });
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, peer)) = accepted else {
                    continue;
                };
                accept(&state, stream, peer, graceful.watcher());
            }
            () = tokio::time::sleep(STOP_POLL) => {
                if state.context.is_ended() {
                    break;
                }
            }
        }
    }
    drop(listener);
    if state.context.is_draining() {
        // A caller that reads nothing for the limit has left.
        let _late = tokio::time::timeout(send_limit, graceful.shutdown()).await;
    }
}

/// Serves one connection in a task of its own, unless there are too many.
fn accept(state: &Arc<PortState>, stream: TcpStream, peer: SocketAddr, watcher: Watcher) {
    let Ok(permit) = Arc::clone(&state.connections).try_acquire_owned() else {
        refuse(state, stream);
        return;
    };
    // Tokens are small writes that must not wait for each other.
    let _unsupported = stream.set_nodelay(true);
    let state = Arc::clone(state);
    tokio::spawn(async move {
        let limits = &state.context.settings.limits;
        let receive = Duration::from_millis(limits.receive_ms);
        let stream = TimedStream::new(stream, Duration::from_millis(limits.send_ms));
        let service = service_fn(move |request| answer(Arc::clone(&state), request, peer));
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(receive)
            .max_buf_size(READ_LIMIT)
            .half_close(false)
            .serve_connection(TokioIo::new(stream), service);
        // A caller that breaks the protocol or leaves ends only its own
        // connection.
        let _ended = watcher.watch(connection).await;
        drop(permit);
    });
}

/// Tells a connection over the limit that nothing ran. Beyond a second limit
/// connections are closed without a word.
fn refuse(state: &PortState, mut stream: TcpStream) {
    let Ok(permit) = Arc::clone(&state.refused).try_acquire_owned() else {
        return;
    };
    tokio::spawn(async move {
        let refusal = async {
            let mut unread = [0; REFUSED_READ];
            let _read = stream.read(&mut unread).await;
            let _sent = stream.write_all(REFUSAL.as_bytes()).await;
            let _closed = stream.shutdown().await;
        };
        let _late = tokio::time::timeout(REFUSE_LIMIT, refusal).await;
        drop(permit);
    });
}

/// Answers one request.
async fn answer(
    state: Arc<PortState>,
    request: Request<Incoming>,
    peer: SocketAddr,
) -> Result<Response<AnswerBody>, Infallible> {
    let target = request.uri();
    if request.method() == Method::GET && target.path() == address::ADDRESS_PATH {
        return Ok(address::respond(&state.context, target.query(), peer));
    }
    let received = Instant::now();
    let (head, body) = request.into_parts();
    let mut response = match identify(&state, &head, received) {
        Ok(identity) => receive_and_run(&state, identity, body).await,
        Err(failure) => answer::fail(&failure),
    };
    answer::stamp_config(&mut response, state.context.config.get().version);
    count(&state.context, &response, received);
    Ok(response)
}

/// Receives the body of an identified request and runs it.
async fn receive_and_run(
    state: &PortState,
    identity: CallerIdentity,
    body: Incoming,
) -> Response<AnswerBody> {
    let context = &state.context;
    let key = identity.key.clone();
    let budget = identity.budget.clone();
    let limits = &context.settings.limits;
    let mut response = match receive::receive(body, limits, &state.bodies).await {
        Ok(body) => run(state, identity, body).await,
        Err(failure) => answer::fail(&failure),
    };
    answer::stamp_key(&mut response, &key.key);
    if response.extensions().get() == Some(&RequestOutcome::Ran) {
        note(context, EventCode::AnswerBegun, &key, &budget);
    }
    response
}

/// Records an event of a request that no server has received yet, or whose
/// server is known from an earlier one.
fn note(context: &RouterContext, code: EventCode, key: &RequestKey, budget: &BudgetName) {
    let fields = EventFields {
        request: key.to_string(),
        team: key.team.to_string(),
        budget: budget.to_string(),
        ..EventFields::default()
    };
    context.events.record(code, fields);
}

/// Counts an answer by its outcome and reason.
fn count(context: &SharedContext, response: &Response<AnswerBody>, received: Instant) {
    let Some(outcome) = response.extensions().get::<RequestOutcome>() else {
        return;
    };
    let reason = response.extensions().get::<RefusalReason>();
    let reason = reason.map(|reason| reason.as_str());
    metrics::count_request(context, *outcome, reason, received.elapsed());
}

/// Checks everything that can be checked before the body is received.
fn identify(
    state: &PortState,
    head: &Parts,
    received: Instant,
) -> Result<CallerIdentity, RequestFailure> {
    let context = &state.context;
    if context.is_draining() {
        return Err(stopping(context));
    }
    check_header_size(head)?;
    let identity = admission::identify(context, head, received)?;
    let limit = context.settings.limits.requests;
    if context.in_progress.load(Ordering::Relaxed) >= limit {
        return Err(overloaded(limit));
    }
    Ok(identity)
}

/// Checks the size of the request line and the headers.
fn check_header_size(head: &Parts) -> Result<(), RequestFailure> {
    let mut bytes = head.uri.to_string().len();
    for (name, value) in &head.headers {
        bytes += name.as_str().len() + value.len();
    }
    if bytes <= HEADER_LIMIT {
        return Ok(());
    }
    let message = format!("failed to read the headers: they are larger than {HEADER_LIMIT} bytes");
    let reason = RefusalReason::HeadersTooLarge;
    Err(RequestFailure::unadmitted(reason, message))
}

/// Refuses because `limit` requests are in progress.
fn overloaded(limit: u32) -> RequestFailure {
    let message = format!("failed to take the request: {limit} requests are in progress");
    RequestFailure::unadmitted(RefusalReason::Overloaded, message)
}

/// Refuses with the addresses of the instances that stay.
fn stopping(context: &SharedContext) -> RequestFailure {
    let mut failure = RequestFailure::unadmitted(
        RefusalReason::Stopping,
        "failed to take the request: this instance is stopping",
    );
    let ready = context.fleet.lock().serving(UnixMillis::now());
    for instance in ready {
        if instance.name != context.settings.instance.name {
            failure.addresses.push(instance.callers);
        }
    }
    failure
}

/// Runs a received request in a thread of its own.
async fn run(
    state: &PortState,
    identity: CallerIdentity,
    body: ReceivedBody,
) -> Response<AnswerBody> {
    let context = Arc::clone(&state.context);
    let limit = context.settings.limits.requests;
    let running = context.in_progress.fetch_add(1, Ordering::Relaxed);
    if running >= limit {
        context.in_progress.fetch_sub(1, Ordering::Relaxed);
        return answer::fail(&overloaded(limit));
    }
    let holder = state.holder.clone();
    let mut waiting = identity.presence.hold();
    let (head, answered) = oneshot::channel();
    let spawned = thread::Builder::new()
        .name("request".to_owned())
        .stack_size(REQUEST_STACK)
        .spawn(move || {
            serve_request(&context, &holder, identity, body, head);
            context.in_progress.fetch_sub(1, Ordering::Relaxed);
        });
    if spawned.is_err() {
        state.context.in_progress.fetch_sub(1, Ordering::Relaxed);
        let message = "failed to take the request: no thread can be started";
        return answer::fail(&RequestFailure::unadmitted(
            RefusalReason::Overloaded,
            message,
        ));
    }
    let answered = answered.await;
    waiting.end();
    match answered {
        Ok(response) => response,
        Err(_) => answer::fail(&RequestFailure::unknown(
            RefusalReason::ServerFailed,
            "failed to answer: the request's thread ended",
        )),
    }
}

/// Checks the body and takes the request through its life. The body's memory
/// counts until the end.
fn serve_request(
    context: &SharedContext,
    holder: &SyncSender<HolderMessage>,
    identity: CallerIdentity,
    body: ReceivedBody,
    head: HeadSender,
) {
    let request = match admission::admit(context, identity, body.bytes) {
        Ok(request) => request,
        Err(failure) => {
            let _left = head.send(answer::fail(&failure));
            return;
        }
    };
    let code = EventCode::RequestAdmitted;
    note(context, code, &request.key, &request.budget);
    let call = AdmittedCall::new(request);
    match call.request.path {
        RequestPath::Chat { .. } => requests::chat::run(context, holder, call, head),
        RequestPath::Plain { .. } => requests::plain::run(context, holder, call, head),
    }
    drop(body.memory);
}
