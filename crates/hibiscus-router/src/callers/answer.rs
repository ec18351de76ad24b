//! Heads and error bodies of answers to callers.

use std::net::SocketAddr;
use std::time::Duration;

use hibiscus_request::lifecycle::NotRunProof;
use hibiscus_types::RefusalReason;
use hibiscus_types::RequestOutcome;
use hyper::Response;
use hyper::StatusCode;
use hyper::http::HeaderValue;
use serde::Serialize;

use crate::callers::admission::CONFIG_HEADER;
use crate::callers::body::AnswerBody;

/// Header that tells whether the request ran.
pub const OUTCOME_HEADER: &str = "x-hibiscus-outcome";
/// Header that carries the request's key.
pub const KEY_HEADER: &str = "x-hibiscus-key";
/// Header that carries the seconds to wait before sending again.
pub const RETRY_AFTER_HEADER: &str = "retry-after";
/// Milliseconds in a second.
const MILLIS_PER_SECOND: u64 = 1_000;

/// Error of a request, as the caller gets it.
#[derive(Clone, Debug, Serialize)]
pub struct ErrorBody {
    /// The error.
    pub error: ErrorDetail,
}

/// What went wrong and what the caller can do.
#[derive(Clone, Debug, Serialize)]
pub struct ErrorDetail {
    /// What went wrong, as a sentence.
    pub message: String,
    /// `invalid_request_error`, `budget_error` or `service_error`.
    pub r#type: &'static str,
    /// The reason's code.
    pub code: &'static str,
    /// What proves the reason, such as a ledger offset.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub evidence: Option<String>,
    /// Whether the same request may be sent again.
    pub retry: bool,
    /// Milliseconds to wait before sending again.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// Other addresses to send to.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub addresses: Vec<SocketAddr>,
}

/// A failed request: everything that its answer needs. What is known of its
/// execution is private, so that "not run" needs a proof once the request is
/// admitted.
#[derive(Clone, Debug)]
pub struct RequestFailure {
    outcome: RequestOutcome,
    /// Why it failed.
    pub reason: RefusalReason,
    /// What went wrong, as a sentence.
    pub message: String,
    /// What proves the reason.
    pub evidence: Option<String>,
    /// Other addresses to send to.
    pub addresses: Vec<SocketAddr>,
    /// Time to wait before sending again, `None` for the reason's usual time.
    pub retry_after: Option<Duration>,
}

impl RequestFailure {
    /// A request refused before it was admitted: it did not run.
    pub fn unadmitted(reason: RefusalReason, message: impl Into<String>) -> Self {
        Self {
            outcome: RequestOutcome::NotRun,
            ..Self::unknown(reason, message)
        }
    }

    /// A request of which it is not known whether it ran.
    pub fn unknown(reason: RefusalReason, message: impl Into<String>) -> Self {
        Self {
            outcome: RequestOutcome::Unknown,
            reason,
            message: message.into(),
            evidence: None,
            addresses: Vec::new(),
            retry_after: None,
        }
    }

    /// It is proved that no server ran the request.
    pub fn proved_not_run(self, _proof: &NotRunProof) -> Self {
        Self {
            outcome: RequestOutcome::NotRun,
            ..self
        }
    }

    /// It is proved that a server ran the request.
    pub fn proved_ran(self) -> Self {
        Self {
            outcome: RequestOutcome::Ran,
            ..self
        }
    }

    /// An earlier sending of the request may have run.
    pub fn doubted(self) -> Self {
        Self {
            outcome: RequestOutcome::Unknown,
            ..self
        }
    }

    /// What is known of the request's execution.
    pub fn outcome(&self) -> RequestOutcome {
        self.outcome
    }

    /// The HTTP status.
    pub fn status(&self) -> u16 {
        status_of(self.reason)
    }

    /// Whether the same request may be sent again.
    fn retry(&self) -> bool {
        let temporary = matches!(self.status(), 408 | 429 | 502 | 503 | 504)
            && self.reason != RefusalReason::AnswerBroken;
        let waits = self.reason == RefusalReason::InProgress;
        // Sending a key again is safe; after a server's failure it may
        // bring nothing.
        let hopeless =
            self.outcome == RequestOutcome::Unknown && self.reason == RefusalReason::ServerFailed;
        waits || (temporary && !hopeless)
    }

