//! Settings of the router: their faults, word for word, and the examples.

use std::fs;
use std::process::Command;
use std::process::Output;
use std::time::Duration;

use hibiscus_router::settings::RouterSettings;
use hibiscus_support::fleet::StandinPlatform;
use hibiscus_support::keys::FleetAuthority;
use hibiscus_support::keys::InstanceKeys;
use hibiscus_support::process;
use serde_json::Value;

/// The examples by their name.
const EXAMPLES: [(&str, &str); 2] = [
    (
        "router-prairie-seam.jsonc",
        include_str!("../../examples/router-prairie-seam.jsonc"),
    ),
    (
        "router-nightsky.jsonc",
        include_str!("../../examples/router-nightsky.jsonc"),
    ),
];
/// The page that documents the settings.
const PAGE: &str = include_str!("../../docs/operators/router.md");

/// `text` with `keys` in place of the example's placeholders.
fn with_keys(text: &str, keys: &InstanceKeys) -> String {
    let quoted = |pem: &str| Value::from(pem).to_string();
    text.replace("\"AUTHORITY\"", &quoted(&keys.authority))
        .replace("\"CERTIFICATE\"", &quoted(&keys.certificate))
        .replace("\"KEY\"", &quoted(&keys.key))
}

/// A correct example.
fn example() -> String {
    with_keys(EXAMPLES[0].1, &FleetAuthority::generate().issue())
}

/// Faults of `text`, a line each.
fn faults(text: &str) -> Vec<String> {
    let error = RouterSettings::parse(text).expect_err("the settings are faulty");
    error.0.iter().map(ToString::to_string).collect()
}

/// Runs the router with `--check` on a file of `text` named after `case`.
fn check(case: &str, text: &str) -> (Output, String) {
    let name = format!("hibiscus-settings-{}-{case}.jsonc", std::process::id());
    let path = std::env::temp_dir().join(name);
    fs::write(&path, text).expect("the file is written");
    let output = Command::new(process::program("hibiscus-router"))
        .arg("--check")
        .arg(&path)
        .output()
        .expect("the program starts");
    fs::remove_file(&path).expect("the file is there");
    (output, path.display().to_string())
}

#[test]
fn check_accepts_the_examples_once_they_hold_keys() {
    let authority = FleetAuthority::generate();
    for (name, text) in EXAMPLES {
        let (output, _path) = check(name, &with_keys(text, &authority.issue()));
        let stderr = String::from_utf8(output.stderr).expect("the output is text");
        assert_eq!(stderr, "", "{name}");
        assert_eq!(output.status.code(), Some(0), "{name}");
        let stdout = String::from_utf8(output.stdout).expect("the output is text");
        assert_eq!(stdout, "settings of instance `router-1` are correct\n");
    }
}

#[test]
fn check_names_the_placeholders_of_the_examples() {
    let pem = |label: &str| format!("must be one PEM block `{label}`, its lines joined by `\\n`");
    for (name, text) in EXAMPLES {
        let line = 1 + text[..text.find("\"AUTHORITY\"").expect("it is there")]
            .matches('\n')
            .count();
        let expected = [
            format!("{line}:18: `fleet.authority`: {}", pem("CERTIFICATE")),
            format!(
                "{}:20: `fleet.certificate`: {}",
                line + 1,
                pem("CERTIFICATE")
            ),
            format!("{}:12: `fleet.key`: {}", line + 2, pem("PRIVATE KEY")),
        ];
        assert_eq!(faults(text), expected, "{name}");
    }
}

#[test]
fn check_prints_every_fault_with_file_line_field_and_what_is_allowed() {
    let text = example()
        .replace("\"router-1\"", "\"router 1\"")
        .replace("10.1.0.11:8081", "10.1.0.11")
        .replace("\"requests\"", "\"request\"")
        .replace("\"deadline_ms\": 60000", "\"deadline_ms\": \"soon\"")
        .replace("\"wait_ms\": 800", "\"wait_ms\": 800, \"wait_ms\": 900");
    let (output, path) = check("faults", &text);
    let expected = format!(
        "error: failed to check the settings: 5 fault(s)\n\
         {path}:7:13: `instance.name`: must be 1 to 64 letters, digits, `-`, `_` or `.`\n\
         {path}:13:18: `listen.operators`: must be an IP number and a port, such as `10.0.0.1:8080`\n\
         {path}:27:5: `limits.request`: unknown field; did you mean `limits.requests`?\n\
         {path}:29:20: `limits.deadline_ms`: must be a whole number from 1 to 3600000\n\
         {path}:34:21: `budgets.wait_ms`: stands already on line 34\n"
    );
    let stderr = String::from_utf8(output.stderr).expect("the output is text");
    assert_eq!(stderr, expected);
    assert_eq!(output.status.code(), Some(2));
}

