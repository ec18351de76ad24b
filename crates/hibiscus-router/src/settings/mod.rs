//! Settings of one router process: JSON with comments, checked whole before
//! anything starts.
//!
//! [`RouterSettings::parse`] compares the text with a table of all fields, so
//! that every fault is reported at once with its line, and only then converts
//! it.

mod check;
mod fields;

use std::net::SocketAddr;
use std::time::Duration;

use hibiscus_types::DataCentre;
use hibiscus_types::InstanceName;
use hibiscus_types::RegionName;
use serde::Deserialize;
use serde::Serialize;

pub use crate::settings::check::SettingsFault;

/// All faults of the settings, in order of line.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("failed to check the settings: {} fault(s)", .0.len())]
pub struct SettingsError(pub Vec<SettingsFault>);

/// Result of reading settings.
pub type Result<T> = std::result::Result<T, SettingsError>;

/// Who this process is.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceSettings {
    /// Name, unique in the deployment.
    pub name: InstanceName,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Its region.
    pub region: RegionName,
}

/// Addresses to listen on; port 0 takes a free one.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// The callers' port.
    pub callers: SocketAddr,
    /// The operators' port.
    pub operators: SocketAddr,
    /// The peer link.
    pub peers: SocketAddr,
}

/// Where the platform's services are.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Base address of the log service.
    pub log: String,
    /// Base address of the instance list.
    pub instances: String,
}

/// Keys of the peer link, in PEM.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetSettings {
    /// Certificate of the fleet's authority.
    pub authority: String,
    /// Certificate of this instance.
    pub certificate: String,
    /// Private key of this instance.
    pub key: String,
}

/// Bounds on what callers can ask of this process.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitSettings {
    /// Requests in progress; one more is refused.
    pub requests: u32,
    /// Connections of callers; one more is closed.
    pub connections: u32,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Bytes of all requests' bodies together.
    pub body_memory_bytes: usize,
    /// Milliseconds to receive a request's headers, and again its body.
    pub receive_ms: u64,
    /// Milliseconds that a caller may leave an answer unread.
    pub send_ms: u64,
    /// Milliseconds that a request may take when it names no deadline.
    pub deadline_ms: u64,
    /// Milliseconds without a byte after which a server counts as failed.
    pub server_silence_ms: u64,
    /// Milliseconds that callers may keep an address; a planned stop lasts
    /// at least as long.
    pub address_lifetime_ms: u64,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            requests: 2_000,
            connections: 8_000,
            body_bytes: 1024 * 1024,
            body_memory_bytes: 64 * 1024 * 1024,
            receive_ms: 10_000,
            send_ms: 30_000,
            deadline_ms: 120_000,
            server_silence_ms: 10_000,
            address_lifetime_ms: 30_000,
        }
    }
}

/// How this process spends budgets.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct BudgetSettings {
    /// Tokens reserved beyond prompt and `max_tokens`.
    pub margin_tokens: u64,
    /// Completion tokens when a request names no `max_tokens`.
    pub default_max_tokens: u64,
    /// Bytes of a request's body that count as one token of its prompt.
    pub bytes_per_token: u64,
    /// Milliseconds that a request waits for allowance before it is refused.
    pub wait_ms: u64,
    /// Appends a second and shard at most.
    pub appends_per_second: u32,
    /// Ledger shards of the deployment.
    pub shards: u32,
}

impl Default for BudgetSettings {
    fn default() -> Self {
        Self {
            margin_tokens: 16,
            default_max_tokens: 512,
            bytes_per_token: 3,
            wait_ms: 2_000,
            appends_per_second: 20,
            shards: 1,
        }
    }
}

/// All settings.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouterSettings {
    /// Who this process is.
    pub instance: InstanceSettings,
    /// Addresses to listen on.
    pub listen: ListenSettings,
    /// Where the platform's services are.
    pub platform: PlatformSettings,
    /// Keys of the peer link.
    pub fleet: FleetSettings,
    /// Bounds on callers.
    #[serde(default)]
    pub limits: LimitSettings,
    /// How budgets are spent.
    #[serde(default)]
    pub budgets: BudgetSettings,
}

impl RouterSettings {
    /// Reads and checks `text`.
    ///
    /// # Errors
    ///
    /// Reports every fault with its line, its field and what is allowed.
    pub fn parse(text: &str) -> Result<Self> {
        check::read(text).map_err(|mut faults| {
            faults.sort_by_key(|fault| (fault.line, fault.column));
            SettingsError(faults)
        })
    }

    /// Time that callers may keep an address.
    pub fn address_lifetime(&self) -> Duration {
        Duration::from_millis(self.limits.address_lifetime_ms)
    }

    /// Time that a request waits for allowance.
    pub fn allowance_wait(&self) -> Duration {
        Duration::from_millis(self.budgets.wait_ms)
    }
}
