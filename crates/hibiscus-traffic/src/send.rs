//! Sends a request to one backend server and reads the head of its response.

use std::fmt;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use hibiscus_routing::request_limit::RequestRate;
use http::HeaderMap;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use metrics::counter;

use crate::cold::servers::ColdObservation;
use crate::connect::ConnectFault;
use crate::connect::ServerConnection;
use crate::connect::own_time;
use crate::idle::IdleConnection;
use crate::in_flight::InFlightRequest;
use crate::process_state;
use crate::process_state::ProcessFault;
use crate::server_limits::LimitObservation;
use crate::servers::ServerHandle;
use crate::wire_format::ResponseCold;
use crate::wire_format::ResponseHeaders;
use crate::wire_format::ResponseLimit;
use crate::wire_format::WireFormat;

/// Metric name: new connections to servers for requests, by outcome.
pub const SERVER_CONNECTIONS: &str = "hibiscus_server_connections_total";

/// Timeout for an open connection to accept a request.
const READY_TIMEOUT: Duration = Duration::from_millis(200);

/// Largest status code of the protocol. The HTTP library rejects codes below 100 and
/// passes those up to 999.
const MAX_STATUS: u16 = 599;

/// Interval between checks whether a server is silent.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// A server's response whose head has arrived.
#[derive(Debug)]
pub struct ServerResponse {
    /// Head and unread body.
    pub response: Response<Incoming>,
    /// Parsed header fields.
    pub headers: ResponseHeaders,
    /// The request in flight at the server.
    pub in_flight: InFlightRequest,
}

/// Why a request that was sent got no usable response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureCause {
    /// The connection closed before the head of the response arrived.
    Broken,
    /// The connection closed, the deadline passed or the size limit was exceeded
    /// while the response body was read.
    ResponseBroken,
    /// The server has sent nothing on any connection for some time.
    Silent,
    /// The response has the id of another request.
    OtherRequest,
    /// The response switches to another protocol, which was not requested.
    Switched,
    /// The status code is none of the protocol.
    InvalidStatus,
    /// The response is a failure without a request id, so it may be for another request.
    Unnamed,
    /// The response reports success but has no signature or no request id.
    Unsigned,
    /// The status promises that the request did not run, but the response lacks
    /// the server's proof, or does not name the request.
    Unproven,
    /// The response has a server error status.
    ServerError,
}

impl FailureCause {
    /// Whether the server may have crashed.
    pub fn may_be_crash(self) -> bool {
        matches!(self, Self::Broken | Self::ResponseBroken)
    }
}

impl fmt::Display for FailureCause {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Broken => "the server closed the connection",
            Self::ResponseBroken => "the response is incomplete",
            Self::Silent => "the server is silent",
            Self::OtherRequest => "the response is for another request",
            Self::Switched => "the response switches to another protocol",
            Self::InvalidStatus => "the status code is not valid",
            Self::Unnamed => "the response names no request",
            Self::Unsigned => "the response is not signed",
            Self::Unproven => "the server refused without proof",
            Self::ServerError => "the server responded with an error",
        })
    }
}

/// Outcome of sending a request.
#[derive(Debug)]
pub enum SendOutcome {
    /// The server responded; it may have run the request.
    Responded(Box<ServerResponse>),
    /// No byte of the request reached a server.
    NotSent(ConnectFault),
    /// The server proved that it did not run the request.
    NotRun(StatusCode),
    /// The request was sent; whether it ran is unknown.
    Unknown(FailureCause),
    /// The deadline passed after the request was sent.
    TimedOut,
    /// The server stopped accepting requests in the meantime, so nothing was sent.
    Withdrawn,
    /// Another process of the server responds than the one that wrote its entry, or this
    /// is not known, so the request was not sent.
    OtherProcess,
}

/// Whether it matters which process of a server gets a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessCheck {
    /// It does not.
    None,
    /// Another process than the one that wrote the entry is not used. If the server does
    /// not tell, the request is sent.
    Preferred,
    /// Only the process that wrote the entry is used.
    Required,
}

