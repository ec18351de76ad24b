//! Ports of the traffic thread.

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
use crate::connect;
use crate::handler;
use crate::response_body::ResponseBody;
use crate::state::TrafficState;
use crate::tally::CloseReason;
use crate::wire_format::WireFormat;

/// Time for a head while no configuration is known.
const FIRST_IDLE_LIMIT: Duration = Duration::from_secs(15);
/// Least size of a connection's buffer, as the HTTP library requires.
const LEAST_BUFFER: usize = 8 * 1024;
/// Time for the first request on a connection that was accepted during a
/// planned stop: callers are a few milliseconds away.
const FIRST_REQUEST_TIME: Duration = Duration::from_millis(500);
/// Pause after a failure to accept, such as running out of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Where a call about this instance comes from; an extension of its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerAddress(pub IpAddr);

/// Opens a port.
///
/// # Errors
///
/// Fails when the address is in use or not this machine's.
pub async fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind(address).await
}

/// Accepts callers' connections until the port is closed at the end of a
/// planned stop. What the system has accepted by then is served too.
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

/// Answers calls about this instance with `answer`.
pub async fn serve_status_requests<D, F>(
    listener: TcpListener,
    state: Rc<TrafficState<D>>,
    answer: F,
) where
    D: WireFormat,
    F: Fn(&TrafficState<D>, &Request<Incoming>) -> Response<ResponseBody> + Clone + 'static,
{
    loop {
        let Some((stream, from)) = accept(&listener).await else {
            continue;
        };
        let state = Rc::clone(&state);
        let answer = answer.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(|mut request: Request<Incoming>| {
                request.extensions_mut().insert(CallerAddress(from.ip()));
                let answer = answer(&state, &request);
                async move { Ok::<_, Infallible>(answer) }
            });
            // A connection that fails has no request to answer.
            let _ended = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(FIRST_IDLE_LIMIT)
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

/// The next connection, and where it comes from.
async fn accept(listener: &TcpListener) -> Option<(TcpStream, SocketAddr)> {
    match listener.accept().await {
        Ok((stream, from)) => {
            connect::set_options(&stream);
            Some((stream, from))
        }
        Err(error) => {
            event!(EventCode::ConnectionNotAccepted, "cause={error}");
            tokio::time::sleep(ACCEPT_PAUSE).await;
            None
        }
    }
}

/// Serves the requests of one connection.
async fn serve_caller<D: WireFormat>(
    stream: TcpStream,
    caller: CallerConnection,
    state: Rc<TrafficState<D>>,
) {
    let limits = state.table().map(|table| table.config().limits);
    let idle = limits.map_or(FIRST_IDLE_LIMIT, |limits| limits.idle_timeout);
    let buffer = limits.map_or(LEAST_BUFFER, |limits| limits.header_bytes);
    let service = service_fn(|request: Request<Incoming>| {
        let state = Rc::clone(&state);
        let progress = caller.begin_request();
        async move { Ok::<_, Infallible>(handler::serve(state, request, progress).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(buffer.max(LEAST_BUFFER) * 2)
        .serve_connection(TokioIo::new(caller.watch(stream)), service);
    let mut connection = pin!(connection);
    // The end of a connection shows at its requests, whose tasks it drops.
    tokio::select! {
        _ended = connection.as_mut() => {}
        () = state.closing() => {
            caller.note_stopping();
            // The first request on a connection that was just accepted is on
            // its way.
            let wait = if caller.has_begun() { Duration::ZERO } else { FIRST_REQUEST_TIME };
            if tokio::time::timeout(wait, connection.as_mut()).await.is_err() {
                connection.as_mut().graceful_shutdown();
                let _ended = connection.await;
            }
        }
        () = caller.ended() => {
            connection.as_mut().graceful_shutdown();
            let _ended = caller.finish(connection).await;
        }
    }
    if let Some(reason) = caller.closing() {
        state.tally.count_close(reason);
    }
}
