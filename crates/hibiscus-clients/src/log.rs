//! The platform's append-only log service.
//!
//! `POST /v1/streams/{stream}` appends the request body as one record and
//! answers `{"offset": n}`. `GET /v1/streams/{stream}?from=n&wait_ms=m&limit=k`
//! answers a page of records from offset `n`, waiting up to `m` milliseconds
//! for the first. There is no conditional append.

use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use hibiscus_types::UnixMillis;
use serde::Deserialize;
use serde::Serialize;
use ureq::Agent;

use crate::http;

/// Time added to a long poll before the connection is given up.
const POLL_GRACE: Duration = Duration::from_secs(2);

/// Why the log could not be appended to or read.
#[derive(Debug, thiserror::Error)]
pub enum LogError {
    /// No answer: the append may or may not have taken effect.
    #[error("failed to reach the log service")]
    Unreachable(#[source] Box<ureq::Error>),
    /// The log refuses because of its append rate.
    #[error("failed to append: the log service limits its append rate")]
    RateLimited,
    /// The log reports an outage.
    #[error("failed to use the log service: it answered status {status}")]
    Unavailable {
        /// The HTTP status.
        status: u16,
    },
    /// The records from this offset are no longer retained.
    #[error("failed to read from offset {from}: the oldest retained record is {first}")]
    Expired {
        /// The offset asked for.
        from: u64,
        /// The oldest retained offset.
        first: u64,
    },
    /// The answer cannot be understood.
    #[error("failed to understand the log service's answer")]
    Malformed,
}

/// Result of a log call.
pub type Result<T> = std::result::Result<T, LogError>;

/// One record as read from a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogRecord {
    /// Position in the stream.
    pub offset: u64,
    /// Time at which the log service accepted the record.
    pub appended: UnixMillis,
    /// The bytes appended.
    pub data: Vec<u8>,
}

/// A page of records.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LogPage {
    /// The oldest retained offset.
    pub first: u64,
    /// The offset that the next append will take.
    pub end: u64,
    /// Records in order of offset.
    pub records: Vec<LogRecord>,
}

/// A log of ordered streams without conditional append.
pub trait LogService: Clone + Send + 'static {
    /// Appends `data` to `stream` and returns its offset.
    fn append(&self, stream: &str, data: &[u8]) -> Result<u64>;

    /// Reads records of `stream` from offset `from`, waiting up to `wait`
    /// while there is none.
    fn read(&self, stream: &str, from: u64, wait: Duration) -> Result<LogPage>;
}

/// The log service's page as it is sent.
#[derive(Serialize, Deserialize)]
pub struct WirePage {
    /// The oldest retained offset.
    pub first: u64,
    /// The offset that the next append will take.
    pub end: u64,
    /// Records in order of offset.
    pub records: Vec<WireRecord>,
}

/// One record as it is sent.
#[derive(Serialize, Deserialize)]
pub struct WireRecord {
    /// Position in the stream.
    pub offset: u64,
    /// Milliseconds since the Unix epoch.
    pub appended_ms: u64,
    /// The record in base64.
    pub data: String,
}

/// The answer to an append.
#[derive(Serialize, Deserialize)]
pub struct AppendAnswer {
    /// Position of the appended record.
    pub offset: u64,
}

/// Client of a log service over HTTP.
#[derive(Clone, Debug)]
pub struct HttpLog {
    base: String,
    agent: Agent,
    append_timeout: Duration,
}

impl HttpLog {
    /// A client of the service at `base`, such as `http://127.0.0.1:9000`.
    /// A call is given up after `append_timeout` without a byte, a read after its
    /// wait and some grace besides.
    pub fn new(base: &str, append_timeout: Duration) -> Self {
        Self {
            base: base.trim_end_matches('/').to_owned(),
            agent: http::control_agent(append_timeout),
            append_timeout,
        }
    }
}

impl LogService for HttpLog {
    fn append(&self, stream: &str, data: &[u8]) -> Result<u64> {
        let url = format!("{}/v1/streams/{stream}", self.base);
        let mut response = self.agent.post(&url).send(data).map_err(unreachable)?;
        check_status(response.status().as_u16())?;
        let text = response.body_mut().read_to_string().map_err(unreachable)?;
        let answer: AppendAnswer =
            serde_json::from_str(&text).map_err(|_error| LogError::Malformed)?;
        Ok(answer.offset)
    }

    fn read(&self, stream: &str, from: u64, wait: Duration) -> Result<LogPage> {
        let url = format!(
            "{}/v1/streams/{stream}?from={from}&wait_ms={}",
            self.base,
            wait.as_millis()
        );
        let mut response = self
            .agent
            .get(&url)
            .config()
            .timeout_per_read(Some(self.append_timeout + wait + POLL_GRACE))
            .build()
            .call()
            .map_err(unreachable)?;
        check_status(response.status().as_u16())?;
        let text = response
            .body_mut()
            .with_config()
            .limit(http::CONTROL_BODY_LIMIT)
            .read_to_string()
            .map_err(unreachable)?;
        let page: WirePage = serde_json::from_str(&text).map_err(|_error| LogError::Malformed)?;
        decode_page(page, from)
    }
}

/// Turns a transport error into a log error.
fn unreachable(error: ureq::Error) -> LogError {
    LogError::Unreachable(Box::new(error))
}

/// Accepts success and names every other status.
fn check_status(status: u16) -> Result<()> {
    match status {
        200 => Ok(()),
        429 => Err(LogError::RateLimited),
        status => Err(LogError::Unavailable { status }),
    }
}

/// Decodes the records and checks that none was skipped.
fn decode_page(page: WirePage, from: u64) -> Result<LogPage> {
    if from < page.first {
        return Err(LogError::Expired {
            from,
            first: page.first,
        });
    }
    let mut records = Vec::with_capacity(page.records.len());
    for record in page.records {
        let data = STANDARD
            .decode(&record.data)
            .map_err(|_error| LogError::Malformed)?;
        records.push(LogRecord {
            offset: record.offset,
            appended: UnixMillis::new(record.appended_ms),
            data,
        });
    }
    Ok(LogPage {
        first: page.first,
        end: page.end,
        records,
    })
}
