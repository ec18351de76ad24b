//! Configuration, servers and instances as the request path uses them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hibiscus_peer::CertificatePin;
use hibiscus_routing::request_limit::RequestRate;
use hibiscus_types::DataCentre;
use hibiscus_types::IncarnationId;
use hibiscus_types::InstanceName;
use hibiscus_types::RegionName;
use hibiscus_types::ServerName;
use hibiscus_types::ServiceName;
use hibiscus_types::SoftwareVersion;
use hibiscus_types::TeamName;
use hibiscus_types::TokenCount;
use hibiscus_types::codec;
use serde::Deserialize;
use serde::Serialize;

/// Whether a request may be repeated, and whether its response is a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestKind {
    /// The request may run more than once.
    Idempotent,
    /// The request may run at most once.
    Once,
    /// A stream that may run at most once.
    Stream,
    /// A stream that another server may resume after any event.
    ResumableStream,
}

impl RequestKind {
    /// Whether a second server may run the request from its start.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// A service and its share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightedService {
    /// Name of the service.
    pub service: ServiceName,
    /// The service's share of the requests is this weight over the sum of the
    /// route's weights.
    pub weight: u32,
}

/// A route of requests to services.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteRule {
    /// Name of the route.
    pub name: String,
    /// Host name that requests must have.
    pub host: String,
    /// Prefix that the paths of requests must have; ends with a slash.
    pub path_prefix: String,
    /// Whether requests may be repeated.
    pub kind: RequestKind,
    /// Longest time that a caller waits for the response.
    pub timeout: Duration,
    /// Latency within which a response has its full value.
    pub target_latency: Duration,
    /// Priority of the requests; 0 is the most urgent.
    pub priority: u8,
    /// Services that requests are distributed to.
    pub services: Vec<WeightedService>,
    /// Number of servers that one request may be sent to.
    pub attempts: u32,
    /// Whether requests need no key.
    pub anonymous: bool,
    /// Regions whose servers may get the requests; all regions if empty.
    pub allowed_regions: Vec<RegionName>,
}

/// Capacity of the model engines of one service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineShape {
    /// Number of requests that an engine serves at once.
    pub slots: u32,
    /// Number of tokens that fit in an engine's memory.
    pub memory_tokens: u64,
    /// Number of output tokens in one event of a stream.
    pub tokens_per_event: u64,
}

/// How the servers of one service begin after a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdStart {
    /// Time after its start for which a server is cold.
    pub duration: Duration,
    /// Requests that a cold server accepts from all instances together; `None` if it
    /// is only slow.
    pub limit: Option<RequestRate>,
}

impl ColdStart {
    /// Stands for a value that is invalid in the configuration, so that the previous one
    /// remains in force.
    pub const INVALID: Self = Self {
        duration: Duration::MAX,
        limit: None,
    };
}

/// A team with its keys and budget.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamRule {
    /// Name of the team.
    pub name: TeamName,
    /// Keys that authenticate the team's requests.
    pub keys: Vec<String>,
    /// Priority that overrides the priority of routes.
    pub priority: Option<u8>,
    /// Prepaid tokens; `None` if the team has no budget.
    pub prepaid: Option<TokenCount>,
    /// Regions whose servers may get the team's requests; all regions if empty.
    pub allowed_regions: Vec<RegionName>,
}

/// Limits on callers' connections and requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Largest head of a request, in bytes.
    pub header_bytes: usize,
    /// Largest body of a request, in bytes.
    pub body_bytes: usize,
    /// Time within which the head of a request must arrive.
    pub header_timeout: Duration,
    /// Time for which a connection may stay idle.
    pub idle_timeout: Duration,
}

/// One version of the fleet's configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetConfig {
    /// Version number, which increases with each change.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Arc<RouteRule>>,
    /// Names of routes that were skipped since this release doesn't know their
    /// kind.
    pub skipped_routes: Vec<String>,
    /// Engine capacities of the services whose servers are model engines.
    pub engines: BTreeMap<ServiceName, EngineShape>,
    /// Connections that a server of each service accepts in total.
    pub connections: BTreeMap<ServiceName, u32>,
    /// Services whose servers are cold after a start.
    pub cold_starts: BTreeMap<ServiceName, ColdStart>,
    /// The teams.
    pub teams: Vec<Arc<TeamRule>>,
    /// Whether requests need a key, unless their route is anonymous.
    pub needs_key: bool,
    /// Limits on callers.
    pub limits: CallerLimits,
}

