//! The router daemon on the users' platform.
//!
//! The traffic thread serves callers and makes all decisions. The other threads
//! only move records between it and the metadata store: [`follow`] and
//! [`servers`] read topics, [`config`] reads the operators' configuration,
//! [`append`] writes account records, [`suspects`] reads and writes crash reports, and
//! [`streams`] the software versions that began streams. [`signals`] waits for signals. [`serve`] starts all threads.

mod append;
mod cli;
mod config;
mod follow;
mod relay;
mod serve;
mod servers;
mod signals;
mod status;
mod streams;
mod suspects;
mod topic_monitor;

use std::process::ExitCode;

fn main() -> ExitCode {
    cli::exec(&cli::cli().run())
}
