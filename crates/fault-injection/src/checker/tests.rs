use lynxstair_export::{Batch, BatchReply, StreamId, UsageSum};

use super::*;

const SECOND: u64 = 1_000_000_000;

fn member(at: f64, run: u64, name: &str, change: (&str, u64), to: (&str, u64)) -> String {
    format!(
        r#"{{"mono":{},"who":"x","run":{run},"event":"member","name":"{name}","from":"{}","was":{},"to":"{}","incarnation":{},"why":"heard"}}"#,
        (at * 1e9) as u64,
        change.0,
        change.1,
        to.0,
        to.1
    )
}

fn began(at: f64, run: u64, incarnation: u64) -> String {
    format!(
        r#"{{"mono":{},"who":"x","run":{run},"event":"began","ident":{{"incarnation":{incarnation}}}}}"#,
        (at * 1e9) as u64
    )
}

fn granted(at: f64, owner: &str, epoch: u64) -> String {
    format!(
        r#"{{"mono":{},"who":"x","run":7,"event":"granted","duty":"export","owner":"{owner}","stand":1,"epoch":{epoch}}}"#,
        (at * 1e9) as u64
    )
}

/// A batch with one unit of tenant 5 at g1.
fn received_batch(epoch: u64, number: u64, at: u64) -> ReceivedBatch {
    let stream = StreamId { gatekeeper: "g1".to_string(), directory_id: 1 };
    let sums = vec![UsageSum { tenant: 5, operation: 0, window: 1, milli_units: 1_000 }];
    let batch = Batch { stream, number, sums, unreadable_records: 0 };
    ReceivedBatch {
        received_at: at * SECOND,
        epoch,
        batch,
        reply: BatchReply::Accepted { already_stored: number > 1 },
    }
}

fn owns(at: f64, epoch: u64) -> String {
    format!(
        r#"{{"mono":{},"who":"x","run":7,"event":"owns","duty":"export","epoch":{epoch}}}"#,
        (at * 1e9) as u64
    )
}

/// Observations of three gatekeepers that run and agree from second 1 to second 30; the faults end at second
/// 10.
fn correct_observations() -> TrialTrace {
    let names = ["g1", "g2", "g3"];
    let process = |own_name: &str| {
        let others: Vec<&str> = names.into_iter().filter(|n| *n != own_name).collect();
        let mut history = vec![began(1.0, 7, 1)];
        history.extend(others.iter().map(|o| member(2.0, 7, o, ("unknown", 1), ("alive", 1))));
        ProcessTrace {
            name: own_name.to_string(),
            running: true,
            visible_members: Some(others.iter().map(|o| o.to_string()).collect()),
            history,
            ..ProcessTrace::default()
        }
    };
    TrialTrace {
        name: "test".to_string(),
        start_ns: 3 * SECOND,
        faults_end_ns: 10 * SECOND,
        end_ns: 30 * SECOND,
        agree_within_s: 5.0,
        processes: names.into_iter().map(process).collect(),
        ..TrialTrace::default()
    }
}

fn answered(id: u64, operation: &'static str, status: Option<u16>) -> RequestOutcome {
    let (sent, ended) = (5 * SECOND, 5 * SECOND + 1_000_000);
    let why = if status.is_none() { "none" } else { "" };
    RequestOutcome {
        id,
        gatekeeper: "g1".to_string(),
        tenant: 5,
        operation,
        sent_at: sent,
        ended_at: ended,
        status,
        reason: why,
        extra_bytes: 0,
    }
}

fn violated_rules(trace: &TrialTrace) -> Vec<&'static str> {
    let mut rules: Vec<_> = check_trial(trace).violations.iter().map(|b| b.rule).collect();
    rules.dedup();
    rules
}

type Mutation = fn(&mut TrialTrace);

