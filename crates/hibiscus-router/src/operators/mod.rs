//! Duty: serves the operators' port: metrics, status and events.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::OnceLock;
use std::thread;
use std::time::Duration;

use hibiscus_membership::view::InstanceHeartbeat;
use metrics_exporter_prometheus::PrometheusBuilder;
use metrics_exporter_prometheus::PrometheusHandle;
use rouille::Request;
use rouille::Response;
use rouille::Server;
use serde::Serialize;

use crate::context::SharedContext;
use crate::membership;

/// Threads that serve the port.
const SERVER_THREADS: usize = 4;
/// Time between looks at the stop flag.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The process's metrics; fleets inside one process share them.
static METRICS: OnceLock<PrometheusHandle> = OnceLock::new();

/// Why the port cannot be served.
#[derive(Debug, thiserror::Error)]
#[error("failed to open the operators' port {address}: {cause}")]
pub struct OperatorsError {
    address: SocketAddr,
    cause: String,
}

/// Result of opening the port.
pub type Result<T> = std::result::Result<T, OperatorsError>;

/// Status of an instance; `ready` says whether it takes requests.
#[derive(Clone, Debug, Serialize)]
pub struct InstanceStatus {
    /// What the instance says of itself.
    #[serde(flatten)]
    pub own: InstanceHeartbeat,
}

/// Opens the port and serves it until the process ends.
pub fn start(context: &SharedContext) -> Result<SocketAddr> {
    let address = context.settings.listen.operators;
    METRICS.get_or_init(install_metrics);
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
        while !context.is_ended() {
            server.poll_timeout(POLL_INTERVAL);
        }
    });
    Ok(bound)
}

/// Installs the recorder of this process.
fn install_metrics() -> PrometheusHandle {
    let recorder = PrometheusBuilder::new().build_recorder();
    let handle = recorder.handle();
    // A recorder that an embedding program installed before stays.
    let _installed = metrics::set_global_recorder(recorder);
    handle
}

/// Serves one call.
fn serve(context: &SharedContext, request: &Request) -> Response {
    match request.url().as_str() {
        "/metrics" => {
            let text = METRICS.get().map(PrometheusHandle::render);
            Response::from_data("text/plain; version=0.0.4", text.unwrap_or_default())
        }
        "/v1/status" => Response::json(&status(context)),
        "/v1/events" => {
            let from = request.get_param("from").and_then(|text| text.parse().ok());
            Response::json(&context.events.page(from.unwrap_or(0)))
        }
        _ => Response::empty_404(),
    }
}

/// The status of this instance.
fn status(context: &SharedContext) -> InstanceStatus {
    let mut own = membership::own_heartbeat(context);
    own.ready &= !own.stopping;
    InstanceStatus { own }
}
