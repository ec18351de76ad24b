//! Merges the events of all processes into one time line.
//!
//! [`merge`] orders events by their hybrid logical time; the program reads
//! them from the operators' ports.

pub mod merge;
