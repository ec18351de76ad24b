//! What the request path is told: configuration, servers and instances.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hibiscus_peer::CertificatePin;
use hibiscus_types::DataCentre;
use hibiscus_types::IncarnationId;
use hibiscus_types::InstanceName;
use hibiscus_types::ServerName;
use hibiscus_types::ServiceName;
use hibiscus_types::TeamName;
use hibiscus_types::TokenCount;
use serde::Deserialize;
use serde::Serialize;

/// What may be repeated of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestKind {
    /// May run more than once.
    Idempotent,
    /// May run once at most.
    Once,
    /// A stream that may run once at most.
    Stream,
    /// A stream that another server may continue after an event.
    ResumableStream,
}

impl RequestKind {
    /// Whether a second server may run the request from its start.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Whether the answer is a series of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// A service and its share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Its share is this over the sum of the route's weights.
    pub weight: u32,
}

/// One route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteRule {
    /// Its name.
    pub name: String,
    /// Host that it answers to.
    pub host: String,
    /// The beginning of the paths that it takes; ends with a slash.
    pub path_prefix: String,
    /// What may be repeated.
    pub kind: RequestKind,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer is worth most.
    pub target_latency: Duration,
    /// 0 is the most urgent.
    pub priority: u8,
    /// Where its requests go.
    pub services: Vec<WeightedService>,
    /// Servers that one request may be sent to.
    pub attempts: u32,
    /// Whether requests need no key.
    pub anonymous: bool,
}

/// Engines of one service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineShape {
    /// Requests that an engine serves at once.
    pub slots: u32,
    /// Tokens that an engine's memory holds.
    pub memory_tokens: u64,
    /// Output tokens in one event of a stream.
    pub tokens_per_event: u64,
}

/// One team.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamRule {
    /// Its name.
    pub name: TeamName,
    /// Its keys.
    pub keys: Vec<String>,
    /// Goes before the priority of a route.
    pub priority: Option<u8>,
    /// Tokens paid for; `None` when the team has no budget.
    pub prepaid: Option<TokenCount>,
}

/// Limits on callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Longest head of a request, in bytes.
    pub header_bytes: usize,
    /// Longest body of a request, in bytes.
    pub body_bytes: usize,
    /// Time for a head.
    pub header_timeout: Duration,
    /// Time for which a connection may stay idle.
    pub idle_timeout: Duration,
}

/// One version of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetConfig {
    /// Grows with each change.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Arc<RouteRule>>,
    /// Names of routes that were left out, since their kind is not known here.
    pub skipped_routes: Vec<String>,
    /// Services whose servers are model engines.
    pub engines: BTreeMap<ServiceName, EngineShape>,
    /// Connections that a server of a service accepts from all callers.
    pub connections: BTreeMap<ServiceName, u32>,
    /// The teams.
    pub teams: Vec<Arc<TeamRule>>,
    /// Whether requests need a key.
    pub needs_key: bool,
    /// Limits on callers.
    pub limits: CallerLimits,
}

/// Whether a server takes new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerPhase {
    /// It does.
    Serving,
    /// It is leaving.
    Leaving,
}

/// A backend server as it describes itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerEntry {
    /// Its name.
    pub name: ServerName,
    /// Its service.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Whether it takes new requests.
    pub phase: ServerPhase,
    /// Requests that it serves at once.
    pub slots: u32,
    /// Time of its start; another time is another server.
    pub started: u64,
}

impl ServerEntry {
    /// Its process.
    pub fn incarnation(&self) -> ServerIncarnation {
        ServerIncarnation {
            server: self.name.clone(),
            started: self.started,
        }
    }
}

/// One process of a server: one that starts anew is another.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ServerIncarnation {
    /// The server's name.
    pub server: ServerName,
    /// When it had begun, in its own time.
    pub started: u64,
}

/// Load that a server reports with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerLoadReport {
    /// Requests in progress.
    pub running: u32,
    /// Requests that wait for a place.
    pub waiting: u32,
    /// Places.
    pub slots: u32,
}

/// A part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Its number; requests with the same share it.
    pub id: u64,
    /// Its tokens.
    pub tokens: u64,
}

/// An instance as it announces itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceEntry {
    /// Its name.
    pub name: InstanceName,
    /// Its process.
    pub incarnation: IncarnationId,
    /// Where it takes callers' requests.
    pub callers: SocketAddr,
    /// Where it answers its readiness check.
    pub readiness: SocketAddr,
    /// Where it answers other instances.
    pub peers: SocketAddr,
    /// Fingerprint of the certificate that it presents to them.
    pub pin: CertificatePin,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Whether it has begun a planned stop.
    pub shutting_down: bool,
    /// Processor time that its machine gives it, in thousandths of a core.
    pub capacity: u32,
}
