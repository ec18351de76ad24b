//! The router daemon.
//!
//! Each duty is a slice with its own thread, state and messages; bounded
//! rings join them, and shared views (configuration, fleet, servers) are
//! cells that one duty writes and the others read:
//!
//! - [`callers`] serves the callers' port and hands each request to a thread
//!   of [`requests`], which takes it through its life.
//! - [`holder`] keeps the allowance and asks brokers for more.
//! - [`witness`] acknowledges opens and settlements of other instances.
//! - [`ledger`] appends to and follows the ledger streams and answers other
//!   instances as a broker.
//! - [`config`] follows the configuration, [`membership`] the instance list
//!   and the peers' heartbeats, [`servers`] the backend servers' load.
//! - [`peer`] receives the calls of other instances and passes them on.
//! - [`operators`] serves metrics, status and events.
//!
//! [`ops::start`] starts them in order and [`stop`] ends them; `main` and the in-process fleets of the tests use the same two.

pub mod callers;
pub mod cli;
pub mod config;
pub mod context;
pub mod holder;
pub mod ledger;
pub mod membership;
pub mod operators;
pub mod ops;
pub mod peer;
pub mod requests;
pub mod servers;
pub mod settings;
pub mod stop;
pub mod witness;