/// Whether a server accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerPhase {
    /// The server accepts new requests.
    Serving,
    /// The server is draining.
    Leaving,
}

/// A backend server's description of itself in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerEntry {
    /// Name of the server.
    pub name: ServerName,
    /// Service of the server.
    pub service: ServiceName,
    /// Address that the server listens on.
    pub address: SocketAddr,
    /// Data centre of the server.
    pub data_centre: DataCentre,
    /// Whether the server accepts new requests.
    pub phase: ServerPhase,
    /// Number of requests that the server serves at once.
    pub slots: u32,
    /// Start time of the server's process. An entry with another start time
    /// belongs to another process.
    pub started: u64,
    /// Version of the server's software.
    pub software: SoftwareVersion,
    /// How much longer the server was cold when it wrote the entry; zero if it was not.
    pub cold_remaining: Duration,
}

impl ServerEntry {
    /// [`Self::cold_remaining`] of an entry whose value is invalid, so that what is known
    /// of the cold time remains.
    pub const COLD_TIME_INVALID: Duration = Duration::MAX;

    /// Returns the incarnation that wrote the entry.
    pub fn incarnation(&self) -> ServerIncarnation {
        ServerIncarnation {
            server: self.name.clone(),
            started: self.started,
        }
    }
}

/// One process of a server. A restart creates a new incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ServerIncarnation {
    /// Name of the server.
    pub server: ServerName,
    /// Start time of the process by the server's own clock.
    pub started: u64,
}

/// Load that a server reports in a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerLoadReport {
    /// Number of requests in progress.
    pub running: u32,
    /// Number of requests that wait for a slot.
    pub waiting: u32,
    /// Number of slots.
    pub slots: u32,
    /// How long work takes at this moment, in percent of the usual; `None` if the server
    /// does not say.
    pub pace_percent: Option<u32>,
}

/// A part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifier of the part, shared by all requests whose prompts contain it.
    pub id: u64,
    /// Number of tokens in the part.
    pub tokens: u64,
}

/// An instance's announcement of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceEntry {
    /// Name of the instance.
    pub name: InstanceName,
    /// Identifier of the instance's process.
    pub incarnation: IncarnationId,
    /// Address for callers' requests.
    pub callers: SocketAddr,
    /// Address of the readiness check.
    pub readiness: SocketAddr,
    /// Address of the peer link.
    pub peers: SocketAddr,
    /// Fingerprint of the certificate that the instance presents on the peer
    /// link.
    pub pin: CertificatePin,
    /// Data centre of the instance.
    pub data_centre: DataCentre,
    /// Whether the instance has begun a graceful shutdown.
    pub shutting_down: bool,
    /// Processor time that the machine grants the instance, in thousandths of a
    /// core.
    pub capacity: u32,
    /// Whether the instance responds to permit requests ([`crate::permits`]).
    pub lends_permits: bool,
}

/// [`InstanceEntry`] of the releases before permits.
#[derive(Deserialize)]
struct EarlierEntry {
    name: InstanceName,
    incarnation: IncarnationId,
    callers: SocketAddr,
    readiness: SocketAddr,
    peers: SocketAddr,
    pin: CertificatePin,
    data_centre: DataCentre,
    shutting_down: bool,
    capacity: u32,
}

impl InstanceEntry {
    /// Decodes an announcement of this release or an earlier one.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are no announcement.
    pub fn decode(bytes: &[u8]) -> codec::Result<Self> {
        if let Ok(entry) = codec::decode::<Self>(bytes) {
            return Ok(entry);
        }
        let earlier: EarlierEntry = codec::decode(bytes)?;
        Ok(Self {
            name: earlier.name,
            incarnation: earlier.incarnation,
            callers: earlier.callers,
            readiness: earlier.readiness,
            peers: earlier.peers,
            pin: earlier.pin,
            data_centre: earlier.data_centre,
            shutting_down: earlier.shutting_down,
            capacity: earlier.capacity,
            lends_permits: false,
        })
    }
}
