//! Duty: serves the callers' port.
//!
//! One thread with a current-thread runtime accepts connections ([`port`]),
//! identifies the caller from the headers ([`admission`]), receives the body
//! within bounds of size, time and memory ([`receive`]) and answers what needs
//! no server ([`address`]). Each other request gets a thread of
//! [`crate::requests`]; a bounded ring carries the answer's bytes back
//! ([`body`]), so a slow caller slows its own stream only, and one that stops
//! reading is disconnected ([`stream`]).

pub mod address;
pub mod admission;
pub mod answer;
pub mod body;
mod chat_body;
pub mod port;
pub mod receive;
pub mod stream;
