//! What an command gets, the first time and when it is sent again: one winner under a number, taken once,
//! never refused after it was taken.

use std::sync::Arc;

use ciborium::cbor;
use lynxstair_control_state::command::{Command, Operation, command_id};
use lynxstair_control_state::config_store::{CommandOutcome, ConfigStore, MAX_APPLIED_COMMANDS, Rejection};

const ROUTES: &str =
    r#"{"columns":["name","host","path-prefix","route-kind","service"],"rows":[["r","h","/","safe","s"]]}"#;

fn put(generation: u64, base: u64, note: &str) -> Operation {
    Operation::Put(
        format!(
            r#"{{"generation":"{generation:08x}","base-version":"{base:08x}","note":"{note}","routes":{ROUTES},
            "services":{{"columns":["name"],"rows":[["s"]]}}}}"#
        )
        .into_bytes(),
    )
}

fn patch(generation: u64, base: u64, rest: &str) -> Operation {
    Operation::Patch(
        format!(r#"{{"generation":"{generation:08x}","base-version":"{base:08x}"{rest}}}"#).into_bytes(),
    )
}

fn apply(store: &ConfigStore, change: &Operation) -> CommandOutcome {
    let zones = [("z".into(), "r".into())];
    let mut command = Command::new(change.clone());
    let outcome = store.apply(&command, &zones);
    // The same where it was read before.
    command.parse();
    assert_eq!(store.apply(&command, &zones), outcome);
    outcome
}

fn take(store: &ConfigStore, change: &Operation) -> ConfigStore {
    match apply(store, change) {
        CommandOutcome::Accepted(store) => *store,
        other => panic!("{change:?}: {other:?}"),
    }
}

/// What the operator gets of it: 200, 503 where nothing clear is said, else the refusal.
fn status(store: &ConfigStore, change: &Operation) -> u16 {
    match apply(store, change) {
        CommandOutcome::Accepted(_) | CommandOutcome::AlreadyApplied => 200,
        CommandOutcome::Unknown => 503,
        CommandOutcome::Rejected(rejection) => rejection.status(),
    }
}

/// One of two racers wins; the winner's same bytes are known again, also after later versions; nothing that
/// is refused leaves a trace.
#[test]
fn one_of_two_commands_on_one_base_is_accepted() {
    let first = take(&ConfigStore::default(), &put(3, 0, ""));
    let (a, b) = (put(7, 3, "a"), put(8, 3, "b"));
    let second = take(&first, &a);
    assert_eq!((status(&second, &b), apply(&second, &a)), (412, CommandOutcome::AlreadyApplied));
    let third = take(&second, &put(9, 7, ""));
    assert_eq!(apply(&third, &a), CommandOutcome::AlreadyApplied);
    assert_eq!(status(&third, &put(9, 9, "x")), 400, "a generation not above");
    assert_eq!(status(&third, &put(10, 3, "x")), 412);
    assert_eq!(ConfigStore::decode(&third.encode()).as_ref(), Some(&third));
    let no_service = patch(10, 9, r#","remove":{"services":["s"]}"#);
    assert_eq!(status(&third, &no_service), 400, "a route would name no service");
    let no_route = patch(10, 9, r#","remove":{"routes":["r"]}"#);
    assert!(take(&third, &no_route).configuration().is_some_and(|c| c.routes.is_empty()));
}

/// Two under one number: the bytes tell them apart, and the loser stays one however often and late it comes.
#[test]
fn one_of_two_commands_of_one_generation_is_accepted() {
    let first = take(&ConfigStore::default(), &put(3, 0, ""));
    let (winner, loser) = (put(7, 3, "a"), put(7, 3, "b"));
    let mut store = take(&first, &winner);
    for later in 8..40 {
        assert_eq!((apply(&store, &winner), status(&store, &loser)), (CommandOutcome::AlreadyApplied, 412));
        store = take(&store, &put(later, later - 1, ""));
    }
    // The same body as a change of the other kind is another command.
    let (Operation::Put(body), Operation::Patch(other)) = (put(7, 3, "a"), patch(7, 3, "")) else { panic!() };
    assert_ne!(command_id(&Operation::Put(body.clone())), command_id(&Operation::Patch(body)));
    assert_eq!(status(&store, &Operation::Patch(other)), 412);
}

/// Identities lie on disks: another build that made others would refuse what this one took.
#[test]
fn command_ids_are_the_same_in_every_build() {
    let hex = |change: &Operation| -> Option<String> {
        command_id(change).map(|mark| mark.iter().map(|b| format!("{b:02x}")).collect())
    };
    assert_eq!(hex(&Operation::Put(b"{}".to_vec())).as_deref(), Some("fd59917ebba152fc8cdd0d373886e86f"));
    assert_eq!(hex(&Operation::Patch(b"{}".to_vec())).as_deref(), Some("c7811ec5da52a34efeaadc2c8ada1123"));
    assert_eq!(hex(&Operation::Evacuate("z".into())), None);
}

/// Of more changes than are remembered, the oldest get no clear answer; never a refusal, nor does one take
/// effect again. What can't have been taken is refused all the same.
#[test]
fn forgotten_commands_are_not_rejected() {
    let command = |n: u64| put(n + 1, n, "");
    let all = MAX_APPLIED_COMMANDS as u64 + 50;
    let mut store = ConfigStore::default();
    for n in 0..all {
        store = take(&store, &command(n));
    }
    for n in 0..all {
        let wanted = if n < 50 { CommandOutcome::Unknown } else { CommandOutcome::AlreadyApplied };
        assert_eq!(apply(&store, &command(n)), wanted, "{n}");
    }
    assert_eq!(status(&store, &put(60, 59, "lost")), 412, "of a time that is remembered");
    assert_eq!(status(&store, &put(all, all, "")), 400, "not above the one that it builds on");
    assert!(store.encode().len() < 30_000, "{} bytes", store.encode().len());
    // A disk of a build that held other identities: nothing that may have been taken is refused.
    let text = store.to_json().expect("a configuration");
    let older = cbor!({
        "number" => 9, "generation" => all, "text" => text, "evacuated" => ["z"], "taken" => [[1, 2]],
    });
    let mut bytes = Vec::new();
    ciborium::into_writer(&older.expect("a value"), &mut bytes).expect("written");
    let store = ConfigStore::decode(&bytes).expect("read");
    assert_eq!((store.revision, store.generation, store.evacuated.len()), (9, all, 1));
    assert_eq!(
        (apply(&store, &command(all - 1)), status(&store, &put(all + 1, all, ""))),
        (CommandOutcome::Unknown, 200)
    );
}

/// Three disks, as the agreement leaves them when the leader goes: each holds the newest store that it has
/// synced, by term and index; who leads next goes on from the newest of a majority.
struct Disks([(u64, u64, ConfigStore); 3]);

impl Disks {
    fn newest(&self, of: [usize; 2]) -> ConfigStore {
        of.iter().map(|n| &self.0[*n]).max_by_key(|(term, index, _)| (*term, *index)).expect("two").2.clone()
    }
}

/// Where the leader (disk 0) has gone when the command is sent again.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Gone {
    BeforeItCame,
    BeforeTheWrite,
    WrittenNotSynced,
    SyncedAloneAndLeadsNoMore,
    SyncedAloneAndLeadsAgain,
    SyncedByAMajority,
    AnsweredButLost,
}

/// The table: what a second sending gets where the first got no answer, for each kind of command and each
/// step at which the leader goes. It takes effect once: what was kept is known, what was lost is taken now.
#[test]
fn repeated_commands() {
    use Gone::*;
    let start = take(&ConfigStore::default(), &put(3, 0, ""));
    let emptied = take(&start, &Operation::Evacuate("z".into()));
    let commands = [
        (&start, put(7, 3, "")),
        (&start, patch(7, 3, r#","remove":{"routes":["r"]}"#)),
        (&start, Operation::Evacuate("z".into())),
        (&emptied, Operation::Restore("z".into())),
    ];
    let deltas = [
        (BeforeItCame, false),
        (BeforeTheWrite, false),
        (WrittenNotSynced, false),
        (SyncedAloneAndLeadsNoMore, false),
        (SyncedAloneAndLeadsAgain, true),
        (SyncedByAMajority, true),
        (AnsweredButLost, true),
    ];
    for (before, command) in &commands {
        for (step, is_kept) in deltas {
            let after = take(before, command);
            let old = || (1, 5, (*before).clone());
            let mut disks = Disks([old(), old(), old()]);
            let synced = match step {
                BeforeItCame | BeforeTheWrite | WrittenNotSynced => 0,
                SyncedAloneAndLeadsNoMore | SyncedAloneAndLeadsAgain => 1,
                SyncedByAMajority => 2,
                AnsweredButLost => 2,
            };
            (0..synced).for_each(|n| disks.0[n] = (1, 6, after.clone()));
            let majorities: &[[usize; 2]] = match step {
                SyncedAloneAndLeadsAgain => &[[0, 1], [0, 2]],
                SyncedAloneAndLeadsNoMore => &[[1, 2]],
                _ => &[[0, 1], [0, 2], [1, 2]],
            };
            for majority in majorities {
                let store = disks.newest(*majority);
                match (apply(&store, command), is_kept) {
                    (CommandOutcome::Accepted(now), false) => assert_eq!(*now, after, "{step:?}"),
                    (CommandOutcome::AlreadyApplied, true) => assert_eq!(store, after, "{step:?}"),
                    (other, _) => panic!("{command:?}, {step:?}, {majority:?}: {other:?}"),
                }
            }
        }
    }
}

/// Up to eight commands under way at once, each sent again and again in any command as its answers are lost,
/// with leaders that go on from what was agreed on or from one change before where that was not: each takes
/// effect once at most, one that was acknowledged is never refused, and one of those on the same base wins.
#[test]
fn of_eight_concurrent_commands_one_is_accepted() {
    arbtest::arbtest(|u| {
        let mut store = take(&ConfigStore::default(), &put(1, 0, ""));
        let mut acknowledged: Vec<Arc<Operation>> = Vec::new();
        for _ in 0..u.int_in_range(1..=6)? {
            let (base, from) = (store.generation, store.clone());
            let commands: Vec<Arc<Operation>> = (0..u.int_in_range(1..=8u64)?)
                .map(|n| {
                    // Some under the same number, some under their own.
                    Ok(Arc::new(put(base + 1 + n / u.int_in_range(1..=3)?, base, &format!("{n}"))))
                })
                .collect::<arbtest::arbitrary::Result<_>>()?;
            let mut winner: Option<Arc<Operation>> = None;
            for _ in 0..u.int_in_range(1..=24)? {
                let command = u.choose(&commands)?;
                match apply(&store, command) {
                    CommandOutcome::Accepted(_) if u.ratio(1, 4)? => {} // The leader is gone before a majority has it.
                    CommandOutcome::Accepted(new) => {
                        assert_eq!((store.revision, winner.replace(command.clone())), (from.revision, None));
                        store = *new;
                    }
                    CommandOutcome::AlreadyApplied => assert_eq!(winner.as_ref(), Some(command)),
                    CommandOutcome::Rejected(Rejection::VersionConflict { .. }) => {
                        assert!(winner.is_some() && winner.as_ref() != Some(command))
                    }
                    other => panic!("{other:?}"),
                }
            }
            acknowledged.extend(winner);
            for command in &acknowledged {
                assert_eq!(apply(&store, command), CommandOutcome::AlreadyApplied);
            }
        }
        Ok(())
    })
    .budget_ms(1_000);
}

/// Evacuations and returns: what is so already is acknowledged and changes nothing. They carry no identity:
/// one sent again after the zone was taken back is an command like any other (docs/design/commands.md says
/// what keeps late ones away).
#[test]
fn zones_are_evacuated_and_restored() {
    let change = Operation::Evacuate("z".into());
    let store = take(&ConfigStore::default(), &change);
    assert!(store.evacuated.contains("z"));
    assert_eq!(apply(&store, &change), CommandOutcome::AlreadyApplied);
    let back = Operation::Restore("z".into());
    let store = take(&store, &back);
    assert!(store.evacuated.is_empty());
    assert_eq!(apply(&store, &back), CommandOutcome::AlreadyApplied);
    assert!(matches!(apply(&store, &change), CommandOutcome::Accepted(_)));
    assert_eq!(status(&store, &Operation::Evacuate("y".into())), 404);
}

/// Taken, superseded, sent again with its own base: acknowledged, and of no effect.
#[test]
fn a_superseded_command_does_not_come_back() {
    let first = take(&ConfigStore::default(), &put(3, 0, ""));
    let second = take(&first, &put(5, 3, "second"));
    let third = take(&second, &patch(6, 5, r#","upsert":{"note":"third"}"#));
    for old in [put(3, 0, ""), put(5, 3, "second")] {
        assert_eq!(apply(&third, &old), CommandOutcome::AlreadyApplied);
    }
    assert!(third.to_json().is_some_and(|text| text.contains("third")));
}

/// Each way in which the bench's operator spoils an command: refused with a 4xx, not acknowledged, and
/// leaves no trace. The faults of the configuration itself stand in `crates/config/tests/configuration.rs`,
/// row by row.
#[test]
fn invalid_commands_are_rejected() {
    let store = take(&take(&ConfigStore::default(), &put(3, 0, "")), &put(7, 3, ""));
    let Operation::Put(good) = put(9, 7, "") else { panic!() };
    let text = String::from_utf8(good.clone()).expect("text");
    let with = |from: &str, to: &str| {
        assert!(text.contains(from), "{from}");
        text.replace(from, to).into_bytes()
    };
    let route =
        |rest: &str| with(r#""service"],"rows":[["r","h","/","safe","s"]]"#, &format!(r#""service",{rest}"#));
    let cases: [(&str, Vec<u8>, u16); 15] = [
        ("cut_short", good[..good.len() - 40].to_vec(), 400),
        ("unknown_service", with(r#""safe","s""#, r#""safe","t""#), 400),
        ("same_place", with(r#"[["r","h""#, r#"[["q","h","/","safe","s"],["r","h""#), 400),
        (
            "no_weight",
            route(r#""split"],"rows":[["r","h","/","safe",null,[{"service":"s","weight":0}]]]"#),
            400,
        ),
        ("no_timeout", route(r#""timeout-s"],"rows":[["r","h","/","safe","s",0]]"#), 400),
        ("old_version", with("00000009", "00000005"), 400),
        ("same_version", with("00000009", "00000007"), 400),
        ("stale_match", with("00000007", "00000003"), 412),
        (
            "shared_key",
            with(
                r#""services""#,
                r#""tenants":{"columns":["name","api-keys"],"rows":[["a",["k"]],["b",["k"]]]},"services""#,
            ),
            400,
        ),
        ("no_host", with(r#""r","h""#, r#""r","""#), 400),
        ("long_timeout", route(r#""timeout-s"],"rows":[["r","h","/","safe","s",601]]"#), 400),
        ("aim_over", route(r#""timeout-s","target-s"],"rows":[["r","h","/","safe","s",3,63]]"#), 400),
        ("no_attempts", route(r#""max-attempts"],"rows":[["r","h","/","safe","s",0]]"#), 400),
        (
            "below_zero",
            route(r#""split"],"rows":[["r","h","/","safe",null,[{"service":"s","weight":-1}]]]"#),
            400,
        ),
        ("no text", vec![0xff, 0xfe], 400),
    ];
    for (kind, body, wanted) in cases {
        for _ in 0..2 {
            assert_eq!(status(&store, &Operation::Put(body.clone())), wanted, "{kind}");
        }
    }
    assert_eq!(status(&store, &Operation::Put(good)), 200);
    // By names, the same faults come in through what is added or taken away.
    for rest in [
        r#","upsert":{"routes":{"columns":["name","host","path-prefix","route-kind","service"],"rows":[["q","h","/","safe","s"]]}}"#,
        r#","upsert":{"routes":{"columns":["name","host","path-prefix","route-kind","service"],"rows":[["q","i","/","safe","t"]]}}"#,
        r#","remove":{"services":["s"]}"#,
        r#","upsert":{"routes":[]}"#,
        r#","remove":{"routes":"r"}"#,
        r#","upsert":{"limits":{"idle-timeout-s":-1}}"#,
    ] {
        assert_eq!(status(&store, &patch(9, 7, rest)), 400, "{rest}");
    }
}
