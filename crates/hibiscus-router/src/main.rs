//! The router daemon.

use std::process::ExitCode;

fn main() -> ExitCode {
    let command = hibiscus_router::cli::cli().run();
    if let Err(error) = hibiscus_events::logging::start("info") {
        eprintln!("error: {error}");
        return ExitCode::FAILURE;
    }
    hibiscus_router::cli::exec(&command)
}
