//! Clients of the platform and of the backend servers.
//!
//! Each module is one interface: [`log`] the append-only log service,
//! [`list`] the instance list, [`engine`] the model engines and plain
//! services. The clients move bytes and report outcomes; they decide
//! nothing. A reply that was lost after its effect is reported as an error,
//! and the caller repeats the append under the same sequence number.

pub mod engine;
pub mod list;
pub mod log;

mod http;
mod page;
