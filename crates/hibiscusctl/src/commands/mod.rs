//! One file a subcommand, each with its `cli` and its `exec`.

pub mod check;
