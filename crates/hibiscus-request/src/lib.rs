//! The life of a request, as types that make a false "not run" impossible.
//!
//! A request moves `Admitted -> Opened -> Dispatched -> Settled`
//! ([`life`]). Only the states before [`life::DispatchedRequest`] can be
//! turned into [`life::NotRunProof`], which the answer "not run" needs.
//! [`window`] refuses keys that the ledger may have forgotten, [`retry`]
//! bounds the attempts, and [`quarantine`] finds requests that stop servers.
//! [`print`] names what is the same about a request that comes again, and
//! [`suspects`] holds what the fleet knows of servers that ended under it.

pub mod life;
pub mod print;
pub mod quarantine;
pub mod retry;
pub mod suspects;
pub mod window;
