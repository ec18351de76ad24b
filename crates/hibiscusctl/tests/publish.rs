//! The subcommands over a log and a list, word for word.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use std::time::Duration;

use hibiscus_clients::list::ListedInstance;
use hibiscus_clients::list::ListedState;
use hibiscus_support::ListStandin;
use hibiscus_support::LogStandin;

/// A file with one entry a section.
const FILE: &str = r#"{
  "brands": [
    {"name": "north"}, // Ana
  ],
  "teams": [
    {"name": "lab", "brand": "north", "api_key_sha256": []}, // Ana
  ],
  "budgets": [
    {"name": "gold", "team": "lab"}, // Ben
  ],
}
"#;

/// A folder of one test.
fn folder(test: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(test);
    fs::create_dir_all(&folder).expect("the folder is made");
    folder
}

/// Runs the program in `folder`: exit code, standard output and error.
fn run(folder: &Path, arguments: &[&str]) -> (i32, String, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_hibiscusctl"))
        .args(arguments)
        .current_dir(folder)
        .output()
        .expect("the program starts");
    let text = |bytes| String::from_utf8(bytes).expect("the output is text");
    let code = output.status.code().expect("the program ends by itself");
    (code, text(output.stdout), text(output.stderr))
}

/// Removes publication ids, which depend on the format, from `text`.
fn without_ids(text: &str) -> String {
    let mut shown = String::new();
    for word in text.split_inclusive([' ', '\n']) {
        let bare = word.trim_end();
        if bare.len() == 32 && bare.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            shown.push_str(&word.replace(bare, "ID"));
            continue;
        }
        shown.push_str(word);
    }
    shown
}

#[test]
fn a_file_is_compared_published_and_published_again() {
    let folder = folder("published");
    fs::write(folder.join("a.jsonc"), FILE).expect("the file is written");
    let log = LogStandin::start();
    let url = log.url();
    let (code, out, _err) = run(&folder, &["diff", "--log", &url, "a.jsonc"]);
    assert_eq!(code, 0);
    assert_eq!(
        out,
        "compared with version 0\n\
         + brands `north`, asked by Ana\n\
         + teams `lab`, asked by Ana\n\
         + budgets `gold`, asked by Ben\n\
         3 change(s)\n"
    );
    let (code, out, err) = run(&folder, &["publish", "--log", &url, "a.jsonc"]);
    assert_eq!((code, err.as_str()), (0, ""));
    assert_eq!(
        without_ids(&out),
        "accepted: 3 change(s) are in force with version 1\n\
         publication ID at offset 0\n\
         `version` in a.jsonc is now 1\n"
    );
    let (code, out, err) = run(&folder, &["publish", "--log", &url, "a.jsonc"]);
    assert_eq!((code, err.as_str()), (0, ""));
    assert_eq!(
        without_ids(&out),
        "nothing to publish: all 3 entries are in force at version 1\n\
         the newest came with publication ID at offset 0\n"
    );
    let text = fs::read_to_string(folder.join("a.jsonc")).expect("the file is read");
    assert!(
        text.starts_with("{\n  \"version\": 1,\n  \"brands\""),
        "{text}"
    );
}

#[test]
fn a_loser_is_told_which_entry_and_by_whom() {
    let folder = folder("conflict");
    let log = LogStandin::start();
    let url = log.url();
    fs::write(folder.join("a.jsonc"), FILE).expect("the file is written");
    run(&folder, &["publish", "--log", &url, "a.jsonc"]);
    let key = "0".repeat(64);
    let base = fs::read_to_string(folder.join("a.jsonc")).expect("the file is read");
    let cleo = base.replace(
        "\"api_key_sha256\": []}, // Ana",
        &format!("\"api_key_sha256\": [\"{key}\"]}}, // Cleo"),
    );
    let dora = base
        .replace("{\"name\": \"gold\", \"team\": \"lab\"}, // Ben\n", "")
        .replace(
            "\"api_key_sha256\": []}, // Ana",
            &format!(
                "\"api_key_sha256\": [\"{key}\", \"{}\"]}}, // Dora",
                "1".repeat(64)
            ),
        );
    fs::write(folder.join("cleo.jsonc"), cleo).expect("the file is written");
    fs::write(folder.join("dora.jsonc"), dora).expect("the file is written");
    let (code, _out, err) = run(&folder, &["publish", "--log", &url, "cleo.jsonc"]);
    assert_eq!((code, err.as_str()), (0, ""));
    let (code, out, err) = run(&folder, &["publish", "--log", &url, "dora.jsonc"]);
    assert_eq!((code, out.as_str()), (1, ""));
    assert_eq!(
        err,
        "error: failed to publish: others changed 1 of the entries\n\
         \x20 teams `lab`: set at offset 1, asked by Cleo\n\
         hint: nothing of this publication took effect; take their changes into the file,\n\
         \x20     set its `version` to the one that `hibiscusctl diff` prints, and publish again\n"
    );
    let (code, out, _err) = run(&folder, &["diff", "--log", &url, "dora.jsonc"]);
    assert_eq!(code, 1);
    assert_eq!(
        out,
        "compared with version 2\n\
         - budgets `gold`, set at offset 0, asked by Ben\n\
         ! teams `lab`: set at offset 1, asked by Cleo\n\
         1 change(s), 1 conflict(s): others changed lines that this file has in an older version\n"
    );
    let (code, out, _err) = run(&folder, &["history", "--log", &url]);
    assert_eq!(code, 0);
    let shown = without_ids(&out);
    let lines: Vec<&str> = shown
        .lines()
        .map(|line| line.split("Z  ").last().unwrap_or(line))
        .collect();
    assert_eq!(
        lines,
        [
            "accepted  publication ID",
            "  set brands `north`, asked by Ana",
            "  set teams `lab`, asked by Ana",
            "  set budgets `gold`, asked by Ben",
            "accepted  publication ID",
            "  set teams `lab`, asked by Cleo",
        ]
    );
}

