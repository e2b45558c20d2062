//! The cost of one decision: an invocation from its arrival to the end of its delivery, with the beats that fall due
//! meanwhile, by the number of workers and of customers. Half as many deliveries are out as there are workers, each
//! for 50 ms of the virtual clock.

use std::collections::VecDeque;
use std::hint::black_box;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use lynxstair::policy::Gatekeeper;
use lynxstair::port::Port;
use lynxstair::types::*;

const TOOK: Span = Span::from_millis(50);

/// Keeps where the last delivery went.
#[derive(Default)]
struct Last(Option<WorkerId>);

impl Port for Last {
    fn deliver(&mut self, _: InvId, worker: WorkerId, _: Time) {
        self.0 = Some(worker);
    }
    fn throttle(&mut self, _: InvId, _: Option<Span>) {}
    fn error(&mut self, _: InvId) {}
    fn cancel(&mut self, _: InvId, _: DeliveryNo) {}
    fn probe(&mut self, _: WorkerId) {}
    fn add_to_count(&mut self, _: CountName, _: Span, _: f32) {}
    fn set_timer(&mut self, _: Span, _: TimerTag) {}
    fn subscribe(&mut self) {}
}

struct World {
    gatekeeper: Gatekeeper,
    port: Last,
    now: Time,
    beat: Time,
    step: Span,
    out: VecDeque<(InvId, WorkerId)>,
    most_out: usize,
    customers: u64,
    asked: u32,
}

fn settings() -> Settings {
    let operation = Operation {
        latency_objective: Span::from_millis(1000),
        integration_timeout: Span::from_millis(4000),
        late_share: 0.0,
        billed_value: 1.0,
        repeat: Repeat::NonIdempotent,
    };
    Settings {
        gatekeepers: 3,
        step: Span::from_millis(2),
        operations: vec![operation],
        plans: vec![Plan { rate: 1e6, burst: 1e6, price: 1.0, ..Plan::default() }],
        counter: true,
        counter_timeout: Span::from_millis(50),
        idle: Span::from_millis(30_000),
        max_deliveries: 3,
        start_share: 0.2,
        warm_within: Span::from_millis(10_000),
        fall: Span::from_millis(2000),
        fall_multiple: 2.0,
        ..Settings::default()
    }
}

impl World {
    fn new(workers: u64, customers: u64) -> Self {
        let mut port = Last::default();
        let now = Time::from_nanos(1_000_000_000_000);
        let mut gatekeeper = Gatekeeper::start(now, 7, &settings(), &mut port);
        let line = |n: u64| Listed {
            worker: WorkerId(n),
            zone: ZoneId((n % 3) as u16),
            kind: KindId(0),
            cell: CellId(0),
            phase: Phase::Ready,
            heft: 1.0,
            started_at: None,
        };
        gatekeeper.listed(now, Scope::Full, &(0..workers).map(line).collect::<Vec<_>>());
        let most_out = (workers as usize / 2).max(1);
        let step = TOOK.times(1.0 / most_out as f64);
        let out = VecDeque::new();
        let mut world = World { gatekeeper, port, now, beat: now, step, out, most_out, customers, asked: 0 };
        // Every customer comes in once, and every worker is met.
        let first = customers.max(workers * 4);
        (0..first).for_each(|_| world.invocation());
        world
    }

    fn invocation(&mut self) {
        self.now = self.now + self.step;
        while self.beat + Span::from_millis(200) <= self.now {
            self.beat = self.beat + Span::from_millis(200);
            self.gatekeeper.timer(self.beat, Wake::Beat.tag(), &mut self.port);
        }
        self.asked += 1;
        let arrival = Arrival {
            inv: InvId(self.asked),
            valid_until: self.now + Span::from_millis(3000),
            // Far apart from one to the next, and each in its turn.
            customer: CustomerId(u64::from(self.asked) * 7919 % self.customers),
            operation: OperationId(0),
            plan: PlanId(0),
            spread: 3.0,
            units: 1.0,
        };
        self.gatekeeper.invoke(self.now, &arrival, &mut self.port);
        if let Some(worker) = self.port.0.take() {
            self.out.push_back((InvId(self.asked), worker));
        }
        if self.out.len() > self.most_out
            && let Some((inv, worker)) = self.out.pop_front()
        {
            let ended = Ended {
                inv,
                no: DeliveryNo(0),
                worker,
                outcome: Outcome::Succeeded,
                took: TOOK,
                last: true,
                used: None,
                actual: None,
                load: &[],
            };
            self.gatekeeper.delivery_ended(self.now, &ended, &mut self.port);
        }
    }
}

fn decision(c: &mut Criterion) {
    let mut group = c.benchmark_group("decision");
    group.sample_size(20).measurement_time(std::time::Duration::from_secs(2));
    // A million customers are not among them yet: a beat goes over all of them, and the run did not end in 20 minutes.
    let sizes = [(20, 100), (200, 100), (2000, 100), (20, 10_000)];
    for (workers, customers) in sizes {
        let mut world = World::new(workers, customers);
        let name = BenchmarkId::new(format!("{workers} workers"), format!("{customers} customers"));
        group.bench_function(name, |b| b.iter(|| black_box(&mut world).invocation()));
    }
    group.finish();
}

criterion_group!(benches, decision);
criterion_main!(benches);
