//! Merges the events of all processes into one time line.
//!
//! [`source`] reads the rings of live processes, saved pages or saved log lines
//! ([`log`]), [`filter`] keeps what a question is about, [`merge`] orders events by their hybrid
//! logical time, and [`text`] and [`html`] show them. Events that a ring
//! dropped and processes that could not be read are shown as gaps, so that a
//! missing event is never taken for one that did not happen.

pub mod cli;
pub mod filter;
pub mod html;
pub mod log;
pub mod merge;
pub mod source;
pub mod text;
