//! Duty: takes each request through its life.
//!
//! [`admit`] checks who calls what; [`chat`] and [`plain`] reserve allowance,
//! have the open acknowledged, send the request to a server, and have the
//! settlement acknowledged before the answer's end goes to the caller.
//! [`exclusive`] does so for calls that may not run twice; [`attempt`] counts and ends the attempts of a call, [`presence`] tells when
//! a caller has left, and [`progress`] turns a server's events into the
//! caller's answer.

pub mod attempt;
pub mod chat;
pub mod exclusive;
pub mod open;
pub mod plain;
pub mod presence;
pub mod progress;

use std::time::Duration;
use std::time::Instant;

use hibiscus_config::entry::RouteEntry;
use hibiscus_config::entry::ServiceEntry;
use hibiscus_request::life::AdmittedRequest;
use hibiscus_request::window;
use hibiscus_request::window::KEY_WINDOW;
use hibiscus_request::window::KeyPlace;
use hibiscus_types::BudgetName;
use hibiscus_types::RefusalReason;
use hibiscus_types::RequestKey;
use hibiscus_types::TokenCount;
use hibiscus_types::UnixMillis;
use hyper::body::Bytes;
use hyper::http::HeaderMap;
use hyper::http::request::Parts;
use serde::Deserialize;

use crate::callers::answer::RequestFailure;
use crate::context::SharedContext;
use crate::requests::presence::CallerPresence;

/// Header that carries the caller's idempotency key.
pub const IDEMPOTENCY_HEADER: &str = "idempotency-key";
/// Header that carries the caller's deadline in milliseconds.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Header that carries the caller's priority, 0 to 9.
pub const PRIORITY_HEADER: &str = "x-priority";
/// Header that carries the number of tokens that the caller already has.
pub const RESUME_HEADER: &str = "x-resume-from";
/// Longest idempotency key, in bytes.
const KEY_LIMIT: usize = 128;
/// Priority of a request that names none.
const DEFAULT_PRIORITY: u8 = 5;
/// Bytes of prompt that make at least one token.
const BYTES_PER_TOKEN: u64 = 3;

/// Result of admitting a request.
pub type Result<T> = std::result::Result<T, RequestFailure>;

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
    fn new(request: CallerRequest) -> Self {
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

/// The part of a chat request that the router reads.
#[derive(Deserialize)]
struct ChatHead {
    model: String,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u64>,
}

/// Checks a received request.
pub fn admit(
    context: &SharedContext,
    head: &Parts,
    path: String,
    body: Bytes,
    received: Instant,
) -> Result<AdmittedCall> {
    let config = context.config.get();
    if config.version == 0 {
        return Err(RequestFailure::unadmitted(
            RefusalReason::NotReady,
            "failed to take the request: this instance has no configuration yet",
        ));
    }
    let api_key = header(&head.headers, "authorization")
        .strip_prefix("Bearer ")
        .unwrap_or("");
    let Some(team) = config.team_of_key(api_key) else {
        return Err(RequestFailure::unadmitted(
            RefusalReason::Unauthenticated,
            "failed to identify the team: the API key is missing or unknown",
        ));
    };
    let Some(budget) = config.budget_of(team) else {
        let message = format!("failed to find a budget of team `{team}`");
        return Err(RequestFailure::unadmitted(RefusalReason::NoRoute, message));
    };
    let key = match header(&head.headers, IDEMPOTENCY_HEADER) {
        "" => RequestKey::stamp(team.clone()),
        key if key.len() <= KEY_LIMIT => RequestKey::new(team.clone(), key),
        _ => {
            let message = format!("the idempotency key is longer than {KEY_LIMIT} bytes");
            return Err(RequestFailure::unadmitted(
                RefusalReason::BadRequest,
                message,
            ));
        }
    };
    let deadline_ms = header(&head.headers, DEADLINE_HEADER)
        .parse()
        .unwrap_or(context.settings.limits.deadline_ms);
    let priority = header(&head.headers, PRIORITY_HEADER)
        .parse()
        .unwrap_or(DEFAULT_PRIORITY);
    let resume_from = header(&head.headers, RESUME_HEADER).parse().unwrap_or(0);
    check_age(&key)?;
    let mut request = CallerRequest {
        key,
        budget: budget.name.clone(),
        path: RequestPath::Plain {
            route: no_route(&path),
        },
        cost: TokenCount::ZERO,
        prompt_tokens: TokenCount::ZERO,
        deadline: received + Duration::from_millis(deadline_ms),
        priority,
        resume_from,
        presence: CallerPresence::default(),
        body,
    };
    if path == "/v1/chat/completions" {
        admit_chat(context, &mut request)?;
        return Ok(AdmittedCall::new(request));
    }
    let Some(route) = config.routes.get(&path) else {
        let message = format!("failed to find a routing rule for `{path}`");
        return Err(RequestFailure::unadmitted(RefusalReason::NoRoute, message));
    };
    request.cost = route.cost;
    request.path = RequestPath::Plain {
        route: route.clone(),
    };
    Ok(AdmittedCall::new(request))
}

/// Refuses a time-ordered key that the ledger may have forgotten, and one from
/// the future, which the ledger would forget too late.
fn check_age(key: &RequestKey) -> Result<()> {
    match window::place_key(&key.key, UnixMillis::now()) {
        KeyPlace::Inside => Ok(()),
        KeyPlace::Before => Err(RequestFailure::unadmitted(
            RefusalReason::KeyExpired,
            format!(
                "failed to take the request: its key is older than {} hours; not run this time",
                KEY_WINDOW.as_secs() / 3_600
            ),
        )),
        KeyPlace::After => Err(RequestFailure::unadmitted(
            RefusalReason::BadRequest,
            "failed to take the request: its key's time is in the future",
        )),
    }
}

/// A routed call that is replaced before the request is used.
fn no_route(path: &str) -> RouteEntry {
    RouteEntry {
        path: path.to_owned(),
        service: "".into(),
        idempotent: false,
        cost: TokenCount::ZERO,
    }
}

/// Fills in what a chat completion asks for.
fn admit_chat(context: &SharedContext, request: &mut CallerRequest) -> Result<()> {
    let chat: ChatHead = serde_json::from_slice(&request.body).map_err(|error| {
        let message = format!("failed to read the chat request: {error}");
        RequestFailure::unadmitted(RefusalReason::BadRequest, message)
    })?;
    let config = context.config.get();
    let Some(service) = config.service_of_model(&chat.model) else {
        let message = format!("failed to find a service for model `{}`", chat.model);
        return Err(RequestFailure::unadmitted(RefusalReason::NoRoute, message));
    };
    let budgets = &context.settings.budgets;
    let completion = chat.max_tokens.unwrap_or(budgets.default_max_tokens);
    let prompt = (request.body.len() as u64).div_ceil(BYTES_PER_TOKEN);
    request.prompt_tokens = TokenCount::new(prompt);
    request.cost = TokenCount::new(prompt)
        + TokenCount::new(completion)
        + TokenCount::new(budgets.margin_tokens);
    request.path = RequestPath::Chat {
        service: service.clone(),
        stream: chat.stream,
    };
    Ok(())
}

/// A header's text, empty when it is missing.
fn header<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or("")
}