/// Outcome of sending a request, and what the response says about the server.
#[derive(Debug)]
pub struct SendReport {
    /// Outcome of sending.
    pub outcome: SendOutcome,
    /// Whether the response says that the server is draining.
    pub draining: bool,
    /// What the response says about the server's limit; `None` if it is no
    /// evidence.
    pub limit: Option<LimitObservation>,
    /// What the response says about the server's cold time.
    pub cold: Option<ColdObservation>,
    /// Whether the process that got the request is known to be the one that wrote the
    /// server's entry.
    pub is_verified: bool,
}

impl From<SendOutcome> for SendReport {
    fn from(outcome: SendOutcome) -> Self {
        Self {
            outcome,
            draining: false,
            limit: None,
            cold: None,
            is_verified: false,
        }
    }
}

/// A request to a backend server.
#[derive(Clone, Copy, Debug)]
pub struct OutgoingRequest<'a> {
    /// The caller's method.
    pub method: &'a http::Method,
    /// The caller's path and query.
    pub target: &'a http::Uri,
    /// Header fields, including those for this server.
    pub headers: &'a HeaderMap,
    /// The caller's body.
    pub body: &'a Bytes,
    /// Request id of this attempt, which the response must repeat.
    pub id: &'a str,
    /// When waiting for the head of the response ends.
    pub deadline: Instant,
    /// Whether to give up on a silent server, although the request may still run
    /// there while another server runs it.
    pub abandon_if_silent: bool,
    /// Whether it matters which process of the server gets the request.
    pub process_check: ProcessCheck,
}

/// Sends `outgoing` to the server of `in_flight`. Gives up on a silent server
/// only while `has_other` returns true, which means that another server can take
/// over the request.
pub async fn send<D: WireFormat>(
    format: &D,
    mut in_flight: InFlightRequest,
    outgoing: &OutgoingRequest<'_>,
    has_other: impl Fn() -> bool,
) -> SendReport {
    let server = Rc::clone(in_flight.server());
    let server = &server;
    let mut idle = take_idle(server).await;
    let (sent_at, is_verified, response) = loop {
        let is_reused = idle.is_some();
        let connection = match obtain_connection(server, idle.take()).await {
            Ok(connection) => connection,
            Err(fault) => {
                server.note_failed();
                return SendOutcome::NotSent(fault).into();
            }
        };
        let connection = match process_state::check(format, server, connection, outgoing).await {
            Ok(connection) => connection,
            // A reused connection may have been closed long ago.
            Err(ProcessFault::Broken) if is_reused => continue,
            Err(ProcessFault::Broken) => {
                server.note_failed();
                return SendOutcome::NotSent(ConnectFault::Refused).into();
            }
            // It says nothing of the server yet.
            Err(ProcessFault::Late) => return SendOutcome::NotSent(ConnectFault::Silent).into(),
            Err(ProcessFault::Other) => return SendOutcome::OtherProcess.into(),
        };
        let is_verified = connection.is_verified();
        // A response to another request may have arrived while the connection
        // opened, and the server may accept no more requests.
        if !in_flight.may_send() {
            server.park(connection);
            return SendOutcome::Withdrawn.into();
        }
        let connection = in_flight.use_connection(connection);
        let sent_at = Instant::now();
        server.count_limited();
        match wait_for_head(connection, server, outgoing, &has_other).await {
            Ok(response) => break (sent_at, is_verified, response),
            // A reused connection may have been closed long ago, which does not
            // mean that the server refuses new ones.
            Err(SendOutcome::NotSent(_)) if is_reused => in_flight.note_not_run(),
            Err(outcome) => {
                if let SendOutcome::NotSent(_) = outcome {
                    in_flight.note_not_run();
                }
                return outcome.into();
            }
        }
    };
    server.note_received();
    let headers = format.parse_response_headers(response.headers());
    // A misdirected request reached another server than the intended one.
    let is_intended = response.status() != StatusCode::MISDIRECTED_REQUEST;
    let draining = headers.draining && is_intended;
    let limit = observed_limit(&headers, outgoing.id).filter(|_limit| is_intended);
    let limit = limit.map(|limit| LimitObservation { limit, sent_at });
    let cold = observed_cold(&headers, outgoing.id, sent_at).filter(|_cold| is_intended);
    let outcome = classify(response, headers, in_flight, outgoing.id);
    SendReport {
        outcome,
        draining,
        limit,
        cold,
        is_verified,
    }
}

