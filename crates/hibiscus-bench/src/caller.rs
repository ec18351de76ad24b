//! A caller of the fleet over real HTTP.

use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;
use ureq::Agent;

/// Time after which a caller gives up.
const CALLER_TIMEOUT: Duration = Duration::from_secs(60);

/// Why a call brought no whole answer.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// No answer.
    #[error("failed to call the fleet")]
    Transport(#[from] Box<ureq::Error>),
    /// An error answer.
    #[error("the fleet answered status {status}: {body}")]
    Status {
        /// The HTTP status.
        status: u16,
        /// The outcome header.
        outcome: String,
        /// The error body.
        body: String,
    },
    /// The answer ended before its end marker.
    #[error("the answer ended early")]
    Cut,
}

/// Result of a call.
pub type Result<T> = std::result::Result<T, CallError>;

/// A whole answer.
#[derive(Clone, Debug, Default)]
pub struct CallerAnswer {
    /// The text.
    pub text: String,
    /// Time to the first token.
    pub first_token: Duration,
    /// Time to the end.
    pub total: Duration,
    /// Tokens billed by the answer's usage.
    pub billed: u64,
}

/// One caller with its API key.
#[derive(Clone, Debug)]
pub struct FleetCaller {
    agent: Agent,
    api_key: String,
}

impl FleetCaller {
    /// A caller that identifies itself by `api_key`.
    pub fn new(api_key: &str) -> Self {
        Self::with_timeout(api_key, CALLER_TIMEOUT)
    }

    /// A caller that gives a call up after `timeout`.
    pub fn with_timeout(api_key: &str, timeout: Duration) -> Self {
        let agent = Agent::config_builder()
            .timeout_global(Some(timeout))
            .http_status_as_error(false)
            .proxy(None)
            .build()
            .into();
        Self {
            agent,
            api_key: api_key.to_owned(),
        }
    }

    /// Sends `body` to `path` under the idempotency key `key`.
    pub fn post(&self, address: SocketAddr, path: &str, key: &str, body: &str) -> Result<String> {
        let mut response = self.send(address, path, key, body)?;
        response
            .body_mut()
            .read_to_string()
            .map_err(|_error| CallError::Cut)
    }

    /// Asks for a streamed chat completion.
    pub fn stream_chat(
        &self,
        address: SocketAddr,
        key: &str,
        model: &str,
        prompt: &str,
        max_tokens: u64,
    ) -> Result<CallerAnswer> {
        let started = Instant::now();
        let body = json!({
            "model": model,
            "stream": true,
            "max_tokens": max_tokens,
            "messages": [{ "role": "user", "content": prompt }],
        });
        let response = self.send(address, "/v1/chat/completions", key, &body.to_string())?;
        let reader = BufReader::new(response.into_body().into_reader());
        let mut answer = CallerAnswer::default();
        for line in reader.lines() {
            let line = line.map_err(|_error| CallError::Cut)?;
            let Some(data) = line.strip_prefix("data: ") else {
                continue;
            };
            if data == "[DONE]" {
                answer.total = started.elapsed();
                return Ok(answer);
            }
            let chunk: Value = serde_json::from_str(data).map_err(|_error| CallError::Cut)?;
            if answer.text.is_empty() {
                answer.first_token = started.elapsed();
            }
            if let Some(text) = chunk["choices"][0]["delta"]["content"].as_str() {
                answer.text.push_str(text);
            }
            if let Some(total) = chunk["usage"]["total_tokens"].as_u64() {
                answer.billed = total;
            }
        }
        Err(CallError::Cut)
    }

    fn send(
        &self,
        address: SocketAddr,
        path: &str,
        key: &str,
        body: &str,
    ) -> Result<ureq::http::Response<ureq::Body>> {
        let mut response = self
            .agent
            .post(format!("http://{address}{path}"))
            .header("authorization", format!("Bearer {}", self.api_key))
            .header("content-type", "application/json")
            .header("idempotency-key", key)
            .send(body)
            .map_err(Box::new)?;
        let status = response.status().as_u16();
        if status == 200 {
            return Ok(response);
        }
        let outcome = response
            .headers()
            .get("x-hibiscus-outcome")
            .and_then(|value| value.to_str().ok())
            .unwrap_or("")
            .to_owned();
        let body = response.body_mut().read_to_string().unwrap_or_default();
        Err(CallError::Status {
            status,
            outcome,
            body,
        })
    }
}
