//! Errors in the command line or the settings are reported with exit code 2.

use std::process::Command;

#[test]
fn invalid_command_lines_and_settings_are_reported() {
    let file = tempfile::NamedTempFile::new().expect("a file");
    std::fs::write(file.path(), "node-name: \"x\"\nip: \"10.0.0.1\"\nport-range: [1]\n").expect("written");
    let path = file.path().display().to_string();
    let cases: [(&[&str], &str); 3] = [
        (&["check", &path], "port-range: expected two ports"),
        (&["check", "/nowhere/at/all"], "/nowhere/at/all: "),
        (&["--loud"], "--loud"),
    ];
    for (args, expected) in cases {
        let mut child = Command::new(env!("CARGO_BIN_EXE_lynxstair-controller"));
        let out = child.args(args).env("LYNXSTAIR_BOOT", &path).output().expect("ran");
        let stderr = String::from_utf8_lossy(&out.stderr);
        assert!(
            out.status.code() == Some(2) && stderr.contains(expected),
            "{args:?}: {:?} {stderr}",
            out.status
        );
    }
}
