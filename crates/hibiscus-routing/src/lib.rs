//! Selects the server for a request.
//!
//! Load reports lag, so [`load`] estimates a server's load from its last report
//! and the requests sent since. [`health`] excludes servers that fail and
//! [`availability`] those that refuse requests or are draining. [`affinity`]
//! estimates which servers hold a prompt prefix, and a [`policy::RoutingPolicy`]
//! chooses among the remaining servers. [`request_limit`] tracks the limits that
//! servers name, and [`permits`] schedules the requests of all instances under
//! them. [`cold`] tracks which servers are cold after a start, and [`cold::lending`]
//! selects who schedules their requests. [`placement`] chooses the server with the
//! shortest predicted time to the first token, with the times of requests and servers
//! that [`cost`] learns. [`admission`] decides who is refused when a service cannot
//! serve all in time. [`path_monitor`] tells a network path that is cut from a peer that
//! reads slowly.

pub mod admission;
pub mod affinity;
pub mod availability;
pub mod cold;
pub mod cost;
pub mod health;
pub mod load;
pub mod path_monitor;
pub mod permits;
pub mod placement;
pub mod policy;
pub mod request_limit;
