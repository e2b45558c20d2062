use lynxstair::types::*;

use super::dispatcher::catch_panic;
use super::{Assignment, Cancellation, Decision, Dispatcher, FinalReply, NextStep};

const GET: u8 = 0;
const PUT: u8 = 1;

fn at(ms: u64) -> Time {
    Time::from_nanos((1_000_000 + ms) * 1_000_000)
}

fn dispatcher(workers: u64) -> Dispatcher<u32> {
    let operation = |idempotency| Operation {
        latency_objective: Span::from_millis(1000),
        integration_timeout: Span::from_millis(4000),
        late_value: 0.0,
        billed_value: 1.0,
        idempotency,
    };
    let settings = Settings {
        gatekeepers: 2,
        time_resolution: Span::from_millis(4),
        operations: vec![operation(Idempotency::Idempotent), operation(Idempotency::NonIdempotent)],
        plans: vec![Plan { rate: 10.0, burst: 20.0, ..Plan::default() }],
        has_counter: true,
        can_cancel: true,
        allows_hedging: true,
        max_attempts: 3,
        ..Settings::default()
    };
    let dispatcher = Dispatcher::new(at(0), 1, &settings);
    let worker_info = |n| WorkerInfo {
        worker: WorkerId(n),
        zone: ZoneId(0),
        kind: KindId(0),
        cell: CellId(0),
        phase: WorkerPhase::Ready,
        weight: 1.0,
        started_at: None,
    };
    dispatcher.update_workers(at(0), ListUpdate::Cached, &(0..workers).map(worker_info).collect::<Vec<_>>());
    dispatcher
}

fn dispatch(
    dispatcher: &Dispatcher<u32>,
    ms: u64,
    operation: u8,
    plan: u16,
    context: u32,
) -> (RequestId, Decision<u32>) {
    let request = Request {
        id: RequestId(99),
        deadline: at(ms + 1000),
        tenant: TenantId(1),
        operation: OperationId(operation),
        plan: PlanId(plan),
        spread: 2.0,
        units: 1.0,
    };
    dispatcher.dispatch(at(ms), request, context)
}

fn forwarded(dispatcher: &Dispatcher<u32>, ms: u64, operation: u8, context: u32) -> Assignment<u32> {
    match dispatch(dispatcher, ms, operation, 0, context).1 {
        Decision::Forward(assignment) => assignment,
        Decision::Reply(answer) => panic!("{answer:?}"),
    }
}

/// A request that no worker can take gets its reply at once.
#[test]
fn requests_are_forwarded_or_replied_to_at_once() {
    let cases =
        [(0, 0, Decision::Reply(FinalReply::Throttled(None))), (3, 9, Decision::Reply(FinalReply::Errored))];
    for (workers, plan, wanted) in cases {
        assert_eq!(
            dispatch(&dispatcher(workers), 1, GET, plan, 7).1,
            wanted,
            "{workers} workers, plan {plan}"
        );
    }
    let assignment = forwarded(&dispatcher(3), 1, GET, 7);
    assert_eq!(
        (assignment.context, assignment.attempt, assignment.deadline),
        (7, AttemptNumber(0), at(1001 - 10))
    );
}

/// The end of an attempt leads to one action: relay, retry or a final reply.
#[test]
fn ended_attempts_are_relayed_retried_or_answered() {
    use Outcome::*;
    let cases = [
        (GET, Succeeded, "relay"),
        (GET, Errored, "retry"),
        (GET, ConnectFailed, "retry"),
        (PUT, ConnectFailed, "retry"),
        (PUT, Full, "retry"),
        (PUT, Errored, "errored"),
        (PUT, Reset, "errored"),
        (PUT, TimedOut, "errored"),
        (PUT, Cancelled, "errored"),
    ];
    for (operation, outcome, wanted) in cases {
        let dispatcher = dispatcher(4);
        let assignment = forwarded(&dispatcher, 1, operation, 7);
        let report = |assignment| dispatcher.report(at(50), assignment, outcome, Span::from_millis(49), None);
        let (next, cancelled) = report(&assignment);
        let got = match next {
            NextStep::Relay(7) => "relay",
            NextStep::Reply(7, FinalReply::Errored) => "errored",
            NextStep::Retry(another) => {
                assert_eq!(
                    (another.request_id, another.attempt, another.context),
                    (assignment.request_id, AttemptNumber(1), 7)
                );
                assert_ne!(another.worker, assignment.worker);
                "retry"
            }
            _ => "something else",
        };
        assert_eq!((got, cancelled.len()), (wanted, 0), "{operation} {outcome:?}");
        if wanted != "retry" {
            assert_eq!(report(&assignment), (NextStep::Nothing, vec![]), "{operation} {outcome:?} again");
        }
    }
}

