//! Operations behind the subcommands, usable without a command line.

pub mod history;
pub mod ledger;
pub mod lines;
pub mod publish;
pub mod status;
