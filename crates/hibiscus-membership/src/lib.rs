//! Which instances and servers there are, as one process sees it.
//!
//! The platform's instance list lags, and heartbeats get lost, so two
//! processes may see different fleets at the same time. Nothing here decides
//! what must be agreed: a wrong view costs an extra hop, and the ledger's
//! fold decides. [`view`] merges the list with the heartbeats, [`neighbours`]
//! chooses with whom an instance exchanges them and [`gossip`] what they tell
//! each other, [`ranking`] orders instances for a shard or a caller, and
//! [`address`] makes the answers that callers get. [`rings`] and [`detector`]
//! say who answers in a fleet whose instances watch a few others each, and tell
//! each other so ([`suspicion`]).

pub mod address;
pub mod detector;
pub mod gossip;
pub mod neighbours;
pub mod ranking;
pub mod rings;
pub mod suspicion;
pub mod view;
