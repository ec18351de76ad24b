//! Duty: takes each request through its life.
//!
//! [`crate::callers::admission`] checks who calls what; [`chat`] and [`plain`]
//! reserve allowance, have the open acknowledged, send the request to a
//! server, and have the settlement acknowledged before the answer's end goes
//! to the caller. [`exclusive`] does so for calls that may not run twice.
//! [`attempt`] chooses the server of each attempt and ends it, [`presence`]
//! tells when a caller has left, and [`progress`] turns a server's events into
//! the caller's answer.

pub mod attempt;
pub mod chat;
pub mod exclusive;
pub mod open;
pub mod plain;
pub mod presence;
pub mod progress;
pub mod rerun;

use std::time::Duration;
use std::time::Instant;

use hibiscus_config::entry::RouteEntry;
use hibiscus_config::entry::ServiceEntry;
use hibiscus_request::lifecycle::AdmittedRequest;
use hibiscus_request::window;
use hibiscus_request::window::KEY_WINDOW;
use hibiscus_request::window::KeyAge;
use hibiscus_types::BudgetName;
use hibiscus_types::RefusalReason;
use hibiscus_types::RequestKey;
use hibiscus_types::TokenCount;
use hibiscus_types::UnixMillis;
use hyper::body::Bytes;

use crate::callers::answer::RequestFailure;
use crate::requests::presence::CallerPresence;

/// What a caller asks for.
#[derive(Clone, Debug)]
pub enum RequestPath {
    /// A chat completion.
    Chat {
        /// The service that answers for the model.
        service: ServiceEntry,
        /// Whether the answer is streamed.
        stream: bool,
    },
    /// A call of a plain service.
    Plain {
        /// The routed call.
        route: RouteEntry,
    },
}

/// A request that passed its checks, and its life from here on.
#[derive(Debug)]
pub struct AdmittedCall {
    /// The request.
    pub request: CallerRequest,
    /// Its state; made once, here.
    pub admitted: AdmittedRequest,
}

/// A request that passed its checks.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Its key.
    pub key: RequestKey,
    /// Whether the caller named the key.
    pub named: bool,
    /// The budget that pays.
    pub budget: BudgetName,
    /// What it asks for.
    pub path: RequestPath,
    /// Its body.
    pub body: Bytes,
    /// The most that it may cost.
    pub cost: TokenCount,
    /// Tokens of the prompt by its length.
    pub prompt_tokens: TokenCount,
    /// When its caller stops waiting.
    pub deadline: Instant,
    /// Its priority.
    pub priority: u8,
    /// Tokens of the answer that the caller has from an earlier try.
    pub resume_from: u64,
    /// Whether its caller still waits.
    pub presence: CallerPresence,
}

impl AdmittedCall {
    /// Starts the life of a request that passed its checks.
    pub fn new(request: CallerRequest) -> Self {
        let admitted = AdmittedRequest::new(request.key.clone());
        Self { request, admitted }
    }
}

impl CallerRequest {
    /// Time left until the deadline.
    pub fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

/// Refuses a time-ordered key that the ledger may have forgotten, and one from
/// the future, which the ledger would forget too late.
pub fn check_age(key: &RequestKey) -> Result<(), RequestFailure> {
    match window::check_key_age(&key.key, UnixMillis::now()) {
        KeyAge::Valid => Ok(()),
        KeyAge::Expired => Err(RequestFailure::unadmitted(
            RefusalReason::KeyExpired,
            format!(
                "failed to take the request: its key is older than {} hours; not run this time",
                KEY_WINDOW.as_secs() / 3_600
            ),
        )),
        KeyAge::InFuture => Err(RequestFailure::unadmitted(
            RefusalReason::BadRequest,
            "failed to take the request: its key's time is in the future",
        )),
    }
}
