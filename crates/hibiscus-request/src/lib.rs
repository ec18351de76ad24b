//! Request lifecycle, retry budget and detection of requests that crash servers.
//!
//! [`lifecycle`] models a request as types that move
//! `Admitted -> Opened -> Dispatched -> Settled`. Only a request that no server
//! can have started yields the [`lifecycle::NotRunProof`] that a "not run"
//! response requires. [`window`] checks the age of time-ordered keys and
//! [`retry`] limits retries. [`fingerprint`] identifies a repeated request by
//! its team, path and body. [`suspects`] collects the fleet's reports of
//! servers that crashed while they ran a request, and [`prompt_parts`] the parts of
//! prompts that these requests have in common; [`quarantine`] is an earlier design
//! of the same, for `hibiscus-router`.

pub mod fingerprint;
pub mod lifecycle;
pub mod prompt_parts;
pub mod quarantine;
pub mod retry;
pub mod stream_versions;
pub mod suspects;
pub mod window;
