//! HTTP responses that this instance creates itself instead of forwarding a
//! backend server's response.

use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;

use crate::response_body::ResponseBody;
use crate::wire_format::WireFormat;

/// Random delay added to `Retry-After`, as a fraction of it.
const RETRY_JITTER_FRACTION: f64 = 0.4;
/// Maximum random delay added to `Retry-After`.
const RETRY_JITTER_LIMIT: Duration = Duration::from_secs(1);
/// Minimum `Retry-After` when the time of recovery is known.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Why this instance responds to a request itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LocalReason {
    /// This instance has no configuration yet.
    NoConfig,
    /// The header fields cannot be parsed, or the body cannot be read.
    BadRequest,
    /// The body exceeds the configured size limit.
    BodyTooLong,
    /// The caller sent no known key.
    UnknownKey,
    /// No route matches the host and path.
    UnknownRoute,
    /// The budget does not cover the request.
    BudgetSpent,
    /// The tokens held here do not cover the request, but the budget may.
    BudgetUnconfirmed,
    /// No server of the service is usable.
    NoServer,
    /// All servers that were tried refused the request.
    ServersFull,
    /// All serving servers have asked for a pause.
    ServersPausing,
    /// All serving servers that are not paused are at the limits that they name.
    ServersLimited,
    /// Servers of the service serve, but only in regions that the request may not reach.
    NoServerInRegion,
    /// All serving servers that may get the request are in evacuated data centres.
    ServersEvacuated,
    /// No server is predicted to complete the request before its deadline.
    DeadlineUnreachable,
    /// The request's deadline passed before it was sent to a server.
    ExpiredBeforeSend,
    /// This machine has no memory left for the body.
    Overloaded,
    /// Responses that are ready wait too long on this instance.
    InstanceFull,
    /// This instance is shutting down.
    ShuttingDown,
    /// Several servers crashed one after the other while they ran the request.
    /// It was not sent this time, and the caller must not repeat it.
    CrashesServers,
    /// Several servers crashed one after the other with a part of the prompt. The
    /// caller must not repeat the request.
    PartCrashesServers,
    /// Several servers crashed one after the other with a part of the prompt, and too
    /// little else is answered to tell that it is the part. The request may be tried again
    /// later.
    PartSuspended,
    /// It is not known which software version began the stream that the request takes
    /// up. The caller may begin anew.
    StreamUnknown,
    /// This instance can't read which software versions there are; another one may.
    StreamUnconfirmed,
    /// No server of the software version that began the stream can take the request.
    StreamUnavailable,
    /// The request was sent, and its outcome is unknown.
    OutcomeUnknown,
    /// The request was sent, and its deadline passed.
    TimedOut,
}

impl LocalReason {
    /// HTTP status of the response. A reason maps to 503 only when no byte of
    /// the request reached a server, or when a server proved not to have run it.
    pub fn status(self) -> StatusCode {
        match self {
            Self::BadRequest | Self::CrashesServers | Self::PartCrashesServers => {
                StatusCode::BAD_REQUEST
            }
            Self::BodyTooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::UnknownRoute => StatusCode::NOT_FOUND,
            Self::BudgetSpent => StatusCode::PAYMENT_REQUIRED,
            Self::OutcomeUnknown => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
            Self::NoConfig
            | Self::BudgetUnconfirmed
            | Self::NoServer
            | Self::ServersFull
            | Self::ServersPausing
            | Self::ServersLimited
            | Self::NoServerInRegion
            | Self::ServersEvacuated
            | Self::DeadlineUnreachable
            | Self::StreamUnknown
            | Self::StreamUnconfirmed
            | Self::StreamUnavailable
            | Self::PartSuspended
            | Self::ExpiredBeforeSend
            | Self::Overloaded
            | Self::InstanceFull
            | Self::ShuttingDown => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Identifier for logs, metrics and the response body.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoConfig => "no_configuration",
            Self::BadRequest => "bad_request",
            Self::BodyTooLong => "body_too_long",
            Self::UnknownKey => "unknown_key",
            Self::UnknownRoute => "unknown_route",
            Self::BudgetSpent => "budget_spent",
            Self::BudgetUnconfirmed => "budget_unconfirmed",
            Self::NoServer => "no_server",
            Self::ServersFull => "servers_full",
            Self::ServersPausing => "servers_pausing",
            Self::ServersLimited => "servers_limited",
            Self::NoServerInRegion => "no_server_in_region",
            Self::ServersEvacuated => "servers_evacuated",
            Self::DeadlineUnreachable => "deadline_unreachable",
            Self::ExpiredBeforeSend => "time_spent",
            Self::Overloaded => "overloaded",
            Self::InstanceFull => "instance_full",
            Self::ShuttingDown => "stopping",
            Self::CrashesServers => "ends_servers",
            Self::PartCrashesServers => "part_ends_servers",
            Self::PartSuspended => "part_suspended",
            Self::StreamUnknown => "stream_unknown",
            Self::StreamUnconfirmed => "stream_unconfirmed",
            Self::StreamUnavailable => "stream_unavailable",
            Self::OutcomeUnknown => "outcome_unknown",
            Self::TimedOut => "timed_out",
        }
    }

