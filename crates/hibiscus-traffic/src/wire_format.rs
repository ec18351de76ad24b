//! Header format of requests and responses on the wire.

use std::time::Duration;

use hibiscus_routing::request_limit::RequestRate;
use hibiscus_types::ServerName;
use hibiscus_types::TeamName;
use http::HeaderMap;

use crate::model::PromptPart;
use crate::model::ServerLoadReport;

/// Header fields of a caller's request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallerHeaders {
    /// Request id of this attempt; empty when the caller sent none.
    pub id: String,
    /// The caller's key.
    pub key: Option<String>,
    /// How long the caller waits for the response.
    pub deadline: Option<Duration>,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Maximum number of output tokens.
    pub output_tokens: u64,
    /// The prompt's parts in order; the last is the request's own.
    pub parts: Vec<PromptPart>,
    /// Number of the last event that the caller has.
    pub resume_after: Option<u64>,
    /// Request id of the attempt that brought the first event of the stream, when the
    /// request takes it up again.
    pub resumes: Option<String>,
}

/// A header field of a request that cannot be parsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeaderFault {
    /// The token counts.
    TokenCounts,
    /// The parts of the prompt.
    PromptParts,
}

/// Header fields that are added to a request to a backend server.
#[derive(Clone, Copy, Debug)]
pub struct ServerHeaders<'a> {
    /// The intended server; any other server refuses the request.
    pub server: &'a ServerName,
    /// The team that pays.
    pub team: Option<&'a TeamName>,
    /// Time until the request's deadline.
    pub time_left: Duration,
    /// 0 is the most urgent.
    pub urgency: u8,
    /// Number of the last event that the caller received, when the response
    /// resumes a stream.
    pub resume_after: Option<u64>,
}

/// What a response says about the server's request limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ResponseLimit {
    /// The server names no limit.
    #[default]
    Absent,
    /// The header's value is not a number of requests per second.
    Invalid,
    /// The server accepts this rate from all instances together.
    Named(RequestRate),
}

/// What a response says about the time for which the server stays cold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ResponseCold {
    /// Nothing.
    #[default]
    Absent,
    /// The header's value is no such time.
    Invalid,
    /// The server stays cold for this time.
    Remaining(Duration),
}

/// Header fields of a backend server's response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseHeaders {
    /// Id of the request that the response belongs to.
    pub id: Option<String>,
    /// Whether the response has a server's signature.
    pub signed: bool,
    /// Whether the server states that it did not run the request.
    pub not_run: bool,
    /// Load of the server.
    pub load: Option<ServerLoadReport>,
    /// Whether the server is draining and accepts no new requests.
    pub draining: bool,
    /// How long a server that refuses this request wants no others.
    pub pause: Option<Duration>,
    /// The server's request limit.
    pub limit: ResponseLimit,
    /// How much longer the server is cold.
    pub cold: ResponseCold,
}

/// Parses and writes the header fields of requests and responses.
pub trait WireFormat: Clone + 'static {
    /// Parses the header fields of a caller's request.
    ///
    /// # Errors
    ///
    /// Fails when a header that the request needs cannot be understood.
    fn parse_caller_headers(&self, headers: &HeaderMap) -> Result<CallerHeaders, HeaderFault>;

    /// Removes headers that only the fleet may set.
    fn strip_internal_headers(&self, headers: &mut HeaderMap);

    /// Sets the header fields for a backend server.
    fn set_server_headers(&self, server_headers: &ServerHeaders<'_>, headers: &mut HeaderMap);

    /// Parses the header fields of a server's response.
    fn parse_response_headers(&self, headers: &HeaderMap) -> ResponseHeaders;

    /// Path at which a server tells its state.
    fn server_state_target(&self) -> &'static str;

    /// Parses the start time of a server's process from its state, on the server's own
    /// clock; `None` if the state has none.
    fn parse_server_start(&self, state: &[u8]) -> Option<u64>;

    /// Sets the request id in the header fields of a local response.
    fn set_response_id(&self, id: &str, headers: &mut HeaderMap);
}
