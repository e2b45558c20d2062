//! A short, seeded soak of the system's own programs. By hand: `lynxstair soak --seeds 50`; docs/operators/soak.md.

use std::path::Path;
use std::process::Command;

/// Seeds 1 and 2, drawn so that proxies and controllers are rolled and killed while the configuration changes.
#[test]
fn a_short_soak_breaks_nothing() {
    let program = Path::new(env!("CARGO_BIN_EXE_lynxstair"));
    let proxy = program.with_file_name("lynxstair-proxy");
    assert!(proxy.exists(), "{}: run the tests with --workspace", proxy.display());
    let output = Command::new(program)
        .args(["soak", "--seed", "1", "--seeds", "2", "--seconds", "20", "--proxies", "4", "--clients", "12"])
        .output()
        .expect("played");
    let told = String::from_utf8_lossy(&output.stdout);
    let errors = String::from_utf8_lossy(&output.stderr);
    println!("{told}{errors}");
    assert!(output.status.success(), "{}", output.status);
    assert_eq!(told.matches("soak kept").count(), 2);
}
