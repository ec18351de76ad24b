//! Sends a request to one server and reads the head of its answer.

use std::fmt;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::HeaderMap;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use metrics::counter;

use crate::connect::ConnectFault;
use crate::connect::ServerConnection;
use crate::idle::IdleConnection;
use crate::in_flight::InFlightRequest;
use crate::servers::ServerHandle;
use crate::wire_format::ResponseHeaders;
use crate::wire_format::WireFormat;

/// New connections to servers for requests, by outcome.
pub const SERVER_CONNECTIONS: &str = "hibiscus_server_connections_total";

/// Time for a kept connection to take a request.
const READY_LIMIT: Duration = Duration::from_millis(200);

/// Time between two looks at whether a server is silent.
const SILENCE_STEP: Duration = Duration::from_millis(100);

/// What a server said first.
#[derive(Debug)]
pub struct ServerResponse {
    /// Head and body.
    pub answer: Response<Incoming>,
    /// What the head says.
    pub signs: ResponseHeaders,
    /// The request at the server.
    pub flight: InFlightRequest,
}

/// Why a request that was sent got no answer that is of use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureCause {
    /// The connection ended before the head of the answer.
    Broken,
    /// The connection ended, or time ran out, within the answer.
    AnswerBroken,
    /// The server sent nothing to anybody for long.
    Silent,
    /// The answer names another request.
    OtherRequest,
    /// The answer is a success without a signature.
    Unsigned,
    /// The answer promises that the request did not run, without proof.
    Unproven,
    /// The answer is the server's own failure.
    ServerError,
}

impl FailureCause {
    /// Whether the server may have ended.
    pub fn is_broken(self) -> bool {
        matches!(self, Self::Broken | Self::AnswerBroken)
    }
}

impl fmt::Display for FailureCause {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Broken => "the server broke the connection",
            Self::AnswerBroken => "the answer broke off",
            Self::Silent => "the server is silent",
            Self::OtherRequest => "the answer is for another request",
            Self::Unsigned => "the answer is not signed",
            Self::Unproven => "the server refused without proof",
            Self::ServerError => "the server answered with a failure",
        })
    }
}

/// How sending ended.
#[derive(Debug)]
pub enum SendOutcome {
    /// The server answered for itself; it may have run the request.
    Answered(Box<ServerResponse>),
    /// No byte of the request reached a server.
    NotSent(ConnectFault),
    /// The server proved that it did not run the request.
    NotRun(StatusCode),
    /// The request was sent; whether it ran is not known.
    Unknown(FailureCause),
    /// The time ran out after the request was sent.
    TimedOut,
    /// The server wants no requests any more, so nothing was sent.
    Withdrawn,
}

/// How sending ended, and what else the server said.
#[derive(Debug)]
pub struct SendReport {
    /// How it ended.
    pub outcome: SendOutcome,
    /// Whether the server said that it leaves.
    pub leaving: bool,
}

impl From<SendOutcome> for SendReport {
    fn from(outcome: SendOutcome) -> Self {
        Self {
            outcome,
            leaving: false,
        }
    }
}

/// A request as it goes to a server.
#[derive(Clone, Copy, Debug)]
pub struct OutgoingRequest<'a> {
    /// The caller's method.
    pub method: &'a http::Method,
    /// The caller's path and query.
    pub target: &'a http::Uri,
    /// The headers, those for this server included.
    pub headers: &'a HeaderMap,
    /// The caller's body.
    pub body: &'a Bytes,
    /// The attempt's number, which the answer must bear.
    pub id: &'a str,
    /// When waiting for the head of the answer ends.
    pub until: Instant,
    /// Whether another server may run it while this one may still do.
    pub abandon_if_silent: bool,
}

/// Sends `outgoing` to the server of `flight`. One that is silent for long is
/// given up only while `has_other` says that the request can go on elsewhere.
pub async fn send<D: WireFormat>(
    dialect: &D,
    mut flight: InFlightRequest,
    outgoing: &OutgoingRequest<'_>,
    has_other: impl Fn() -> bool,
) -> SendReport {
    let server = Rc::clone(flight.server());
    let server = &server;
    let mut kept = take_kept(server).await;
    let answer = loop {
        let is_kept = kept.is_some();
        let link = match obtain_link(server, kept.take()).await {
            Ok(link) => link,
            Err(fault) => {
                server.note_failed();
                return SendOutcome::NotSent(fault).into();
            }
        };
        // An answer to another request may have come while the connection opened.
        if !flight.may_leave() {
            server.park(link);
            return SendOutcome::Withdrawn.into();
        }
        let link = flight.use_link(link);
        match wait_for_head(link, server, outgoing, &has_other).await {
            Ok(answer) => break answer,
            // A kept connection that ended says nothing of the server now.
            Err(SendOutcome::NotSent(_)) if is_kept => {}
            Err(outcome) => return outcome.into(),
        }
    };
    server.note_received();
    let signs = dialect.parse_response_headers(answer.headers());
    // Another server than the one meant says nothing of that one.
    let meant = answer.status() != StatusCode::MISDIRECTED_REQUEST;
    let leaving = signs.draining && meant;
    let outcome = judge(answer, signs, flight, outgoing.id);
    SendReport { outcome, leaving }
}

