//! Checks on a connection that the process of a server is the one that wrote its entry.
//!
//! A server may start again under its name, with another software version, before its
//! new entry is read, which may take as long as the store rejects this instance. A
//! connection belongs to one process, so it is checked once.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Uri;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use metrics::counter;
use tokio::task::JoinHandle;

use crate::connect::ServerConnection;
use crate::connect::own_time;
use crate::send::OutgoingRequest;
use crate::send::ProcessCheck;
use crate::servers::ServerHandle;
use crate::wire_format::WireFormat;

/// Time for which a request waits for a check: servers respond within a few milliseconds,
/// without a slot.
const CHECK_TIMEOUT: Duration = Duration::from_millis(300);
/// Time after which a check that no request waits for has failed.
const LATE_CHECK_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of the response to a check.
const STATE_LIMIT_BYTES: usize = 256 * 1024;

/// Counts checks of which process of a server responds, by outcome.
pub const PROCESS_CHECKS: &str = "hibiscus_process_checks_total";

/// Why the connection must not be used for the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessFault {
    /// The connection broke.
    Broken,
    /// The server has not responded in time. It may do so later.
    Late,
    /// Another process responds, or the server does not tell which.
    Other,
}

/// Checks that the process at the other end of `connection` is the one that wrote the
/// entry of `server`, if it matters for the request. Returns the connection if the request
/// may be sent on it.
///
/// A check that takes too long goes on, and its connection is kept for later requests if the
/// process is the right one.
///
/// # Errors
///
/// Fails if the request must not be sent on the connection.
pub async fn check<D: WireFormat>(
    format: &D,
    server: &Rc<ServerHandle>,
    connection: ServerConnection,
    outgoing: &OutgoingRequest<'_>,
) -> Result<ServerConnection, ProcessFault> {
    let rule = outgoing.process_check;
    if rule == ProcessCheck::None || connection.is_verified() {
        return Ok(connection);
    }
    let mut check =
        tokio::task::spawn_local(run_check(format.clone(), Rc::clone(server), connection));
    // A request that is dropped leaves the check to go on as well.
    match own_time::timeout(CHECK_TIMEOUT, &mut check).await {
        Some(Ok((CheckedProcess::Same | CheckedProcess::Untold, connection)))
            if rule == ProcessCheck::Preferred || connection.is_verified() =>
        {
            Ok(connection)
        }
        Some(Ok((CheckedProcess::Broken, _))) | Some(Err(_)) => Err(ProcessFault::Broken),
        Some(Ok(_other)) => Err(ProcessFault::Other),
        None => {
            counter!(PROCESS_CHECKS, "outcome" => "late").increment(1);
            tokio::task::spawn_local(keep_late(Rc::clone(server), check));
            Err(ProcessFault::Late)
        }
    }
}

/// What a check has found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CheckedProcess {
    /// The process that wrote the entry responds.
    Same,
    /// The server does not tell which process responds.
    Untold,
    /// Another process responds.
    Other,
    /// The connection broke, or nothing was received for long.
    Broken,
}

impl CheckedProcess {
    /// Value of the `outcome` label.
    fn label(self) -> &'static str {
        match self {
            Self::Same => "same",
            Self::Untold => "untold",
            Self::Other => "other",
            Self::Broken => "broken",
        }
    }
}

/// Checks the process at the other end of `connection`.
async fn run_check<D: WireFormat>(
    format: D,
    server: Rc<ServerHandle>,
    mut connection: ServerConnection,
) -> (CheckedProcess, ServerConnection) {
    let read = read_state(&mut connection, format.server_state_target(), &server);
    let read = own_time::timeout(LATE_CHECK_TIMEOUT, read).await.flatten();
    let found = match &read {
        None => CheckedProcess::Broken,
        Some((headers, body)) => match format.parse_server_start(body) {
            Some(started) if started == server.entry.started => {
                if let Some(load) = &format.parse_response_headers(headers).load {
                    server.note_load(load);
                }
                connection.set_verified();
                CheckedProcess::Same
            }
            Some(_) => CheckedProcess::Other,
            None => CheckedProcess::Untold,
        },
    };
    counter!(PROCESS_CHECKS, "outcome" => found.label()).increment(1);
    (found, connection)
}

/// Keeps the connection of a check that no request waits for any more.
async fn keep_late(
    server: Rc<ServerHandle>,
    check: JoinHandle<(CheckedProcess, ServerConnection)>,
) {
    match check.await {
        Ok((CheckedProcess::Same, connection)) => server.park(connection),
        Ok((CheckedProcess::Broken, _closed)) => server.note_failed(),
        _other => {}
    }
}

/// Reads what the server says of itself, headers and body; `None` if the connection broke.
async fn read_state(
    connection: &mut ServerConnection,
    target: &'static str,
    server: &ServerHandle,
) -> Option<(HeaderMap, Bytes)> {
    let head = connection.head_counter().clone();
    let sender = connection.sender();
    sender.ready().await.ok()?;
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.method_mut() = Method::GET;
    *request.uri_mut() = Uri::from_static(target);
    let host = HeaderValue::from_str(&server.entry.address.to_string()).ok()?;
    request.headers_mut().insert(header::HOST, host);
    head.begin();
    let response = sender.send_request(request).await.ok()?;
    head.end();
    let (response_head, body) = response.into_parts();
    let body = Limited::new(body, STATE_LIMIT_BYTES);
    let body = body.collect().await.ok()?;
    sender.ready().await.ok()?;
    Some((response_head.headers, body.to_bytes()))
}
