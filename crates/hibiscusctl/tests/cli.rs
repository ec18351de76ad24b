//! Command line of the program, word for word.

use std::process::Command;

#[test]
fn version_names_the_program_version() {
    let output = Command::new(env!("CARGO_BIN_EXE_hibiscusctl"))
        .arg("--version")
        .output()
        .expect("the program starts");
    assert!(output.status.success());
    let text = String::from_utf8(output.stdout).expect("the output is text");
    assert_eq!(text, "Version: 0.1.0\n\n");
}
