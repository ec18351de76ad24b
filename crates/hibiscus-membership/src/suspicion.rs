//! What instances tell each other of who is silent.

use hibiscus_types::IncarnationId;
use hibiscus_types::InstanceName;
use serde::Deserialize;
use serde::Serialize;

/// What a watcher found.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MonitorFinding {
    /// The process serves.
    Responsive,
    /// The process does not answer, or does not serve.
    Unresponsive,
    /// The watcher watches it no more.
    Withdrawn,
}

/// What a watcher says of a process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailureSuspicion {
    /// The instance.
    pub subject: InstanceName,
    /// Its process.
    pub incarnation: IncarnationId,
    /// The watcher.
    pub reporter: InstanceName,
    /// The watcher's process.
    pub process: IncarnationId,
    /// The watcher's counter: of two verdicts the higher one holds.
    pub version: u64,
    /// What it found.
    pub finding: MonitorFinding,
}

/// Verdicts that one instance passes on to another.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspicionMessage {
    /// Whether the sender asks for all that is known.
    pub joining: bool,
    /// The verdicts.
    pub verdicts: Vec<FailureSuspicion>,
}
