//! Servers that are cold after a start: how long ([`servers`]), who may send them
//! requests ([`permits`]), and how other instances learn of it ([`exchange`]).

pub mod exchange;
pub mod permits;
pub mod servers;
