//! The core's world: the checker of histories by a table, scenarios without a fault, and each deliberate fault with the
//! judge that finds it.

use lynxstair::types::Time;
use lynxstair_emulator::core::linearizability::{Call, CallInput, CallOutput, check_linearizability};
use lynxstair_emulator::core::{Check, DeliberateFault, Scenario, simulate};
use lynxstair_routing::attempt::{Attempt, AttemptEvent, AttemptStep, ReplyHead, ReplyOwner};
use rayon::prelude::*;

/// A call from one millisecond to another.
fn call(from: u64, to: u64, input: CallInput, output: CallOutput) -> Call {
    let at = |ms: u64| Time::from_nanos(ms * 1_000_000);
    Call { sent_at: at(from), answered_at: at(to), input, output }
}

fn put(base: u64, number: u64, mark: u32) -> CallInput {
    CallInput::Change { base, number, mark }
}

#[test]
fn histories() {
    use CallInput::Read;
    use CallOutput::{Holds, Nothing, Refused, Taken};
    let cases: &[(&str, bool, Vec<Call>)] = &[
        ("nothing at all", true, vec![]),
        (
            "one after another",
            true,
            vec![
                call(0, 1, put(0, 3, 1), Taken),
                call(2, 3, Read, Holds(Some((3, 1)))),
                call(4, 5, put(3, 4, 2), Taken),
                call(6, 7, Read, Holds(Some((4, 2)))),
            ],
        ),
        (
            "an old read after a new one",
            false,
            vec![
                call(0, 1, put(0, 3, 1), Taken),
                call(2, 3, put(3, 4, 2), Taken),
                call(4, 5, Read, Holds(Some((3, 1)))),
            ],
        ),
        (
            "an old read beside the change",
            true,
            vec![
                call(0, 1, put(0, 3, 1), Taken),
                call(2, 9, put(3, 4, 2), Taken),
                call(4, 5, Read, Holds(Some((3, 1)))),
            ],
        ),
        (
            "reads that see a change come and go",
            false,
            vec![
                call(0, 1, put(0, 3, 1), Taken),
                call(2, 9, put(3, 4, 2), Nothing),
                call(3, 4, Read, Holds(Some((4, 2)))),
                call(5, 6, Read, Holds(Some((3, 1)))),
            ],
        ),
        (
            "both of two on one base",
            false,
            vec![call(0, 9, put(0, 3, 1), Taken), call(0, 9, put(0, 4, 2), Taken)],
        ),
        (
            "one of two under one number",
            true,
            vec![
                call(0, 9, put(0, 3, 1), Taken),
                call(0, 9, put(0, 3, 2), Refused),
                call(10, 11, Read, Holds(Some((3, 1)))),
            ],
        ),
        (
            "the loser of two under one number is read",
            false,
            vec![
                call(0, 9, put(0, 3, 1), Taken),
                call(0, 9, put(0, 3, 2), Refused),
                call(10, 11, Read, Holds(Some((3, 2)))),
            ],
        ),
        (
            "sent again and known",
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
            "sent again and refused",
            false,
            vec![call(0, 1, put(0, 3, 1), Taken), call(2, 3, put(0, 3, 1), Refused)],
        ),
        ("refused with nothing in its way", false, vec![call(0, 1, put(0, 3, 1), Refused)]),
        (
            "no answer, in force much later",
            true,
            vec![
                call(0, 1, put(0, 3, 1), Nothing),
                call(2, 3, Read, Holds(None)),
                call(8, 9, Read, Holds(Some((3, 1)))),
            ],
        ),
        (
            "no answer, and the base has moved since",
            false,
            vec![
                call(0, 1, put(0, 3, 1), Nothing),
                call(2, 3, put(0, 4, 2), Taken),
                call(8, 9, Read, Holds(Some((3, 1)))),
            ],
        ),
        (
            "acknowledged and lost",
            false,
            vec![call(0, 1, put(0, 3, 1), Taken), call(2, 3, Read, Holds(None))],
        ),
        (
            "refused because of one that got no answer",
            true,
            vec![call(0, 5, put(0, 3, 1), Nothing), call(1, 6, put(0, 4, 2), Refused)],
        ),
        (
            "a chain of which one link got no answer",
            true,
            vec![
                call(0, 1, put(0, 3, 1), Nothing),
                call(2, 3, put(3, 5, 2), Taken),
                call(4, 5, Read, Holds(Some((5, 2)))),
            ],
        ),
    ];
    for (name, is_good, calls) in cases {
        assert_eq!(check_linearizability(calls).is_ok(), *is_good, "{name}");
    }
}

