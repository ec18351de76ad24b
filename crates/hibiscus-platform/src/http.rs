//! The HTTP agent that the clients share.

use std::time::Duration;

use ureq::Agent;

/// Largest body that a control call reads, in bytes.
pub(crate) const CONTROL_BODY_LIMIT: u64 = 64 * 1024 * 1024;

/// An agent that reports statuses as values and gives up after `timeout`.
pub(crate) fn control_agent(timeout: Duration) -> Agent {
    Agent::config_builder()
        .timeout_global(Some(timeout))
        .http_status_as_error(false)
        .proxy(None)
        .build()
        .into()
}
