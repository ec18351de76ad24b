//! Operators' command line: check, publish and inspect.
//!
//! [`commands`] holds one file a subcommand, each a thin layer over the
//! operations of the slices.

pub mod commands;
