use lynxstair::types::*;

use super::{Dispatcher, Final, GiveUp, Next, Order, Pick, guarded};

const GET: u8 = 0;
const PUT: u8 = 1;

fn at(ms: u64) -> Time {
    Time::from_nanos((1_000_000 + ms) * 1_000_000)
}

fn desk(workers: u64) -> Dispatcher<u32> {
    let operation = |repeat| Operation {
        latency_objective: Span::from_millis(1000),
        integration_timeout: Span::from_millis(4000),
        late_share: 0.0,
        billed_value: 1.0,
        repeat,
    };
    let settings = Settings {
        gatekeepers: 2,
        step: Span::from_millis(4),
        operations: vec![operation(Repeat::Idempotent), operation(Repeat::NonIdempotent)],
        plans: vec![Plan { rate: 10.0, burst: 20.0, ..Plan::default() }],
        counter: true,
        cancel: true,
        second_copies: true,
        max_deliveries: 3,
        ..Settings::default()
    };
    let desk = Dispatcher::new(at(0), 1, &settings);
    let line = |n| Listed {
        worker: WorkerId(n),
        zone: ZoneId(0),
        kind: KindId(0),
        cell: CellId(0),
        phase: Phase::Ready,
        heft: 1.0,
        started_at: None,
    };
    desk.listed(at(0), Scope::Cached, &(0..workers).map(line).collect::<Vec<_>>());
    desk
}

fn pick(desk: &Dispatcher<u32>, ms: u64, operation: u8, plan: u16, ticket: u32) -> (InvId, Pick<u32>) {
    let arrival = Arrival {
        inv: InvId(99),
        valid_until: at(ms + 1000),
        customer: CustomerId(1),
        operation: OperationId(operation),
        plan: PlanId(plan),
        spread: 2.0,
        units: 1.0,
    };
    desk.pick(at(ms), arrival, ticket)
}

fn delivered(desk: &Dispatcher<u32>, ms: u64, operation: u8, ticket: u32) -> Order<u32> {
    match pick(desk, ms, operation, 0, ticket).1 {
        Pick::Deliver(order) => order,
        Pick::Answer(answer) => panic!("{answer:?}"),
    }
}

/// Arrivals that get no worker get their answer at once.
#[test]
fn picks() {
    let cases = [(0, 0, Pick::Answer(Final::Throttled(None))), (3, 9, Pick::Answer(Final::Errored))];
    for (workers, plan, wanted) in cases {
        assert_eq!(pick(&desk(workers), 1, GET, plan, 7).1, wanted, "{workers} workers, plan {plan}");
    }
    let order = delivered(&desk(3), 1, GET, 7);
    assert_eq!((order.ticket, order.no, order.stop_at), (7, DeliveryNo(0), at(1001 - 10)));
}

/// What comes after the end of a delivery; and that it comes once.
#[test]
fn reports() {
    use Outcome::*;
    let cases = [
        (GET, Succeeded, "pass on"),
        (GET, Errored, "deliver"),
        (GET, ConnectFailed, "deliver"),
        (PUT, ConnectFailed, "deliver"),
        (PUT, Full, "deliver"),
        (PUT, Errored, "errored"),
        (PUT, Reset, "errored"),
        (PUT, TimedOut, "errored"),
        (PUT, Cancelled, "errored"),
    ];
    for (operation, outcome, wanted) in cases {
        let desk = desk(4);
        let order = delivered(&desk, 1, operation, 7);
        let report = |order| desk.report(at(50), order, outcome, Span::from_millis(49), None);
        let (next, unwanted) = report(&order);
        let got = match next {
            Next::PassOn(7) => "pass on",
            Next::Answer(7, Final::Errored) => "errored",
            Next::Deliver(another) => {
                assert_eq!((another.inv, another.no, another.ticket), (order.inv, DeliveryNo(1), 7));
                assert_ne!(another.worker, order.worker);
                "deliver"
            }
            _ => "something else",
        };
        assert_eq!((got, unwanted.len()), (wanted, 0), "{operation} {outcome:?}");
        if wanted != "deliver" {
            assert_eq!(report(&order), (Next::Nothing, vec![]), "{operation} {outcome:?} again");
        }
    }
}

