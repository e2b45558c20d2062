//! The judge, on histories written by hand; what a seed draws.

use std::collections::BTreeMap;

use super::checker::{SoakRule, check_soak};
use super::clients::{End, SentRequest};
use super::driver::{History, ProcessEvent};
use super::operator::{Change, ChangeEnd};
use super::plan::{ProcessName, SoakPlan, SoakShape};
use super::workers::{ColdSpell, Run};

const SHAPE: SoakShape = SoakShape { seconds: 20.0, proxies: 4, clients: 3, workers: 2, grace_s: 6.0 };

fn plan() -> SoakPlan {
    SoakPlan { seed: 1, shape: SHAPE, steps: Vec::new() }
}

/// A history of many requests that succeeded, and this one.
fn history(request: SentRequest, runs: &[(f64, f64)], events: &[(f64, ProcessEvent)]) -> History {
    let fine = SentRequest { end: End::Response { status: 200, is_own: true }, ..request.clone() };
    let mut requests: Vec<SentRequest> =
        (0..9).map(|n| SentRequest { id: format!("fine-{n}"), ..fine.clone() }).collect();
    let runs = runs.iter().map(|(began, ends)| Run {
        worker: 0,
        id: request.id.clone(),
        began: *began,
        ends: *ends,
    });
    let runs = runs.collect();
    requests.push(request);
    History {
        events: BTreeMap::from([(ProcessName::Proxy(0), events.to_vec())]),
        requests,
        runs,
        cold_spells: Vec::new(),
        changes: vec![Change { generation: 1, base: 0, end: ChangeEnd::Accepted }],
        read_back: Some(1),
    }
}

fn request(sent: f64, ended: f64, end: End) -> SentRequest {
    SentRequest { id: "r".to_string(), proxy: 0, is_safe: false, sent, ended, end }
}

fn rules(history: &History) -> Vec<SoakRule> {
    check_soak(&plan(), history).0.iter().map(|finding| finding.rule).collect()
}

#[test]
fn requests_without_an_answer_are_lost_unless_a_kill_or_the_end_of_the_grace_explains_it() {
    let terminated = [(10.0, ProcessEvent::Terminated), (15.5, ProcessEvent::Exited(Some(0)))];
    let killed = [(15.0, ProcessEvent::Killed), (15.1, ProcessEvent::Exited(None))];
    let hung_up = [(12.0, ProcessEvent::HungUp)];
    let paused = [(14.0, ProcessEvent::Paused(1.0))];
    /// What it is, when it was sent, its worker's runs, its proxy's events, whether it is lost.
    type Case<'a> = (&'a str, f64, &'a [(f64, f64)], &'a [(f64, ProcessEvent)], bool);
    let cases: [Case; 8] = [
        ("taken long after SIGTERM", 14.6, &[(14.6, 16.0)], &terminated, true),
        ("its worker was done long before the end", 10.5, &[(10.6, 11.0)], &terminated, true),
        ("still at work in the last part", 10.5, &[(10.6, 16.0)], &terminated, false),
        ("never forwarded", 14.6, &[], &terminated, false),
        ("killed", 14.6, &[(14.6, 16.0)], &killed, false),
        ("only SIGHUP", 14.6, &[(14.6, 16.0)], &hung_up, true),
        ("nothing was done", 14.6, &[(14.6, 16.0)], &[], true),
        ("paused", 14.6, &[(14.6, 16.0)], &paused, false),
    ];
    for (name, sent, runs, events, is_lost) in cases {
        let found = rules(&history(request(sent, 15.5, End::Closed), runs, events));
        assert_eq!(found == [SoakRule::Lost], is_lost, "{name}: {found:?}");
        assert_eq!(found.is_empty(), !is_lost, "{name}: {found:?}");
    }
    // The proxy's own answer in place of one that is on its way counts the same.
    let own = End::Response { status: 502, is_own: true };
    assert_eq!(
        rules(&history(request(10.5, 13.0, own.clone()), &[(10.6, 13.5)], &terminated)),
        [SoakRule::Lost]
    );
    assert_eq!(rules(&history(request(10.5, 15.4, own), &[(10.6, 17.0)], &terminated)), []);
}

#[test]
fn runs_refusals_and_responses_are_compared() {
    let ran_twice = [(10.0, 10.1), (10.2, 10.3)];
    let fine = End::Response { status: 200, is_own: true };
    assert_eq!(rules(&history(request(9.9, 10.4, fine), &ran_twice, &[])), [SoakRule::Twice]);
    let refused = End::Response { status: 503, is_own: true };
    assert_eq!(rules(&history(request(9.9, 10.4, refused), &ran_twice[..1], &[])), [SoakRule::Refused]);
    let mixed = End::Response { status: 200, is_own: false };
    assert_eq!(rules(&history(request(9.9, 10.4, mixed), &ran_twice[..1], &[])), [SoakRule::Mixed]);
}

