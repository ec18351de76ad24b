//! Duty: takes each request through its life.
//!
//! [`crate::callers::admission`] checks who calls what; [`chat`] and [`plain`]
//! reserve allowance, have the open acknowledged, send the request to a
//! server, and have the settlement acknowledged before the answer's end goes
//! to the caller.

pub mod chat;
pub mod open;
pub mod plain;

use std::time::Duration;
use std::time::Instant;

use hibiscus_config::entry::RouteEntry;
use hibiscus_config::entry::ServiceEntry;
use hibiscus_types::BudgetName;
use hibiscus_types::RequestKey;
use hibiscus_types::TokenCount;
use hyper::body::Bytes;

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

/// A request that passed its checks.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Its key.
    pub key: RequestKey,
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
}

impl CallerRequest {
    /// Time left until the deadline.
    pub fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}
