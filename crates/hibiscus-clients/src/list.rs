//! The platform's instance list: instances of this fleet and backend servers.
//!
//! `GET /v1/instances?after=v&wait_ms=m` answers the list once its version
//! differs from `v`, waiting up to `m` milliseconds. With `&changes=1` the
//! platform may answer only what changed after `v`, which the answer says by
//! `"changed_after": v`; without that field it is the whole list. The list
//! lags behind the machines.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use hibiscus_types::DataCentre;
use hibiscus_types::InstanceName;
use hibiscus_types::RegionName;
use hibiscus_types::ServerName;
use hibiscus_types::ServiceName;
use serde::Deserialize;
use serde::Serialize;
use ureq::Agent;

use crate::http;

/// Why the list could not be read.
#[derive(Debug, thiserror::Error)]
pub enum ListError {
    /// The platform did not answer.
    #[error("failed to reach the instance list")]
    Unreachable(#[source] Box<ureq::Error>),
    /// The platform answered with an error.
    #[error("failed to read the instance list: status {status}")]
    Unavailable {
        /// The HTTP status.
        status: u16,
    },
    /// The answer cannot be understood.
    #[error("failed to understand the instance list")]
    Malformed(#[source] serde_json::Error),
}

/// Result of a list call.
pub type Result<T> = std::result::Result<T, ListError>;

/// Whether a machine stays or is about to stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedState {
    /// The machine takes work.
    Live,
    /// The machine is being taken away.
    Leaving,
}

/// One instance as listed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListedInstance {
    /// Name, unique in the deployment.
    pub name: InstanceName,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Its region.
    pub region: RegionName,
    /// Address of the callers' port.
    pub callers: SocketAddr,
    /// Address of the operators' port.
    pub operators: SocketAddr,
    /// Address of the peer link.
    pub peers: SocketAddr,
    /// Whether it stays.
    pub state: ListedState,
}

/// One backend server as listed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListedServer {
    /// Name, unique in the deployment.
    pub name: ServerName,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Address of its HTTP port.
    pub address: SocketAddr,
    /// Whether it stays.
    pub state: ListedState,
}

/// The list at one version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceList {
    /// Grows with every change.
    pub version: u64,
    /// Instances of this fleet.
    pub instances: Vec<ListedInstance>,
    /// Backend servers.
    pub servers: Vec<ListedServer>,
}

/// The answer to a read that takes changes: the whole list, or what changed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListChanges {
    /// Grows with every change.
    pub version: u64,
    /// The version that the changes come after, `None` for the whole list.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub changed_after: Option<u64>,
    /// Instances that are new or changed.
    pub instances: Vec<ListedInstance>,
    /// Servers that are new or changed.
    pub servers: Vec<ListedServer>,
    /// Instances that are gone.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub removed_instances: Vec<InstanceName>,
    /// Servers that are gone.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub removed_servers: Vec<ServerName>,
}

impl InstanceList {
    /// Takes an answer over; false when it does not follow on this version,
    /// so that the whole list must be read again.
    pub fn apply(&mut self, changes: ListChanges) -> bool {
        let Some(after) = changes.changed_after else {
            self.version = changes.version;
            self.instances = changes.instances;
            self.servers = changes.servers;
            return true;
        };
        if after != self.version {
            return false;
        }
        let gone: BTreeSet<&InstanceName> = changes.removed_instances.iter().collect();
        let new: BTreeSet<&InstanceName> =
            changes.instances.iter().map(|held| &held.name).collect();
        self.instances
            .retain(|held| !gone.contains(&held.name) && !new.contains(&held.name));
        let gone: BTreeSet<&ServerName> = changes.removed_servers.iter().collect();
        let new: BTreeSet<&ServerName> = changes.servers.iter().map(|held| &held.name).collect();
        self.servers
            .retain(|held| !gone.contains(&held.name) && !new.contains(&held.name));
        self.instances.extend(changes.instances);
        self.servers.extend(changes.servers);
        self.version = changes.version;
        true
    }
}

/// Client of the instance list over HTTP.
#[derive(Clone, Debug)]
pub struct ListClient {
    base: String,
    agent: Agent,
    timeout: Duration,
}

impl ListClient {
    /// A client of the list at `base`; a call is given up after `timeout`
    /// without a byte, beyond its wait.
    pub fn new(base: &str, timeout: Duration) -> Self {
        Self {
            base: base.trim_end_matches('/').to_owned(),
            agent: http::control_agent(timeout),
            timeout,
        }
    }

    /// The list once its version differs from `after`, or as it is when
    /// `wait` has passed.
    pub fn read(&self, after: u64, wait: Duration) -> Result<InstanceList> {
        let query = format!("after={after}&wait_ms={}", wait.as_millis());
        let text = self.get(&query, wait)?;
        serde_json::from_str(&text).map_err(ListError::Malformed)
    }

    /// Brings `list` up to date, waiting up to `wait` for a change; whether
    /// it changed.
    pub fn follow(&self, list: &mut InstanceList, wait: Duration) -> Result<bool> {
        let before = list.version;
        let query = format!("after={before}&wait_ms={}&changes=1", wait.as_millis());
        let text = self.get(&query, wait)?;
        let changes = serde_json::from_str(&text).map_err(ListError::Malformed)?;
        if !list.apply(changes) {
            *list = self.read(0, Duration::ZERO)?;
        }
        Ok(list.version != before)
    }

    /// The answer to a read, as text.
    fn get(&self, query: &str, wait: Duration) -> Result<String> {
        let url = format!("{}/v1/instances?{query}", self.base);
        let mut response = self
            .agent
            .get(&url)
            .config()
            .timeout_per_read(Some(self.timeout + wait))
            .build()
            .call()
            .map_err(unreachable)?;
        let status = response.status().as_u16();
        if status != 200 {
            return Err(ListError::Unavailable { status });
        }
        response
            .body_mut()
            .with_config()
            .limit(http::CONTROL_BODY_LIMIT)
            .read_to_string()
            .map_err(unreachable)
    }
}

/// Turns a transport error into a list error.
fn unreachable(error: ureq::Error) -> ListError {
    ListError::Unreachable(Box::new(error))
}
