//! Integration tests, a module a topic.

mod events;
mod requests;
mod whole_path;
