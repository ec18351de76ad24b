//! Outcomes of requests and reasons for refusing them.

use serde::Deserialize;
use serde::Serialize;

/// Whether a request was executed, as far as is known when its caller
/// receives a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestOutcome {
    /// A server executed the request.
    Ran,
    /// No server received any byte of the request.
    NotRun,
    /// A server may have executed the request.
    Unknown,
}

impl RequestOutcome {
    /// Returns the value of the outcome header.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Ran => "ran",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

/// Why a request was refused or failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The request is malformed.
    BadRequest,
    /// The API key belongs to no team.
    Unauthenticated,
    /// No routing rule or model matches the call.
    NoRoute,
    /// The ledger proves that the budget cannot cover the request.
    BudgetExhausted,
    /// The instance held too little allowance and could not read the ledger.
    BudgetUnconfirmed,
    /// Neither a witness nor the log could record the request.
    NotRecorded,
    /// A bounded queue is full.
    Overloaded,
    /// The instance is shutting down.
    Stopping,
    /// The instance has no configuration yet.
    NotReady,
    /// No server of the service can take the request.
    NoServer,
    /// The idempotency key is older than the time for which keys are valid.
    KeyExpired,
    /// The key was charged, and its free runs are used up.
    KeySpent,
    /// A request with the same key was started, and its result is not known.
    InProgress,
    /// The request is quarantined: each server that ran it crashed.
    Quarantined,
    /// The deadline passed.
    DeadlineExceeded,
    /// The server failed while it ran the request.
    ServerFailed,
    /// The response ended before its end marker.
    AnswerBroken,
    /// The path does not support this method.
    MethodNotAllowed,
    /// The body did not arrive in time.
    ReceiveTimeout,
    /// The body is larger than the instance accepts.
    BodyTooLarge,
    /// The headers are larger than the instance accepts.
    HeadersTooLarge,
}

impl RefusalReason {
    /// All reasons.
    pub const ALL: [Self; 21] = [
        Self::BadRequest,
        Self::Unauthenticated,
        Self::NoRoute,
        Self::BudgetExhausted,
        Self::BudgetUnconfirmed,
        Self::NotRecorded,
        Self::Overloaded,
        Self::Stopping,
        Self::NotReady,
        Self::NoServer,
        Self::KeyExpired,
        Self::KeySpent,
        Self::InProgress,
        Self::Quarantined,
        Self::DeadlineExceeded,
        Self::ServerFailed,
        Self::AnswerBroken,
        Self::MethodNotAllowed,
        Self::ReceiveTimeout,
        Self::BodyTooLarge,
        Self::HeadersTooLarge,
    ];

    /// Returns the value of the error's `code` field.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::BadRequest => "bad_request",
            Self::Unauthenticated => "unauthenticated",
            Self::NoRoute => "no_route",
            Self::BudgetExhausted => "budget_exhausted",
            Self::BudgetUnconfirmed => "budget_unconfirmed",
            Self::NotRecorded => "not_recorded",
            Self::Overloaded => "overloaded",
            Self::Stopping => "stopping",
            Self::NotReady => "not_ready",
            Self::NoServer => "no_server",
            Self::KeyExpired => "key_expired",
            Self::KeySpent => "key_spent",
            Self::InProgress => "in_progress",
            Self::Quarantined => "quarantined",
            Self::DeadlineExceeded => "deadline_exceeded",
            Self::ServerFailed => "server_failed",
            Self::AnswerBroken => "answer_broken",
            Self::MethodNotAllowed => "method_not_allowed",
            Self::ReceiveTimeout => "receive_timeout",
            Self::BodyTooLarge => "body_too_large",
            Self::HeadersTooLarge => "headers_too_large",
        }
    }
}
