//! Prepaid budgets as a pure fold over one log stream.
//!
//! A [`record::LedgerRecord`] is a proposal; its verdict is a function of the
//! records before it, so every reader of the stream computes the same verdict
//! and no process needs a lock. The parts meet as follows:
//!
//! - [`fold::LedgerFold`] applies batches in order of offset and keeps, for
//!   each budget, credited, charged and outstanding tokens.
//! - [`holder::HeldAllowance`] is the state of a process that holds grants:
//!   a request starts only by reserving its maximum cost there.
//! - [`witness::WitnessBuffer`] acknowledges opens and settlements on their
//!   way to the log, and promises to acknowledge no more under a sealed grant.
//! - [`sizing::SizingPolicy`] says how much a holder asks for.
//! - [`recovery::LedgerReplay`] starts a reader from a snapshot, and
//!   [`audit::LedgerAudit`] checks a stream from its records alone.
//!
//! [`account`] is the smaller ledger of instances that keep nothing and whose
//! store carries neither opens nor settlements.
//!
//! The crate does no input or output: messages and times are arguments.

pub mod account;
pub mod audit;
pub mod fold;
pub mod holder;
pub mod record;
pub mod recovery;
pub mod sizing;
pub mod witness;

use hibiscus_types::TeamName;
use hibiscus_types::hash::stable_hash;

/// The shard that carries `team`, of `shards` shards.
pub fn shard_of(team: &TeamName, shards: u32) -> u32 {
    let hash = stable_hash(&[team.as_str().as_bytes()]);
    let shard = hash % u64::from(shards.max(1));
    u32::try_from(shard).unwrap_or(0)
}

/// The name of the stream that carries `shard`.
pub fn stream_of(shard: u32) -> String {
    format!("ledger/{shard}")
}
