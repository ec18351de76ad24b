//! Identifiers, outcomes and the versioned codec that the other crates share.
//!
//! The crate holds only types that at least two crates use: the owners of
//! tokens ([`TeamName`], [`BudgetName`]), the processes ([`InstanceName`],
//! [`IncarnationId`]), the requests ([`RequestKey`]) and their results
//! ([`RequestOutcome`], [`RefusalReason`]). Any other type belongs to the crate
//! that implements its logic.

pub mod codec;
pub mod era;
pub mod hash;
pub mod id;
pub mod outcome;
pub mod page;
pub mod time;

pub use era::StoreEra;
pub use id::BudgetName;
pub use id::DataCentre;
pub use id::GrantId;
pub use id::IncarnationId;
pub use id::InstanceName;
pub use id::RegionName;
pub use id::RequestKey;
pub use id::ServerName;
pub use id::ServiceName;
pub use id::SoftwareVersion;
pub use id::TeamName;
pub use id::TokenCount;
pub use outcome::RefusalReason;
pub use outcome::RequestOutcome;
pub use time::UnixMillis;
