//! How much more an instance can take, and what follows from it.
//!
//! - [`gauge`] turns measurements of an instance into its [`Headroom`].
//! - [`reports`] spreads the headroom of instances that are short of it.
//! - [`shares`] weights the instances in the lists that callers get.
//! - [`admission`] bounds what the instance accepts by itself.
//! - [`shedding`] decides how a full instance makes callers use others.

pub mod admission;
pub mod gauge;
pub mod reports;
pub mod shares;
pub mod shedding;

use serde::Deserialize;
use serde::Serialize;

/// Percentage of its usual share of callers that an instance should get.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Headroom(u8);

impl Headroom {
    /// An instance that has room for its usual share.
    pub const WHOLE: Self = Self(100);
    /// An instance that should get no further callers.
    pub const NONE: Self = Self(0);

    /// A headroom of `percent`; `None` beyond 100.
    pub const fn new(percent: u8) -> Option<Self> {
        if percent <= 100 {
            Some(Self(percent))
        } else {
            None
        }
    }

    /// The percentage.
    pub const fn percent(self) -> u8 {
        self.0
    }
}
