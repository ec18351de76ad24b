//! Style that the formatter cannot check.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

/// Folders of Rust sources, from this package.
const FOLDERS: [&str; 3] = ["../../crates", "../../platform", "."];
/// Words that a file banner would hold.
const BANNER_WORDS: [&str; 3] = ["SPDX-", "Copyright", "Licensed under"];
/// Slices on the request path, which use no dynamic dispatch.
const REQUEST_PATH: [&str; 10] = [
    "hibiscus-router/src/callers",
    "hibiscus-router/src/requests",
    "hibiscus-router/src/holder",
    "hibiscus-router/src/servers",
    "hibiscus-router/src/witness",
    "hibiscus-ledger/src",
    "hibiscus-request/src",
    "hibiscus-routing/src",
    "hibiscus-clients/src",
    "hibiscus-traffic/src",
];

/// One source file.
struct SourceFile {
    path: PathBuf,
    text: String,
}

/// All Rust sources of the workspace.
fn sources() -> Vec<SourceFile> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut files = Vec::new();
    for folder in FOLDERS {
        collect(&root.join(folder), &mut files);
    }
    assert!(files.len() > 30, "the sources were not found");
    files
}

/// Adds the sources below `folder`.
fn collect(folder: &Path, files: &mut Vec<SourceFile>) {
    for entry in fs::read_dir(folder).expect("the folder is readable") {
        let path = entry.expect("the entry is readable").path();
        if path.is_dir() {
            collect(&path, files);
            continue;
        }
        if path.extension().is_none_or(|ending| ending != "rs") {
            continue;
        }
        let text = fs::read_to_string(&path).expect("the source is readable");
        files.push(SourceFile { path, text });
    }
}

/// Fails with all `faults`.
fn report(faults: &[String]) {
    assert!(faults.is_empty(), "\n{}", faults.join("\n"));
}

#[test]
fn each_import_stands_on_its_own_line() {
    let mut faults = Vec::new();
    for file in sources() {
        for (index, line) in file.text.lines().enumerate() {
            let import = line.trim_start().trim_start_matches("pub ");
            if import.starts_with("use ") && import.contains('{') {
                faults.push(format!("{}:{}: {line}", file.path.display(), index + 1));
            }
        }
    }
    report(&faults);
}

/// The group of an import: standard library, other crates, own crate.
fn group(import: &str) -> u8 {
    if import.starts_with("std::") || import.starts_with("core::") {
        0
    } else if import.starts_with("crate::") || import.starts_with("super::") {
        2
    } else {
        1
    }
}

#[test]
fn imports_stand_in_three_groups() {
    let mut faults = Vec::new();
    for file in sources() {
        let mut last = None;
        let mut gap = false;
        for (index, line) in file.text.lines().enumerate() {
            let Some(import) = line.strip_prefix("use ") else {
                gap |= line.is_empty();
                continue;
            };
            let now = group(import);
            let wrong = last.is_some_and(|last| now < last || (now > last) != gap);
            if wrong {
                faults.push(format!("{}:{}: {line}", file.path.display(), index + 1));
            }
            last = Some(now);
            gap = false;
        }
    }
    report(&faults);
}

#[test]
fn fallible_modules_have_a_result_alias() {
    let mut faults = Vec::new();
    for file in sources() {
        let defines_error = file.text.contains("thiserror::Error)]");
        if defines_error && !file.text.contains("type Result<") {
            faults.push(format!(
                "{}: an error without a Result alias",
                file.path.display()
            ));
        }
    }
    report(&faults);
}

#[test]
fn the_request_path_has_no_dynamic_dispatch() {
    let mut faults = Vec::new();
    for file in sources() {
        let path = file.path.to_string_lossy().replace('\\', "/");
        if !REQUEST_PATH.iter().any(|slice| path.contains(slice)) {
            continue;
        }
        for (index, line) in file.text.lines().enumerate() {
            let code = line.split("//").next().unwrap_or(line);
            if code.contains("dyn ") {
                faults.push(format!("{path}:{}: {line}", index + 1));
            }
        }
    }
    report(&faults);
}

#[test]
fn sources_start_with_a_module_comment_and_carry_no_banner() {
    let mut faults = Vec::new();
    for file in sources() {
        if !file.text.starts_with("//!") {
            faults.push(format!("{}: no module comment", file.path.display()));
        }
        for line in file.text.lines().take(5) {
            if BANNER_WORDS.iter().any(|word| line.contains(word)) {
                faults.push(format!("{}: banner: {line}", file.path.display()));
            }
        }
    }
    report(&faults);
}

/// Most lines of a source file.
const LINE_LIMIT: usize = 600;

/// Sources that are no tests.
fn program_sources() -> Vec<SourceFile> {
    let mut files = sources();
    files.retain(|file| {
        let path = file.path.to_string_lossy().replace('\\', "/");
        path.contains("/src/")
    });
    assert!(files.len() > 30, "the sources were not found");
    files
}

#[test]
fn tests_live_in_test_files() {
    let mut faults = Vec::new();
    for file in program_sources() {
        if file.text.contains("#[cfg(test)]") || file.text.contains("#[test]") {
            faults.push(format!("{}: holds tests", file.path.display()));
        }
    }
    report(&faults);
}

#[test]
fn programs_do_not_unwrap() {
    let mut faults = Vec::new();
    for file in program_sources() {
        for (index, line) in file.text.lines().enumerate() {
            let code = line.split("//").next().unwrap_or(line);
            if code.contains(".unwrap()") {
                faults.push(format!("{}:{}: {line}", file.path.display(), index + 1));
            }
        }
    }
    report(&faults);
}

#[test]
fn modules_are_small() {
    let mut faults = Vec::new();
    for file in program_sources() {
        let lines = file.text.lines().count();
        if lines > LINE_LIMIT {
            faults.push(format!("{}: {lines} lines", file.path.display()));
        }
    }
    report(&faults);
}
