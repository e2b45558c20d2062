//! Outcomes of operator commands and of their retries: one command per generation is accepted, it is applied
//! once, and it is never rejected afterwards.

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
    // A command that was parsed in advance has the same outcome.
    command.parse();
    assert_eq!(store.apply(&command, &zones), outcome);
    outcome
}

fn accept(store: &ConfigStore, change: &Operation) -> ConfigStore {
    match apply(store, change) {
        CommandOutcome::Accepted(store) => *store,
        other => panic!("{change:?}: {other:?}"),
    }
}

/// Returns the HTTP status of the outcome; 503 if it is unknown.
fn status(store: &ConfigStore, change: &Operation) -> u16 {
    match apply(store, change) {
        CommandOutcome::Accepted(_) | CommandOutcome::AlreadyApplied => 200,
        CommandOutcome::Unknown => 503,
        CommandOutcome::Rejected(rejection) => rejection.status(),
    }
}

/// One of two concurrent commands is accepted. Its retries are recognized, also after later versions, and
/// rejected commands change nothing.
#[test]
fn one_of_two_commands_on_the_same_base_is_accepted() {
    let first = accept(&ConfigStore::default(), &put(3, 0, ""));
    let (a, b) = (put(7, 3, "a"), put(8, 3, "b"));
    let second = accept(&first, &a);
    assert_eq!((status(&second, &b), apply(&second, &a)), (412, CommandOutcome::AlreadyApplied));
    let third = accept(&second, &put(9, 7, ""));
    assert_eq!(apply(&third, &a), CommandOutcome::AlreadyApplied);
    assert_eq!(status(&third, &put(9, 9, "x")), 400, "the generation does not increase");
    assert_eq!(status(&third, &put(10, 3, "x")), 412);
    assert_eq!(ConfigStore::decode(&third.encode()).as_ref(), Some(&third));
    let no_service = patch(10, 9, r#","remove":{"services":["s"]}"#);
    assert_eq!(status(&third, &no_service), 400, "a route would refer to a missing service");
    let no_route = patch(10, 9, r#","remove":{"routes":["r"]}"#);
    assert!(accept(&third, &no_route).configuration().is_some_and(|c| c.routes.is_empty()));
}

/// Two commands with the same generation are distinguished by their bytes: the rejected one stays rejected
/// on every retry.
#[test]
fn one_of_two_commands_with_the_same_generation_is_accepted() {
    let first = accept(&ConfigStore::default(), &put(3, 0, ""));
    let (winner, loser) = (put(7, 3, "a"), put(7, 3, "b"));
    let mut store = accept(&first, &winner);
    for later in 8..40 {
        assert_eq!((apply(&store, &winner), status(&store, &loser)), (CommandOutcome::AlreadyApplied, 412));
        store = accept(&store, &put(later, later - 1, ""));
    }
    // The same body with another kind of operation is another command.
    let (Operation::Put(body), Operation::Patch(other)) = (put(7, 3, "a"), patch(7, 3, "")) else { panic!() };
    assert_ne!(command_id(&Operation::Put(body.clone())), command_id(&Operation::Patch(body)));
    assert_eq!(status(&store, &Operation::Patch(other)), 412);
}

/// Command ids are stored: a build with other ids would reject retries of commands that this build accepted.
#[test]
fn command_ids_are_the_same_in_every_build() {
    let hex = |change: &Operation| -> Option<String> {
        command_id(change).map(|id| id.iter().map(|b| format!("{b:02x}")).collect())
    };
    assert_eq!(hex(&Operation::Put(b"{}".to_vec())).as_deref(), Some("fd59917ebba152fc8cdd0d373886e86f"));
    assert_eq!(hex(&Operation::Patch(b"{}".to_vec())).as_deref(), Some("c7811ec5da52a34efeaadc2c8ada1123"));
    assert_eq!(hex(&Operation::Evacuate("z".into())), None);
}

/// Retries of commands that were evicted from the deduplication table have an unknown outcome: they are
/// neither rejected nor applied again. Commands that cannot have been accepted are still rejected.
#[test]
fn evicted_commands_are_not_rejected() {
    let command = |n: u64| put(n + 1, n, "");
    let all = MAX_APPLIED_COMMANDS as u64 + 50;
    let mut store = ConfigStore::default();
    for n in 0..all {
        store = accept(&store, &command(n));
    }
    for n in 0..all {
        let expected = if n < 50 { CommandOutcome::Unknown } else { CommandOutcome::AlreadyApplied };
        assert_eq!(apply(&store, &command(n)), expected, "{n}");
    }
    assert_eq!(status(&store, &put(60, 59, "lost")), 412, "the table still covers this generation");
    assert_eq!(status(&store, &put(all, all, "")), 400, "the generation does not exceed the base version");
    assert!(store.encode().len() < 30_000, "{} bytes", store.encode().len());
    // A state stored by a build with other command ids: commands that may have been accepted are not
    // rejected.
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

/// The disks of three replicas when the leader fails, each with its newest synced state by term and index.
/// The next leader continues from the newest state of a majority.
struct Disks([(u64, u64, ConfigStore); 3]);

impl Disks {
    fn newest(&self, of: [usize; 2]) -> ConfigStore {
        of.iter().map(|n| &self.0[*n]).max_by_key(|(term, index, _)| (*term, *index)).expect("two").2.clone()
    }
}

/// The step at which the leader (disk 0) failed before the command is retried.
#[derive(Clone, Copy, Debug, PartialEq)]
enum FailureStep {
    BeforeReceipt,
    BeforeWrite,
    WrittenUnsynced,
    SyncedOnLeaderNotReelected,
    SyncedOnLeaderReelected,
    SyncedByMajority,
    ResponseLost,
}

/// The outcome of a retry after a lost response, for each kind of command and each step at which the leader
/// fails. A command that survived is recognized, a lost one is accepted by the retry, so each takes effect
/// once.
#[test]
fn retries_after_a_leader_failure_take_effect_once() {
    use FailureStep::*;
    let start = accept(&ConfigStore::default(), &put(3, 0, ""));
    let evacuated_store = accept(&start, &Operation::Evacuate("z".into()));
    let commands = [
        (&start, put(7, 3, "")),
        (&start, patch(7, 3, r#","remove":{"routes":["r"]}"#)),
        (&start, Operation::Evacuate("z".into())),
        (&evacuated_store, Operation::Restore("z".into())),
    ];
    let steps = [
        (BeforeReceipt, false),
        (BeforeWrite, false),
        (WrittenUnsynced, false),
        (SyncedOnLeaderNotReelected, false),
        (SyncedOnLeaderReelected, true),
        (SyncedByMajority, true),
        (ResponseLost, true),
    ];
    for (before, command) in &commands {
        for (step, is_durable) in steps {
            let after = accept(before, command);
            let old = || (1, 5, (*before).clone());
            let mut disks = Disks([old(), old(), old()]);
            let synced = match step {
                BeforeReceipt | BeforeWrite | WrittenUnsynced => 0,
                SyncedOnLeaderNotReelected | SyncedOnLeaderReelected => 1,
                SyncedByMajority => 2,
                ResponseLost => 2,
            };
            (0..synced).for_each(|n| disks.0[n] = (1, 6, after.clone()));
            let majorities: &[[usize; 2]] = match step {
                SyncedOnLeaderReelected => &[[0, 1], [0, 2]],
                SyncedOnLeaderNotReelected => &[[1, 2]],
                _ => &[[0, 1], [0, 2], [1, 2]],
            };
            for majority in majorities {
                let store = disks.newest(*majority);
                match (apply(&store, command), is_durable) {
                    (CommandOutcome::Accepted(now), false) => assert_eq!(*now, after, "{step:?}"),
                    (CommandOutcome::AlreadyApplied, true) => assert_eq!(store, after, "{step:?}"),
                    (other, _) => panic!("{command:?}, {step:?}, {majority:?}: {other:?}"),
                }
            }
        }
    }
}

/// Up to eight concurrent commands on one base are retried in any order, and some accepted ones are lost
/// with the leader: each takes effect at most once, an acknowledged one is never rejected, and one command
/// on each base wins.
#[test]
fn one_of_eight_concurrent_commands_is_accepted() {
    arbtest::arbtest(|u| {
        let mut store = accept(&ConfigStore::default(), &put(1, 0, ""));
        let mut acknowledged: Vec<Arc<Operation>> = Vec::new();
        for _ in 0..u.int_in_range(1..=6)? {
            let (base, from) = (store.generation, store.clone());
            let commands: Vec<Arc<Operation>> = (0..u.int_in_range(1..=8u64)?)
                .map(|n| {
                    // Some have the same generation, some their own.
                    Ok(Arc::new(put(base + 1 + n / u.int_in_range(1..=3)?, base, &format!("{n}"))))
                })
                .collect::<arbtest::arbitrary::Result<_>>()?;
            let mut winner: Option<Arc<Operation>> = None;
            for _ in 0..u.int_in_range(1..=24)? {
                let command = u.choose(&commands)?;
                match apply(&store, command) {
                    CommandOutcome::Accepted(_) if u.ratio(1, 4)? => {} // Lost with the leader.
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

/// An evacuation or a restoration of a zone that is already in this state is acknowledged and changes
/// nothing. These commands have no id: a retry after the opposite command is applied again.
#[test]
fn zones_are_evacuated_and_restored() {
    let change = Operation::Evacuate("z".into());
    let store = accept(&ConfigStore::default(), &change);
    assert!(store.evacuated.contains("z"));
    assert_eq!(apply(&store, &change), CommandOutcome::AlreadyApplied);
    let back = Operation::Restore("z".into());
    let store = accept(&store, &back);
    assert!(store.evacuated.is_empty());
    assert_eq!(apply(&store, &back), CommandOutcome::AlreadyApplied);
    assert!(matches!(apply(&store, &change), CommandOutcome::Accepted(_)));
    assert_eq!(status(&store, &Operation::Evacuate("y".into())), 404);
}

/// A retry of an accepted and superseded command is acknowledged and has no effect.
#[test]
fn a_retried_superseded_command_has_no_effect() {
    let first = accept(&ConfigStore::default(), &put(3, 0, ""));
    let second = accept(&first, &put(5, 3, "second"));
    let third = accept(&second, &patch(6, 5, r#","upsert":{"note":"third"}"#));
    for old in [put(3, 0, ""), put(5, 3, "second")] {
        assert_eq!(apply(&third, &old), CommandOutcome::AlreadyApplied);
    }
    assert!(third.to_json().is_some_and(|text| text.contains("third")));
}

/// Invalid commands are rejected with a 4xx status and change nothing.
/// `crates/config/tests/configuration.rs` covers the errors in the configuration itself.
#[test]
fn invalid_commands_are_rejected() {
    let store = accept(&accept(&ConfigStore::default(), &put(3, 0, "")), &put(7, 3, ""));
    let Operation::Put(good) = put(9, 7, "") else { panic!() };
    let text = String::from_utf8(good.clone()).expect("text");
    let with = |from: &str, to: &str| {
        assert!(text.contains(from), "{from}");
        text.replace(from, to).into_bytes()
    };
    let route =
        |rest: &str| with(r#""service"],"rows":[["r","h","/","safe","s"]]"#, &format!(r#""service",{rest}"#));
    let cases: [(&str, Vec<u8>, u16); 15] = [
        ("truncated", good[..good.len() - 40].to_vec(), 400),
        ("unknown service", with(r#""safe","s""#, r#""safe","t""#), 400),
        ("duplicate host and path", with(r#"[["r","h""#, r#"[["q","h","/","safe","s"],["r","h""#), 400),
        (
            "zero weight",
            route(r#""split"],"rows":[["r","h","/","safe",null,[{"service":"s","weight":0}]]]"#),
            400,
        ),
        ("zero time-out", route(r#""timeout-s"],"rows":[["r","h","/","safe","s",0]]"#), 400),
        ("old generation", with("00000009", "00000005"), 400),
        ("same generation", with("00000009", "00000007"), 400),
        ("stale base version", with("00000007", "00000003"), 412),
        (
            "shared API key",
            with(
                r#""services""#,
                r#""tenants":{"columns":["name","api-keys"],"rows":[["a",["k"]],["b",["k"]]]},"services""#,
            ),
            400,
        ),
        ("empty host", with(r#""r","h""#, r#""r","""#), 400),
        ("long time-out", route(r#""timeout-s"],"rows":[["r","h","/","safe","s",601]]"#), 400),
        ("long target", route(r#""timeout-s","target-s"],"rows":[["r","h","/","safe","s",3,63]]"#), 400),
        ("zero attempts", route(r#""max-attempts"],"rows":[["r","h","/","safe","s",0]]"#), 400),
        (
            "negative weight",
            route(r#""split"],"rows":[["r","h","/","safe",null,[{"service":"s","weight":-1}]]]"#),
            400,
        ),
        ("not UTF-8", vec![0xff, 0xfe], 400),
    ];
    for (kind, body, expected) in cases {
        for _ in 0..2 {
            assert_eq!(status(&store, &Operation::Put(body.clone())), expected, "{kind}");
        }
    }
    assert_eq!(status(&store, &Operation::Put(good)), 200);
    // The same errors in patches.
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
