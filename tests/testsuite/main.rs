//! Integration tests, a module a topic.

mod addressing;
mod callers;
mod events;
mod operators;
mod settings;
mod timeline;
mod whole_path;
