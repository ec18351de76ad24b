//! Listening ports of the traffic thread: callers' requests, and requests about
//! the status of this instance.

use std::convert::Infallible;
use std::io;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use hibiscus_events::EventCode;
use hibiscus_events::event;
use http::Request;
use http::Response;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::callers::CallerConnection;
use crate::connect::path::PathStream;
use crate::connect::path::StallLimit;
use crate::handler;
use crate::response_body::ResponseBody;
use crate::state::TrafficState;
use crate::tally::CloseReason;
use crate::wire_format::WireFormat;

/// Timeout for the head of a status request, and of any request while no
/// configuration is known.
const DEFAULT_HEAD_TIMEOUT: Duration = Duration::from_secs(15);
/// Minimum size of a connection's buffer that the HTTP library accepts.
const MIN_BUFFER_BYTES: usize = 8 * 1024;
/// Timeout for the first request on a connection that was accepted during a
/// graceful shutdown. Callers are a few milliseconds away.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay after a failed accept, such as for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Source address of a status request, stored as an extension of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerAddress(pub IpAddr);

/// Opens a listening port.
///
/// # Errors
///
/// Fails when the address is in use or does not belong to this machine.
pub async fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind(address).await
}

/// Accepts callers' connections until the port is closed at the end of a
/// graceful shutdown. Connections that the operating system has accepted by then
/// are served too.
pub async fn serve_callers<D: WireFormat>(listener: TcpListener, state: Rc<TrafficState<D>>) {
    loop {
        let accepted = tokio::select! {
            biased;
            accepted = accept(&listener) => accepted,
            () = state.port_closing() => break,
        };
        let Some((stream, _from)) = accepted else {
            continue;
        };
        let Some(caller) = state.callers.open() else {
            event!(
                EventCode::ConnectionsFull,
                "connections={}",
                state.callers.len()
            );
            state.tally.count_close(CloseReason::Full);
            continue;
        };
        tokio::task::spawn_local(serve_caller(stream, caller, Rc::clone(&state)));
    }
}

/// Serves requests about the status of this instance with `handler`.
pub async fn serve_status_requests<D, F>(
    listener: TcpListener,
    state: Rc<TrafficState<D>>,
    handler: F,
) where
    D: WireFormat,
    F: Fn(&TrafficState<D>, &Request<Incoming>) -> Response<ResponseBody> + Clone + 'static,
{
    loop {
        let Some((stream, from)) = accept(&listener).await else {
            continue;
        };
        let state = Rc::clone(&state);
        let handler = handler.clone();
        tokio::task::spawn_local(async move {
            let mut stream = PathStream::new(stream);
            stream.set_stall_limit(StallLimit::after(DEFAULT_HEAD_TIMEOUT));
            let service = service_fn(|mut request: Request<Incoming>| {
                request.extensions_mut().insert(CallerAddress(from.ip()));
                let response = handler(&state, &request);
                async move { Ok::<_, Infallible>(response) }
            });
            // A connection that fails has no request left to respond to.
            let _ended = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(DEFAULT_HEAD_TIMEOUT)
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

/// Accepts the next connection and returns it with its source address.
async fn accept(listener: &TcpListener) -> Option<(TcpStream, SocketAddr)> {
    match listener.accept().await {
        Ok(accepted) => Some(accepted),
        Err(error) => {
            event!(EventCode::ConnectionNotAccepted, "cause={error}");
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            None
        }
    }
}

/// Serves the requests of one caller's connection.
async fn serve_caller<D: WireFormat>(
    stream: TcpStream,
    caller: CallerConnection,
    state: Rc<TrafficState<D>>,
) {
    let limits = state.table().map(|table| table.config().limits);
    let idle = limits.map_or(DEFAULT_HEAD_TIMEOUT, |limits| limits.idle_timeout);
    let buffer = limits.map_or(MIN_BUFFER_BYTES, |limits| limits.header_bytes);
    let service = service_fn(|request: Request<Incoming>| {
        let state = Rc::clone(&state);
        let progress = caller.begin_request();
        async move { Ok::<_, Infallible>(handler::serve(state, request, progress).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(buffer.max(MIN_BUFFER_BYTES) * 2)
        .serve_connection(TokioIo::new(caller.watch(stream)), service);
    let mut connection = pin!(connection);
    // The result is ignored: when a connection ends, its requests are dropped and
    // log it.
    tokio::select! {
        _ended = connection.as_mut() => {}
        () = state.closing() => {
            caller.note_shutdown();
            // The first request on a connection that was just accepted may still be
            // in transit.
            let timeout = if caller.has_begun() { Duration::ZERO } else { FIRST_REQUEST_TIMEOUT };
            if tokio::time::timeout(timeout, connection.as_mut()).await.is_err() {
                connection.as_mut().graceful_shutdown();
                let _ended = connection.await;
            }
        }
        () = caller.close_requested() => {
            connection.as_mut().graceful_shutdown();
            let _ended = caller.finish(connection).await;
        }
    }
    if let Some(reason) = caller.close_reason() {
        state.tally.count_close(reason);
    }
}
