//! The life of a request, as types that make a false "not run" impossible.
//!
//! A request moves `Admitted -> Opened -> Dispatched -> Settled`
//! ([`lifecycle`]). Only the states before [`lifecycle::DispatchedRequest`] can be
//! turned into [`lifecycle::NotRunProof`], which the answer "not run" needs.
//! [`window`] refuses keys that the ledger may have forgotten, [`retry`]
//! bounds the attempts, and [`quarantine`] finds requests that stop servers.
//! [`fingerprint`] names what is the same about a request that comes again, and
//! [`suspects`] holds what the fleet knows of servers that ended under it.

pub mod fingerprint;
pub mod lifecycle;
pub mod quarantine;
pub mod retry;
pub mod suspects;
pub mod window;
