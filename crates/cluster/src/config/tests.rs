use std::path::Path;

use super::Config;

const VALID: &str = r#"
fleet = "kampus"
name = "g1"
hall = "h1"
bind = "127.0.0.1:7101"
seeds = ["127.0.0.1:7101", "127.0.0.1:7102"]
data = "g1"

[times]
probe_ms = 500
"#;

#[test]
fn errors_name_line_key_and_valid_values() {
    let config = Config::parse(Path::new("/etc/f/g1.toml"), VALID).expect("valid");
    assert_eq!((config.advertise, config.control), (config.bind, config.bind));
    assert_eq!(config.data, Path::new("/etc/f/g1"));
    assert_eq!(config.times.probe_interval.nanos(), 500_000_000);
    let cases = [
        ("\"g1\"\nhall", "\"G 1\"\nhall", "f.toml:3: name: \"G 1\" is not a valid name"),
        ("127.0.0.1:7101\"\nseeds", "localhost\"\nseeds", "f.toml:5: bind: \"localhost\" is not an address"),
        ("\"127.0.0.1:7102\"", "\"127.0.0.1:0\"", "f.toml:6: seeds: 127.0.0.1:0 can't be reached"),
        ("127.0.0.1:7101\"\nseeds", "0.0.0.0:7101\"\nseeds", "f.toml:5: advertise: missing"),
        ("probe_ms = 500", "probe_ms = 5", "f.toml:10: times.probe_ms: 5 is not within 10 to 600000"),
        ("probe_ms = 500", "probe_ms = 200", "f.toml:10: times.probe_ms: must be at least twice"),
        ("probe_ms = 500", "probe_ms = 800", "f.toml:10: times.quiet_ms: must be at least twice"),
        ("probe_ms = 500", "prob_ms = 500", "f.toml:10: unknown field `prob_ms`, expected one of"),
        ("data = \"g1\"", "", "missing field `data`"),
        (
            "data = \"g1\"",
            "data = \"g1\"\nvoters = [{ name = \"g1\", addr = \"127.0.0.1:7101\" }, { name = \"g2\", addr = \"127.0.0.1:7102\" }]",
            "f.toml:8: voters: 2 voters; use 3 or 5",
        ),
        (
            "[times]",
            "[ownership]\nduties = [\"rule\"]\n[times]",
            "f.toml:10: ownership.duties: \"rule\" is not a duty",
        ),
        (
            "[times]",
            "[ownership]\nlease_ms = 200\n[times]",
            "f.toml:10: ownership.lease_ms: must be at least",
        ),
        ("name = \"g1\"", "name = 7", "f.toml:3: invalid type: integer `7`, expected a string"),
        ("hall = \"h1\"", "hall = \"h1", "f.toml:4: "),
    ];
    for (valid, changed, expected) in cases {
        assert!(VALID.contains(valid), "{valid}");
        let error = Config::parse(Path::new("f.toml"), &VALID.replace(valid, changed)).expect_err(changed);
        assert!(error.to_string().contains(expected), "{changed}: {error}, not {expected}");
    }
}