/// Returns what the response to the request `id` says about the cold time of its
/// server; `None` if it says nothing, or is for another request.
fn observed_cold(headers: &ResponseHeaders, id: &str, sent_at: Instant) -> Option<ColdObservation> {
    if headers.id.as_ref().is_some_and(|other| other != id) {
        return None;
    }
    let remaining = match headers.cold {
        ResponseCold::Absent => return None,
        ResponseCold::Invalid => None,
        ResponseCold::Remaining(remaining) => Some(remaining),
    };
    Some(ColdObservation { remaining, sent_at })
}

/// Returns the limit in the response to the request `id`; `None` if the response
/// is no evidence: it is for another request, its limit cannot be parsed, or it
/// may not be the server's.
fn observed_limit(headers: &ResponseHeaders, id: &str) -> Option<Option<RequestRate>> {
    if headers.id.as_ref().is_some_and(|other| other != id) {
        return None;
    }
    match headers.limit {
        ResponseLimit::Named(rate) => Some(Some(rate)),
        ResponseLimit::Absent if headers.signed || headers.not_run => Some(None),
        ResponseLimit::Absent | ResponseLimit::Invalid => None,
    }
}

/// Sends on `connection` and waits for the head of the response.
async fn wait_for_head(
    connection: &mut ServerConnection,
    server: &ServerHandle,
    outgoing: &OutgoingRequest<'_>,
    has_other: impl Fn() -> bool,
) -> Result<Response<Incoming>, SendOutcome> {
    let head = connection.head_counter().clone();
    head.begin();
    let mut exchange = pin!(exchange(connection.sender(), outgoing));
    loop {
        let time_left = outgoing.deadline.saturating_duration_since(Instant::now());
        let is_last = !outgoing.abandon_if_silent || time_left <= SILENCE_CHECK_INTERVAL;
        let ended = if is_last {
            tokio::time::timeout(time_left, exchange.as_mut())
                .await
                .ok()
        } else {
            own_time::timeout(SILENCE_CHECK_INTERVAL, exchange.as_mut()).await
        };
        match ended {
            Some(Ok(response)) => {
                head.end();
                return Ok(response);
            }
            Some(Err(ExchangeFault::NotSent)) => {
                return Err(SendOutcome::NotSent(ConnectFault::Refused));
            }
            Some(Err(ExchangeFault::Unknown)) => {
                server.note_failed();
                return Err(SendOutcome::Unknown(FailureCause::Broken));
            }
            None if is_last => {
                server.note_failed();
                return Err(SendOutcome::TimedOut);
            }
            None if server.is_silent() && has_other() => {
                server.note_failed();
                return Err(SendOutcome::Unknown(FailureCause::Silent));
            }
            None => {}
        }
    }
}

/// Determines from the head of a response whether the request may have run.
fn classify(
    response: Response<Incoming>,
    headers: ResponseHeaders,
    mut in_flight: InFlightRequest,
    id: &str,
) -> SendOutcome {
    let server = Rc::clone(in_flight.server());
    if let Some(load) = &headers.load {
        server.note_load(load);
    }
    let status = response.status();
    if refuses(status) {
        in_flight.note_refused(headers.pause);
    } else {
        in_flight.note_accepted();
    }
    let is_other = headers
        .id
        .as_ref()
        .is_some_and(|response_id| response_id != id);
    if is_other {
        server.note_inconclusive();
        return SendOutcome::Unknown(FailureCause::OtherRequest);
    }
    let is_unnamed = headers.id.is_none() && !id.is_empty();
    if headers.not_run || status == StatusCode::MISDIRECTED_REQUEST {
        server.note_inconclusive();
        // A faulty server may repeat the refusal of an earlier request.
        if is_unnamed {
            return SendOutcome::Unknown(FailureCause::Unproven);
        }
        in_flight.note_not_run();
        return SendOutcome::NotRun(status);
    }
    if status.is_success() && (!headers.signed || is_unnamed) {
        server.note_failed();
        return SendOutcome::Unknown(FailureCause::Unsigned);
    }
    if promises_not_run(status) {
        // Such a status is trusted only with the server's proof.
        server.note_failed();
        return SendOutcome::Unknown(FailureCause::Unproven);
    }
    if status.is_informational() {
        server.note_failed();
        return SendOutcome::Unknown(FailureCause::Switched);
    }
    if status.as_u16() > MAX_STATUS {
        server.note_failed();
        return SendOutcome::Unknown(FailureCause::InvalidStatus);
    }
    if is_unnamed {
        // A response to an earlier request may arrive late on a connection in use again.
        server.note_inconclusive();
        return SendOutcome::Unknown(FailureCause::Unnamed);
    }
    if let Some(timeout) = idle_timeout(response.headers())
        && let Some(connection) = in_flight.connection()
    {
        connection.set_idle_timeout(timeout);
    }
    SendOutcome::Responded(Box::new(ServerResponse {
        response,
        headers,
        in_flight,
    }))
}