#[test]
fn removals_need_a_name_and_references_are_checked_against_what_is_in_force() {
    let folder = folder("removal");
    let log = LogStandin::start();
    let url = log.url();
    fs::write(folder.join("a.jsonc"), FILE).expect("the file is written");
    run(&folder, &["publish", "--log", &url, "a.jsonc"]);
    let base = fs::read_to_string(folder.join("a.jsonc")).expect("the file is read");
    let less = base.replace("    {\"name\": \"gold\", \"team\": \"lab\"}, // Ben\n", "");
    fs::write(folder.join("a.jsonc"), less).expect("the file is written");
    let (code, _out, err) = run(&folder, &["publish", "--log", &url, "a.jsonc"]);
    assert_eq!(code, 1);
    assert_eq!(
        err,
        "error: failed to publish: 1 entries would be removed by nobody\n\
         \x20 budgets `gold`\n\
         hint: name who asked for it with `--removed-by NAME`\n"
    );
    let arguments = ["publish", "--log", &url, "--removed-by", "Eve", "a.jsonc"];
    let (code, out, _err) = run(&folder, &arguments);
    assert_eq!(code, 0);
    assert!(
        out.starts_with("accepted: 1 change(s) are in force with version 2\n"),
        "{out}"
    );
    let moved = FILE
        .replace("{\n  \"brands\"", "{\"version\": 2,\n  \"brands\"")
        .replace(
            "    {\"name\": \"lab\", \"brand\": \"north\", \"api_key_sha256\": []}, // Ana\n",
            "    {\"name\": \"lab\", \"brand\": \"north\", \"api_key_sha256\": []}, // Ana\n    \
             {\"name\": \"shop\", \"brand\": \"north\", \"api_key_sha256\": []}, // Ana\n",
        )
        .replace("\"team\": \"lab\"}, // Ben", "\"team\": \"shop\"}, // Ben");
    fs::write(folder.join("b.jsonc"), moved).expect("the file is written");
    let (code, _out, err) = run(&folder, &["publish", "--log", &url, "b.jsonc"]);
    assert_eq!(code, 1);
    assert_eq!(
        err,
        "b.jsonc:10: budgets `gold` belongs to team `lab` and cannot move\n  \
         hint: add a budget with a new name\n\
         error: failed to publish: 1 fault(s)\n"
    );
}

#[test]
fn instances_without_an_answer_are_named_as_lagging() {
    let folder = folder("lag");
    let log = LogStandin::start();
    let list = ListStandin::start(Duration::ZERO);
    let closed = SocketAddr::from(([127, 0, 0, 1], 1));
    for name in ["router-2", "router-1"] {
        list.put_instance(ListedInstance {
            name: name.into(),
            data_centre: "regina".into(),
            region: "prairie".into(),
            callers: closed,
            operators: closed,
            peers: closed,
            state: ListedState::Live,
        });
    }
    fs::write(folder.join("a.jsonc"), FILE).expect("the file is written");
    let (log, list) = (log.url(), list.url());
    let arguments = [
        "publish",
        "--log",
        &log,
        "--instances",
        &list,
        "--wait",
        "--limit",
        "1",
        "a.jsonc",
    ];
    let (code, _out, err) = run(&folder, &arguments);
    assert_eq!(code, 1);
    let lag = "error: 2 of 2 live instances lag behind version 1: \
               router-1 (no answer), router-2 (no answer)\n";
    assert_eq!(err, lag);
    let arguments = ["status", "--log", &log, "--instances", &list];
    let (code, out, err) = run(&folder, &arguments);
    assert_eq!((code, err.as_str()), (1, lag));
    assert_eq!(
        out,
        "router-1  regina  no answer\nrouter-2  regina  no answer\n"
    );
}

#[test]
fn a_faulty_file_names_each_line() {
    let folder = folder("faulty");
    fs::write(
        folder.join("a.jsonc"),
        "{\"brands\": [\n  {\"name\": \"north\"},\n]}\n",
    )
    .expect("the file is written");
    let (code, out, err) = run(&folder, &["check", "a.jsonc"]);
    assert_eq!((code, out.as_str()), (1, ""));
    assert_eq!(
        err,
        "a.jsonc:2:3: the entry names nobody who asked for it\n  \
         hint: end the line with `// NAME`\n\
         error: failed to check the file: 1 fault(s)\n"
    );
    let (code, _out, err) = run(&folder, &["check", "none.jsonc"]);
    assert_eq!(code, 2);
    assert!(
        err.starts_with("error: failed to read `none.jsonc`\ncaused by: "),
        "{err}"
    );
}
