//! Answers that this instance makes itself.

use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;

use crate::response_body::ResponseBody;
use crate::wire_format::WireFormat;

/// Part of the time until there is a chance over which returns are spread.
const RETURN_SPREAD: f64 = 0.4;
/// Longest time over which returns are spread.
const SPREAD_LIMIT: Duration = Duration::from_secs(1);
/// Least time that a caller is told to wait for a chance.
const LEAST_RETURN: Duration = Duration::from_millis(50);

/// Why a request gets an answer of this instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LocalReason {
    /// No configuration is known yet.
    NoConfig,
    /// The head cannot be understood.
    BadRequest,
    /// The body is longer than allowed.
    BodyTooLong,
    /// The caller sent no known key.
    UnknownKey,
    /// No route takes the path.
    UnknownRoute,
    /// The budget does not cover the request.
    BudgetSpent,
    /// The budget may cover the request, but not from what is held here.
    BudgetUnconfirmed,
    /// No server of the service can be used.
    NoServer,
    /// All servers that were tried refused the request.
    ServersFull,
    /// All servers that serve want no requests for some time.
    ServersPausing,
    /// The caller's time ran out before the request was sent.
    TimeSpent,
    /// The machine has no room for the body.
    Overloaded,
    /// This instance is stopping.
    Stopping,
    /// Servers ended under the request one after the other. It was not sent
    /// this time, and the caller must not repeat it.
    EndsServers,
    /// The request was sent and its outcome is not known.
    Unknown,
    /// The request was sent and its time ran out.
    TimedOut,
}

impl LocalReason {
    /// The status that tells it. Only reasons before the first byte to a
    /// server, or after a server's own proof, map to 503.
    pub fn status(self) -> StatusCode {
        match self {
            Self::BadRequest | Self::EndsServers => StatusCode::BAD_REQUEST,
            Self::BodyTooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::UnknownRoute => StatusCode::NOT_FOUND,
            Self::BudgetSpent => StatusCode::PAYMENT_REQUIRED,
            Self::Unknown => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
            Self::NoConfig
            | Self::BudgetUnconfirmed
            | Self::NoServer
            | Self::ServersFull
            | Self::ServersPausing
            | Self::TimeSpent
            | Self::Overloaded
            | Self::Stopping => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// The word for logs, metrics and the answer's body.
    pub fn word(self) -> &'static str {
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
            Self::TimeSpent => "time_spent",
            Self::Overloaded => "overloaded",
            Self::Stopping => "stopping",
            Self::EndsServers => "ends_servers",
            Self::Unknown => "outcome_unknown",
            Self::TimedOut => "timed_out",
        }
    }

    /// When the caller may try again, for refusals that may end.
    pub fn retry_after(self) -> Option<Duration> {
        match self {
            Self::NoConfig | Self::BudgetUnconfirmed | Self::Overloaded => {
                Some(Duration::from_millis(500))
            }
            Self::NoServer | Self::ServersFull | Self::ServersPausing => {
                Some(Duration::from_millis(200))
            }
            Self::Stopping => Some(Duration::from_millis(10)),
            _ => None,
        }
    }
}

/// A refusal of this instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LocalRefusal {
    /// Why.
    pub reason: LocalReason,
    /// When there is a chance again, if that is known; else the usual time of
    /// the reason.
    pub chance: Option<Duration>,
}

impl From<LocalReason> for LocalRefusal {
    fn from(reason: LocalReason) -> Self {
        Self {
            reason,
            chance: None,
        }
    }
}

impl LocalRefusal {
    /// When the caller may try again: not before there is a chance, and not
    /// all callers at the same moment.
    pub fn retry_after(&self) -> Option<Duration> {
        let usual = self.reason.retry_after()?;
        let after = self.chance.map_or(usual, |chance| chance.max(LEAST_RETURN));
        let spread = after.mul_f64(RETURN_SPREAD).min(SPREAD_LIMIT);
        Some(after + spread.mul_f64(fastrand::f64()))
    }
}

/// The answer that tells `refusal` for the request `id`.
pub fn local_response<D: WireFormat>(
    dialect: &D,
    refusal: LocalRefusal,
    id: &str,
) -> Response<ResponseBody> {
    let reason = refusal.reason;
    let body = Bytes::from_static(reason.word().as_bytes());
    let mut answer = Response::new(ResponseBody::whole(body));
    *answer.status_mut() = reason.status();
    let headers = answer.headers_mut();
    dialect.set_response_id(id, headers);
    if let Some(after) = refusal.retry_after() {
        let after = format!("{:.3}", after.as_secs_f64());
        if let Ok(after) = HeaderValue::from_str(&after) {
            headers.insert(header::RETRY_AFTER, after);
        }
    }
    if reason == LocalReason::Stopping {
        headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    answer
}

/// An answer without a body.
pub fn status_response(status: StatusCode) -> Response<ResponseBody> {
    let mut answer = Response::new(ResponseBody::Whole(None));
    *answer.status_mut() = status;
    answer
}

/// An answer with a JSON body.
pub fn json_response(body: Vec<u8>) -> Response<ResponseBody> {
    typed_answer(Bytes::from(body), "application/json")
}

/// An answer with a text body.
pub fn text_response(body: String) -> Response<ResponseBody> {
    typed_answer(Bytes::from(body), "text/plain; version=0.0.4")
}

fn typed_answer(body: Bytes, kind: &'static str) -> Response<ResponseBody> {
    let mut answer = Response::new(ResponseBody::whole(body));
    let kind = HeaderValue::from_static(kind);
    answer.headers_mut().insert(header::CONTENT_TYPE, kind);
    answer
}
