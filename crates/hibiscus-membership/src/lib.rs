//! Fleet membership and failure detection, as seen by one process.
//!
//! The platform's instance list lags and heartbeats get lost, so two processes
//! may see different fleets at the same time. Nothing here needs agreement
//! between instances: a wrong view costs an extra hop, and the ledger's fold
//! has the final say.
//!
//! - [`view`] merges the platform's instance list with heartbeats. An instance
//!   exchanges heartbeats with its [`neighbours`], in [`gossip`] messages.
//! - [`ranking`] orders instances by rendezvous hashing for a shard or a caller,
//!   and [`address`] ranks the addresses that callers receive.
//! - [`silence`] detects instances that stopped responding in fleets where each
//!   instance monitors only a few others, which it selects with [`rings`] and
//!   whose [`suspicion`]s spread by gossip.
//! - [`headroom`] measures how much more an instance can take, and decides what follows.

pub mod address;
pub mod gossip;
pub mod headroom;
pub mod neighbours;
pub mod ranking;
pub mod rings;
pub mod silence;
pub mod suspicion;
pub mod view;
