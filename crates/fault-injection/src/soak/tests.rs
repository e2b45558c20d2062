//! Tests of the checker on constructed histories, and of the plans that seeds draw.

use std::collections::BTreeMap;

use super::checker::{SoakRule, check_soak};
use super::clients::{RequestEnd, SentRequest};
use super::departures::Departure;
use super::driver::{History, ProcessEvent};
use super::operator::{Change, ChangeOutcome};
use super::plan::{ProcessName, SoakPlan, SoakShape};
use super::workers::{Run, WarmupPeriod};

const SHAPE: SoakShape = SoakShape { duration_s: 20.0, proxies: 4, clients: 3, workers: 2, grace_s: 6.0 };

fn plan() -> SoakPlan {
    SoakPlan { seed: 1, shape: SHAPE, steps: Vec::new() }
}

/// A history of several successful requests and the given one.
fn history(request: SentRequest, runs: &[(f64, f64)], events: &[(f64, ProcessEvent)]) -> History {
    let success = SentRequest { end: RequestEnd::Response { status: 200, is_own: true }, ..request.clone() };
    let mut requests: Vec<SentRequest> =
        (0..9).map(|n| SentRequest { id: format!("fine-{n}"), ..success.clone() }).collect();
    let runs = runs.iter().map(|(start_s, end_s)| Run {
        worker: 0,
        id: request.id.clone(),
        start_s: *start_s,
        end_s: *end_s,
    });
    let runs = runs.collect();
    requests.push(request);
    History {
        events: BTreeMap::from([(ProcessName::Proxy(0), events.to_vec())]),
        requests,
        runs,
        warmup_periods: Vec::new(),
        departures: Vec::new(),
        changes: vec![Change { generation: 1, base: 0, outcome: ChangeOutcome::Accepted }],
        final_generation: Some(1),
    }
}

fn request(sent_s: f64, ended_s: f64, end: RequestEnd) -> SentRequest {
    SentRequest {
        id: "r".to_string(),
        proxy: 0,
        is_safe: false,
        is_limited: false,
        is_added_route: false,
        sent_s,
        ended_s,
        end,
    }
}

fn rules(history: &History) -> Vec<SoakRule> {
    check_soak(&plan(), history).0.iter().map(|finding| finding.rule).collect()
}

#[test]
fn unanswered_requests_are_lost_unless_a_kill_a_pause_or_the_grace_period_explains_it() {
    let terminated = [(10.0, ProcessEvent::Terminated), (15.5, ProcessEvent::Exited(Some(0)))];
    let killed = [(15.0, ProcessEvent::Killed), (15.1, ProcessEvent::Exited(None))];
    let hung_up = [(12.0, ProcessEvent::HungUp)];
    let paused = [(14.0, ProcessEvent::Paused(1.0))];
    /// Name, time of sending, executions, events of the proxy, and whether the request counts as lost.
    type Case<'a> = (&'a str, f64, &'a [(f64, f64)], &'a [(f64, ProcessEvent)], bool);
    let cases: [Case; 8] = [
        ("accepted long after SIGTERM", 14.6, &[(14.6, 16.0)], &terminated, true),
        ("the worker finished long before the end", 10.5, &[(10.6, 11.0)], &terminated, true),
        ("still processing late in the grace period", 10.5, &[(10.6, 16.0)], &terminated, false),
        ("never forwarded", 14.6, &[], &terminated, false),
        ("killed", 14.6, &[(14.6, 16.0)], &killed, false),
        ("only SIGHUP", 14.6, &[(14.6, 16.0)], &hung_up, true),
        ("no event", 14.6, &[(14.6, 16.0)], &[], true),
        ("paused", 14.6, &[(14.6, 16.0)], &paused, false),
    ];
    for (name, sent, runs, events, is_lost) in cases {
        let found = rules(&history(request(sent, 15.5, RequestEnd::Closed), runs, events));
        assert_eq!(found == [SoakRule::RequestLost], is_lost, "{name}: {found:?}");
        assert_eq!(found.is_empty(), !is_lost, "{name}: {found:?}");
    }
    // An error of the proxy while the worker is processing counts as lost too.
    let own = RequestEnd::Response { status: 502, is_own: true };
    assert_eq!(
        rules(&history(request(10.5, 13.0, own.clone()), &[(10.6, 13.5)], &terminated)),
        [SoakRule::RequestLost]
    );
    assert_eq!(rules(&history(request(10.5, 15.4, own), &[(10.6, 17.0)], &terminated)), []);
}

