//! Duty: serves the operators' port: metrics, status and events.

pub mod metrics;
pub mod status;

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use rouille::Request;
use rouille::Response;
use rouille::Server;

use crate::context::SharedContext;

/// Threads that serve the port.
const SERVER_THREADS: usize = 4;
/// Time between looks at the stop flag.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Time between moves of observed times into their buckets.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Why the port cannot be served.
#[derive(Debug, thiserror::Error)]
#[error("failed to open the operators' port {address}: {cause}")]
pub struct OperatorsError {
    address: SocketAddr,
    cause: String,
}

/// Result of opening the port.
pub type Result<T> = std::result::Result<T, OperatorsError>;

/// Opens the port and serves it until the process ends.
pub fn start(context: &SharedContext) -> Result<SocketAddr> {
    let address = context.settings.listen.operators;
    metrics::install();
    let served = Arc::clone(context);
    let server = Server::new(address, move |request| serve(&served, request))
        .map_err(|error| OperatorsError {
            address,
            cause: error.to_string(),
        })?
        .pool_size(SERVER_THREADS);
    let bound = server.server_addr();
    let context = Arc::clone(context);
    thread::spawn(move || {
        let mut kept = Instant::now();
        while !context.is_ended() {
            server.poll_timeout(POLL_INTERVAL);
            if kept.elapsed() >= UPKEEP_INTERVAL {
                metrics::upkeep();
                kept = Instant::now();
            }
        }
    });
    Ok(bound)
}

/// Serves one call.
fn serve(context: &SharedContext, request: &Request) -> Response {
    match request.url().as_str() {
        "/metrics" => {
            let text = metrics::render(context);
            Response::from_data("text/plain; version=0.0.4", text)
        }
        "/v1/health" => Response::text("serving\n"),
        "/v1/ready" => ready(context),
        "/v1/status" => Response::json(&status::status(context)),
        "/v1/events" => {
            let from = request.get_param("from").and_then(|text| text.parse().ok());
            Response::json(&context.events.page(from.unwrap_or(0)))
        }
        _ => Response::empty_404(),
    }
}

/// Whether this instance takes requests, with a line a reason when not.
fn ready(context: &SharedContext) -> Response {
    let reasons = status::unready_reasons(context);
    if reasons.is_empty() {
        return Response::text("ready\n");
    }
    let mut text = reasons.join("\n");
    text.push('\n');
    Response::text(text).with_status_code(503)
}
