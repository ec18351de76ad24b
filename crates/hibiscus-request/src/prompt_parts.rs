//! Parts of prompts that crash the servers that begin a response to them.
//!
//! Requests with such a part may have nothing else in common, and each instance
//! sees only some of the requests at a server that crashes. Instances therefore
//! tell each other which prompts were waiting for a response, or had just got its
//! beginning ([`PromptCrash`]). For each part the [`table::PartTable`] keeps the
//! server processes that crashed with it. A response that goes on after its
//! beginning proves that no part of its prompt is deadly, and removes the crashes of
//! its parts that were known when it began ([`PartClearance`]); no clocks of two
//! machines are compared. So parts that many requests share are cleared within a
//! moment, and only deadly ones gather crashes.
//!
//! [`verdict`] decides which parts are condemned, and [`suspension`] which ones are refused
//! for a time while little else is answered. Parts that were in the same
//! requests as the condemned one at each crash can't be told from it. So a request
//! is refused only if it has them all; requests with some of them go on and clear
//! these.
//!
//! Crashes form a set that instances merge in any order: a repeated report changes
//! nothing, and a removed one stays removed. The crashes record the teams whose
//! requests had the part. If it is a single team, only requests of that team are
//! refused, so no team can have a part of others refused with requests of its own.

mod history;
pub mod recent;
pub mod suspension;
pub mod table;
mod verdict;

use std::collections::BTreeSet;
use std::fmt;

use hibiscus_types::InstanceName;
use hibiscus_types::ServerName;
use hibiscus_types::ServiceName;
use hibiscus_types::TeamName;
use hibiscus_types::UnixMillis;
use hibiscus_types::hash::stable_hash;
use serde::Deserialize;
use serde::Serialize;

use crate::suspects::ServerProcess;

/// Maximum number of parts of one prompt that are looked at.
pub const PARTS_PER_PROMPT_LIMIT: usize = 32;

/// Identifier of a part of prompts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PartId(pub u64);

impl PartId {
    /// Parses the hexadecimal text that [`fmt::Display`] writes.
    pub fn parse(text: &str) -> Option<Self> {
        u64::from_str_radix(text, 16).ok().map(Self)
    }
}

impl fmt::Display for PartId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:x}", self.0)
    }
}

/// Identifies a team, or the callers without one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TeamTag(u64);

impl TeamTag {
    /// Identifies `team`.
    pub fn of(team: Option<&TeamName>) -> Self {
        let name = team.map_or("", TeamName::as_str);
        Self(stable_hash(&[name.as_bytes()]))
    }
}

/// What the prompts of some requests share with others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SharedPrompt {
    /// Parts that other requests may share, in order.
    pub parts: Vec<PartId>,
    /// The team that sent the requests.
    pub team: TeamTag,
    /// Number of requests whose response had not begun.
    pub waiting: u32,
    /// Number of requests whose response had just begun.
    pub begun: u32,
    /// Indexes of the parts that were in answered requests before.
    pub answered: Vec<u8>,
}

impl SharedPrompt {
    /// The prompt of one request of `team`, whose response has not begun.
    pub fn new(parts: Vec<PartId>, team: TeamTag) -> Self {
        Self {
            parts,
            team,
            waiting: 1,
            begun: 0,
            answered: Vec::new(),
        }
    }

    /// The same prompt, whose response has begun.
    pub fn with_response(&self) -> Self {
        Self {
            waiting: 0,
            begun: 1,
            ..self.clone()
        }
    }

    /// Whether the part at `index` was in answered requests before.
    fn was_answered(&self, index: usize) -> bool {
        u8::try_from(index).is_ok_and(|index| self.answered.contains(&index))
    }
}

/// Report of one instance about its requests at a server that crashed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptCrash {
    /// The server that crashed.
    pub server: ServerName,
    /// Start time of the server process, on the server's own clock.
    pub started: u64,
    /// Service of the server.
    pub service: ServiceName,
    /// The instance that sent the requests.
    pub reporter: InstanceName,
    /// Time at which the reporter detected the crash.
    pub seen: UnixMillis,
    /// The requests that were waiting for a response, or whose response had just
    /// begun.
    pub prompts: Vec<SharedPrompt>,
}

impl PromptCrash {
    /// The server process that crashed.
    pub fn process(&self) -> ServerProcess {
        ServerProcess::of(&self.server, self.started)
    }

    /// Tells this report from others.
    fn hash(&self) -> u64 {
        stable_hash(&[
            self.server.as_str().as_bytes(),
            &self.started.to_be_bytes(),
            self.reporter.as_str().as_bytes(),
            &self.seen.get().to_be_bytes(),
        ])
    }
}

/// Crashes that do not count against a part any more.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartClearance {
    /// The part.
    pub part: PartId,
    /// The server processes that crashed.
    pub processes: Vec<ServerProcess>,
}

/// A crash of a server that had requests with a certain part.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartCrash {
    /// The server that crashed.
    pub server: ServerName,
    /// Start time of the server process, on the server's own clock.
    pub started: u64,
    /// Service of the server.
    pub service: ServiceName,
    /// The first instance that reported a request with the part.
    pub reporter: InstanceName,
    /// Time at which that instance detected the crash.
    pub seen: UnixMillis,
    /// Parts that were in the same requests, including the part itself.
    pub companions: BTreeSet<PartId>,
    /// Teams of these requests, as far as they are recorded.
    pub teams: BTreeSet<TeamTag>,
    /// Whether the response to one of them had begun.
    pub begun: bool,
    /// Whether a reporter knew an answered request with the part.
    pub answered: bool,
}

impl PartCrash {
    /// The server process that crashed.
    pub fn process(&self) -> ServerProcess {
        ServerProcess::of(&self.server, self.started)
    }
}

/// All that is known of one part.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartEvidence {
    /// The part.
    pub part: PartId,
    /// When the part was condemned; `None` if it is only a suspect.
    pub condemned_at: Option<UnixMillis>,
    /// The crashes that speak against it.
    pub crashes: Vec<PartCrash>,
}

/// Whether requests with certain parts may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartStatus {
    /// No part is suspected.
    Clear,
    /// Several servers crashed one after the other with this part.
    Suspect(PartId),
    /// A part is condemned: requests with it crash servers.
    Condemned(PartId),
}