/// Correct observations pass. Each case violates exactly one rule, and only that rule is reported.
#[test]
#[allow(clippy::too_many_lines, reason = "one case for each rule")]
fn each_rule_reports_its_violation() {
    assert_eq!(violated_rules(&correct_observations()), Vec::<&str>::new());
    let cases: [(&str, Mutation); 33] = [
        ("effects-in-order", |s| {
            s.outcomes = vec![answered(1, "get", Some(200))];
            s.sink_batches = Some(vec![received_batch(3, 1, 1), received_batch(2, 2, 2)]);
        }),
        ("exported-as-answered", |s| {
            s.outcomes = vec![answered(1, "get", Some(200)), answered(2, "get", Some(200))];
            s.sink_batches = Some(vec![received_batch(3, 1, 1)]);
            s.voters = 1;
            s.processes[0].owned_duties = Some([("export".to_string(), 3)].into());
        }),
        ("exported-as-answered", |s| s.sink_batches = Some(vec![received_batch(3, 1, 1)])),
        ("exported-as-answered", |s| {
            s.outcomes = vec![answered(1, "get", Some(200))];
            s.sink_batches = Some(Vec::new());
            s.voters = 1;
            s.processes[0].owned_duties = Some([("export".to_string(), 3)].into());
        }),
        ("epoch-has-one-owner", |s| {
            s.processes[0].history.push(granted(5.0, "g1", 1));
            s.processes[1].history.push(granted(5.1, "g2", 1));
        }),
        ("epoch-has-one-owner", |s| {
            s.processes[0].history.push(granted(5.0, "g1", 1));
            s.processes[1].history.push(owns(5.1, 1));
        }),
        ("epochs-forward", |s| {
            s.processes[1].history.extend([owns(5.0, 4), owns(5.1, 4), owns(6.0, 3)]);
        }),
        ("owned-again", |s| s.voters = 3),
        ("owned-again", |s| {
            s.voters = 3;
            s.processes[0].owned_duties = Some([("export".to_string(), 3)].into());
            s.processes[2].owned_duties = Some([("export".to_string(), 4)].into());
        }),
        ("owned-again", |s| {
            s.voters = 3;
            s.processes[0].disk_lost_ns = vec![5 * SECOND];
        }),
        ("cuts-do-not-flap", |s| {
            s.cut_only_ns = vec![(5 * SECOND, 9 * SECOND)];
            for at in [6.0, 7.0, 8.0] {
                s.processes[0].history.push(member(at, 7, "g2", ("alive", 1), ("suspected", 1)));
                s.processes[0].history.push(member(at + 0.1, 7, "g2", ("suspected", 1), ("alive", 1)));
            }
        }),
        ("all-join", |s| s.join_failure = Some("g2 is joining".to_string())),
        ("states-follow", |s| {
            s.processes[0].history.push(member(6.0, 7, "g2", ("alive", 1), ("joining", 1)));
            s.processes[0].history.push(member(6.1, 7, "g2", ("joining", 1), ("alive", 1)));
        }),
        ("states-follow", |s| {
            // The previous state differs from the one in the line before.
            s.processes[0].history.push(member(6.0, 7, "g2", ("suspected", 1), ("alive", 1)));
        }),
        ("incarnation-forward", |s| {
            s.processes[0].history.push(member(6.0, 7, "g2", ("alive", 1), ("alive", 0)));
        }),
        ("incarnation-forward", |s| s.processes[0].history.push(began(6.0, 7, 1))),
        ("over-stays-over", |s| {
            s.processes[0].history.push(member(6.0, 7, "g2", ("alive", 1), ("failed", 1)));
            s.processes[0].history.push(member(6.1, 7, "g2", ("failed", 1), ("alive", 1)));
        }),
        ("never-failed", |s| {
            s.never_failed = vec!["g2".to_string()];
            s.processes[0].history.push(member(6.0, 7, "g2", ("alive", 1), ("failed", 1)));
            s.processes[0].history.push(member(6.1, 7, "g2", ("failed", 1), ("alive", 2)));
        }),
        ("seen-failed", |s| s.seen_failed = vec!["g2".to_string()]),
        ("all-agree", |s| {
            // Agrees at the end, but after the deadline.
            s.processes[0].history.push(member(6.0, 7, "g2", ("alive", 1), ("failed", 1)));
            s.processes[0].history.push(member(16.0, 7, "g2", ("failed", 1), ("alive", 2)));
        }),
        ("all-agree", |s| {
            s.processes[0].history.push(member(20.0, 7, "g2", ("alive", 1), ("left", 1)));
            s.processes[0].visible_members = Some(BTreeSet::from(["g3".to_string()]));
        }),
        ("all-agree", |s| {
            let doubt =
                r#"{"mono":20000000000,"who":"x","run":7,"event":"doubt_began","why":"hears_nobody"}"#;
            s.processes[0].history.push(doubt.to_string());
            s.processes[0].visible_members = Some(BTreeSet::new());
        }),
        ("all-agree", |s| {
            // Sees a member that does not run.
            s.processes[2].running = false;
            s.processes[1].history.push(member(6.0, 7, "g3", ("alive", 1), ("failed", 1)));
            s.processes[1].visible_members = Some(BTreeSet::from(["g1".to_string()]));
        }),
        ("status-as-history", |s| s.processes[0].visible_members = Some(BTreeSet::new())),
        ("status-as-history", |s| s.processes[0].visible_members = None),
        ("ends-well", |s| s.processes[0].unexpected_exit = Some((6 * SECOND, "code 101".to_string()))),
        ("history-whole", |s| s.processes[0].history.insert(1, "{\"mono\":".to_string())),
        ("one-answer", |s| s.outcomes = vec![answered(1, "get", None)]),
        ("one-answer", |s| {
            s.outcomes = vec![RequestOutcome { extra_bytes: 5, ..answered(1, "get", Some(200)) }]
        }),
        ("no-effect-twice", |s| {
            s.outcomes = vec![answered(1, "put", Some(200))];
            s.attempts = vec![ReceivedAttempt { id: 1, worker: 1, received_at: 6 * SECOND }; 2];
        }),
        ("nothing-to-drained", |s| {
            s.outcomes = vec![answered(1, "get", Some(200))];
            s.drained_worker = Some((1, 4 * SECOND));
            s.attempts = vec![ReceivedAttempt { id: 1, worker: 1, received_at: 6 * SECOND }];
        }),
        ("served-through", |s| s.outcomes = (0..40).map(|n| answered(n, "get", Some(429))).collect()),
        ("states-follow", |s| {
            // Returns from shut_out without the state unknown in between.
            s.processes[0].history.push(member(6.0, 7, "g2", ("alive", 1), ("shut_out", 1)));
            s.processes[0].history.push(member(6.1, 7, "g2", ("shut_out", 1), ("alive", 2)));
        }),
    ];
    for (n, (rule, mutate)) in cases.into_iter().enumerate() {
        let mut trace = correct_observations();
        mutate(&mut trace);
        assert_eq!(violated_rules(&trace), [rule], "case {n}: {:?}", check_trial(&trace).violations);
    }
    // Holding a running member failed violates two rules.
    let mut trace = correct_observations();
    trace.processes[0].history.push(member(6.0, 7, "g2", ("alive", 1), ("failed", 1)));
    trace.processes[0].visible_members = Some(BTreeSet::from(["g3".to_string()]));
    assert_eq!(violated_rules(&trace), ["not-failed-for-good", "all-agree"]);
}

