//! Model engines and plain services.
//!
//! Engines speak OpenAI-compatible chat completions over server-sent events.
//! The request id travels in `x-request-id` and must come back in the answer's
//! header and in each event's `id`: an answer that carries another id belongs
//! to another request, and its connection is closed. A connection whose answer
//! was not read to the end is closed too, never reused.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use ureq::Agent;
use ureq::Body;
use ureq::http::Response;
use ureq::http::Version;

use crate::http;

/// Header that carries the request id to the server and back.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header that carries the grant number that a checking server compares.
pub const FENCING_HEADER: &str = "x-fencing-number";
/// Header that carries the priority, higher first.
pub const PRIORITY_HEADER: &str = "x-priority";
/// Header that carries the milliseconds left until the deadline.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Header that carries the number of tokens the caller already has.
pub const RESUME_HEADER: &str = "x-resume-from";

/// Largest event line that is read, in bytes.
const EVENT_LINE_LIMIT: u64 = 1024 * 1024;
/// Largest answer of a plain service, in bytes.
const PLAIN_BODY_LIMIT: u64 = 8 * 1024 * 1024;
/// Largest load report, in bytes.
const LOAD_BODY_LIMIT: u64 = 4 * 1024;
/// Bytes of a call's buffer in each direction; a server's headers must fit.
const BUFFER_BYTES: usize = 16 * 1024;
/// Time to connect before another server is tried.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Why a call to a server failed.
#[derive(Debug, thiserror::Error)]
pub enum EngineError {
    /// The connection was refused: the server received nothing.
    #[error("failed to connect to the server")]
    NotConnected(#[source] Box<ureq::Error>),
    /// The connection failed after the request was on its way.
    #[error("failed to read the server's answer")]
    Broken,
    /// The server refused the request before running it.
    #[error("failed to run the request: the server answered status {status}")]
    Refused {
        /// The HTTP status.
        status: u16,
    },
    /// The answer belongs to another request.
    #[error("failed to match the answer: it carries another request's id")]
    Crossed,
    /// The answer ended before its end marker.
    #[error("failed to read the whole answer: it ended early")]
    Truncated,
}

/// Result of a call to a server.
pub type Result<T> = std::result::Result<T, EngineError>;

/// What travels beside the body of a call.
#[derive(Clone, Debug)]
pub struct CallHeaders<'a> {
    /// The request id.
    pub request_id: &'a str,
    /// The number of the grant that pays, in hexadecimal.
    pub fencing: &'a str,
    /// Priority, higher first.
    pub priority: u8,
    /// Time left until the deadline.
    pub remaining: Duration,
    /// Tokens that the caller already has.
    pub resume_from: u64,
}

/// One event of a streamed answer, as the engine sends it.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ChatChunk {
    /// The request id.
    pub id: String,
    /// `chat.completion.chunk`.
    #[serde(default)]
    pub object: String,
    /// The model that answers.
    #[serde(default)]
    pub model: String,
    /// The choices, of which the first is used.
    #[serde(default)]
    pub choices: Vec<ChunkChoice>,
    /// Token counts, in the last event.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<TokenUsage>,
}

/// One choice of an event.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ChunkChoice {
    /// Position among the choices.
    pub index: u32,
    /// The text added.
    pub delta: ChunkDelta,
    /// Why the answer ended, in its last event.
    #[serde(default)]
    pub finish_reason: Option<String>,
}

/// Text added by an event.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ChunkDelta {
    /// The text.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content: Option<String>,
}

/// Token counts of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenUsage {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens generated.
    pub completion_tokens: u64,
}

/// A server's answer to `GET /v1/load`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests that are being run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Milliseconds since the server counted them.
    #[serde(default)]
    pub age_ms: u64,
}

/// Asks servers for their load.
#[derive(Clone, Debug)]
pub struct LoadClient {
    agent: Agent,
}

