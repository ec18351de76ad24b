//! Integration tests, a module a topic.

mod callers;
mod events;
mod whole_path;