/// Effects of the faults themselves are not violations.
#[test]
fn direct_effects_of_faults_are_allowed() {
    let mut trace = correct_observations();
    // No answer while the gatekeeper was paused.
    trace.outcomes = vec![answered(1, "get", None)];
    trace.processes[0].disturbed_ns = vec![(4 * SECOND, 7 * SECOND)];
    // The incarnation is lost with the disk.
    trace.processes[1].history.push(began(6.0, 8, 1));
    trace.processes[1].history.push(began(6.1, 8, 2));
    trace.processes[1].history.extend(["g1", "g3"].map(|o| member(6.2, 8, o, ("unknown", 1), ("alive", 1))));
    trace.processes[1].disk_lost_ns = vec![5 * SECOND];
    // Without a quorum of voters there is no owner and no export.
    trace.voters = 3;
    trace.processes[0].disk_lost_ns = vec![5 * SECOND];
    // A kill truncates a line.
    trace.processes[1].was_terminated = true;
    trace.processes[1].history.push("{\"mono\":600".to_string());
    // Declared failed, and back with a new incarnation before the deadline.
    trace.processes[0].history.push(member(6.0, 7, "g2", ("alive", 1), ("failed", 1)));
    trace.processes[0].history.push(member(12.0, 7, "g2", ("failed", 1), ("alive", 2)));
    let verdict = check_trial(&trace);
    assert!(verdict.passed, "{:?}", verdict.violations);
    assert_eq!(verdict.agreed_after_s, Some(2.0));
}
