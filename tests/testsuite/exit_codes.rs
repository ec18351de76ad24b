//! How the router process ends when it cannot start.

use std::fs;
use std::net::TcpListener;
use std::process::Command;
use std::process::Output;
use std::time::Duration;

use hibiscus_router::settings::RouterSettings;
use hibiscus_support::fleet::StandinPlatform;
use hibiscus_support::process;

/// Runs the router with `settings` until it ends by itself.
fn run(case: &str, settings: &RouterSettings) -> Output {
    let name = format!("hibiscus-exit-{}-{case}.jsonc", std::process::id());
    let path = std::env::temp_dir().join(name);
    let text = serde_json::to_string(settings).expect("settings serialise");
    fs::write(&path, text).expect("the file is written");
    let output = Command::new(process::program("hibiscus-router"))
        .arg(&path)
        .env("RUST_LOG", "off")
        .output()
        .expect("the program starts");
    fs::remove_file(&path).expect("the file is there");
    output
}

#[test]
fn a_port_in_use_ends_the_start_with_its_address_and_cause() {
    let platform = StandinPlatform::start(Duration::ZERO);
    let taken = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let mut settings = platform.settings("router-1", "regina", "prairie");
    settings.listen.callers = taken.local_addr().expect("it has an address");
    let output = run("port", &settings);
    let stderr = String::from_utf8(output.stderr).expect("the output is text");
    let expected = format!(
        "error: failed to open the callers' port {}\n\
         caused by: Address already in use (os error 98)\n",
        settings.listen.callers
    );
    assert_eq!(stderr, expected);
    assert_eq!(output.status.code(), Some(3));
}
