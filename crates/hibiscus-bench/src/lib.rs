//! Quickstart, load and experiments.
//!
//! Results are one JSON object a line on standard output; all else goes to
//! standard error. [`commands`] holds one file a subcommand.

pub mod caller;
pub mod commands;
pub mod sizing;
