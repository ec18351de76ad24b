//! The request path of an instance, on one thread.
//!
//! A current-thread runtime owns the callers' and the servers' connections.
//! The parts meet as follows:
//!
//! - [`port`] accepts callers' connections, [`callers`] bounds them, and each
//!   request goes to [`handler`], which admits it, places it, forwards it and answers.
//! - [`servers`] holds the backend servers that [`server_registry`] knows, with their
//!   kept connections ([`connect`], [`bounded`], [`idle`]) and what their
//!   processes have said of new requests ([`availability_table`]); [`response_body`] passes an
//!   answer's bytes on and checks that it is whole.
//! - [`crash_detector`] finds out whether a server that broke a request's connection
//!   has ended, and [`suspects`] what follows for those under which servers do.
//! - [`supply`] gets a request's tokens from [`budgets`], or from the instances
//!   that [`holders`] names; [`retries`] holds what may be sent twice,
//!   [`directory`] which instances callers are told of; [`members`] has them
//!   watched ([`probe`]) and passes on what watchers find.
//! - [`traffic_metrics`] counts what passes and [`tally`] the work for the fleet, for
//!   the operators' metrics; [`machine`] tells what the process uses.
//! - [`shares`] divides the machine's memory among them; [`memory_pressure`] says what to
//!   give up as it runs out.
//! - [`relays`] says which instances read the operators' configuration and the
//!   servers' entries as they come, [`config_delta`] and [`server_changes`] what they pass
//!   on to the others.
//! - [`updates`] is the ring by which the other duties' threads tell news;
//!   everything is decided on this thread, so nothing here is locked.
//!
//! How requests are spelled is a [`wire_format::WireFormat`]; the life cycle
//! knows no protocol beyond HTTP.

pub mod availability_table;
pub mod bounded;
pub mod budgets;
pub mod callers;
pub mod clock;
pub mod config_delta;
pub mod connect;
pub mod crash_detector;
pub mod directory;
pub mod handler;
pub mod holders;
pub mod idle;
pub mod in_flight;
pub mod machine;
pub mod members;
pub mod memory_pressure;
pub mod model;
pub mod peers;
pub mod port;
pub mod probe;
pub mod recovery;
pub mod relays;
pub mod response;
pub mod response_body;
pub mod retries;
pub mod send;
pub mod server_changes;
pub mod server_registry;
pub mod servers;
pub mod shares;
pub mod state;
pub mod stream;
pub mod supply;
pub mod suspects;
pub mod table;
pub mod tally;
pub mod traffic_metrics;
pub mod updates;
pub mod usage_log;
pub mod wire_format;
