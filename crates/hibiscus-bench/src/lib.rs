//! Quickstart, load and experiments.
//!
//! Results are one JSON object a line on standard output; all else goes to
//! standard error. [`commands`] holds one file a subcommand; [`routing_run`]
//! drives the routing decisions over the servers of [`routing_model`].

pub mod caller;
pub mod commands;
pub mod routing_model;
pub mod routing_run;
pub mod sizing;
pub mod steps;