/// Many callers at once with as many unclear answers: the search stays small, also where there is no way.
#[test]
fn long_histories_are_searched_soon() {
    let mut calls = Vec::new();
    for n in 0..200u64 {
        for other in 0..6 {
            let told = if other == 0 { CallOutput::Taken } else { CallOutput::Nothing };
            calls.push(call(n * 10 + other, n * 10 + 9, put(n, n + 1, (n * 10 + other) as u32), told));
        }
    }
    assert_eq!(check_linearizability(&calls), Ok(()));
    calls.push(call(2_100, 2_101, CallInput::Read, CallOutput::Holds(Some((150, 1_490)))));
    assert!(check_linearizability(&calls).is_err());
}

fn stories_go_well(scenario: Scenario, seeds: u64) {
    let broken = (0..seeds).into_par_iter().find_map_any(|seed| {
        let result = simulate(scenario, seed, None);
        let acked = result.acknowledged;
        let is_bad = !result.violations.is_empty() || acked < 20;
        is_bad.then_some((seed, acked, result.violations, result.event_log))
    });
    if let Some((seed, acked, broken, told)) = broken {
        panic!("{} {seed}, {acked} acknowledged: {broken:#?}\n{}", scenario.name(), told.join("\n"));
    }
}

macro_rules! stories {
    ($($name:ident: $scenario:ident;)*) => {$(
        #[test]
        fn $name() {
            stories_go_well(Scenario::$scenario, SEEDS);
        }
    )*};
}

/// Of each scenario; the long run has 10,000 in all: `lynxstair experiment core`.
const SEEDS: u64 = 20;

stories! {
    anything_inside_the_budget: Mixed;
    replaced_after_a_loss: Replaced;
    replaced_as_planned: Planned;
    four_replaced_in_a_row: FourInARow;
    emptied_right_after_an_acknowledgement: WipedAfterAck;
    as_many_emptied_as_the_budget_allows_while_all_lose_power: WipedToBudget;
    all_at_once: AllAtOnce;
    a_leader_stands_still: LeaderFrozen;
    cut_one_way: OneWay;
    a_leader_is_told_to_end: LeaderEnds;
    a_removed_one_returns: RemovedReturns;
    five_founded_by_three: FiveByThree;
    cut_off_for_long: CutOff;
    split_while_one_is_replaced: SplitInReplacement;
    power_lost_after_a_vote: VoteThenPower;
}

/// Each deliberate fault is found by the judge that is named for it, on a scenario that goes well without it.
#[test]
fn deliberate_faults_are_found() {
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
    for (fault, scenario, judge) in cases {
        let finds = |seed: &u64| simulate(scenario, *seed, Some(fault)).violates(judge);
        let found = (0..400u64).into_par_iter().find_any(finds);
        let Some(seed) = found else { panic!("{judge:?} does not find {}: a hole in it", fault.name()) };
        let without = simulate(scenario, seed, None).violations;
        assert!(
            without.is_empty(),
            "{} {seed} is broken without {} too: {without:?}",
            scenario.name(),
            fault.name()
        );
    }
}

/// How often a request that can't be repeated has run, where a worker that runs it has a late answer to another request
/// on the same connection go first: the proxy forwards it where the state machine of attempts says that it never ran.
fn runs(surplus: u16, has_id: bool, is_first: bool, is_matched: bool) -> usize {
    let whose = if has_id { ReplyOwner::Other } else { ReplyOwner::Unidentified };
    let late = ReplyHead {
        owner: if is_matched { whose } else { ReplyOwner::Own },
        status: surplus,
        reports_not_run: true,
        is_sealed: false,
        is_encoded: false,
        allows_reuse: true,
    };
    let own =
        ReplyHead { owner: ReplyOwner::Own, status: 200, reports_not_run: false, is_sealed: true, ..late };
    let mut one = Attempt::new(is_first);
    let mut runs = 1;
    for met in
        [AttemptEvent::Written { is_complete: true }, AttemptEvent::Reply(late), AttemptEvent::Reply(own)]
    {
        if let AttemptStep::Ended(end) = one.on_event(met) {
            runs += usize::from(end.execution.may_retry(false));
            break;
        }
    }
    runs
}

/// The tenth fault, `Not-Run` without its id, is found by counting runs.
#[test]
fn not_run_of_another_request() {
    for surplus in [400, 429, 503, 421] {
        for has_id in [false, true] {
            assert_eq!(runs(surplus, has_id, false, true), 1, "{surplus}, with an id: {has_id}");
            assert_eq!(runs(surplus, has_id, false, false), 2, "a hole in the judge: {surplus}");
        }
    }
}
