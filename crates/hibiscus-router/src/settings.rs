//! Settings of one router process: JSON with comments, checked whole before
//! anything starts.

use std::net::SocketAddr;
use std::time::Duration;

use hibiscus_types::DataCentre;
use hibiscus_types::InstanceName;
use hibiscus_types::RegionName;
use jsonc_parser::ParseOptions;
use serde::Deserialize;
use serde::Serialize;

/// Why settings cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The text is not JSON with comments.
    #[error("failed to read the settings: {0}")]
    Syntax(String),
    /// A field is missing, unknown or out of range.
    #[error("failed to check the settings: {0}")]
    Field(String),
}

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
    /// Milliseconds to receive a request's headers, and again its body.
    pub receive_ms: u64,
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
            receive_ms: 10_000,
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
    pub fn parse(text: &str) -> Result<Self> {
        let value = jsonc_parser::parse_to_serde_value(text, &ParseOptions::default())
            .map_err(|error| SettingsError::Syntax(error.to_string()))?
            .unwrap_or_default();
        let settings: Self = serde_json::from_value(value)
            .map_err(|error| SettingsError::Field(error.to_string()))?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<()> {
        if self.budgets.shards == 0 {
            return Err(SettingsError::Field(
                "budgets.shards: must be at least 1".to_owned(),
            ));
        }
        if self.budgets.appends_per_second == 0 {
            return Err(SettingsError::Field(
                "budgets.appends_per_second: must be at least 1".to_owned(),
            ));
        }
        Ok(())
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