/// Whether `status` means that the server refused the request.
fn refuses(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Whether callers rely on `status` as a promise that the request did not run.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Why sending on one connection failed.
enum ExchangeFault {
    /// No byte of the request was sent.
    NotSent,
    /// The request may have arrived at the server.
    Unknown,
}

/// Sends the request on a connection and waits for the head of the response.
async fn exchange(
    sender: &mut SendRequest<Full<Bytes>>,
    outgoing: &OutgoingRequest<'_>,
) -> Result<Response<Incoming>, ExchangeFault> {
    let ready = tokio::time::timeout(READY_TIMEOUT, sender.ready()).await;
    if !matches!(ready, Ok(Ok(()))) {
        return Err(ExchangeFault::NotSent);
    }
    let mut request = Request::new(Full::new(outgoing.body.clone()));
    *request.method_mut() = outgoing.method.clone();
    *request.uri_mut() = outgoing.target.clone();
    *request.headers_mut() = outgoing.headers.clone();
    match sender.try_send_request(request).await {
        Ok(response) => Ok(response),
        Err(mut error) => match error.take_message() {
            Some(_unsent) => Err(ExchangeFault::NotSent),
            None => Err(ExchangeFault::Unknown),
        },
    }
}

/// Takes an idle connection that has not been closed by the server.
async fn take_idle(server: &ServerHandle) -> Option<ServerConnection> {
    while let Some(connection) = server.take_idle() {
        // Lets the connection's task read pending bytes or the end of the stream.
        tokio::task::yield_now().await;
        if connection.is_usable() {
            return Some(connection);
        }
    }
    None
}

/// Returns the `idle` connection, or opens a new one.
async fn obtain_connection(
    server: &ServerHandle,
    idle: Option<ServerConnection>,
) -> Result<ServerConnection, ConnectFault> {
    if let Some(connection) = idle {
        return Ok(connection);
    }
    let opened = ServerConnection::open(server.entry.address).await;
    if opened.is_ok() {
        server.note_reached();
    }
    let outcome = match opened {
        Ok(_) => "opened",
        Err(ConnectFault::Closed) => "closed",
        Err(ConnectFault::Refused) => "refused",
        Err(ConnectFault::Silent) => "silent",
    };
    counter!(SERVER_CONNECTIONS, "outcome" => outcome).increment(1);
    opened
}

/// Timeout after which the server closes the connection when idle, from its
/// `Keep-Alive` header.
fn idle_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let mut fields = value.split(',');
    let seconds = fields.find_map(|field| field.trim().strip_prefix("timeout="))?;
    Some(Duration::from_secs(seconds.trim().parse().ok()?))
}

/// Removes hop-by-hop header fields: the standard ones and those that the
/// `Connection` header lists.
pub fn strip_connection_headers(headers: &mut HeaderMap) {
    let named = headers.get_all(header::CONNECTION);
    let named: Vec<String> = named
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in named {
        headers.remove(name.as_str());
    }
    for name in [
        header::CONNECTION,
        header::PROXY_AUTHENTICATE,
        header::PROXY_AUTHORIZATION,
        header::TE,
        header::TRAILER,
        header::TRANSFER_ENCODING,
        header::UPGRADE,
        header::EXPECT,
    ] {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
}