impl LoadClient {
    /// A client that asks up to `servers` servers in turn and waits `timeout`
    /// for a report.
    pub fn new(timeout: Duration, servers: usize) -> Self {
        Self {
            agent: http::report_agent(timeout, servers),
        }
    }

    /// The load of `server`, `None` when it does not report.
    pub fn read(&self, server: SocketAddr) -> Option<LoadReport> {
        let url = format!("http://{server}/v1/load");
        let mut response = self.agent.get(url).call().ok()?;
        if response.status().as_u16() != 200 {
            return None;
        }
        let body = response
            .body_mut()
            .with_config()
            .limit(LOAD_BODY_LIMIT)
            .read_to_vec()
            .ok()?;
        serde_json::from_slice(&body).ok()
    }
}

/// What the next read of a stream brought.
#[derive(Clone, Debug)]
pub enum StreamStep {
    /// One event.
    Chunk(ChatChunk),
    /// The end marker.
    End,
}

/// A server's answer to a plain call.
#[derive(Clone, Debug)]
pub struct PlainAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The content type.
    pub content_type: String,
    /// The whole body.
    pub body: Vec<u8>,
}

/// Client of the backend servers, made anew for each call.
#[derive(Clone, Debug)]
pub struct EngineClient {
    agent: Agent,
}

/// Ends a call from another thread.
#[derive(Clone, Debug)]
pub struct CallAbort {
    agent: Agent,
}

impl CallAbort {
    /// Closes the call's connection: its reader fails at once, and the server
    /// sees its caller leave.
    pub fn abort(self) {
        self.agent.shutdown();
    }
}

impl EngineClient {
    /// A client that waits `silence` for the head of an answer. The silence
    /// between later bytes is the caller's to watch, through
    /// [`Self::abort_handle`].
    pub fn new(silence: Duration) -> Self {
        // A redirect would send the call a second time.
        let agent = Agent::config_builder()
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .timeout_recv_response(Some(silence))
            .http_status_as_error(false)
            .max_redirects(0)
            .max_redirects_will_error(false)
            .proxy(None)
            .max_idle_connections(0)
            .input_buffer_size(BUFFER_BYTES)
            .output_buffer_size(BUFFER_BYTES)
            .build()
            .into();
        Self { agent }
    }

    /// What ends the call that this client makes.
    pub fn abort_handle(&self) -> CallAbort {
        CallAbort {
            agent: self.agent.clone(),
        }
    }

    /// Starts a streamed chat completion at `server`.
    pub fn start_chat(
        &self,
        server: SocketAddr,
        body: &[u8],
        headers: &CallHeaders<'_>,
    ) -> Result<ChatStream> {
        let response = self.send(server, "/v1/chat/completions", body, headers)?;
        // The refusal of another request proves nothing of this one.
        check_id(&response, headers.request_id)?;
        let status = response.status().as_u16();
        if status != 200 {
            return Err(EngineError::Refused { status });
        }
        Ok(ChatStream {
            request_id: headers.request_id.to_owned(),
            reader: BufReader::new(response.into_body().into_reader()),
        })
    }

    /// Calls a plain service and reads its whole answer.
    pub fn call_plain(
        &self,
        server: SocketAddr,
        path: &str,
        body: &[u8],
        headers: &CallHeaders<'_>,
    ) -> Result<PlainAnswer> {
        let mut response = self.send(server, path, body, headers)?;
        check_id(&response, headers.request_id)?;
        check_framing(&response)?;
        let status = response.status().as_u16();
        let content_type = header(&response, "content-type").to_owned();
        let body = response
            .body_mut()
            .with_config()
            .limit(PLAIN_BODY_LIMIT)
            .read_to_vec()
            .map_err(|_error| EngineError::Truncated)?;
        Ok(PlainAnswer {
            status,
            content_type,
            body,
        })
    }

