//! Integration tests, a module a topic.

mod events;
mod timeline;
mod whole_path;
