//! Integration tests, a module a topic.

mod addressing;
mod callers;
mod events;
mod operators;
mod planned_stop;
mod requests;
mod settings;
mod timeline;
mod whole_path;
