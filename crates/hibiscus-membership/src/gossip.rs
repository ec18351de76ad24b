//! What instances tell each other in an exchange of heartbeats.

use hibiscus_types::IncarnationId;
use hibiscus_types::InstanceName;
use serde::Deserialize;
use serde::Serialize;

use crate::view::InstanceHeartbeat;

/// News in one message.
pub const NOTICE_ITEM_LIMIT: usize = 4;
/// Messages in which one piece of news is passed on.
pub const NEWS_REPEATS: u8 = 8;
/// Heartbeats of others repeated in each message without being news, so that
/// what was lost is repaired in the end.
pub const REPAIR_ITEMS: usize = 2;
/// Instances that must call another one silent before those that do not
/// exchange with it believe so.
pub const SILENCE_REPORTS: usize = 2;

/// An instance's word that another one no longer answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SilenceReport {
    /// The silent instance.
    pub name: InstanceName,
    /// Its incarnation.
    pub incarnation: IncarnationId,
    /// Its uptime in milliseconds when the report was made: the last one
    /// that the reporter received and the silence after it. A heartbeat with
    /// a longer uptime refutes the report.
    pub uptime_ms: u64,
    /// Who says so.
    pub reporter: InstanceName,
}

/// One piece of news.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GossipItem {
    /// A heartbeat of another instance.
    Beat(InstanceHeartbeat),
    /// A silent instance.
    Silence(SilenceReport),
}

/// One message of an exchange.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipMessage {
    /// The sender's own heartbeat.
    pub beat: InstanceHeartbeat,
    /// Whether the sender knows so few instances that it wants all
    /// heartbeats.
    pub joining: bool,
    /// What it passes on.
    pub items: Vec<GossipItem>,
}
