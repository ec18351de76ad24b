//! Identifiers, outcomes and the versioned codec that all slices share.
//!
//! The crate holds only what at least two slices name: who spends
//! ([`TeamName`], [`BudgetName`]), who runs ([`InstanceName`],
//! [`IncarnationId`]), what is asked for ([`RequestKey`]) and how it ended
//! ([`RequestOutcome`], [`RefusalReason`]). Everything else belongs to the
//! slice that decides on it.

pub mod codec;
pub mod hash;
pub mod id;
pub mod outcome;
pub mod page;
pub mod time;

pub use id::BudgetName;
pub use id::DataCentre;
pub use id::GrantId;
pub use id::IncarnationId;
pub use id::InstanceName;
pub use id::RegionName;
pub use id::RequestKey;
pub use id::ServerName;
pub use id::ServiceName;
pub use id::TeamName;
pub use id::TokenCount;
pub use outcome::RefusalReason;
pub use outcome::RequestOutcome;
pub use time::UnixMillis;