    /// Milliseconds to wait before sending again. Other addresses can be
    /// tried at once.
    fn retry_after_ms(&self) -> Option<u64> {
        if !self.retry() {
            return None;
        }
        let usual = if self.addresses.is_empty() {
            RETRY_AFTER
        } else {
            Duration::ZERO
        };
        let wait = self.retry_after.unwrap_or(usual);
        Some(u64::try_from(wait.as_millis()).unwrap_or(u64::MAX))
    }

    /// The kind of error, as OpenAI-compatible clients expect it.
    fn kind(&self) -> &'static str {
        match self.status() {
            400 | 401 | 404 | 405 | 408 | 409 | 413 | 422 | 431 => "invalid_request_error",
            402 => "budget_error",
            _ => "service_error",
        }
    }

    /// The error body.
    pub fn body(&self) -> ErrorBody {
        ErrorBody {
            error: ErrorDetail {
                message: self.message.clone(),
                r#type: self.kind(),
                code: self.reason.as_str(),
                evidence: self.evidence.clone(),
                retry: self.retry(),
                retry_after_ms: self.retry_after_ms(),
                addresses: self.addresses.clone(),
            },
        }
    }
}

/// Time that a caller is asked to wait before sending again.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// The HTTP status of `reason`.
pub const fn status_of(reason: RefusalReason) -> u16 {
    match reason {
        RefusalReason::BadRequest | RefusalReason::KeyExpired => 400,
        RefusalReason::Unauthenticated => 401,
        RefusalReason::BudgetExhausted => 402,
        RefusalReason::NoRoute => 404,
        RefusalReason::MethodNotAllowed => 405,
        RefusalReason::ReceiveTimeout => 408,
        RefusalReason::InProgress | RefusalReason::KeySpent => 409,
        RefusalReason::BodyTooLarge => 413,
        RefusalReason::Quarantined => 422,
        RefusalReason::Overloaded => 429,
        RefusalReason::HeadersTooLarge => 431,
        RefusalReason::ServerFailed | RefusalReason::AnswerBroken => 502,
        RefusalReason::DeadlineExceeded => 504,
        RefusalReason::BudgetUnconfirmed
        | RefusalReason::NotRecorded
        | RefusalReason::Stopping
        | RefusalReason::NotReady
        | RefusalReason::NoServer => 503,
    }
}

/// Head of an answer.
#[derive(Clone, Debug)]
pub struct AnswerHead {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: String,
    /// What is known of the execution.
    pub outcome: RequestOutcome,
    /// The request's key, empty when it has none.
    pub key: String,
}

/// Joins head and body.
pub fn respond(head: &AnswerHead, body: AnswerBody) -> Response<AnswerBody> {
    let mut builder = Response::builder()
        .status(head.status)
        .header("content-type", &head.content_type)
        .header(OUTCOME_HEADER, head.outcome.as_str())
        .extension(head.outcome);
    if !head.key.is_empty() {
        builder = builder.header(KEY_HEADER, &head.key);
    }
    builder.body(body).unwrap_or_else(|_error| {
        let mut response = Response::new(AnswerBody::whole(""));
        *response.status_mut() = StatusCode::BAD_GATEWAY;
        response
    })
}

/// The answer to a failed request.
pub fn fail(failure: &RequestFailure) -> Response<AnswerBody> {
    let head = AnswerHead {
        status: failure.status(),
        content_type: "application/json".to_owned(),
        outcome: failure.outcome,
        key: String::new(),
    };
    let body = serde_json::to_vec(&failure.body()).unwrap_or_default();
    let mut response = respond(&head, AnswerBody::whole(body));
    response.extensions_mut().insert(failure.reason);
    if let Some(wait_ms) = failure.retry_after_ms() {
        let seconds = HeaderValue::from(wait_ms.div_ceil(MILLIS_PER_SECOND));
        response.headers_mut().insert(RETRY_AFTER_HEADER, seconds);
    }
    if failure.reason == RefusalReason::MethodNotAllowed {
        let allowed = HeaderValue::from_static("POST");
        response.headers_mut().insert("allow", allowed);
    }
    response
}

/// Names the configuration version in force.
pub fn stamp_config(response: &mut Response<AnswerBody>, version: u64) {
    let version = HeaderValue::from(version);
    response.headers_mut().insert(CONFIG_HEADER, version);
}

/// Names the request's key in an answer that does not name it yet.
pub fn stamp_key(response: &mut Response<AnswerBody>, key: &str) {
    let Ok(value) = HeaderValue::from_str(key) else {
        return;
    };
    response.headers_mut().entry(KEY_HEADER).or_insert(value);
}
