//! Command line of the program, word for word.

use std::process::Command;

#[test]
fn version_names_the_program_version() {
    let output = Command::new(env!("CARGO_BIN_EXE_hibiscus-bench"))
        .arg("--version")
        .output()
        .expect("the program starts");
    assert!(output.status.success());
    let text = String::from_utf8(output.stdout).expect("the output is text");
    assert_eq!(text, "Version: 0.1.0\n\n");
}

#[test]
fn quickstart_serves_bills_and_ends_by_itself() {
    let output = Command::new(env!("CARGO_BIN_EXE_hibiscus-bench"))
        .arg("quickstart")
        .output()
        .expect("the program starts");
    let text = String::from_utf8(output.stdout).expect("the output is text");
    assert_eq!(output.status.code(), Some(0), "{text}");
    let last = text.lines().last();
    assert_eq!(
        last,
        Some("quickstart: answers=42 billed=42 overspend=0"),
        "{text}"
    );
    for step in ["  allowance and open:", "  dispatch:", "  first token:"] {
        let line = text.lines().find(|line| line.starts_with(step));
        let counted = line.is_some_and(|line| line.ends_with("(21 requests)"));
        assert!(counted, "{step}: {text}");
    }
}

#[test]
fn an_unknown_experiment_is_refused_with_those_that_exist() {
    let output = Command::new(env!("CARGO_BIN_EXE_hibiscus-bench"))
        .args(["run", "nothing"])
        .output()
        .expect("the program starts");
    assert_eq!(output.status.code(), Some(1));
    let text = String::from_utf8(output.stderr).expect("the output is text");
    assert_eq!(
        text,
        "error: failed to find experiment `nothing`\n\
         hint: config, faults, overhead, routing, sizing or slopes\n"
    );
}
