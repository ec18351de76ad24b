//! One file a subcommand, each with its `cli` and its `exec`.

pub mod audit;
pub mod budgets;
pub mod check;
pub mod diff;
pub mod history;
pub mod input;
pub mod publish;
pub mod status;
