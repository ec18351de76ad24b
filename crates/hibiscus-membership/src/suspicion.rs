//! Messages about failures between instances that monitor each other.

use hibiscus_types::IncarnationId;
use hibiscus_types::InstanceName;
use serde::Deserialize;
use serde::Serialize;

/// What a monitor found about a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MonitorFinding {
    /// The process serves requests.
    Responsive,
    /// The process does not respond, or does not serve requests.
    Unresponsive,
    /// The monitor no longer monitors the process.
    Withdrawn,
}

/// A monitor's statement about whether another process has failed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailureSuspicion {
    /// The monitored instance.
    pub subject: InstanceName,
    /// The process of the monitored instance.
    pub incarnation: IncarnationId,
    /// The monitor.
    pub reporter: InstanceName,
    /// The process of the monitor.
    pub process: IncarnationId,
    /// Counter of the monitor: the suspicion with the higher version replaces
    /// the other.
    pub version: u64,
    /// What the monitor found.
    pub finding: MonitorFinding,
}

/// Suspicions that one instance sends to another.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspicionMessage {
    /// Whether the sender requests all suspicions that the receiver holds.
    pub joining: bool,
    /// The suspicions.
    pub suspicions: Vec<FailureSuspicion>,
}