/// Sends on `link` and waits for the head of the answer.
async fn wait_for_head(
    link: &mut ServerConnection,
    server: &ServerHandle,
    outgoing: &OutgoingRequest<'_>,
    has_other: impl Fn() -> bool,
) -> Result<Response<Incoming>, SendOutcome> {
    let head = link.head().clone();
    head.begin();
    let mut waited = pin!(exchange(link.sender(), outgoing));
    loop {
        let left = outgoing.until.saturating_duration_since(Instant::now());
        let step = if outgoing.abandon_if_silent {
            left.min(SILENCE_STEP)
        } else {
            left
        };
        match tokio::time::timeout(step, waited.as_mut()).await {
            Ok(Ok(answer)) => {
                head.end();
                return Ok(answer);
            }
            Ok(Err(Exchange::NotSent)) => {
                return Err(SendOutcome::NotSent(ConnectFault::Refused));
            }
            Ok(Err(Exchange::Unknown)) => {
                server.note_failed();
                return Err(SendOutcome::Unknown(FailureCause::Broken));
            }
            Err(_elapsed) if step == left => {
                server.note_failed();
                return Err(SendOutcome::TimedOut);
            }
            Err(_elapsed) if server.is_silent() && has_other() => {
                server.note_failed();
                return Err(SendOutcome::Unknown(FailureCause::Silent));
            }
            Err(_elapsed) => {}
        }
    }
}

/// Decides what the head of an answer proves.
fn judge(
    answer: Response<Incoming>,
    signs: ResponseHeaders,
    mut flight: InFlightRequest,
    id: &str,
) -> SendOutcome {
    let server = Rc::clone(flight.server());
    if let Some(load) = &signs.load {
        server.note_load(load);
    }
    let status = answer.status();
    if refuses(status) {
        flight.note_refused(signs.pause);
    } else {
        flight.note_accepted();
    }
    let other = signs.id.as_ref().is_some_and(|answered| answered != id);
    if other {
        server.note_inconclusive();
        return SendOutcome::Unknown(FailureCause::OtherRequest);
    }
    if signs.not_run || status == StatusCode::MISDIRECTED_REQUEST {
        server.note_inconclusive();
        return SendOutcome::NotRun(status);
    }
    if status.is_success() && (!signs.signed || (signs.id.is_none() && !id.is_empty())) {
        server.note_failed();
        return SendOutcome::Unknown(FailureCause::Unsigned);
    }
    if promises_not_run(status) {
        // Only the server's own proof makes such a status true.
        server.note_failed();
        return SendOutcome::Unknown(FailureCause::Unproven);
    }
    if let Some(limit) = idle_limit(answer.headers())
        && let Some(link) = flight.link()
    {
        link.set_idle_limit(limit);
    }
    SendOutcome::Answered(Box::new(ServerResponse {
        answer,
        signs,
        flight,
    }))
}

/// Whether a server that answers with `status` turns the request away.
fn refuses(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Whether callers take `status` for a promise that the request did not run.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// How sending on one connection failed.
enum Exchange {
    NotSent,
    Unknown,
}

/// Sends on a connection; a request that never left it is not sent.
async fn exchange(
    sender: &mut SendRequest<Full<Bytes>>,
    outgoing: &OutgoingRequest<'_>,
) -> Result<Response<Incoming>, Exchange> {
    let ready = tokio::time::timeout(READY_LIMIT, sender.ready()).await;
    if !matches!(ready, Ok(Ok(()))) {
        return Err(Exchange::NotSent);
    }
    let mut request = Request::new(Full::new(outgoing.body.clone()));
    *request.method_mut() = outgoing.method.clone();
    *request.uri_mut() = outgoing.target.clone();
    *request.headers_mut() = outgoing.headers.clone();
    match sender.try_send_request(request).await {
        Ok(answer) => Ok(answer),
        Err(mut error) => match error.take_message() {
            Some(_unsent) => Err(Exchange::NotSent),
            None => Err(Exchange::Unknown),
        },
    }
}

/// A kept connection that has not ended by what has come on it so far.
async fn take_kept(server: &ServerHandle) -> Option<ServerConnection> {
    while let Some(link) = server.take_idle() {
        // What has come for it, be it its end, is read before this goes on.
        tokio::task::yield_now().await;
        if link.is_usable() {
            return Some(link);
        }
    }
    None
}

/// The `kept` connection, or a new one.
async fn obtain_link(
    server: &ServerHandle,
    kept: Option<ServerConnection>,
) -> Result<ServerConnection, ConnectFault> {
    if let Some(link) = kept {
        return Ok(link);
    }
    let opened = ServerConnection::open(server.entry.address).await;
    let outcome = match opened {
        Ok(_) => "opened",
        Err(ConnectFault::Closed) => "closed",
        Err(ConnectFault::Refused) => "refused",
        Err(ConnectFault::Silent) => "silent",
    };
    counter!(SERVER_CONNECTIONS, "outcome" => outcome).increment(1);
    opened
}

/// How long the server keeps the connection idle.
fn idle_limit(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let mut fields = value.split(',');
    let seconds = fields.find_map(|field| field.trim().strip_prefix("timeout="))?;
    Some(Duration::from_secs(seconds.trim().parse().ok()?))
}

/// Removes the headers that concern one connection, and those that name them.
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
