//! Records of a ledger stream.

use std::fmt;

use hibiscus_types::BudgetName;
use hibiscus_types::GrantId;
use hibiscus_types::IncarnationId;
use hibiscus_types::InstanceName;
use hibiscus_types::RequestKey;
use hibiscus_types::ServerName;
use hibiscus_types::TeamName;
use hibiscus_types::TokenCount;
use hibiscus_types::UnixMillis;
use serde::Deserialize;
use serde::Serialize;

/// Identifies a top-up; the operators' file names it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TopUpId(pub String);

impl fmt::Display for TopUpId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Tokens paid for, copied from an accepted configuration entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetCredit {
    /// The top-up; a second credit with the same id is void.
    pub id: TopUpId,
    /// The team that paid.
    pub team: TeamName,
    /// The budget that grows.
    pub budget: BudgetName,
    /// Tokens added.
    pub tokens: TokenCount,
}

/// A part of a budget that one incarnation may spend without the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AllowanceGrant {
    /// The grant's number, made by the holder.
    pub id: GrantId,
    /// The budget drawn on.
    pub budget: BudgetName,
    /// The incarnation that may spend it.
    pub holder: IncarnationId,
    /// The holder's instance, for operators.
    pub instance: InstanceName,
    /// Tokens granted.
    pub tokens: TokenCount,
    /// Incarnations that must acknowledge an open under this grant.
    pub witnesses: Vec<IncarnationId>,
}

/// A request about to be sent to a server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestOpen {
    /// The request.
    pub key: RequestKey,
    /// The grant that pays.
    pub grant: GrantId,
    /// The most that the request may cost.
    pub reserved: TokenCount,
    /// The server chosen.
    pub server: ServerName,
    /// Whether the request is non-idempotent.
    pub exclusive: bool,
    /// Attempt number; a proved "not run" allows the next.
    pub attempt: u32,
    /// Time of the open at its holder.
    pub opened: UnixMillis,
}

/// A short answer kept with a settlement, for retries of its request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: String,
    /// Whole body.
    pub body: Vec<u8>,
}

/// How an opened request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SettledEnd {
    /// A server ran it.
    Ran,
    /// It is proved that no server ran it.
    NotRun,
}

/// The end of an opened request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestSettlement {
    /// The request.
    pub key: RequestKey,
    /// The grant that its open named.
    pub grant: GrantId,
    /// The attempt that its open named.
    pub attempt: u32,
    /// The reservation of its open.
    pub reserved: TokenCount,
    /// Tokens used, at most the reservation.
    pub charge: TokenCount,
    /// How it ended.
    pub end: SettledEnd,
    /// The answer, when it is small enough to keep.
    pub answer: Option<RecordedAnswer>,
}

/// Allowance that its holder gives back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AllowanceReturn {
    /// The grant that shrinks.
    pub grant: GrantId,
    /// Sum of all tokens given back so far, so that copies and their order do
    /// not matter.
    pub total: TokenCount,
}

/// A proposal to reclaim a grant from a dead or paused holder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantSeal {
    /// The grant to reclaim.
    pub grant: GrantId,
}

/// A witness's promise to acknowledge no more opens under a grant. Its own
/// batches are ordered, so all opens it acknowledged precede the promise.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WitnessSeal {
    /// The sealed grant.
    pub grant: GrantId,
    /// The witness.
    pub witness: IncarnationId,
}

/// A part of a grant that its holder passes to a peer. The parent's witnesses
/// acknowledge it like an open, so it precedes their seals.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AllowanceSplit {
    /// The grant that shrinks.
    pub parent: GrantId,
    /// The grant of the peer.
    pub child: AllowanceGrant,
}

/// An operator's word that a grant's holder has stopped, copied from an
/// accepted configuration entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantRelease {
    /// The grant to free.
    pub grant: GrantId,
}

/// The fold at one offset, for readers that start after older records have
/// expired.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerSnapshot {
    /// The offset of the first record that the state does not include.
    pub next: u64,
    /// Hash of the state's bytes.
    pub digest: u64,
    /// The encoded state.
    pub state: Vec<u8>,
}

/// One proposal of a batch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LedgerRecord {
    /// A top-up.
    Credit(BudgetCredit),
    /// A grant.
    Grant(AllowanceGrant),
    /// A request about to run.
    Open(RequestOpen),
    /// A request that ended.
    Settle(RequestSettlement),
    /// Allowance given back.
    Return(AllowanceReturn),
    /// A proposal to reclaim.
    Seal(GrantSeal),
    /// A witness's promise.
    Sealed(WitnessSeal),
    /// A part of a grant passed to a peer.
    Split(AllowanceSplit),
    /// An operator's release of a held grant.
    Release(GrantRelease),
    /// The fold's state; it changes nothing.
    Snapshot(LedgerSnapshot),
}

/// Records that one process appends at once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordBatch {
    /// The appending process.
    pub incarnation: IncarnationId,
    /// Grows by one a batch; a repeat carries the same number.
    pub sequence: u64,
    /// The proposals, in order.
    pub records: Vec<LedgerRecord>,
}
