//! Shows one time line of the events of several instances.

use std::process::ExitCode;

use hibiscus_timeline::cli;

fn main() -> ExitCode {
    let command = cli::cli().run();
    cli::exec(&command)
}
