//! Integration tests, a module a topic.

mod callers;
mod events;
mod planned_stop;
mod requests;
mod settings;
mod whole_path;