#[test]
fn repeated_executions_executed_refusals_and_foreign_responses_are_reported() {
    let ran_twice = [(10.0, 10.1), (10.2, 10.3)];
    let success = RequestEnd::Response { status: 200, is_own: true };
    assert_eq!(rules(&history(request(9.9, 10.4, success), &ran_twice, &[])), [SoakRule::ExecutedTwice]);
    let refused = RequestEnd::Response { status: 503, is_own: true };
    assert_eq!(
        rules(&history(request(9.9, 10.4, refused), &ran_twice[..1], &[])),
        [SoakRule::ExecutedAfterRefusal]
    );
    let broken = RequestEnd::BrokenResponse { status: 0 };
    assert_eq!(rules(&history(request(1.0, 2.0, broken), &[(1.0, 1.5)], &[])), [SoakRule::BrokenResponse]);
    let mixed = RequestEnd::Response { status: 200, is_own: false };
    assert_eq!(rules(&history(request(9.9, 10.4, mixed), &ran_twice[..1], &[])), [SoakRule::WrongResponse]);
}

#[test]
fn processes_exit_only_after_signals() {
    let success = || request(9.9, 10.4, RequestEnd::Response { status: 200, is_own: true });
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
        let found = rules(&history(success(), &[], events));
        assert_eq!(found == [SoakRule::UnexpectedExit], is_broken, "{events:?}: {found:?}");
    }
}

#[test]
fn accepted_changes_are_kept_and_have_different_bases() {
    let success = || request(9.9, 10.4, RequestEnd::Response { status: 200, is_own: true });
    let mut history = history(success(), &[], &[]);
    history.changes.push(Change { generation: 2, base: 1, outcome: ChangeOutcome::Accepted });
    assert_eq!(rules(&history), [SoakRule::ConfigInconsistent], "generation 2 is lost");
    history.final_generation = Some(2);
    assert_eq!(rules(&history), []);
    history.changes.push(Change { generation: 3, base: 1, outcome: ChangeOutcome::Conflict });
    assert_eq!(rules(&history), []);
    history.changes.push(Change { generation: 3, base: 1, outcome: ChangeOutcome::Accepted });
    history.final_generation = Some(3);
    assert_eq!(rules(&history), [SoakRule::ConfigInconsistent], "two changes with one base");
    history.changes.truncate(2);
    history.final_generation = None;
    assert_eq!(rules(&history), [SoakRule::ConfigInconsistent], "the configuration cannot be read");
}

/// `found` checks `count` requests that reach a worker in the second from 10.0, each sent `sent_before`
/// seconds earlier.
#[test]
fn a_warming_worker_receives_a_limited_number_of_requests_per_second() {
    let success = RequestEnd::Response { status: 200, is_own: true };
    let found = |count: usize, sent_before: f64, warming_up: &[WarmupPeriod]| {
        let mut history = history(request(1.0, 1.1, success.clone()), &[], &[]);
        for n in 0..count {
            let (id, start_s) = (format!("cold-{n}"), 10.0 + 0.99 * n as f64 / count as f64);
            let sent_s = start_s - sent_before;
            history
                .requests
                .push(SentRequest { id: id.clone(), ..request(sent_s, start_s, success.clone()) });
            history.runs.push(Run { worker: 3, id, start_s, end_s: start_s });
        }
        history.warmup_periods = warming_up.to_vec();
        rules(&history)
    };
    let warming_up = [WarmupPeriod { worker: 3, from_s: 9.0, until_s: 12.0 }];
    assert_eq!(found(50, 0.001, &warming_up), []);
    assert_eq!(found(51, 0.001, &warming_up), [SoakRule::WorkerOverloaded]);
    assert_eq!(found(51, 0.001, &[WarmupPeriod { worker: 2, ..warming_up[0] }]), [], "another worker");
    assert_eq!(found(51, 0.001, &[WarmupPeriod { until_s: 10.5, ..warming_up[0] }]), [], "warm by then");
    assert_eq!(found(51, 1.2, &warming_up), [], "sent before the warm-up, or in another second");
}

#[test]
fn a_seed_determines_the_ordered_steps_of_a_plan() {
    let drawn = SoakPlan::draw(7, SHAPE);
    assert_eq!(drawn, SoakPlan::draw(7, SHAPE));
    assert_ne!(drawn.steps, SoakPlan::draw(8, SHAPE).steps);
    for seed in 0..50 {
        let plan = SoakPlan::draw(seed, SHAPE);
        assert!(plan.steps.len() > 20, "seed {seed}: {}", plan.steps.len());
        assert!(plan.steps.is_sorted_by(|a, b| a.at_s <= b.at_s), "seed {seed}");
        assert!(plan.steps.iter().all(|step| step.at_s < SHAPE.duration_s), "seed {seed}");
    }
}

