//! One file a subcommand, each with its `cli` and its `exec`.

pub mod config;
pub mod faults;
pub mod overhead;
pub mod quickstart;
pub mod routing;
pub mod run;
pub mod sizing;
pub mod slopes;
