//! Eras of the store.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Number of times that the store has come back from a copy of itself. What was read and
/// acknowledged in an earlier era may be lost, and offsets of an earlier era may be those
/// of other records now.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct StoreEra(u64);

impl StoreEra {
    /// Creates the era with this number.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the number of the era.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for StoreEra {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}
