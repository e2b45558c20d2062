//! Simulation of the core: the linearizability checker on example histories, all scenarios without a
//! deliberate fault, and each deliberate fault with the check that detects it.

use lynxstair::types::Time;
use lynxstair_emulator::core::linearizability::{Call, CallInput, CallOutput, check_linearizability};
use lynxstair_emulator::core::{Check, DeliberateFault, Scenario, simulate};
use lynxstair_routing::attempt::{Attempt, AttemptEvent, AttemptStep, ReplyHead, ReplyOwner};
use rayon::prelude::*;

/// Returns a call with the times of sending and answer in milliseconds.
fn call(sent_ms: u64, answered_ms: u64, input: CallInput, output: CallOutput) -> Call {
    let at = |ms: u64| Time::from_nanos(ms * 1_000_000);
    Call { sent_at: at(sent_ms), answered_at: at(answered_ms), input, output }
}

fn put(base: u64, number: u64, mark: u32) -> CallInput {
    CallInput::Change { base, number, mark }
}

#[test]
fn linearizability_checker_accepts_only_valid_histories() {
    use CallInput::Read;
    use CallOutput::{Holds, Nothing, Refused, Taken};
    let cases: &[(&str, bool, Vec<Call>)] = &[
        ("empty history", true, vec![]),
        (
            "sequential calls",
            true,
            vec![
                call(0, 1, put(0, 3, 1), Taken),
                call(2, 3, Read, Holds(Some((3, 1)))),
                call(4, 5, put(3, 4, 2), Taken),
                call(6, 7, Read, Holds(Some((4, 2)))),
            ],
        ),
        (
            "read of an old version after a newer one was acknowledged",
            false,
            vec![
                call(0, 1, put(0, 3, 1), Taken),
                call(2, 3, put(3, 4, 2), Taken),
                call(4, 5, Read, Holds(Some((3, 1)))),
            ],
        ),
        (
            "read of the old version concurrent with the change",
            true,
            vec![
                call(0, 1, put(0, 3, 1), Taken),
                call(2, 9, put(3, 4, 2), Taken),
                call(4, 5, Read, Holds(Some((3, 1)))),
            ],
        ),
        (
            "reads that observe a change and then the version before it",
            false,
            vec![
                call(0, 1, put(0, 3, 1), Taken),
                call(2, 9, put(3, 4, 2), Nothing),
                call(3, 4, Read, Holds(Some((4, 2)))),
                call(5, 6, Read, Holds(Some((3, 1)))),
            ],
        ),
        (
            "two accepted changes on one base",
            false,
            vec![call(0, 9, put(0, 3, 1), Taken), call(0, 9, put(0, 4, 2), Taken)],
        ),
        (
            "one of two changes to the same generation",
            true,
            vec![
                call(0, 9, put(0, 3, 1), Taken),
                call(0, 9, put(0, 3, 2), Refused),
                call(10, 11, Read, Holds(Some((3, 1)))),
            ],
        ),
        (
            "read of the rejected one of two changes to the same generation",
            false,
            vec![
                call(0, 9, put(0, 3, 1), Taken),
                call(0, 9, put(0, 3, 2), Refused),
                call(10, 11, Read, Holds(Some((3, 2)))),
            ],
        ),
        (
            "retry of an applied change is acknowledged",
            true,
            vec![
                call(0, 1, put(0, 3, 1), Nothing),
                call(2, 3, put(0, 3, 1), Taken),
                call(4, 5, put(3, 4, 2), Taken),
                call(6, 7, put(0, 3, 1), Taken),
                call(8, 9, Read, Holds(Some((4, 2)))),
            ],
        ),
        (
            "retry of an applied change is rejected",
            false,
            vec![call(0, 1, put(0, 3, 1), Taken), call(2, 3, put(0, 3, 1), Refused)],
        ),
        ("rejection without a conflict", false, vec![call(0, 1, put(0, 3, 1), Refused)]),
        (
            "change without an answer takes effect later",
            true,
            vec![
                call(0, 1, put(0, 3, 1), Nothing),
                call(2, 3, Read, Holds(None)),
                call(8, 9, Read, Holds(Some((3, 1)))),
            ],
        ),
        (
            "change without an answer takes effect after its base was replaced",
            false,
            vec![
                call(0, 1, put(0, 3, 1), Nothing),
                call(2, 3, put(0, 4, 2), Taken),
                call(8, 9, Read, Holds(Some((3, 1)))),
            ],
        ),
        (
            "acknowledged change is lost",
            false,
            vec![call(0, 1, put(0, 3, 1), Taken), call(2, 3, Read, Holds(None))],
        ),
        (
            "rejection because of a change without an answer",
            true,
            vec![call(0, 5, put(0, 3, 1), Nothing), call(1, 6, put(0, 4, 2), Refused)],
        ),
        (
            "change based on one without an answer",
            true,
            vec![
                call(0, 1, put(0, 3, 1), Nothing),
                call(2, 3, put(3, 5, 2), Taken),
                call(4, 5, Read, Holds(Some((5, 2)))),
            ],
        ),
    ];
    for (name, is_linearizable, calls) in cases {
        assert_eq!(check_linearizability(calls).is_ok(), *is_linearizable, "{name}");
    }
}