    /// Sends one call.
    fn send(
        &self,
        server: SocketAddr,
        path: &str,
        body: &[u8],
        headers: &CallHeaders<'_>,
    ) -> Result<Response<Body>> {
        self.agent
            .post(format!("http://{server}{path}"))
            .header("content-type", "application/json")
            .header(REQUEST_ID_HEADER, headers.request_id)
            .header(FENCING_HEADER, headers.fencing)
            .header(PRIORITY_HEADER, headers.priority.to_string())
            .header(DEADLINE_HEADER, headers.remaining.as_millis().to_string())
            .header(RESUME_HEADER, headers.resume_from.to_string())
            .send(body)
            .map_err(classify)
    }
}

/// Tells a refused connection from a broken one.
fn classify(error: ureq::Error) -> EngineError {
    let refused = match &error {
        ureq::Error::Io(cause) => cause.kind() == std::io::ErrorKind::ConnectionRefused,
        ureq::Error::Timeout(ureq::Timeout::Connect) => true,
        ureq::Error::ConnectionFailed => true,
        _ => false,
    };
    if refused {
        EngineError::NotConnected(Box::new(error))
    } else {
        EngineError::Broken
    }
}

/// Checks that the answer names the request.
fn check_id(response: &Response<Body>, request_id: &str) -> Result<()> {
    if header(response, REQUEST_ID_HEADER) == request_id {
        Ok(())
    } else {
        Err(EngineError::Crossed)
    }
}

/// Checks that the end of the body can be told from a closed connection. The agent reads
/// a body to the end of the connection if it cannot read the framing.
fn check_framing(response: &Response<Body>) -> Result<()> {
    let headers = response.headers();
    let has_coding = headers.contains_key("transfer-encoding");
    let is_framed = if has_coding {
        let only = headers.get_all("transfer-encoding").iter().count() == 1;
        let chunked = header(response, "transfer-encoding")
            .trim()
            .eq_ignore_ascii_case("chunked");
        // HTTP/1.0 has no chunks.
        only && chunked && response.version() == Version::HTTP_11
    } else {
        let length = header(response, "content-length");
        !length.is_empty() && length.bytes().all(|byte| byte.is_ascii_digit())
    };
    let status = response.status();
    // The agent skips other interim answers, but 101 ends HTTP on the connection.
    let is_final = !status.is_informational();
    if is_final && (is_framed || status.as_u16() == 204) {
        Ok(())
    } else {
        Err(EngineError::Truncated)
    }
}

/// A header's text, empty when it is missing.
fn header<'a>(response: &'a Response<Body>, name: &str) -> &'a str {
    response
        .headers()
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or("")
}

/// An answer that is being streamed. Dropping it closes the connection,
/// which cancels the stream at the engine.
pub struct ChatStream {
    request_id: String,
    reader: BufReader<ureq::BodyReader<'static>>,
}

impl ChatStream {
    /// The next event or the end marker.
    pub fn next_step(&mut self) -> Result<StreamStep> {
        loop {
            let Some(line) = self.next_line()? else {
                return Err(EngineError::Truncated);
            };
            let Some(data) = line.strip_prefix("data:") else {
                continue;
            };
            let data = data.trim();
            if data == "[DONE]" {
                return Ok(StreamStep::End);
            }
            let chunk: ChatChunk =
                serde_json::from_str(data).map_err(|_error| EngineError::Truncated)?;
            if chunk.id != self.request_id {
                return Err(EngineError::Crossed);
            }
            return Ok(StreamStep::Chunk(chunk));
        }
    }

    /// One line without its end, `None` at the end of the body.
    fn next_line(&mut self) -> Result<Option<String>> {
        let mut line = String::new();
        let read = self
            .reader
            .by_ref()
            .take(EVENT_LINE_LIMIT)
            .read_line(&mut line)
            .map_err(|_error| EngineError::Broken)?;
        if read == 0 {
            return Ok(None);
        }
        if !line.ends_with('\n') {
            return Err(EngineError::Truncated);
        }
        Ok(Some(line.trim_end().to_owned()))
    }
}
