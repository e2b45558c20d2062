use std::path::Path;

use super::{DiskState, FaultKind, Trial};

const VALID_FILE: &str = r#"name = "Whole"
seconds = 20
gatekeepers = 6
halls = 2
voters = 3
seed = 7

[load]
invocations_per_second = 200

[[fault]]
at = 4.0
lasts = 8.0
kind = "pause"
who = ["g2"]

[[fault]]
at = 1
kind = "kill"
who = ["any:2"]
restart_after = 2.0
disk = "torn"

[[fault]]
at = 1
kind = "cut"
from = "hall:1"
to = ["hall:2", "g3"]
both = true

[[fault]]
at = 2
kind = "lose"
share = 0.4

[must]
agree_within = 5
never_failed = ["g3"]
seen_failed = ["hall:2"]
"#;

fn parse(text: &str) -> Result<Trial, String> {
    Trial::parse(Path::new("t.toml"), text, None).map_err(|e| e.to_string())
}

#[test]
fn a_valid_file_is_parsed() {
    let trial = parse(VALID_FILE).expect("valid");
    assert_eq!((trial.gatekeepers, trial.seed, trial.duration_s), (6, 7, 20.0));
    assert!(matches!(
        &trial.faults[1].kind,
        FaultKind::Kill { targets, disk: DiskState::Torn, .. } if targets.len() == 2
    ));
    let FaultKind::Cut { links } = &trial.faults[2].kind else { panic!("a cut") };
    assert!(links.0.contains(&(0, 1)) && links.0.contains(&(1, 0)) && links.0.contains(&(0, 2)));
    let FaultKind::Lose { links, .. } = &trial.faults[3].kind else { panic!("loss") };
    assert_eq!(links.0.len(), 30);
    assert_eq!(trial.expectations.seen_failed, [1, 3, 5]);
    assert_eq!(trial.faults_end_s(), 20.0);
    let other = Trial::parse(Path::new("t.toml"), VALID_FILE, Some(8)).expect("valid");
    assert_eq!(other.seed, 8);
}

#[test]
fn a_trial_survives_formatting_and_parsing() {
    let mut trial = parse(VALID_FILE).expect("valid");
    let again = parse(&trial.to_toml()).expect("valid");
    assert_eq!(again.faults_end_s(), trial.faults_end_s());
    trial.faults.retain(|f| !matches!(f.kind, FaultKind::Cut { .. } | FaultKind::Lose { .. }));
    assert_eq!(parse(&trial.to_toml()).expect("valid"), trial);
}

#[test]
fn invalid_files_are_rejected_with_line_and_key() {
    let cases = [
        ("\"pause\"\nwho", "\"nap\"\nwho", "t.toml:14: fault.kind: \"nap\" is not a known fault kind"),
        ("\"pause\"\nwho", "\"change\"\nwho", "t.toml:14: fault.kind: \"change\" is not a known fault kind"),
        ("[\"g2\"]", "[\"g9\"]", "t.toml:15: who: \"g9\" names no gatekeeper; g1 to g6"),
        (
            "[\"g2\"]",
            "[\"owner:rule\"]",
            "t.toml:15: who: \"owner:rule\" names no known duty; known duties: export",
        ),
        (
            "[\"g3\"]",
            "[\"owner:export\"]",
            "t.toml:38: must.never_failed: \"owner:export\" is not valid here",
        ),
        ("voters = 3", "voters = 2", "t.toml:5: voters: 2 voters are not supported; use 3 or 5"),
        ("[\"g2\"]", "[2]", "t.toml:15: who: expected a name or a list of names"),
        ("lasts = 8.0", "last = 8.0", "t.toml:13: unknown field `last`"),
        ("lasts = 8.0", "lasts = -1.0", "t.toml:13: lasts: -1 is not within 0"),
        (
            "lasts = 8.0",
            "share = 0.5",
            "t.toml:13: share: pause does not take this key; its keys are at, lasts, who",
        ),
        ("restart_after = 2.0", "lasts = 2.0", "t.toml:21: lasts: kill does not take this key"),
        ("\"torn\"", "\"wet\"", "t.toml:22: disk: \"wet\" is not a disk state"),
        ("\"any:2\"", "\"any:9\"", "t.toml:20: who: \"any:9\" is out of range; any:1 to any:6 are"),
        (
            "[\"hall:2\", ",
            "[\"hall:4\", ",
            "t.toml:28: to: \"hall:4\" is not a zone of this trial; hall:1 to hall:2 are",
        ),
        ("share = 0.4", "share = 1.4", "t.toml:34: share: 1.4 is not within 0 to 1"),
        ("share = 0.4", "", "t.toml:31: share: missing; lose requires it"),
        ("gatekeepers = 6", "gatekeepers = 0", "t.toml:3: gatekeepers: 0 is not within 1 to 100"),
        ("gatekeepers = 6", "", "missing field `gatekeepers`"),
        ("halls = 2", "halls = 7", "t.toml:4: halls: 7 is not within 1 to 6"),
        ("at = 4.0", "at = 40.0", "t.toml:12: at: 40 is not within 0 to 20"),
        ("seconds = 20", "seconds = \"long\"", "t.toml:2: invalid type: string \"long\""),
        ("[must]", "[should]", "unknown field `should`"),
        ("name = \"Whole\"", "name = \"Whole", "t.toml:1: "),
    ];
    for (original, changed, expected) in cases {
        assert!(VALID_FILE.contains(original), "{original}");
        let error = parse(&VALID_FILE.replacen(original, changed, 1)).expect_err(changed);
        assert!(error.contains(expected), "{changed}: {error}, not {expected}");
    }
}
