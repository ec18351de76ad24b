//! Which server a request goes to.
//!
//! Load reports lag, so a server's load is taken as the last report plus what
//! this process sent since ([`load`]). A [`policy::RoutingPolicy`] chooses
//! among the servers that stay, and [`health`] keeps it from those that fail.

pub mod health;
pub mod load;
pub mod policy;
