//! Integration tests, a module a topic.

mod callers;
mod contracts;
mod events;
mod faults;
mod fuzz;
mod settings;
mod timeline;
mod whole_path;
