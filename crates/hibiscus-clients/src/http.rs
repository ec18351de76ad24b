//! The HTTP agent that the clients share.

use std::time::Duration;

use ureq::Agent;

/// Largest body that a control call reads, in bytes.
pub(crate) const CONTROL_BODY_LIMIT: u64 = 64 * 1024 * 1024;

/// Buffer of each direction of a connection that carries small reports, in
/// bytes.
const REPORT_BUFFER: usize = 4 * 1024;

/// Time for the body of an answer. Only a connection that brings nearly nothing
/// reaches it: the largest body takes 54 s over 10 Mbit/s.
const BODY_TIME: Duration = Duration::from_secs(60);

/// An agent that reports statuses as values and gives a call up after `silence`
/// without a byte. A time for all of a call would cut large answers on slow
/// links, each time anew.
pub(crate) fn control_agent(silence: Duration) -> Agent {
    Agent::config_builder()
        .timeout_connect(Some(silence))
        .timeout_per_read(Some(silence))
        .timeout_per_write(Some(silence))
        .timeout_recv_body(Some(BODY_TIME))
        .http_status_as_error(false)
        .proxy(None)
        .build()
        .into()
}

/// An agent that gives a call up after `timeout`, for small answers of up to
/// `servers` servers in turn: the connection to each stays open from one call
/// to the next.
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
