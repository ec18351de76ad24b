//! The router daemon on the users' platform.
//!
//! The traffic thread serves callers and decides; the other threads only move
//! records between it and the metadata store: [`follow`] reads topics and
//! [`config`] the operators' configuration, [`append`] writes, [`signals`] waits for signals. [`serve`] builds the
//! traffic thread.

mod append;
mod cli;
mod config;
mod follow;
mod relay;
mod serve;
mod servers;
mod signals;
mod suspects;
mod topic_monitor;

use std::process::ExitCode;

fn main() -> ExitCode {
    cli::exec(&cli::cli().run())
}
