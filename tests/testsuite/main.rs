//! Integration tests, a module a topic.

mod callers;
mod events;
mod settings;
mod whole_path;
