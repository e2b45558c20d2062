//! The command line: what is bad is said with its key, and code 2.

use std::process::Command;

#[test]
fn bad_command_lines_and_settings_are_named() {
    let file = tempfile::NamedTempFile::new().expect("a file");
    std::fs::write(file.path(), "node-name: \"x\"\nip: \"10.0.0.1\"\nport-range: [1]\n").expect("written");
    let path = file.path().display().to_string();
    let cases: [(&[&str], &str); 3] = [
        (&["check", &path], "port-range: expected two ports"),
        (&["check", "/nowhere/at/all"], "/nowhere/at/all: "),
        (&["--loud"], "--loud"),
    ];
    for (args, wanted) in cases {
        let mut child = Command::new(env!("CARGO_BIN_EXE_lynxstair-controller"));
        let out = child.args(args).env("LYNXSTAIR_BOOT", &path).output().expect("ran");
        let said = String::from_utf8_lossy(&out.stderr);
        assert!(out.status.code() == Some(2) && said.contains(wanted), "{args:?}: {:?} {said}", out.status);
    }
}
