//! The HTTP agent that the clients share.

use std::time::Duration;

use ureq::Agent;

/// Largest body that a control call reads, in bytes.
pub(crate) const CONTROL_BODY_LIMIT: u64 = 64 * 1024 * 1024;

/// Buffer of each direction of a connection that carries small reports, in
/// bytes.
const REPORT_BUFFER: usize = 4 * 1024;

/// An agent that reports statuses as values and gives up after `timeout`.
pub(crate) fn control_agent(timeout: Duration) -> Agent {
    Agent::config_builder()
        .timeout_global(Some(timeout))
        .http_status_as_error(false)
        .proxy(None)
        .build()
        .into()
}

/// As [`control_agent`], for small answers of up to `servers` servers in turn:
/// the connection to each stays open from one call to the next.
pub(crate) fn report_agent(timeout: Duration, servers: usize) -> Agent {
    Agent::config_builder()
        .timeout_global(Some(timeout))
        .http_status_as_error(false)
        .proxy(None)
        .input_buffer_size(REPORT_BUFFER)
        .output_buffer_size(REPORT_BUFFER)
        .max_idle_connections(servers)
        .max_idle_connections_per_host(1)
        .build()
        .into()
}
