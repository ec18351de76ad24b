//! What instances tell each other of who is silent.

use hibiscus_types::IncarnationId;
use hibiscus_types::InstanceName;
use serde::Deserialize;
use serde::Serialize;

/// What a watcher found.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WatchFinding {
    /// The process serves.
    Answers,
    /// The process does not answer, or does not serve.
    Silent,
    /// The watcher watches it no more.
    Withdrawn,
}

/// What a watcher says of a process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SilenceVerdict {
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
    pub finding: WatchFinding,
}

/// Verdicts that one instance passes on to another.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SilenceMessage {
    /// Whether the sender asks for all that is known.
    pub joining: bool,
    /// The verdicts.
    pub verdicts: Vec<SilenceVerdict>,
}
