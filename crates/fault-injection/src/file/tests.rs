use std::path::Path;

use super::{Disk, Kind, Trial};

const GOOD: &str = r#"name = "Whole"
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
fn a_whole_file() {
    let trial = parse(GOOD).expect("good");
    assert_eq!((trial.gatekeepers, trial.seed, trial.seconds), (6, 7, 20.0));
    assert!(matches!(&trial.faults[1].kind, Kind::Kill { who, disk: Disk::Torn, .. } if who.len() == 2));
    let Kind::Cut { links } = &trial.faults[2].kind else { panic!("a cut") };
    assert!(links.0.contains(&(0, 1)) && links.0.contains(&(1, 0)) && links.0.contains(&(0, 2)));
    let Kind::Lose { links, .. } = &trial.faults[3].kind else { panic!("loss") };
    assert_eq!(links.0.len(), 30);
    assert_eq!(trial.must.seen_failed, [1, 3, 5]);
    assert_eq!(trial.faults_over(), 20.0);
    let other = Trial::parse(Path::new("t.toml"), GOOD, Some(8)).expect("good");
    assert_eq!(other.seed, 8);
}

#[test]
fn written_and_read_again_it_is_the_same() {
    let mut trial = parse(GOOD).expect("good");
    let again = parse(&trial.to_toml()).expect("good");
    assert_eq!(again.faults_over(), trial.faults_over());
    trial.faults.retain(|f| !matches!(f.kind, Kind::Cut { .. } | Kind::Lose { .. }));
    assert_eq!(parse(&trial.to_toml()).expect("good"), trial);
}

#[test]
fn what_cannot_be_played() {
    let cases = [
        ("\"pause\"\nwho", "\"nap\"\nwho", "t.toml:14: fault.kind: \"nap\" is no kind this build knows"),
        ("\"pause\"\nwho", "\"change\"\nwho", "t.toml:14: fault.kind: \"change\" is no kind this build"),
        ("[\"g2\"]", "[\"g9\"]", "t.toml:15: who: \"g9\" is nobody; g1 to g6"),
        ("[\"g2\"]", "[\"owner:rule\"]", "t.toml:15: who: \"owner:rule\" is no duty; export are"),
        ("[\"g3\"]", "[\"owner:export\"]", "t.toml:38: must.never_failed: \"owner:export\": who owns it"),
        ("voters = 3", "voters = 2", "t.toml:5: voters: 2: three or five would be right"),
        ("[\"g2\"]", "[2]", "t.toml:15: who: names in a list"),
        ("lasts = 8.0", "last = 8.0", "t.toml:13: unknown field `last`"),
        ("lasts = 8.0", "lasts = -1.0", "t.toml:13: lasts: -1 is not within 0"),
        ("lasts = 8.0", "share = 0.5", "t.toml:13: share: pause has no such key; at, lasts, who are"),
        ("restart_after = 2.0", "lasts = 2.0", "t.toml:21: lasts: kill has no such key"),
        ("\"torn\"", "\"wet\"", "t.toml:22: disk: \"wet\" is no state of a disk"),
        ("\"any:2\"", "\"any:9\"", "t.toml:20: who: \"any:9\": any:1 to any:6"),
        ("[\"hall:2\", ", "[\"hall:4\", ", "t.toml:28: to: \"hall:4\": the halls are hall:1 to hall:2"),
        ("share = 0.4", "share = 1.4", "t.toml:34: share: 1.4 is not within 0 to 1"),
        ("share = 0.4", "", "t.toml:31: share: missing, and lose needs it"),
        ("gatekeepers = 6", "gatekeepers = 0", "t.toml:3: gatekeepers: 0 is not within 1 to 100"),
        ("gatekeepers = 6", "", "missing field `gatekeepers`"),
        ("halls = 2", "halls = 7", "t.toml:4: halls: 7 is not within 1 to 6"),
        ("at = 4.0", "at = 40.0", "t.toml:12: at: 40 is not within 0 to 20"),
        ("seconds = 20", "seconds = \"long\"", "t.toml:2: invalid type: string \"long\""),
        ("[must]", "[should]", "unknown field `should`"),
        ("name = \"Whole\"", "name = \"Whole", "t.toml:1: "),
    ];
    for (good, changed, wanted) in cases {
        assert!(GOOD.contains(good), "{good}");
        let error = parse(&GOOD.replacen(good, changed, 1)).expect_err(changed);
        assert!(error.contains(wanted), "{changed}: {error}, not {wanted}");
    }
}
