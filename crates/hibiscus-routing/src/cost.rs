//! Learns what requests cost and how fast servers are.
//!
//! [`service`] learns the times of a service from its responses, [`server`] how one
//! server differs from the others of its service and the work that this process has
//! outstanding there, [`pace`] keeps the momentary speed that a server reports, and
//! [`report`] ages the load that it reports.
//! [`memory`] bounds the tokens at an engine.
//! [`fit`] holds the averages, whose weight decays: without recent observations every
//! estimate returns to the constants in this module, which the data sheets state.
//! The estimates are kept by each process for itself and cost no messages.

pub mod fit;
pub mod memory;
pub mod pace;
pub mod report;
pub mod server;
pub mod service;

/// Milliseconds in which an engine prefills a token before anything is learned; the
/// data sheets of the deployments state 38.4 and 39.3 tokens per millisecond.
pub const PRIOR_PREFILL_MS_PER_TOKEN: f64 = 1.0 / 38.0;
/// Cost of each request in progress before anything is learned, in milliseconds to the
/// first token: about one step of the batch.
pub const PRIOR_RUNNING_REQUEST_MS: f64 = 6.0;
/// Cost of each request that waits for a slot before anything is learned, in
/// milliseconds.
pub const PRIOR_WAITING_REQUEST_MS: f64 = 30.0;
/// Number of slots up to which requests in progress cost the same.
pub const SLOTS_PER_STEP: f64 = 8.0;
/// Work of a request without a prompt before anything is learned, in milliseconds.
/// Shared by the slots of a server it amounts to [`PRIOR_RUNNING_REQUEST_MS`].
pub const PRIOR_REQUEST_MS: f64 = PRIOR_RUNNING_REQUEST_MS * SLOTS_PER_STEP;
/// Milliseconds per output token before anything is learned.
pub const PRIOR_OUTPUT_MS_PER_TOKEN: f64 = 5.0;
/// What each running request adds to the time per output token before anything is
/// learned, in milliseconds.
pub const PRIOR_OUTPUT_MS_PER_RUNNING: f64 = 0.1;