#[test]
fn processes_end_only_when_told_to() {
    let fine = || request(9.9, 10.4, End::Response { status: 200, is_own: true });
    let cases: [(&[(f64, ProcessEvent)], bool); 6] = [
        (&[(1.0, ProcessEvent::Exited(Some(0)))], true),
        (&[(1.0, ProcessEvent::HungUp), (1.1, ProcessEvent::Exited(None))], true),
        (&[(1.0, ProcessEvent::Terminated), (1.1, ProcessEvent::Exited(Some(1)))], true),
        (
            &[
                (1.0, ProcessEvent::Terminated),
                (8.0, ProcessEvent::Overdue),
                (8.1, ProcessEvent::Exited(None)),
            ],
            true,
        ),
        (&[(1.0, ProcessEvent::Terminated), (5.0, ProcessEvent::Exited(Some(0)))], false),
        (&[(1.0, ProcessEvent::Killed), (1.1, ProcessEvent::Exited(None))], false),
    ];
    for (events, is_broken) in cases {
        let found = rules(&history(fine(), &[], events));
        assert_eq!(found == [SoakRule::Exit], is_broken, "{events:?}: {found:?}");
    }
}

#[test]
fn accepted_changes_stay_and_exclude_each_other() {
    let fine = || request(9.9, 10.4, End::Response { status: 200, is_own: true });
    let mut history = history(fine(), &[], &[]);
    history.changes.push(Change { generation: 2, base: 1, end: ChangeEnd::Accepted });
    assert_eq!(rules(&history), [SoakRule::Config], "2 is gone");
    history.read_back = Some(2);
    assert_eq!(rules(&history), []);
    history.changes.push(Change { generation: 3, base: 1, end: ChangeEnd::Conflict });
    assert_eq!(rules(&history), []);
    history.changes.push(Change { generation: 3, base: 1, end: ChangeEnd::Accepted });
    history.read_back = Some(3);
    assert_eq!(rules(&history), [SoakRule::Config], "two on one base");
    history.changes.truncate(2);
    history.read_back = None;
    assert_eq!(rules(&history), [SoakRule::Config], "nothing can be read");
}

/// Requests that reach a worker in the second from 10.0, each sent so long before.
#[test]
fn a_cold_worker_gets_no_more_than_it_may_in_any_second() {
    let fine = End::Response { status: 200, is_own: true };
    let found = |count: usize, sent_before: f64, cold: &[ColdSpell]| {
        let mut history = history(request(1.0, 1.1, fine.clone()), &[], &[]);
        for n in 0..count {
            let (id, began) = (format!("cold-{n}"), 10.0 + 0.99 * n as f64 / count as f64);
            let sent = began - sent_before;
            history.requests.push(SentRequest { id: id.clone(), ..request(sent, began, fine.clone()) });
            history.runs.push(Run { worker: 3, id, began, ends: began });
        }
        history.cold_spells = cold.to_vec();
        rules(&history)
    };
    let cold = [ColdSpell { worker: 3, from: 9.0, until: 12.0 }];
    assert_eq!(found(50, 0.001, &cold), []);
    assert_eq!(found(51, 0.001, &cold), [SoakRule::Flooded]);
    assert_eq!(found(51, 0.001, &[ColdSpell { worker: 2, ..cold[0] }]), [], "another worker");
    assert_eq!(found(51, 0.001, &[ColdSpell { until: 10.5, ..cold[0] }]), [], "warm by then");
    assert_eq!(found(51, 1.2, &cold), [], "sent before it was cold, or in another second");
}

#[test]
fn a_seed_draws_the_same_steps_and_series_overlap() {
    let drawn = SoakPlan::draw(7, SHAPE);
    assert_eq!(drawn, SoakPlan::draw(7, SHAPE));
    assert_ne!(drawn.steps, SoakPlan::draw(8, SHAPE).steps);
    for seed in 0..50 {
        let plan = SoakPlan::draw(seed, SHAPE);
        assert!(plan.steps.len() > 20, "seed {seed}: {}", plan.steps.len());
        assert!(plan.steps.is_sorted_by(|a, b| a.at <= b.at), "seed {seed}");
        assert!(plan.steps.iter().all(|step| step.at < SHAPE.seconds), "seed {seed}");
    }
}
