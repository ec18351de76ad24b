//! Sizing policies over the real decision code and a small in-memory log.
//!
//! [`case`] names what happens to the log, the link and the holders;
//! [`log`] folds what the processes append; [`desk`] is one budget at one
//! holder; [`fleet`] joins them tick by tick and counts.

pub mod case;
pub mod desk;
pub mod fleet;
pub mod log;
