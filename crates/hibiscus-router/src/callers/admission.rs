//! Checks of a request: first who calls, from the headers alone, then what is
//! asked for, from the body. Every fault names its header or field and what
//! is allowed there.

use std::time::Duration;
use std::time::Instant;

use hibiscus_config::snapshot::ConfigSnapshot;
use hibiscus_types::BudgetName;
use hibiscus_types::RefusalReason;
use hibiscus_types::RequestKey;
use hibiscus_types::TeamName;
use hibiscus_types::TokenCount;
use hyper::Method;
use hyper::body::Bytes;
use hyper::http::HeaderMap;
use hyper::http::request::Parts;

use crate::callers::answer::RequestFailure;
use crate::callers::chat_body;
use crate::context::SharedContext;
use crate::requests;
use crate::requests::CallerRequest;
use crate::requests::RequestPath;
use crate::requests::presence::CallerPresence;

/// Header that carries the team's API key.
pub const AUTHORIZATION_HEADER: &str = "authorization";
/// Header that carries the caller's idempotency key.
pub const IDEMPOTENCY_HEADER: &str = "idempotency-key";
/// Header that carries the caller's deadline in milliseconds.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Header that carries the caller's priority, 0 to 9.
pub const PRIORITY_HEADER: &str = "x-priority";
/// Header that carries the number of tokens that the caller already has.
pub const RESUME_HEADER: &str = "x-resume-from";
/// Header that names the budget that pays, one of the team's.
pub const BUDGET_HEADER: &str = "x-hibiscus-budget";
/// Header of the configuration version: in a request the lowest that the
/// caller accepts, in an answer the one in force.
pub const CONFIG_HEADER: &str = "x-hibiscus-config";
/// Time after which a version that is not in force yet may be.
const CONFIG_WAIT: Duration = Duration::from_millis(500);
/// Path of chat completions.
pub const CHAT_PATH: &str = "/v1/chat/completions";
/// Longest idempotency key, in bytes.
const KEY_LIMIT: usize = 128;
/// Longest deadline, in milliseconds.
const DEADLINE_LIMIT_MS: u64 = 3_600_000;
/// Most tokens that a caller can have of one answer.
const RESUME_LIMIT: u64 = 10_000_000;
/// Highest priority.
const PRIORITY_LIMIT: u64 = 9;
/// Priority of a request that names none.
const DEFAULT_PRIORITY: u64 = 5;

/// Result of a check.
pub type Result<T> = std::result::Result<T, RequestFailure>;

/// Who calls, from the headers alone.
#[derive(Clone, Debug)]
pub struct CallerIdentity {
    /// The request's key.
    pub key: RequestKey,
    /// Whether the caller named the key.
    pub named: bool,
    /// The budget that pays.
    pub budget: BudgetName,
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// The request's priority.
    pub priority: u8,
    /// The path called.
    pub path: String,
    /// Tokens of the answer that the caller has from an earlier try.
    pub resume_from: u64,
    /// Whether the caller still waits.
    pub presence: CallerPresence,
}

/// Checks the headers of a request received at `received`, so that only
/// known callers may send a body.
pub fn identify(
    context: &SharedContext,
    head: &Parts,
    received: Instant,
) -> Result<CallerIdentity> {
    let config = context.config.get();
    if config.version == 0 {
        return Err(RequestFailure::unadmitted(
            RefusalReason::NotReady,
            "failed to take the request: this instance has no configuration yet",
        ));
    }
    if context.config.is_outdated() {
        return Err(RequestFailure::unadmitted(
            RefusalReason::NotReady,
            "failed to take the request: a newer release changed the configuration",
        ));
    }
    check_version(&config, &head.headers)?;
    let team = identify_team(&config, &head.headers)?;
    check_target(&config, head)?;
    let budget = choose_budget(&config, team, &head.headers)?;
    let key = read_key(team, &head.headers)?;
    requests::check_age(&key)?;
    let default = context.settings.limits.deadline_ms;
    let deadline_ms = number(&head.headers, DEADLINE_HEADER, 1, DEADLINE_LIMIT_MS)?;
    let priority = number(&head.headers, PRIORITY_HEADER, 0, PRIORITY_LIMIT)?;
    let priority = priority.unwrap_or(DEFAULT_PRIORITY);
    let resume_from = number(&head.headers, RESUME_HEADER, 0, RESUME_LIMIT)?;
    Ok(CallerIdentity {
        key,
        named: head.headers.contains_key(IDEMPOTENCY_HEADER),
        budget,
        deadline: received + Duration::from_millis(deadline_ms.unwrap_or(default)),
        priority: u8::try_from(priority).unwrap_or(u8::MAX),
        path: head.uri.path().to_owned(),
        resume_from: resume_from.unwrap_or(0),
        presence: CallerPresence::default(),
    })
}

/// Checks the body of an identified request.
pub fn admit(
    context: &SharedContext,
    identity: CallerIdentity,
    body: Bytes,
) -> Result<CallerRequest> {
    let config = context.config.get();
    if identity.path == CHAT_PATH {
        return chat_body::admit(context, &config, identity, &body);
    }
    let Some(route) = config.routes.get(&identity.path) else {
        return Err(no_route(&identity.path));
    };
    Ok(CallerRequest {
        key: identity.key,
        named: identity.named,
        budget: identity.budget,
        path: RequestPath::Plain {
            route: route.clone(),
        },
        body,
        cost: route.cost,
        prompt_tokens: TokenCount::ZERO,
        deadline: identity.deadline,
        priority: identity.priority,
        resume_from: identity.resume_from,
        presence: identity.presence,
    })
}

