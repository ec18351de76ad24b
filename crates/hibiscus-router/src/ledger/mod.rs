//! Duties around the ledger streams: appending in batches, following, and
//! answering other instances as a broker.

pub mod append;
pub mod broker;
pub mod client;
pub mod copy;
pub mod follow;
pub mod message;
pub mod reclaim;
