//! Duty: serves the callers' port.
//!
//! One thread with a current-thread runtime accepts connections, receives
//! headers and bodies within limits, and answers what needs no server. Each
//! other request gets a thread of [`crate::requests`]; a bounded ring carries
//! the answer's bytes back, so a slow caller slows its own stream only.

pub mod answer;
pub mod body;
pub mod port;
