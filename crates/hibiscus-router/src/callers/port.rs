//! The callers' port: connections, limits and dispatch.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::sync::mpsc::SyncSender;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use hibiscus_membership::address;
use hibiscus_types::RefusalReason;
use hibiscus_types::RequestOutcome;
use hibiscus_types::UnixMillis;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::body::Bytes;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::sync::oneshot;

use crate::callers::answer;
use crate::callers::answer::AnswerHead;
use crate::callers::answer::RequestFailure;
use crate::callers::body::AnswerBody;
use crate::context::SharedContext;
use crate::holder::HolderMessage;
use crate::requests;
use crate::requests::AdmittedCall;
use crate::requests::RequestPath;

/// Bytes of a request's headers at most.
const HEADER_LIMIT: usize = 16 * 1024;
/// Stack of a request's thread, in bytes.
const REQUEST_STACK: usize = 256 * 1024;
/// Time between looks at the stop flag.
const STOP_POLL: Duration = Duration::from_millis(50);

/// What the port's connections share.
struct PortState {
    context: SharedContext,
    holder: SyncSender<HolderMessage>,
    connections: Arc<Semaphore>,
}

/// Serves `listener` until the process ends.
pub async fn serve(
    context: SharedContext,
    listener: TcpListener,
    holder: SyncSender<HolderMessage>,
) {
    let connections = Arc::new(Semaphore::new(context.settings.limits.connections as usize));
    let state = Arc::new(PortState {
        context,
        holder,
        connections,
    });
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, peer)) = accepted else {
                    continue;
                };
                accept(&state, stream, peer);
            }
            () = tokio::time::sleep(STOP_POLL) => {
                if state.context.is_ended() {
                    return;
                }
            }
        }
    }
}

/// Serves one connection in a task of its own, unless there are too many.
fn accept(state: &Arc<PortState>, stream: TcpStream, peer: SocketAddr) {
    let Ok(permit) = Arc::clone(&state.connections).try_acquire_owned() else {
        return;
    };
    // Tokens are small writes that must not wait for each other.
    let _unsupported = stream.set_nodelay(true);
    let state = Arc::clone(state);
    tokio::spawn(async move {
        let receive = Duration::from_millis(state.context.settings.limits.receive_ms);
        let service = service_fn(move |request| answer(Arc::clone(&state), request, peer));
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(receive)
            .max_buf_size(HEADER_LIMIT)
            .serve_connection(TokioIo::new(stream), service);
        // A caller that breaks the protocol or leaves ends only its own
        // connection.
        let _ended = connection.await;
        drop(permit);
    });
}

/// Answers one request.
async fn answer(
    state: Arc<PortState>,
    request: Request<Incoming>,
    peer: SocketAddr,
) -> Result<Response<AnswerBody>, Infallible> {
    let path = request.uri().path().to_owned();
    if request.method() == Method::GET && path == "/v1/address" {
        return Ok(address_answer(&state.context, peer));
    }
    let answered = match receive(&state, request, path).await {
        Ok(call) => run(&state, call).await,
        Err(failure) => answer::fail(&failure),
    };
    Ok(answered)
}

/// Receives the body within its limits and checks who calls what.
async fn receive(
    state: &PortState,
    request: Request<Incoming>,
    path: String,
) -> Result<AdmittedCall, RequestFailure> {
    let context = &state.context;
    if context.is_draining() {
        return Err(stopping(context));
    }
    let limits = &context.settings.limits;
    let received = Instant::now();
    let (head, body) = request.into_parts();
    let limited = Limited::new(body, limits.body_bytes).collect();
    let timeout = Duration::from_millis(limits.receive_ms);
    let body = match tokio::time::timeout(timeout, limited).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(_)) => {
            let message = format!(
                "failed to receive the body: it is broken or larger than {} bytes",
                limits.body_bytes
            );
            return Err(RequestFailure::unadmitted(
                RefusalReason::BadRequest,
                message,
            ));
        }
        Err(_) => {
            let message = format!("failed to receive the body within {} ms", limits.receive_ms);
            return Err(RequestFailure::unadmitted(
                RefusalReason::BadRequest,
                message,
            ));
        }
    };
    requests::admit(context, &head, path, body, received)
}

/// Refuses with the addresses of the instances that stay.
fn stopping(context: &SharedContext) -> RequestFailure {
    let message = "failed to take the request: this instance is stopping";
    let mut failure = RequestFailure::unadmitted(RefusalReason::Stopping, message);
    let ready = context.fleet.lock().ready(UnixMillis::now());
    for instance in ready {
        if instance.name != context.settings.instance.name {
            failure.addresses.push(instance.callers);
        }
    }
    failure
}

/// Runs an admitted request in a thread of its own.
async fn run(state: &PortState, call: AdmittedCall) -> Response<AnswerBody> {
    let context = Arc::clone(&state.context);
    let limit = context.settings.limits.requests;
    let running = context.in_progress.fetch_add(1, Ordering::Relaxed);
    if running >= limit {
        context.in_progress.fetch_sub(1, Ordering::Relaxed);
        let message = format!("failed to take the request: {limit} requests are in progress");
        return answer::fail(&RequestFailure::unadmitted(
            RefusalReason::Overloaded,
            message,
        ));
    }
    let holder = state.holder.clone();
    let presence = call.request.presence.clone();
    let mut waiting = presence.hold();
    let (head, answered) = oneshot::channel();
    let spawned = thread::Builder::new()
        .name("request".to_owned())
        .stack_size(REQUEST_STACK)
        .spawn(move || {
            match call.request.path {
                RequestPath::Chat { .. } => requests::chat::run(&context, &holder, call, head),
                RequestPath::Plain { .. } => requests::plain::run(&context, &holder, call, head),
            }
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

/// The ranked addresses for a caller.
fn address_answer(context: &SharedContext, peer: SocketAddr) -> Response<AnswerBody> {
    let ready = context.fleet.lock().ready(UnixMillis::now());
    let caller = peer.ip().to_string();
    let answer = address::answer(&caller, &context.settings.instance.data_centre, &ready);
    let head = AnswerHead {
        status: 200,
        content_type: "application/json".to_owned(),
        outcome: RequestOutcome::Ran,
        key: String::new(),
    };
    let body = serde_json::to_vec(&answer).unwrap_or_default();
    answer::respond(&head, AnswerBody::whole(Bytes::from(body)))
}