    /// Default `Retry-After` of temporary refusals.
    pub fn retry_after(self) -> Option<Duration> {
        match self {
            Self::NoConfig
            | Self::BudgetUnconfirmed
            | Self::Overloaded
            | Self::NoServerInRegion
            | Self::DeadlineUnreachable
            | Self::StreamUnconfirmed => Some(Duration::from_millis(500)),
            Self::NoServer
            | Self::ServersFull
            | Self::ServersPausing
            | Self::ServersLimited
            | Self::InstanceFull => Some(Duration::from_millis(200)),
            // Operators lift an evacuation after minutes, and a new server may start at any
            // time.
            Self::ServersEvacuated | Self::PartSuspended => Some(Duration::from_secs(1)),
            Self::ShuttingDown => Some(Duration::from_millis(10)),
            _ => None,
        }
    }
}

/// A request's refusal by this instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LocalRefusal {
    /// Reason for the refusal.
    pub reason: LocalReason,
    /// Time until a retry may succeed. When unknown, the reason's default
    /// `Retry-After` applies.
    pub recovery: Option<Duration>,
}

impl From<LocalReason> for LocalRefusal {
    fn from(reason: LocalReason) -> Self {
        Self {
            reason,
            recovery: None,
        }
    }
}

impl LocalRefusal {
    /// `Retry-After` of the response: at least the time until a retry may
    /// succeed, plus a random delay that keeps callers from retrying all at
    /// once.
    pub fn retry_after(&self) -> Option<Duration> {
        let usual = self.reason.retry_after()?;
        let after = self
            .recovery
            .map_or(usual, |recovery| recovery.max(MIN_RETRY_AFTER));
        let jitter = after.mul_f64(RETRY_JITTER_FRACTION).min(RETRY_JITTER_LIMIT);
        Some(after + jitter.mul_f64(fastrand::f64()))
    }
}

/// Creates the response that reports `refusal` for the request `id`.
pub fn local_response<D: WireFormat>(
    format: &D,
    refusal: LocalRefusal,
    id: &str,
) -> Response<ResponseBody> {
    let reason = refusal.reason;
    let body = Bytes::from_static(reason.as_str().as_bytes());
    let mut response = Response::new(ResponseBody::whole(body));
    *response.status_mut() = reason.status();
    let headers = response.headers_mut();
    format.set_response_id(id, headers);
    if let Some(after) = refusal.retry_after() {
        let after = format!("{:.3}", after.as_secs_f64());
        if let Ok(after) = HeaderValue::from_str(&after) {
            headers.insert(header::RETRY_AFTER, after);
        }
    }
    if reason == LocalReason::ShuttingDown {
        headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Creates a response without a body.
pub fn status_response(status: StatusCode) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::Whole(None));
    *response.status_mut() = status;
    response
}

/// Creates a response with a JSON body.
pub fn json_response(body: Vec<u8>) -> Response<ResponseBody> {
    typed_response(Bytes::from(body), "application/json")
}

/// Creates a response with a plain text body.
pub fn text_response(body: String) -> Response<ResponseBody> {
    typed_response(Bytes::from(body), "text/plain; version=0.0.4")
}

fn typed_response(body: Bytes, kind: &'static str) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::whole(body));
    let kind = HeaderValue::from_static(kind);
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}
