//! The operators' file, its checks, and the configuration as a fold.
//!
//! An operator's file ([`file`]) holds one entry a line, each with a comment
//! that names who asked for it. `publish` turns the difference between the
//! file and the configuration in force into one [`record::ConfigRecord`],
//! whose changes name the version of the entry that they replace. The
//! [`fold`] accepts a record only when all its changes replace the version in
//! force, so operators who race conflict only on the same entry, and every
//! reader of the stream reaches the same [`snapshot::ConfigSnapshot`].

pub mod entry;
pub mod file;
pub mod fold;
pub mod record;
pub mod snapshot;

/// The stream that carries the configuration.
pub const CONFIG_STREAM: &str = "config";