#[test]
fn missing_fields_are_named_where_their_section_begins() {
    let text = "{\n  \"instance\": {\"name\": \"a\", \"region\": \"b\"},\n  \"colour\": 1\n}";
    assert_eq!(
        faults(text),
        [
            "1:1: `listen`: missing; must be an object",
            "1:1: `platform`: missing; must be an object",
            "1:1: `fleet`: missing; must be an object",
            "2:15: `instance.data_centre`: missing; must be 1 to 64 letters, digits, `-`, `_` or `.`",
            "3:3: `colour`: unknown field; known are `instance`, `listen`, `platform`, `fleet`, \
             `limits`, `budgets`",
        ]
    );
}

#[test]
fn text_that_is_no_json_is_refused_with_its_place() {
    assert_eq!(
        faults("{\n  \"instance\": }"),
        ["2:15: not JSON with comments: unexpected close brace"]
    );
    assert_eq!(faults(""), ["1:1: the settings must be an object"]);
    assert_eq!(faults("[]"), ["1:1: the settings must be an object"]);
}

#[test]
fn fields_that_contradict_each_other_are_refused() {
    let text = example()
        .replace("10.1.0.11:8081", "10.1.0.11:8080")
        .replace("\"connections\": 2000", "\"connections\": 20")
        .replace("\"wait_ms\": 800", "\"wait_ms\": 60001");
    assert_eq!(
        faults(&text),
        [
            "13:5: `listen.operators`: must differ from `listen.callers`",
            "28:5: `limits.connections`: must be at least `limits.requests`",
            "34:5: `budgets.wait_ms`: must be at most `limits.deadline_ms`",
        ]
    );
}

#[test]
fn keys_that_do_not_belong_together_are_refused() {
    let one = FleetAuthority::generate().issue();
    let other = FleetAuthority::generate().issue();
    let foreign = InstanceKeys {
        authority: other.authority,
        ..one.clone()
    };
    assert_eq!(
        faults(&with_keys(EXAMPLES[0].1, &foreign)),
        ["23:5: `fleet.certificate`: the fleet's authority has not signed it"]
    );
    let mixed = InstanceKeys {
        key: other.key,
        ..one
    };
    assert_eq!(
        faults(&with_keys(EXAMPLES[0].1, &mixed)),
        ["24:5: `fleet.key`: it does not belong to the certificate"]
    );
}

#[test]
fn a_missing_file_is_refused() {
    let output = Command::new(process::program("hibiscus-router"))
        .args(["--check", "no-such-file.jsonc"])
        .output()
        .expect("the program starts");
    let stderr = String::from_utf8(output.stderr).expect("the output is text");
    assert_eq!(
        stderr,
        "error: failed to read `no-such-file.jsonc`: No such file or directory (os error 2)\n"
    );
    assert_eq!(output.status.code(), Some(2));
}

/// Paths of all fields of `value`, sections left out.
fn paths(prefix: &str, value: &Value, found: &mut Vec<String>) {
    let Value::Object(fields) = value else {
        found.push(prefix.to_owned());
        return;
    };
    for (name, value) in fields {
        let path = if prefix.is_empty() {
            name.clone()
        } else {
            format!("{prefix}.{name}")
        };
        paths(&path, value, found);
    }
}

#[test]
fn every_field_is_checked_and_documented() {
    let platform = StandinPlatform::start(Duration::ZERO);
    let settings = platform.settings("router-1", "regina", "prairie");
    let text = serde_json::to_string(&settings).expect("settings serialise");
    RouterSettings::parse(&text).expect("the table of fields knows every field");
    let value = serde_json::to_value(&settings).expect("settings serialise");
    let mut fields = Vec::new();
    paths("", &value, &mut fields);
    for field in fields {
        let row = format!("| `{field}` |");
        assert!(PAGE.contains(&row), "{field} is missing in the page");
    }
}
