//! Parses and checks the operators' configuration file and folds its
//! published changes.
//!
//! The operators' file ([`file`]) holds one entry per line, each followed by
//! a comment that names the person who requested it. `publish` writes the
//! difference between the file and the configuration in force as one
//! [`record::ConfigRecord`], in which each change names the version of the
//! entry that it replaces. The [`fold`] accepts a record only if every change
//! replaces the version in force. Concurrent publications therefore conflict
//! only if they change the same entry, and all readers of the stream compute
//! the same [`snapshot::ConfigSnapshot`]. Records expire, so [`state`] splits
//! the fold into parts for the snapshot stream and for peers, and [`load`]
//! applies the later records to the newest snapshot.

pub mod check;
pub mod entry;
pub mod file;
pub mod fold;
pub mod index;
pub mod load;
pub mod record;
pub mod schema;
pub mod shared_map;
pub mod snapshot;
pub mod state;

mod field;
mod reader;

pub use reader::VERSION_FIELD;

/// Stream of configuration records.
pub const CONFIG_STREAM: &str = "config";
/// Stream of configuration snapshots, which are split into parts.
pub const SNAPSHOT_STREAM: &str = "config/snapshots";
