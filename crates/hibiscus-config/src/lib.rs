//! The operators' file, its checks, and the configuration as a fold.
//!
//! An operator's file ([`file`]) holds one entry a line, each with a comment
//! that names who asked for it. `publish` turns the difference between the
//! file and the configuration in force into one [`record::ConfigRecord`],
//! whose changes name the version of the entry that they replace. The
//! [`fold`] accepts a record only when all its changes replace the version in
//! force, so operators who race conflict only on the same entry, and every
//! reader of the stream reaches the same [`snapshot::ConfigSnapshot`]. Records
//! expire, so [`state`] cuts the whole fold into parts for the snapshot stream
//! and for peers, and [`load`] joins the newest snapshot and the tail.

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

/// The stream that carries the configuration.
pub const CONFIG_STREAM: &str = "config";
/// The stream that carries snapshots of the configuration, in parts.
pub const SNAPSHOT_STREAM: &str = "config/snapshots";