/// Ticks return hedges of late attempts, attempts past their deadline, and counter calls.
#[test]
fn ticks_return_hedges_time_outs_and_counter_calls() {
    let dispatcher = dispatcher(4);
    let assignment = forwarded(&dispatcher, 1, GET, 7);
    let mut hedges = Vec::new();
    let mut counted = 0.0;
    let mut timed_out = Vec::new();
    let mut ms = 1;
    while timed_out.is_empty() {
        ms = dispatcher.next_due().nanos().div_ceil(1_000_000) - 1_000_000;
        let due = dispatcher.tick(at(ms) + Span::from_nanos(1));
        hedges.extend(due.attempts);
        counted += due.counter_adds.iter().map(|c| c.amount).sum::<f32>();
        timed_out = due.timed_out;
        assert!(ms < 2000, "no attempt has timed out");
    }
    // The worker is silent, so the request is hedged. Both attempts have the same deadline.
    assert_eq!((hedges.len(), hedges[0].attempt, ms), (1, AttemptNumber(1), 991));
    let both = [0, 1].map(|attempt| Cancellation {
        context: 7,
        request_id: assignment.request_id,
        attempt: AttemptNumber(attempt),
    });
    assert_eq!(timed_out, both);
    let duration = Span::from_millis(990);
    assert_eq!(
        dispatcher.report(at(ms), &assignment, Outcome::TimedOut, duration, None).0,
        NextStep::Nothing
    );
    let (next, _) = dispatcher.report(at(ms), &hedges[0], Outcome::TimedOut, duration, None);
    assert_eq!(next, NextStep::Reply(7, FinalReply::Throttled(None)));
    while counted == 0.0 && ms < 3000 {
        ms = dispatcher.next_due().nanos().div_ceil(1_000_000) - 1_000_000;
        counted += dispatcher.tick(dispatcher.next_due()).counter_adds.iter().map(|c| c.amount).sum::<f32>();
    }
    assert_eq!(counted, 1.0);
}

/// The first reply aborts the other attempt; the end of the request aborts all.
#[test]
fn obsolete_attempts_are_cancelled() {
    for client_leaves in [false, true] {
        let dispatcher = dispatcher(4);
        let assignment = forwarded(&dispatcher, 1, GET, 7);
        let hedge = loop {
            let due = dispatcher.tick(dispatcher.next_due() + Span::from_millis(1));
            assert!(due.timed_out.is_empty(), "no hedge");
            if let Some(hedge) = due.attempts.into_iter().next() {
                break hedge;
            }
        };
        let of = |attempt| Cancellation { context: 7, request_id: assignment.request_id, attempt };
        if client_leaves {
            assert_eq!(
                dispatcher.end_request(at(500), assignment.request_id),
                [of(assignment.attempt), of(hedge.attempt)]
            );
        } else {
            let duration = Span::from_millis(50);
            let report = dispatcher.report(at(500), &hedge, Outcome::Succeeded, duration, None);
            assert_eq!(report, (NextStep::Relay(7), vec![of(assignment.attempt)]));
        }
        let late = dispatcher.report(at(600), &assignment, Outcome::Succeeded, Span::from_millis(599), None);
        assert_eq!(late, (NextStep::Nothing, vec![]));
    }
}

/// Requests that waited in a stall are recognized by their common read time. On sockets the times differ, so
/// those within the time resolution are reported as one.
#[test]
fn requests_within_the_time_resolution_share_a_stall() {
    // Time between the two requests read, and whether the second is recognized as having waited too long.
    for (gap_us, is_recognized) in [(0, true), (900, true), (3_900, true), (4_100, false)] {
        let dispatcher = dispatcher(4);
        let mut ms = 0;
        while ms < 6000 {
            ms += 50;
            while dispatcher.next_due() <= at(ms) {
                dispatcher.tick(dispatcher.next_due());
            }
            if ms % 300 == 0 {
                let assignment = forwarded(&dispatcher, ms, GET, 7);
                dispatcher.report(at(ms), &assignment, Outcome::Succeeded, Span::from_millis(5), None);
            }
        }
        // The process stalls for two seconds while the clients wait.
        let is_rejected = |now: Time| {
            let request = Request {
                id: RequestId(0),
                deadline: now + Span::from_millis(100),
                tenant: TenantId(2),
                operation: OperationId(GET),
                plan: PlanId(0),
                spread: 1.0,
                units: 1.0,
            };
            matches!(dispatcher.dispatch(now, request, 8).1, Decision::Reply(FinalReply::Throttled(_)))
        };
        let resumed_at = at(ms + 2000);
        is_rejected(resumed_at);
        // The tick runs between the two requests.
        dispatcher.tick(resumed_at);
        assert_eq!(is_rejected(resumed_at + Span::from_nanos(gap_us * 1000)), is_recognized, "{gap_us} us");
    }
}

/// Timers of a gatekeeper share wake-ups; those of different gatekeepers do not coincide.
#[test]
fn timers_are_coalesced_within_a_gatekeeper() {
    let wakes = |started_us: u64| {
        let settings = Settings { time_resolution: Span::from_millis(4), ..Settings::default() };
        let started_at = at(0) + Span::from_nanos(started_us * 1000);
        let dispatcher: Dispatcher<u32> = Dispatcher::new(started_at, 1, &settings);
        let first = dispatcher.next_due();
        assert!(first - started_at >= Span::from_millis(200), "early");
        assert!(first - started_at <= Span::from_millis(200 + 200 / 16), "too late");
        // The next tick is set some time after the first is due.
        dispatcher.tick(first + Span::from_nanos(700_000));
        assert!(dispatcher.next_due() - first >= Span::from_millis(200));
        ((dispatcher.next_due() - first).nanos(), first.nanos() % (1 << 20))
    };
    assert_eq!(wakes(0).0, wakes(377).0);
    assert_ne!(wakes(0).1, wakes(377).1);
}

#[test]
fn a_panic_is_caught() {
    assert!(catch_panic(|| ()));
    assert!(!catch_panic(|| panic!("meant to fail")));
}