/// Requests of the limited tenant count if they were sent and run in the same window.
#[test]
fn a_quota_is_checked_over_all_proxies_in_sliding_windows() {
    let history_of = |count: usize, gap_s: f64, delay_s: f64, is_limited: bool| {
        let success = RequestEnd::Response { status: 200, is_own: true };
        let mut history = history(request(0.0, 0.1, success), &[], &[]);
        for n in 0..count {
            let sent_s = 1.0 + n as f64 * gap_s;
            let id = format!("q-{n}");
            history.runs.push(Run {
                worker: n % 2,
                id: id.clone(),
                start_s: sent_s + delay_s,
                end_s: sent_s + 1.0,
            });
            let request = SentRequest { id, proxy: n % 4, is_limited, ..history.requests[0].clone() };
            history.requests.push(SentRequest { sent_s, ended_s: sent_s + 1.0, ..request });
        }
        rules(&history)
    };
    // (8 * 5 + 8) * 1.1 + 5 = 57.8 are allowed in 5 s.
    assert_eq!(history_of(57, 0.01, 0.0, true), []);
    assert_eq!(history_of(58, 0.01, 0.0, true), [SoakRule::QuotaExceeded]);
    assert_eq!(history_of(58, 0.01, 0.0, false), [], "another tenant");
    assert_eq!(history_of(200, 0.1, 0.0, true), [], "spread over several windows");
    assert_eq!(history_of(200, 0.05, 0.0, true), [SoakRule::QuotaExceeded]);
    assert_eq!(history_of(58, 0.01, 6.0, true), [], "sent in an earlier window than they ran in");
}

#[test]
fn departed_workers_receive_no_late_requests_of_proxies_in_touch() {
    let success = RequestEnd::Response { status: 200, is_own: true };
    let departure = |worker, acknowledged_s| Departure { worker, acknowledged_s };
    let found = |sent_s: f64, events: &[(f64, ProcessEvent)], departed: Departure| {
        let mut history =
            history(request(sent_s, sent_s + 0.1, success.clone()), &[(sent_s, sent_s + 0.1)], events);
        history.departures = vec![departed];
        rules(&history)
    };
    let late = [SoakRule::DepartedWorkerUsed];
    assert_eq!(found(12.6, &[], departure(0, 10.0)), late);
    assert_eq!(found(12.4, &[], departure(0, 10.0)), [], "within the drain time");
    assert_eq!(found(12.6, &[], departure(1, 10.0)), [], "another worker");
    let killed = [(10.1, ProcessEvent::Killed), (10.1, ProcessEvent::Exited(None))];
    assert_eq!(found(15.0, &killed, departure(0, 10.0)), [], "not in touch yet");
    assert_eq!(found(15.2, &killed, departure(0, 10.0)), late);
    let paused = [(9.0, ProcessEvent::Paused(2.0))];
    assert_eq!(found(15.9, &paused, departure(0, 10.0)), []);
    assert_eq!(found(16.1, &paused, departure(0, 10.0)), late);
    assert_eq!(found(14.0, &[(13.0, ProcessEvent::HungUp)], departure(0, 10.0)), late, "no disturbance");
}

#[test]
fn added_routes_are_served_like_the_others() {
    let found = |added: usize, served: usize, others_served: usize| {
        let mut history = history(request(1.0, 1.1, RequestEnd::Closed), &[], &[]);
        history.requests.clear();
        let mut send = |is_added_route: bool, count: usize, served: usize| {
            for n in 0..count {
                let status = if n < served { 200 } else { 503 };
                let end = RequestEnd::Response { status, is_own: true };
                let id = format!("{is_added_route}-{n}");
                history.requests.push(SentRequest { id, is_added_route, ..request(2.0, 2.1, end) });
            }
        };
        send(true, added, served);
        send(false, 100, others_served);
        rules(&history)
    };
    assert_eq!(found(20, 4, 100), [SoakRule::AddedRouteStarved]);
    assert_eq!(found(20, 5, 100), [], "a quarter as often");
    assert_eq!(found(19, 0, 100), [], "too few to tell");
    assert_eq!(found(40, 0, 49), [SoakRule::TooFewServed], "the others are not served either");
}
