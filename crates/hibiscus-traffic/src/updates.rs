//! News from the other duties' threads.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use hibiscus_ledger::account::snapshot::AccountSnapshot;
use hibiscus_types::ServerName;
use tokio::sync::mpsc;

use crate::model::FleetConfig;
use crate::model::InstanceEntry;
use crate::model::ServerEntry;
use crate::suspects::SuspectUpdate;

/// News that wait for the traffic thread; a thread that finds the ring full
/// waits.
pub const CHANNEL_CAPACITY: usize = 256;

/// Where a configuration came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigSource {
    /// The operators' topic, whole.
    Operators,
    /// A change that another instance published.
    Delta,
}

impl ConfigSource {
    /// The word for logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Operators => "operators",
            Self::Delta => "change",
        }
    }
}

/// How a configuration came to the request path.
#[derive(Clone, Copy, Debug)]
pub struct ConfigArrival {
    /// Where it came from.
    pub source: ConfigSource,
    /// Bytes that were read for it.
    pub bytes: usize,
    /// Time that reading them took, from the head of the reply on.
    pub read_time: Duration,
    /// Records of the same topic after it, when it was read.
    pub records_behind: u64,
    /// Time that decoding or applying it took.
    pub decode_time: Duration,
    /// When it was told to the request path.
    pub queued_at: Instant,
}

/// Something that the request path must know.
#[derive(Debug)]
pub enum TrafficUpdate {
    /// A configuration version.
    Config {
        /// The configuration.
        config: Arc<FleetConfig>,
        /// How it came here.
        arrival: ConfigArrival,
    },
    /// The newest entries of all servers.
    AllServers(Vec<ServerEntry>),
    /// A server wrote its entry.
    Server(ServerEntry),
    /// A server's entry was removed.
    ServerRemoved(ServerName),
    /// The servers' topic cannot be read.
    ServerTopicUnavailable,
    /// The servers' topic was read.
    ServerTopicRead,
    /// Encoded records of the account stream, one after the other.
    Accounts {
        /// Offset of the first of them.
        first: u64,
        /// Their bytes.
        records: Vec<Vec<u8>>,
    },
    /// The account stream ends at this offset; its records follow.
    AccountsEnd(u64),
    /// All account records that the store had were told.
    AccountsCaughtUp,
    /// The account records before an offset are gone; these snapshots stand for
    /// them.
    AccountsTruncated {
        /// Offset of the oldest record that is kept.
        first: u64,
        /// The snapshots.
        snapshots: Vec<AccountSnapshot>,
    },
    /// The store has batches of account records.
    AccountsAppended {
        /// Number of the last batch.
        number: u64,
        /// Offset after its records; `None` if it had only snapshots.
        end: Option<u64>,
    },
    /// The announcements that the store had were told.
    InstancesRead,
    /// What the fleet's topic says of requests under which servers ended.
    Suspects(SuspectUpdate),
    /// An instance announced itself.
    Instance(InstanceEntry),
    /// Another instance answers, or does not.
    Reachable(InstanceEntry, bool),
    /// The planned stop begins.
    Shutdown,
}

/// The sending half of the ring.
pub type UpdateSender = mpsc::Sender<TrafficUpdate>;
/// The receiving half of the ring.
pub type UpdateReceiver = mpsc::Receiver<TrafficUpdate>;

/// A new ring.
pub fn channel() -> (UpdateSender, UpdateReceiver) {
    mpsc::channel(CHANNEL_CAPACITY)
}
