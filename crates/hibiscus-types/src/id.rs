//! Names and numbers that identify the parts of a deployment.

use std::fmt;
use std::ops::Add;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use uuid::Uuid;

/// Declares a name type: a shared string that orders, hashes and serialises
/// as the string it wraps. Its copies share their text.
macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Wraps `text` without checking it.
            pub fn new(text: impl Into<String>) -> Self {
                Self(Arc::from(text.into()))
            }

            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self::new(text)
            }
        }
    };
}

name_type! {
    /// A team: the party that a budget belongs to and a request is billed to.
    TeamName
}
name_type! {
    /// A prepaid token budget.
    BudgetName
}
name_type! {
    /// An instance: one machine running one router process.
    InstanceName
}
name_type! {
    /// A data centre: one failure domain within a region.
    DataCentre
}
name_type! {
    /// A region: data centres with short delays between them.
    RegionName
}
name_type! {
    /// A backend server: one model engine or plain service process.
    ServerName
}
name_type! {
    /// A service: the backend servers that answer the same calls.
    ServiceName
}

/// One life of one process. A restarted process is another incarnation.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct IncarnationId(Uuid);

impl IncarnationId {
    /// A new incarnation, ordered by its time of creation.
    pub fn generate() -> Self {
        Self(Uuid::now_v7())
    }

    /// The incarnation with the given number.
    pub const fn from_u128(number: u128) -> Self {
        Self(Uuid::from_u128(number))
    }

    /// The incarnation as a number.
    pub const fn as_u128(self) -> u128 {
        self.0.as_u128()
    }
}

impl fmt::Display for IncarnationId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// An allowance grant. The holder that asks for the grant makes the number.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct GrantId(Uuid);

impl GrantId {
    /// A new grant number, ordered by its time of creation.
    pub fn generate() -> Self {
        Self(Uuid::now_v7())
    }

    /// The grant with the given number.
    pub const fn from_u128(number: u128) -> Self {
        Self(Uuid::from_u128(number))
    }

    /// The grant as a number, which servers receive as the fencing number.
    pub const fn as_u128(self) -> u128 {
        self.0.as_u128()
    }
}

impl fmt::Display for GrantId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// An idempotency key within its team.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestKey {
    /// The team that sent the request.
    pub team: TeamName,
    /// The caller's key, or the one stamped by the first router.
    pub key: String,
}

impl RequestKey {
    /// The key `key` of `team`.
    pub fn new(team: TeamName, key: impl Into<String>) -> Self {
        Self {
            team,
            key: key.into(),
        }
    }

    /// A time-ordered key for a request that came without one.
    pub fn stamp(team: TeamName) -> Self {
        Self::new(team, Uuid::now_v7().to_string())
    }
}

impl fmt::Display for RequestKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.team, self.key)
    }
}

/// An amount of model tokens.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct TokenCount(u64);

impl TokenCount {
    /// No tokens.
    pub const ZERO: Self = Self(0);

    /// `count` tokens.
    pub const fn new(count: u64) -> Self {
        Self(count)
    }

    /// The amount as a number.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// The sum, or `None` when it overflows.
    pub fn checked_add(self, other: Self) -> Option<Self> {
        self.0.checked_add(other.0).map(Self)
    }

    /// The difference, or `None` when `other` is larger.
    pub fn checked_sub(self, other: Self) -> Option<Self> {
        self.0.checked_sub(other.0).map(Self)
    }

    /// The sum, at most [`u64::MAX`].
    pub fn saturating_add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }

    /// The difference, at least zero.
    pub fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// Whether the amount is zero.
    pub const fn is_zero(self) -> bool {
        self.0 == 0
    }
}

impl Add for TokenCount {
    type Output = Self;

    /// Adds and saturates: every budget bound is far below [`u64::MAX`].
    fn add(self, other: Self) -> Self {
        self.saturating_add(other)
    }
}

impl std::iter::Sum for TokenCount {
    fn sum<I: Iterator<Item = Self>>(iter: I) -> Self {
        iter.fold(Self::ZERO, Self::saturating_add)
    }
}

impl fmt::Display for TokenCount {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}
