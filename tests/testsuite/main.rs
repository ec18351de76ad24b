//! Integration tests, a module a topic.

mod addressing;
mod broken_answers;
mod budgets;
mod callers;
mod configuration;
mod contracts;
mod events;
mod exit_codes;
mod faults;
mod front;
mod fuzz;
mod operators;
mod orders;
mod planned_stop;
mod request_fleet;
mod requests;
mod settings;
mod timeline;
mod whole_path;
