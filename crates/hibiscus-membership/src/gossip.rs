//! Messages of the heartbeat exchange between instances.

use hibiscus_types::IncarnationId;
use hibiscus_types::InstanceName;
use serde::Deserialize;
use serde::Serialize;

use crate::view::InstanceHeartbeat;

/// Changed items in one message.
pub const CHANGED_ITEMS_LIMIT: usize = 4;
/// Messages in which a changed item is sent.
pub const CHANGED_ITEM_SENDS: u8 = 8;
/// Unchanged heartbeats of other instances in each message, so that lost
/// updates eventually arrive.
pub const REPAIR_ITEMS: usize = 2;
/// Instances that must report another one as failed before instances that
/// exchange no heartbeats with it treat it as failed.
pub const FAILURE_REPORT_QUORUM: usize = 2;

/// A report that an instance no longer responds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailureReport {
    /// The unresponsive instance.
    pub name: InstanceName,
    /// Incarnation of the unresponsive instance.
    pub incarnation: IncarnationId,
    /// Uptime of the unresponsive instance at the time of the report, in
    /// milliseconds: the last uptime that the reporter received plus the
    /// heartbeat timeout. A heartbeat with a longer uptime refutes the report.
    pub uptime_ms: u64,
    /// The instance that made the report.
    pub reporter: InstanceName,
}

/// An item of a gossip message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GossipItem {
    /// A heartbeat of another instance.
    Heartbeat(InstanceHeartbeat),
    /// A report of an unresponsive instance.
    Failure(FailureReport),
}

/// One message of a heartbeat exchange.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipMessage {
    /// The sender's own heartbeat.
    pub heartbeat: InstanceHeartbeat,
    /// Whether the sender requests all heartbeats, since it knows only part of
    /// the listed instances.
    pub joining: bool,
    /// Heartbeats and failure reports of other instances.
    pub items: Vec<GossipItem>,
}
