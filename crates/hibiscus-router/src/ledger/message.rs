//! Calls between instances and brokers.

use std::collections::BTreeMap;

use hibiscus_ledger::fold::BudgetState;
use hibiscus_ledger::fold::RecordVerdict;
use hibiscus_ledger::record::AllowanceGrant;
use hibiscus_ledger::record::AllowanceReturn;
use hibiscus_ledger::record::LedgerRecord;
use hibiscus_ledger::record::RequestOpen;
use hibiscus_ledger::record::RequestSettlement;
use hibiscus_ledger::sizing::LedgerHeadroom;
use hibiscus_types::BudgetName;
use hibiscus_types::RequestKey;
use serde::Deserialize;
use serde::Serialize;

/// What an instance asks of a broker.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum BrokerRequest {
    /// Append a grant and answer its verdict.
    Grant {
        /// The shard of the budget.
        shard: u32,
        /// Fragments that the holder gives back first.
        returns: Vec<AllowanceReturn>,
        /// The grant. A repeated question carries the same number.
        grant: AllowanceGrant,
    },
    /// Append an open and answer whether it is the first of its key.
    OpenFirst {
        /// The open.
        open: RequestOpen,
    },
    /// Append a record, read it back and answer its verdict.
    Record {
        /// The shard.
        shard: u32,
        /// The record.
        record: LedgerRecord,
    },
    /// Answer what the ledger holds of a key.
    Lookup {
        /// The key.
        key: RequestKey,
    },
    /// Answer the state of the budgets of a shard.
    Budgets {
        /// The shard.
        shard: u32,
    },
}

/// What the ledger holds of a key.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum KeyStatus {
    /// Nothing.
    Unseen,
    /// An open without its settlement.
    Open(RequestOpen),
    /// A settlement.
    Settled {
        /// The settlement that charged the key.
        settlement: RequestSettlement,
        /// Runs that ended after it.
        reruns: usize,
    },
}

/// A broker's answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum BrokerReply {
    /// The grant's verdict.
    Grant {
        /// Whether the grant may be spent.
        accepted: bool,
        /// The budget at the offset.
        headroom: LedgerHeadroom,
        /// The offset that proves it.
        offset: u64,
    },
    /// The open's verdict.
    OpenFirst {
        /// Whether the request may be sent to a server.
        first: bool,
        /// What the ledger holds of the key.
        status: KeyStatus,
    },
    /// The record is in the log and has this verdict.
    Recorded(RecordVerdict),
    /// The ledger cannot be read from here.
    Unavailable,
    /// What the ledger holds of the key.
    Lookup(KeyStatus),
    /// State of the budgets at an offset.
    Budgets {
        /// The offset of the next record.
        offset: u64,
        /// The budgets by name.
        budgets: BTreeMap<BudgetName, BudgetState>,
    },
}
