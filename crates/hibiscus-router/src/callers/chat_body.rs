//! The body of a chat completion: its checks, its highest cost, and the form
//! in which the model engine receives it.

use hibiscus_config::snapshot::ConfigSnapshot;
use hibiscus_types::RefusalReason;
use hibiscus_types::TokenCount;
use hyper::body::Bytes;
use serde_json::Map;
use serde_json::Value;
use serde_json::json;

use crate::callers::admission;
use crate::callers::admission::CallerIdentity;
use crate::callers::admission::Result;
use crate::callers::answer::RequestFailure;
use crate::context::SharedContext;
use crate::requests::CallerRequest;
use crate::requests::RequestPath;

/// Highest `max_tokens`.
const MAX_TOKENS_LIMIT: u64 = 1_000_000;
/// Most stop sequences and the like are strings or lists; these are switches.
const STREAM_FIELD: &str = "stream";
/// Older name of the bound on completion tokens.
const MAX_TOKENS_FIELD: &str = "max_tokens";
/// Newer name of the bound on completion tokens.
const MAX_COMPLETION_FIELD: &str = "max_completion_tokens";

/// Checks the body of a chat completion.
pub(super) fn admit(
    context: &SharedContext,
    config: &ConfigSnapshot,
    identity: CallerIdentity,
    body: &[u8],
) -> Result<CallerRequest> {
    let mut chat = read_object(body)?;
    let Some(Value::String(model)) = chat.get("model") else {
        return Err(faulty("model", "a string"));
    };
    let Some(service) = config.service_of_model(model) else {
        let message = format!("failed to find a service for model `{model}`");
        return Err(RequestFailure::unadmitted(RefusalReason::NoRoute, message));
    };
    check_messages(&chat)?;
    check_choices(&chat)?;
    let stream = read_stream(&chat)?;
    let budgets = &context.settings.budgets;
    let completion = read_max_tokens(&chat)?.unwrap_or(budgets.default_max_tokens);
    let prompt = (body.len() as u64).div_ceil(budgets.bytes_per_token);
    let prompt = TokenCount::new(prompt);
    let margin = TokenCount::new(budgets.margin_tokens);
    bound_engine(&mut chat, completion);
    Ok(CallerRequest {
        key: identity.key,
        named: identity.named,
        budget: identity.budget,
        path: RequestPath::Chat {
            service: service.clone(),
            stream,
        },
        body: Bytes::from(Value::Object(chat).to_string()),
        cost: prompt + TokenCount::new(completion) + margin,
        prompt_tokens: prompt,
        deadline: identity.deadline,
        priority: identity.priority,
        resume_from: identity.resume_from,
        presence: identity.presence,
    })
}

/// Reads the body as one JSON object.
fn read_object(body: &[u8]) -> Result<Map<String, Value>> {
    let value: Value = serde_json::from_slice(body).map_err(|error| {
        admission::bad_request(format!("failed to read the body as JSON: {error}"))
    })?;
    match value {
        Value::Object(object) => Ok(object),
        _ => Err(admission::bad_request(
            "failed to read the body: it must be a JSON object",
        )),
    }
}

/// A field that does not hold what is allowed.
fn faulty(field: &str, allowed: &str) -> RequestFailure {
    admission::bad_request(format!(
        "failed to read field `{field}`: it must be {allowed}"
    ))
}

/// Checks that there is a message with a role.
fn check_messages(chat: &Map<String, Value>) -> Result<()> {
    let messages = match chat.get("messages") {
        Some(Value::Array(messages)) if !messages.is_empty() => messages,
        _ => return Err(faulty("messages", "a list of at least one message")),
    };
    for (index, message) in messages.iter().enumerate() {
        if !message["role"].is_string() {
            return Err(faulty(&format!("messages[{index}].role"), "a string"));
        }
    }
    Ok(())
}

/// Checks that one choice is asked for: each choice would cost its own
/// completion.
fn check_choices(chat: &Map<String, Value>) -> Result<()> {
    match chat.get("n") {
        None | Some(Value::Null) => Ok(()),
        Some(count) if count.as_u64() == Some(1) => Ok(()),
        Some(_) => Err(faulty("n", "1")),
    }
}

/// Whether the answer is streamed.
fn read_stream(chat: &Map<String, Value>) -> Result<bool> {
    match chat.get(STREAM_FIELD) {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(stream)) => Ok(*stream),
        Some(_) => Err(faulty(STREAM_FIELD, "true or false")),
    }
}

/// The bound on completion tokens, by either of its names.
fn read_max_tokens(chat: &Map<String, Value>) -> Result<Option<u64>> {
    let older = read_count(chat, MAX_TOKENS_FIELD)?;
    let newer = read_count(chat, MAX_COMPLETION_FIELD)?;
    if older.is_some() && newer.is_some() && older != newer {
        let allowed = format!("equal to `{MAX_TOKENS_FIELD}`, or one of the two left out");
        return Err(faulty(MAX_COMPLETION_FIELD, &allowed));
    }
    Ok(newer.or(older))
}

/// A count of tokens, `None` when the field is missing.
fn read_count(chat: &Map<String, Value>, field: &str) -> Result<Option<u64>> {
    let count = match chat.get(field) {
        None | Some(Value::Null) => return Ok(None),
        Some(count) => count.as_u64(),
    };
    match count {
        Some(count) if (1..=MAX_TOKENS_LIMIT).contains(&count) => Ok(Some(count)),
        _ => {
            let allowed = format!("a whole number from 1 to {MAX_TOKENS_LIMIT}");
            Err(faulty(field, &allowed))
        }
    }
}

/// Asks the engine for a stream with token counts, and for no more tokens
/// than were reserved.
fn bound_engine(chat: &mut Map<String, Value>, completion: u64) {
    chat.remove(MAX_COMPLETION_FIELD);
    chat.insert(MAX_TOKENS_FIELD.to_owned(), json!(completion));
    chat.insert(STREAM_FIELD.to_owned(), json!(true));
    chat.insert("stream_options".to_owned(), json!({"include_usage": true}));
}
