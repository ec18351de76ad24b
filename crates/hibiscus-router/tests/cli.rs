//! Command line of the program, word for word.

use std::process::Command;
use std::process::Output;

/// Runs the program with `arguments`.
fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_hibiscus-router"))
        .args(arguments)
        .output()
        .expect("the program starts")
}

#[test]
fn version_names_the_program_version() {
    let output = run(&["--version"]);
    assert!(output.status.success());
    let text = String::from_utf8(output.stdout).expect("the output is text");
    assert_eq!(text, "Version: 0.1.0\n\n");
}

#[test]
fn help_lists_options_and_exit_codes() {
    let output = run(&["--help"]);
    assert!(output.status.success());
    let text = String::from_utf8(output.stdout).expect("the output is text");
    let expected = "Routes requests within prepaid token budgets\n\
        \n\
        Usage: hibiscus-router [--check] SETTINGS\n\
        \n\
        Available positional items:\n    \
            SETTINGS       Settings file, JSON with comments\n\
        \n\
        Available options:\n        \
                --check    Check the settings and exit\n    \
            -h, --help     Prints help information\n    \
            -V, --version  Prints version information\n\
        \n\
        Exit codes: 0 stopped as planned or settings correct, 1 command line faulty, 2 settings faulty, 3 a\n\
        port cannot be opened, 4 forced by a second signal\n\n";
    assert_eq!(text, expected);
}

#[test]
fn a_command_line_without_settings_is_refused() {
    let output = run(&["--check"]);
    assert_eq!(output.status.code(), Some(1));
    let text = String::from_utf8(output.stderr).expect("the output is text");
    assert_eq!(
        text,
        "Error: expected `SETTINGS`, pass `--help` for usage information\n"
    );
}

#[test]
fn completion_scripts_are_printed() {
    let output = run(&["--bpaf-complete-style-bash"]);
    let text = String::from_utf8(output.stdout).expect("the output is text");
    assert!(text.contains("complete "), "{text}");
}
