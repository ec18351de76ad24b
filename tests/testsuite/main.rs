//! Integration tests, a module a topic.

mod callers;
mod configuration;
mod contracts;
mod events;
mod fuzz;
mod settings;
mod timeline;
mod whole_path;
