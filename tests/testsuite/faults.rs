//! The fault cases of the bench, as an operator runs them.

use std::process::Command;
use std::process::Output;

use hibiscus_support::process;
use serde_json::Value;

/// The cases in their order.
const CASES: [&str; 12] = [
    "steady",
    "partition-topup",
    "partition-long",
    "router-death",
    "router-paused",
    "log-outage",
    "lost-replies",
    "config-race",
    "leaving-server",
    "planned-stop",
    "crashing-request",
    "rolling-restart",
];
/// Fields of a report in their order.
const FIELDS: [&str; 15] = [
    "case",
    "seed",
    "offered",
    "answered",
    "overspend_tokens",
    "false_refusals",
    "unbilled",
    "double_billed",
    "crossed",
    "cut",
    "false_not_run",
    "ran_twice",
    "cut_by_stop",
    "p50_ms",
    "p99_ms",
];
/// Fields that must be zero.
const SAFETY_FIELDS: [&str; 8] = [
    "overspend_tokens",
    "unbilled",
    "double_billed",
    "crossed",
    "cut",
    "false_not_run",
    "ran_twice",
    "cut_by_stop",
];

/// Runs `hibiscus-bench run faults` with `arguments`.
fn run(arguments: &[&str]) -> Output {
    Command::new(process::program("hibiscus-bench"))
        .args(["run", "faults"])
        .args(arguments)
        .output()
        .expect("the bench starts")
}

/// Standard output and standard error.
fn texts(output: &Output) -> (String, String) {
    (
        String::from_utf8_lossy(&output.stdout).into_owned(),
        String::from_utf8_lossy(&output.stderr).into_owned(),
    )
}

#[test]
fn the_list_names_every_case() {
    let output = run(&["--list"]);
    assert!(output.status.success());
    assert_eq!(texts(&output).0, format!("{}\n", CASES.join("\n")));
}

#[test]
fn an_unknown_case_or_deployment_is_refused_with_a_hint() {
    let output = run(&["--case", "earthquake"]);
    assert!(!output.status.success());
    let expected = "error: failed to find the case\n\
        hint: `hibiscus-bench run faults --list` names the cases\n";
    assert_eq!(texts(&output), (String::new(), expected.to_owned()));
    let output = run(&["--deployment", "atlantis"]);
    assert!(!output.status.success());
    let expected = "error: failed to find the deployment\n\
        hint: prairie-seam or nightsky\n";
    assert_eq!(texts(&output), (String::new(), expected.to_owned()));
}

#[test]
fn a_routers_death_breaks_no_promise() {
    let output = run(&["--case", "router-death", "--seed", "7"]);
    let (report, notes) = texts(&output);
    let line = report.strip_suffix('\n').expect("one whole line");
    let value: Value = serde_json::from_str(line).expect("the report is one JSON object");
    let mut place = 0;
    for field in FIELDS {
        let found = line[place..].find(&format!("\"{field}\":"));
        place += found.unwrap_or_else(|| panic!("{field} is missing or out of order: {line}"));
    }
    let fields = value.as_object().expect("the report is one JSON object");
    assert_eq!(fields.len(), FIELDS.len());
    for field in SAFETY_FIELDS {
        assert_eq!(fields[field], 0, "{field}: {notes}");
    }
    assert!(fields["answered"].as_u64() > Some(0), "{line}");
    assert!(output.status.success(), "{notes}");
}