/// Time brings copies of late deliveries, the end of overdue ones, and reports to the counter.
#[test]
fn ticks() {
    let desk = desk(4);
    let order = delivered(&desk, 1, GET, 7);
    let mut copies = Vec::new();
    let mut counted = 0.0;
    let mut overdue = Vec::new();
    let mut ms = 1;
    while overdue.is_empty() {
        ms = desk.next_due().nanos().div_ceil(1_000_000) - 1_000_000;
        let due = desk.tick(at(ms) + Span::from_nanos(1));
        copies.extend(due.deliveries);
        counted += due.counts.iter().map(|c| c.amount).sum::<f32>();
        overdue = due.overdue;
        assert!(ms < 2000, "nothing was overdue");
    }
    // The worker is silent: a copy goes elsewhere. Both have the same time, and end with it.
    assert_eq!((copies.len(), copies[0].no, ms), (1, DeliveryNo(1), 991));
    let both = [0, 1].map(|no| GiveUp { ticket: 7, inv: order.inv, no: DeliveryNo(no) });
    assert_eq!(overdue, both);
    let took = Span::from_millis(990);
    assert_eq!(desk.report(at(ms), &order, Outcome::TimedOut, took, None).0, Next::Nothing);
    let (next, _) = desk.report(at(ms), &copies[0], Outcome::TimedOut, took, None);
    assert_eq!(next, Next::Answer(7, Final::Throttled(None)));
    while counted == 0.0 && ms < 3000 {
        ms = desk.next_due().nanos().div_ceil(1_000_000) - 1_000_000;
        counted += desk.tick(desk.next_due()).counts.iter().map(|c| c.amount).sum::<f32>();
    }
    assert_eq!(counted, 1.0);
}

/// The first answer ends the other delivery; a client that leaves ends all.
#[test]
fn what_is_no_longer_wanted() {
    for leaves in [false, true] {
        let desk = desk(4);
        let order = delivered(&desk, 1, GET, 7);
        let copy = loop {
            let due = desk.tick(desk.next_due() + Span::from_millis(1));
            assert!(due.overdue.is_empty(), "no copy");
            if let Some(copy) = due.deliveries.into_iter().next() {
                break copy;
            }
        };
        let of = |no| GiveUp { ticket: 7, inv: order.inv, no };
        if leaves {
            assert_eq!(desk.gone(at(500), order.inv), [of(order.no), of(copy.no)]);
        } else {
            let took = Span::from_millis(50);
            let report = desk.report(at(500), &copy, Outcome::Succeeded, took, None);
            assert_eq!(report, (Next::PassOn(7), vec![of(order.no)]));
        }
        let late = desk.report(at(600), &order, Outcome::Succeeded, Span::from_millis(599), None);
        assert_eq!(late, (Next::Nothing, vec![]));
    }
}

/// What lay there while the gatekeeper stood still is known by its having come at one time. On sockets each
/// call has a time of its own: those within a step are told as one.
#[test]
fn standing_still() {
    // How long after the first one read the second is, and whether it is known to have lain too long.
    for (gap_us, known) in [(0, true), (900, true), (3_900, true), (4_100, false)] {
        let desk = desk(4);
        let mut ms = 0;
        while ms < 6000 {
            ms += 50;
            while desk.next_due() <= at(ms) {
                desk.tick(desk.next_due());
            }
            if ms % 300 == 0 {
                let order = delivered(&desk, ms, GET, 7);
                desk.report(at(ms), &order, Outcome::Succeeded, Span::from_millis(5), None);
            }
        }
        // Nothing runs for two seconds. The clients have waited for nearly all of that.
        let lay_too_long = |now: Time| {
            let arrival = Arrival {
                inv: InvId(0),
                valid_until: now + Span::from_millis(100),
                customer: CustomerId(2),
                operation: OperationId(GET),
                plan: PlanId(0),
                spread: 1.0,
                units: 1.0,
            };
            matches!(desk.pick(now, arrival, 8).1, Pick::Answer(Final::Throttled(_)))
        };
        let woke = at(ms + 2000);
        lay_too_long(woke);
        // The beat has its turn between the two.
        desk.tick(woke);
        assert_eq!(lay_too_long(woke + Span::from_nanos(gap_us * 1000)), known, "{gap_us} us");
    }
}

/// Timers share wakes within a gatekeeper, and not across gatekeepers.
#[test]
fn timers_share_wakes() {
    let wakes = |opened_us: u64| {
        let settings = Settings { step: Span::from_millis(4), ..Settings::default() };
        let opened = at(0) + Span::from_nanos(opened_us * 1000);
        let desk: Dispatcher<u32> = Dispatcher::new(opened, 1, &settings);
        let first = desk.next_due();
        assert!(first - opened >= Span::from_millis(200), "early");
        assert!(first - opened <= Span::from_millis(200 + 200 / 16), "too late");
        // The beat that follows is asked for at some time after the first.
        desk.tick(first + Span::from_nanos(700_000));
        assert!(desk.next_due() - first >= Span::from_millis(200));
        ((desk.next_due() - first).nanos(), first.nanos() % (1 << 20))
    };
    assert_eq!(wakes(0).0, wakes(377).0);
    assert_ne!(wakes(0).1, wakes(377).1);
}

#[test]
fn a_panic_is_told() {
    assert!(guarded(|| ()));
    assert!(!guarded(|| panic!("meant to fail")));
}
