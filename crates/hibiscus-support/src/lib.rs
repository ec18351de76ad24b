//! Stand-ins for the platform and the engines, a fault proxy and fleet
//! helpers, shared by the tests, the quickstart and the bench.
//!
//! Each stand-in serves its interface's published protocol on a loopback
//! port, keeps a record of what it was asked to do, and takes its faults
//! through a handle: [`LogStandin`], [`ListStandin`], [`EngineStandin`] and
//! [`PlainStandin`]. [`keys`] makes the certificates of a fleet, and
//! [`fleet`] starts router instances inside one process, and [`example`] a small
//! fleet of processes.

pub mod engine;
pub mod example;
pub mod fleet;
pub mod gossip;
pub mod keys;
pub mod list;
pub mod log;
pub mod plain;
pub mod process;
pub mod proxy;
pub mod requests;

pub mod http;

pub use engine::EngineStandin;
pub use list::ListStandin;
pub use log::LogStandin;
pub use plain::PlainStandin;