/// A malformed request.
pub fn bad_request(message: impl Into<String>) -> RequestFailure {
    RequestFailure::unadmitted(RefusalReason::BadRequest, message)
}

/// Checks that the version that the caller knows of is in force here.
fn check_version(config: &ConfigSnapshot, headers: &HeaderMap) -> Result<()> {
    let lowest = number(headers, CONFIG_HEADER, 0, u64::MAX)?.unwrap_or(0);
    if config.version >= lowest {
        return Ok(());
    }
    let version = config.version;
    let message = format!(
        "failed to take the request: configuration version {lowest} is not in force here yet, \
         version {version} is"
    );
    let mut failure = RequestFailure::unadmitted(RefusalReason::NotReady, message);
    failure.retry_after = Some(CONFIG_WAIT);
    Err(failure)
}

/// The team that the API key identifies.
fn identify_team<'a>(config: &'a ConfigSnapshot, headers: &HeaderMap) -> Result<&'a TeamName> {
    let api_key = single(headers, AUTHORIZATION_HEADER)?
        .and_then(|value| value.strip_prefix("Bearer "))
        .unwrap_or("");
    config.team_of_key(api_key).ok_or_else(|| {
        RequestFailure::unadmitted(
            RefusalReason::Unauthenticated,
            "failed to identify the team: the API key is missing or unknown; \
             send `authorization: Bearer KEY`",
        )
    })
}

/// Checks path and method.
fn check_target(config: &ConfigSnapshot, head: &Parts) -> Result<()> {
    let path = head.uri.path();
    if path != CHAT_PATH && !config.routes.contains_key(path) {
        return Err(no_route(path));
    }
    if head.method != Method::POST {
        let message = format!("failed to call `{path}` by {}: use POST", head.method);
        let reason = RefusalReason::MethodNotAllowed;
        return Err(RequestFailure::unadmitted(reason, message));
    }
    if head.uri.query().is_some() {
        let message = format!("failed to call `{path}`: it takes no query string");
        return Err(bad_request(message));
    }
    Ok(())
}

/// A path without a routing rule.
fn no_route(path: &str) -> RequestFailure {
    let message = format!("failed to find a routing rule for `{path}`");
    RequestFailure::unadmitted(RefusalReason::NoRoute, message)
}

/// The budget that the caller names, or the first of its team.
fn choose_budget(
    config: &ConfigSnapshot,
    team: &TeamName,
    headers: &HeaderMap,
) -> Result<BudgetName> {
    let Some(name) = single(headers, BUDGET_HEADER)? else {
        let budget = config.budget_of(team).ok_or_else(|| {
            let message = format!("failed to find a budget of team `{team}`");
            RequestFailure::unadmitted(RefusalReason::NoRoute, message)
        })?;
        return Ok(budget.name.clone());
    };
    let budget = config.budgets.get(&BudgetName::from(name));
    match budget {
        Some(budget) if budget.team == *team => Ok(budget.name.clone()),
        // A budget of another team is not told from a missing one.
        _ => Err(bad_request(format!(
            "failed to read header `{BUDGET_HEADER}`: team `{team}` has no budget `{name}`"
        ))),
    }
}

/// The caller's idempotency key, or a new one.
fn read_key(team: &TeamName, headers: &HeaderMap) -> Result<RequestKey> {
    let Some(key) = single(headers, IDEMPOTENCY_HEADER)? else {
        return Ok(RequestKey::stamp(team.clone()));
    };
    let printable = key.bytes().all(|byte| byte.is_ascii_graphic());
    if key.is_empty() || key.len() > KEY_LIMIT || !printable {
        return Err(bad_request(format!(
            "failed to read header `{IDEMPOTENCY_HEADER}`: \
             it must be 1 to {KEY_LIMIT} printable ASCII characters without spaces"
        )));
    }
    Ok(RequestKey::new(team.clone(), key))
}

/// A header's number within `low` and `high`, `None` when it is missing.
fn number(headers: &HeaderMap, name: &str, low: u64, high: u64) -> Result<Option<u64>> {
    let Some(text) = single(headers, name)? else {
        return Ok(None);
    };
    let digits = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    match text.parse() {
        Ok(number) if digits && (low..=high).contains(&number) => Ok(Some(number)),
        _ => Err(bad_request(format!(
            "failed to read header `{name}`: it must be a whole number from {low} to {high}"
        ))),
    }
}

/// A header's text, `None` when it is missing. A header that stands twice or
/// holds bytes other than ASCII is refused: the next reader could understand
/// it differently.
fn single<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        let message = format!("failed to read header `{name}`: it stands more than once");
        return Err(bad_request(message));
    }
    let text = value.to_str().map_err(|_error| {
        bad_request(format!(
            "failed to read header `{name}`: it must be printable ASCII"
        ))
    })?;
    Ok(Some(text))
}
