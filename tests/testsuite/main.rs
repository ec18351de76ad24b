//! Integration tests, a module a topic.

mod events;
mod whole_path;
