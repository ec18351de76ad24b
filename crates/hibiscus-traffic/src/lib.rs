//! The request path of an instance, on one thread.
//!
//! A current-thread runtime owns the connections of callers and servers. The
//! modules work together as follows:
//!
//! - [`port`] accepts callers' connections and [`callers`] limits them. Each
//!   request goes to [`handler`], which admits it, selects a server, forwards the
//!   request and sends the response.
//! - [`servers`] holds the backend servers in [`server_registry`] with their
//!   connections ([`connect`], [`idle`], [`process_state`]) and whether their processes
//!   accept new requests ([`availability_table`], [`server_limits`]). [`response_body`] forwards the
//!   bytes of a response and checks that it is complete.
//! - [`evacuations`] decides which data centres are evacuated, by the operators' records.
//! - [`limit_exchange`] tells the instances of the limits that servers name, and
//!   [`permits`] schedules the requests of all instances under them. [`cold::servers`],
//!   [`cold::exchange`] and [`cold::permits`] do the same for servers that are cold.
//! - [`crash_detector`] detects whether a server that broke a request's
//!   connection has crashed; [`suspects`] handles the requests under which
//!   servers crash, and [`part_tracker`] the parts of prompts that crash them.
//! - [`stream_versions`] keeps streams that are taken up again at the software version
//!   that began them.
//! - [`supply`] obtains the tokens for a request from [`budgets`], or from the
//!   instances that [`holders`] selects. [`retries`] limits how many requests are
//!   sent twice.
//! - [`directory`] holds the instances that callers are directed to; [`members`]
//!   monitors them ([`probe`]) and exchanges failure suspicions.
//! - [`traffic_metrics`] counts requests and [`tally`] the work for the fleet, as
//!   metrics for operators; [`machine`] reads the resource usage of the process.
//! - [`shares`] divides the machine's memory among these purposes, and
//!   [`memory_pressure`] decides what to give up when memory runs out.
//! - [`relays`] selects the instances that read the operators' configuration and
//!   the servers' entries directly; these publish a [`config_delta`] or
//!   [`server_changes`] for the others.
//! - [`updates`] is the channel on which other threads send updates. All
//!   decisions are made on this thread, so nothing here is locked.
//!
//! The format of requests is a [`wire_format::WireFormat`]; the other modules
//! depend on no protocol beyond HTTP.

pub mod availability_table;
pub mod budgets;
pub mod callers;
pub mod clock;
pub mod cold;
pub mod config_check;
pub mod config_delta;
pub mod connect;
pub mod crash_detector;
pub mod directory;
pub mod evacuations;
pub mod handler;
pub mod headroom;
pub mod holder_waits;
pub mod holders;
pub mod idle;
pub mod in_flight;
pub mod limit_exchange;
pub mod machine;
pub mod members;
pub mod memory_pressure;
pub mod model;
mod notices;
pub mod part_tracker;
pub mod peers;
pub mod permits;
pub mod port;
pub mod probe;
pub mod process_state;
pub mod recovery;
pub mod regions;
pub mod relays;
pub mod response;
pub mod response_body;
pub mod retries;
pub mod send;
pub mod server_changes;
pub mod server_limits;
pub mod server_registry;
pub mod servers;
pub mod shares;
pub mod state;
pub mod stream;
pub mod stream_versions;
pub mod supply;
pub mod suspects;
pub mod table;
pub mod tally;
pub mod traffic_metrics;
pub mod updates;
pub mod usage_log;
pub mod wire_format;
