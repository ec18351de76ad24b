//! The command line of the daemon: help text, exit codes and error messages.

use std::env;
use std::fs;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Command;
use std::process::Output;

use platform_standins::front::FrontPorts;
use platform_standins::front::settings_text;

/// Returns complete settings with `port` for callers.
fn settings(port: u16) -> String {
    let address = SocketAddr::from(([127, 0, 0, 1], port));
    let ports = FrontPorts {
        callers: address,
        readiness: address,
        directory: address,
        internal: 7_340,
    };
    let store = SocketAddr::from(([127, 0, 0, 1], 9));
    settings_text("front-1", &ports, store)
}

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_hibiscus-front"))
        .args(arguments)
        .output()
        .expect("the program starts")
}

/// A settings file that is removed at the end of the test.
struct SettingsFile(PathBuf);

impl SettingsFile {
    fn write(name: &str, text: &str) -> Self {
        let path = env::temp_dir().join(format!("hibiscus-{}-{name}.toml", std::process::id()));
        fs::write(&path, text).expect("the file is written");
        Self(path)
    }

    fn path(&self) -> &str {
        self.0.to_str().expect("the path is text")
    }
}

impl Drop for SettingsFile {
    fn drop(&mut self) {
        let _removed = fs::remove_file(&self.0);
    }
}

fn error_of(output: &Output) -> String {
    String::from_utf8(output.stderr.clone()).expect("the output is text")
}

#[test]
fn the_help_lists_options_and_exit_codes() {
    let output = run(&["--help"]);
    assert!(output.status.success());
    let text = String::from_utf8(output.stdout).expect("the output is text");
    let expected = "Routes requests within prepaid token budgets, on the users' platform

Usage: hibiscus-front [--check] [--release-part=PART] [--settings=FILE] [--log=LEVEL]

Available options:
        --check              Check the settings and exit
        --release-part=PART  Send requests with this part of prompts again, which servers crashed
                             with, and exit
        --settings=FILE      Settings file; overrides the path from the platform
        --log=LEVEL          Minimum log level: error, warn, info or debug
    -h, --help               Prints help information
    -V, --version            Prints version information

Exit codes: 0 graceful shutdown or valid settings, 1 invalid command line, 2 invalid settings, 3 a
port cannot be opened, 4 the store cannot be reached

";
    assert_eq!(text, expected);
}

#[test]
fn complete_settings_pass_the_check() {
    let file = SettingsFile::write("complete", &settings(8_227));
    let output = run(&["--check", "--settings", file.path()]);
    assert_eq!(output.status.code(), Some(0), "{}", error_of(&output));
}

#[test]
fn a_release_without_a_store_or_a_part_fails() {
    let file = SettingsFile::write("release", &settings(8_227));
    let output = run(&["--release-part", "12ca", "--settings", file.path()]);
    assert_eq!(output.status.code(), Some(4), "{}", error_of(&output));
    let output = run(&["--release-part", "part", "--settings", file.path()]);
    assert_eq!(output.status.code(), Some(1), "{}", error_of(&output));
}

#[test]
fn the_error_names_a_missing_file_or_field() {
    let output = run(&["--settings", "/nonexistent/node.toml"]);
    assert_eq!(output.status.code(), Some(2));
    assert_eq!(
        error_of(&output),
        "error: failed to read the settings file /nonexistent/node.toml\n  caused by: No such file or directory (os error 2)\n"
    );
    let text = settings(8_227).replace("zone = \"a\"\n", "");
    let file = SettingsFile::write("field", &text);
    let output = run(&["--check", "--settings", file.path()]);
    assert_eq!(output.status.code(), Some(2));
    let error = error_of(&output);
    let first = format!(
        "error: failed to decode the settings file {}\n",
        file.path()
    );
    assert!(error.starts_with(&first), "{error}");
    assert!(error.contains("missing field `zone`"), "{error}");
}

#[test]
fn a_port_in_use_makes_the_start_fail_with_exit_code_3() {
    let taken = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let port = taken.local_addr().expect("an address").port();
    let file = SettingsFile::write("port", &settings(port));
    let output = run(&["--log", "error", "--settings", file.path()]);
    assert_eq!(output.status.code(), Some(3), "{}", error_of(&output));
    let error = error_of(&output);
    assert!(error.contains("Address already in use"), "{error}");
}
