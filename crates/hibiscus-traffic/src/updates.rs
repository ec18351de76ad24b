//! Updates that other threads send to the traffic thread.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use hibiscus_ledger::account::snapshot::AccountSnapshot;
use hibiscus_types::DataCentre;
use hibiscus_types::ServerName;
use hibiscus_types::StoreEra;
use tokio::sync::mpsc;

use crate::budgets::StreamPosition;
use crate::evacuations::EvacuationInForce;
use crate::model::FleetConfig;
use crate::model::InstanceEntry;
use crate::model::ServerEntry;
use crate::stream_versions::StreamUpdate;
use crate::suspects::SuspectUpdate;

/// Updates that the channel holds; a thread that finds it full waits.
pub const CHANNEL_CAPACITY: usize = 256;

/// The source of a configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigSource {
    /// A complete version from the operators' topic.
    Operators,
    /// A delta that another instance published.
    Delta,
}

impl ConfigSource {
    /// Label of the source in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Operators => "operators",
            Self::Delta => "change",
        }
    }
}

/// Origin of a configuration and the time taken to read it.
#[derive(Clone, Copy, Debug)]
pub struct ConfigArrival {
    /// Where the configuration came from.
    pub source: ConfigSource,
    /// Bytes read from the store.
    pub bytes: usize,
    /// Time taken to read the body of the store's response.
    pub read_time: Duration,
    /// Later records that the topic had when the configuration was read.
    pub records_behind: u64,
    /// Time taken to decode the configuration or to apply the delta.
    pub decode_time: Duration,
    /// When the update was queued for the traffic thread.
    pub queued_at: Instant,
}

/// An update for the request path.
#[derive(Debug)]
pub enum TrafficUpdate {
    /// The evacuations that are in force have changed. At the start this comes before the
    /// first configuration, without which no request is sent and the instance is not ready.
    Evacuations {
        /// All evacuations.
        in_force: BTreeMap<DataCentre, EvacuationInForce>,
        /// When the update was queued for the traffic thread.
        queued_at: Instant,
    },
    /// A new configuration version.
    Config {
        /// The configuration.
        config: Arc<FleetConfig>,
        /// Origin of the configuration.
        arrival: ConfigArrival,
    },
    /// The newest entries of all servers.
    AllServers(Vec<ServerEntry>),
    /// A server wrote its entry to the store.
    Server(ServerEntry),
    /// A server's entry was removed.
    ServerRemoved(ServerName),
    /// The servers' topic can't be read.
    ServerTopicUnavailable,
    /// The servers' topic was read.
    ServerTopicRead,
    /// Consecutive encoded records of the account stream.
    Accounts {
        /// Offset of the first record.
        first: u64,
        /// Encoded records.
        records: Vec<Vec<u8>>,
    },
    /// The range of the account stream; updates with its records follow.
    AccountsEnd {
        /// Position after its last record.
        end: StreamPosition,
        /// Offset of the oldest record that the store keeps.
        first: u64,
    },
    /// The store came back from a copy in this era; the account stream is read again from
    /// its start.
    AccountsRestored(StoreEra),
    /// The era that the store holds as the one in which the account stream is complete, and
    /// the present era.
    AccountsCompleteEra(Option<StoreEra>, StoreEra),
    /// The reader reads no account records until it is needed again.
    AccountsPaused,
    /// The reader has caught up: all account records that the store had were
    /// sent.
    AccountsCaughtUp,
    /// The store has removed the account records before an offset; snapshots
    /// replace them.
    AccountsTruncated {
        /// Offset of the oldest record that the store keeps.
        first: u64,
        /// The snapshots.
        snapshots: Vec<AccountSnapshot>,
    },
    /// Records that close accounts were not appended, because the store came back from a
    /// copy.
    AccountClosesDropped,
    /// The store has appended batches of account records.
    AccountsAppended {
        /// Number of the last appended batch.
        number: u64,
        /// Position after the records of that batch; `None` if it held only
        /// snapshots.
        end: Option<StreamPosition>,
    },
    /// All instance announcements that the store had were sent.
    InstancesRead,
    /// Records of the fleet's topic about requests under which servers crashed.
    Suspects(SuspectUpdate),
    /// Records of the fleet's topics about software versions and streams.
    Streams(StreamUpdate),
    /// An instance announced itself.
    Instance(InstanceEntry),
    /// Whether another instance responds.
    Reachable(InstanceEntry, bool),
    /// The graceful shutdown begins.
    Shutdown,
}

/// The sending half of the update channel.
pub type UpdateSender = mpsc::Sender<TrafficUpdate>;
/// The receiving half of the update channel.
pub type UpdateReceiver = mpsc::Receiver<TrafficUpdate>;

/// Creates the update channel.
pub fn channel() -> (UpdateSender, UpdateReceiver) {
    mpsc::channel(CHANNEL_CAPACITY)
}