/// The search must stay small with many concurrent calls without answers, also if the history is invalid.
#[test]
fn linearizability_checker_handles_long_histories() {
    let mut calls = Vec::new();
    for n in 0..200u64 {
        for other in 0..6 {
            let output = if other == 0 { CallOutput::Taken } else { CallOutput::Nothing };
            calls.push(call(n * 10 + other, n * 10 + 9, put(n, n + 1, (n * 10 + other) as u32), output));
        }
    }
    assert_eq!(check_linearizability(&calls), Ok(()));
    calls.push(call(2_100, 2_101, CallInput::Read, CallOutput::Holds(Some((150, 1_490)))));
    assert!(check_linearizability(&calls).is_err());
}

fn assert_scenario_passes(scenario: Scenario, seeds: u64) {
    let failure = (0..seeds).into_par_iter().find_map_any(|seed| {
        let result = simulate(scenario, seed, None);
        let acknowledged = result.acknowledged;
        let has_failed = !result.violations.is_empty() || acknowledged < 20;
        has_failed.then_some((seed, acknowledged, result.violations, result.event_log))
    });
    if let Some((seed, acknowledged, violations, event_log)) = failure {
        panic!(
            "{} {seed}, {acknowledged} acknowledged: {violations:#?}\n{}",
            scenario.name(),
            event_log.join("\n")
        );
    }
}

macro_rules! scenario_tests {
    ($($name:ident: $scenario:ident;)*) => {$(
        #[test]
        fn $name() {
            assert_scenario_passes(Scenario::$scenario, SEEDS);
        }
    )*};
}

/// Number of seeds of each scenario. `lynxstair experiment core` runs more.
const SEEDS: u64 = 20;

scenario_tests! {
    random_faults_within_the_budget: Mixed;
    replacement_after_a_loss: Replaced;
    planned_replacement: Planned;
    four_replacements_in_a_row: FourInARow;
    disk_loss_after_an_acknowledgement: WipedAfterAck;
    disk_losses_up_to_the_budget_while_all_lose_power: WipedToBudget;
    crash_of_all_controllers_at_once: AllAtOnce;
    paused_leader: LeaderFrozen;
    links_cut_in_one_direction: OneWay;
    graceful_shutdown_of_the_leader: LeaderEnds;
    removed_controller_returns: RemovedReturns;
    five_controllers_founded_by_three: FiveByThree;
    long_isolation_of_a_controller: CutOff;
    partition_during_a_replacement: SplitInReplacement;
    power_loss_after_a_vote: VoteThenPower;
}

/// Each deliberate fault must violate its check on a seed that passes without the fault.
#[test]
fn each_deliberate_fault_violates_its_check() {
    use DeliberateFault::*;
    let cases = [
        (UnsyncedVote, Scenario::VoteThenPower, Check::WayForward),
        (EmptiedVotes, Scenario::WipedAfterAck, Check::Linearizable),
        (EarlyAnswer, Scenario::AllAtOnce, Check::Linearizable),
        (LeaseRead, Scenario::SplitInReplacement, Check::Linearizable),
        (LearnerCounts, Scenario::SplitInReplacement, Check::Linearizable),
        (TwoAtOnce, Scenario::SplitInReplacement, Check::Linearizable),
        (RemovedVotes, Scenario::WipedAfterAck, Check::Linearizable),
        (MarkLost, Scenario::LeaderEnds, Check::Linearizable),
        (CutOffBeats, Scenario::CutOff, Check::Promised),
    ];
    assert_eq!(cases.map(|(fault, ..)| fault), DeliberateFault::ALL);
    for (fault, scenario, check) in cases {
        let is_detected = |seed: &u64| simulate(scenario, *seed, Some(fault)).violates(check);
        let found = (0..400u64).into_par_iter().find_any(is_detected);
        let Some(seed) = found else { panic!("check {check:?} does not detect {}", fault.name()) };
        let without = simulate(scenario, seed, None).violations;
        assert!(
            without.is_empty(),
            "{} {seed} fails without {} too: {without:?}",
            scenario.name(),
            fault.name()
        );
    }
}

/// Returns how often a non-idempotent request runs if its worker first sends a late reply to another
/// request on the same connection. The proxy forwards the request again if the attempt's outcome permits
/// a retry.
fn executions(late_status: u16, has_id: bool, is_first_on_connection: bool, checks_owner: bool) -> usize {
    let owner = if has_id { ReplyOwner::Other } else { ReplyOwner::Unidentified };
    let late = ReplyHead {
        owner: if checks_owner { owner } else { ReplyOwner::Own },
        status: late_status,
        reports_not_run: true,
        is_sealed: false,
        is_encoded: false,
        allows_reuse: true,
    };
    let own =
        ReplyHead { owner: ReplyOwner::Own, status: 200, reports_not_run: false, is_sealed: true, ..late };
    let mut attempt = Attempt::new(is_first_on_connection);
    let mut executions = 1;
    for event in
        [AttemptEvent::Written { is_complete: true }, AttemptEvent::Reply(late), AttemptEvent::Reply(own)]
    {
        if let AttemptStep::Ended(end) = attempt.on_event(event) {
            executions += usize::from(end.execution.may_retry(false));
            break;
        }
    }
    executions
}

/// A reply to another request that reports `Not-Run` must not cause a retry of a request that has run.
/// Without the check of the request id it does.
#[test]
fn not_run_reply_to_another_request_causes_no_retry() {
    for status in [400, 429, 503, 421] {
        for has_id in [false, true] {
            assert_eq!(executions(status, has_id, false, true), 1, "{status}, with an id: {has_id}");
            assert_eq!(
                executions(status, has_id, false, false),
                2,
                "{status}: the missing check is not detected"
            );
        }
    }
}
