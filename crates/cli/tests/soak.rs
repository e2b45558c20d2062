//! A short soak of controllers and proxies. For longer runs see `lynxstair soak` and docs/operators/soak.md.

use std::path::Path;
use std::process::Command;

/// Proxies and controllers are restarted and killed while the configuration changes and workers send broken replies.
#[test]
fn short_soak_breaks_no_rule() {
    let program = Path::new(env!("CARGO_BIN_EXE_lynxstair"));
    let proxy = program.with_file_name("lynxstair-proxy");
    assert!(proxy.exists(), "{}: run the tests with --workspace", proxy.display());
    let output = Command::new(program)
        .args(["soak", "--seed", "1", "--seeds", "3", "--seconds", "20", "--proxies", "4", "--clients", "12"])
        .output()
        .expect("runs");
    let summary = String::from_utf8_lossy(&output.stdout);
    let errors = String::from_utf8_lossy(&output.stderr);
    println!("{summary}{errors}");
    assert!(output.status.success(), "{}", output.status);
    assert_eq!(summary.matches("soak kept").count(), 3);
}
