//! Operators' command line: check, publish and inspect.
//!
//! [`commands`] holds one file a subcommand, each a thin layer over the
//! operations in [`ops`].

pub mod commands;
pub mod ops;
