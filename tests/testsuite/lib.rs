//! Integration tests over real processes; the tests are in `main.rs`.
