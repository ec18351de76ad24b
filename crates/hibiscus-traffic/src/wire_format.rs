//! How requests and answers are spelled.

use std::time::Duration;

use hibiscus_types::ServerName;
use hibiscus_types::TeamName;
use http::HeaderMap;

use crate::model::PromptPart;
use crate::model::ServerLoadReport;

/// What a caller says in the head of a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallerHeaders {
    /// The attempt's number; empty when the caller sent none.
    pub id: String,
    /// The caller's key.
    pub key: Option<String>,
    /// Time that the caller will wait.
    pub deadline: Option<Duration>,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// The most tokens of the answer.
    pub output_tokens: u64,
    /// The prompt's parts in order; the last is the request's own.
    pub parts: Vec<PromptPart>,
    /// Number of the last event that the caller has.
    pub resume_after: Option<u64>,
}

/// What cannot be understood in a request's head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeaderFault {
    /// The token counts.
    TokenCounts,
    /// The prompt's parts.
    PromptParts,
}

/// What a server is told beside the caller's own headers.
#[derive(Clone, Copy, Debug)]
pub struct ServerHeaders<'a> {
    /// The server that is meant; any other refuses.
    pub server: &'a ServerName,
    /// The team that pays.
    pub team: Option<&'a TeamName>,
    /// Time that is left.
    pub time_left: Duration,
    /// 0 is the most urgent.
    pub urgency: u8,
    /// Number of the last event that the caller has, when the answer is
    /// continued.
    pub resume_after: Option<u64>,
}

/// What a server says in the head of its answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseHeaders {
    /// The request that it answers.
    pub id: Option<String>,
    /// Whether the answer bears a server's signature.
    pub signed: bool,
    /// Whether the server states that it did not run the request.
    pub not_run: bool,
    /// Its load.
    pub load: Option<ServerLoadReport>,
    /// Whether it leaves and takes no new requests.
    pub draining: bool,
    /// Time for which it wants no request, if it refuses this one.
    pub pause: Option<Duration>,
}

/// Spells requests and answers.
pub trait WireFormat: 'static {
    /// Reads a request's head.
    ///
    /// # Errors
    ///
    /// Fails when a header that the request needs cannot be understood.
    fn parse_caller_headers(&self, headers: &HeaderMap) -> Result<CallerHeaders, HeaderFault>;

    /// Removes headers that only the fleet may set.
    fn strip_internal_headers(&self, headers: &mut HeaderMap);

    /// Sets what a server is told.
    fn set_server_headers(&self, signs: &ServerHeaders<'_>, headers: &mut HeaderMap);

    /// Reads an answer's head.
    fn parse_response_headers(&self, headers: &HeaderMap) -> ResponseHeaders;

    /// Names the request that an own answer is for.
    fn set_response_id(&self, id: &str, headers: &mut HeaderMap);
}
