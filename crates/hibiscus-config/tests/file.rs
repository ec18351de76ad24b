//! Exact texts and positions of the faults of an operators' file.

use hibiscus_config::file::OperatorFile;

/// Hash of an API key.
const HASH: &str = "21f41cdb97862271c7653e7420c2ac1da53c98fc2afe2e3b2a58ae3f95c18eba";

/// Returns all faults of `text`, joined by line breaks.
fn faults(text: &str) -> String {
    let error = OperatorFile::parse(text).expect_err("the file is faulty");
    let shown: Vec<String> = error.0.iter().map(ToString::to_string).collect();
    shown.join("\n")
}

#[test]
fn the_examples_have_no_faults() {
    for text in [
        include_str!("../../../examples/prairie-seam.jsonc"),
        include_str!("../../../examples/nightsky.jsonc"),
    ] {
        let file = OperatorFile::parse(text).expect("the example is correct");
        assert!(file.entries.len() > 10);
    }
}

#[test]
fn all_faults_of_a_file_are_reported_at_once_by_line_and_column() {
    let text = format!(
        r#"{{
  "brands": [
    {{"name": "north"}},
    {{"name": "south"}}, // Ana
    {{"name": "south"}}, // Ben
  ],
  "teams": [
    {{"name": "lab", "brand": "nord", "api_key_sha256": ["{HASH}"]}}, // Ana
    {{"name": "shop", "brand": "south", "api_key_sha256": ["{HASH}", "ABC"]}}, // Ana
    {{"nam": "press", "brand": "south", "api_key_sha256": []}}, // Ana
  ],
  "budgets": [
    {{"name": "silver", "team": "shop"}}, // Ana
    {{"name": "gold", "team": "nobody"}}, // Ana
  ],
  "top_ups": [
    {{"id": "t-1", "budget": "gold", "tokens": -5}}, // Ana
    {{"id": "t-2", "budget": "gold", "tokens": 99999999999999999999}}, // Ana
    {{"id": "t-3", "budget": "gold", "tokens": 0}}, // Ana
  ],
  "serivces": [],
}}"#
    );
    let expected = "\
3:5: the entry names nobody who asked for it
  hint: end the line with `// NAME`
5:5: brands `south` is already defined on line 4
  hint: remove one of the two lines
8:30: brands `nord` does not exist
  hint: add it to `brands`, or correct `brand`
9:127: field `api_key_sha256`: `ABC` is not allowed
  hint: it must be a list of SHA-256 hashes, each of 64 lower-case hexadecimal digits
10:5: field `name` is missing
  hint: add `\"name\"`: a text that is not empty
10:6: unknown field `nam` in `teams`
  hint: did you mean `name`?
14:30: teams `nobody` does not exist
  hint: add it to `teams`, or correct `team`
17:47: field `tokens`: `-5` is out of range
  hint: it must be a whole number of tokens
18:47: field `tokens`: `99999999999999999999` is out of range
  hint: it must be a whole number of tokens
19:47: a top-up must add at least 1 token
  hint: give the tokens paid for
21:3: unknown section `serivces`
  hint: did you mean `services`?";
    assert_eq!(faults(&text), expected);
}

#[test]
fn several_entries_on_one_line_are_a_fault() {
    let text = r#"{"brands": [
  {"name": "north"}, {"name": "south"}, // Ana
  {"name":
    "east"}, // Ana
]}"#;
    let expected = "\
2:22: line 2 holds several entries
  hint: give each entry a line of its own, ended by `// NAME`
3:3: the entry spans several lines
  hint: write one entry a line";
    assert_eq!(faults(text), expected);
}

#[test]
fn top_ups_beyond_the_budget_limit_are_a_fault() {
    let text = format!(
        r#"{{
  "brands": [
    {{"name": "north"}}, // Ana
  ],
  "teams": [
    {{"name": "lab", "brand": "north", "api_key_sha256": ["{HASH}"]}}, // Ana
  ],
  "budgets": [
    {{"name": "gold", "team": "lab"}}, // Ana
  ],
  "top_ups": [
    {{"id": "t-1", "budget": "gold", "tokens": 900000000000000}}, // Ana
    {{"id": "t-2", "budget": "gold", "tokens": 900000000000000}}, // Ana
  ],
}}"#
    );
    let expected = "\
13:47: the top-ups of budget `gold` come to more than 1000000000000000 tokens
  hint: check the digits of the amount";
    assert_eq!(faults(&text), expected);
}

#[test]
fn an_api_key_of_two_teams_and_a_model_of_two_services_are_faults() {
    let text = format!(
        r#"{{
  "brands": [
    {{"name": "north"}}, // Ana
  ],
  "teams": [
    {{"name": "lab", "brand": "north", "api_key_sha256": ["{HASH}"]}}, // Ana
    {{"name": "shop", "brand": "north", "api_key_sha256": ["{HASH}"]}}, // Ben
  ],
  "services": [
    {{"name": "a", "kind": "model", "models": ["m"]}}, // Ana
    {{"name": "b", "kind": "model", "models": ["m"]}}, // Ben
    {{"name": "c", "kind": "model"}}, // Ben
    {{"name": "d", "kind": "plane"}}, // Ben
  ],
  "routes": [
    {{"path": "/a", "service": "a", "idempotent": true, "cost": 1}}, // Ana
    {{"path": "orders", "service": "a", "idempotent": "no", "cost": 1}}, // Ana
  ],
}}"#
    );
    let expected = format!(
        "\
7:58: `{HASH}` is held by teams `lab` already
  hint: each API key and each model belongs to one entry
11:46: `m` is held by services `a` already
  hint: each API key and each model belongs to one entry
12:5: a model service must name its models
  hint: add `\"models\": [\"NAME\"]`
13:27: field `kind`: `plane` is not allowed
  hint: it must be `\"model\"` or `\"plain\"`
16:31: services `a` is no plain service
  hint: a route leads to a plain service; models are called by name
17:14: field `path`: `orders` is not allowed
  hint: it must be a path that starts with `/`
17:54: field `idempotent`: a text is not allowed
  hint: it must be `true` or `false`"
    );
    assert_eq!(faults(&text), expected);
}

#[test]
fn broken_syntax_is_reported_with_its_position() {
    let text = "{\n  \"brands\": [\n    {\"name\": }, // Ana\n  ],\n}";
    let shown = faults(text);
    assert!(
        shown.starts_with("3:14: this is not JSON with comments"),
        "{shown}"
    );
    assert_eq!(
        faults("[]"),
        "1:1: the file must be one object of sections\n  hint: start with `{` and end with `}`"
    );
    assert_eq!(
        faults("{\"version\": \"x\"}"),
        "1:13: `version` must be a whole number\n  hint: give the version that `hibiscusctl diff` prints"
    );
}
