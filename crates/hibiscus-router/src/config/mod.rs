//! The configuration in force, and the duties that keep it there.
//!
//! [`cell`] holds the fold and what the other duties read of it. Records come
//! from the log ([`follow`]) and from peers ([`peers`]), in any order and
//! repeated; the fold takes each once, so two sources are harmless. An
//! instance follows the log only while it ranks among the first few of its
//! data centre; the others learn from their peers' heartbeats that a newer
//! version is in force and fetch the records from them. [`snapshots`] writes
//! the whole fold to the log before the records expire.

pub mod cell;
pub mod follow;
pub mod peers;
pub mod snapshots;

pub use cell::ConfigCell;
