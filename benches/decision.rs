//! Cost of the decisions on one request, from its arrival to the end of its attempt, including the ticks due
//! meanwhile, by the number of workers and tenants. Half as many attempts are in flight as there are
//! workers, each for 50 ms of virtual time.

use std::collections::VecDeque;
use std::hint::black_box;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use lynxstair::policy::Gatekeeper;
use lynxstair::port::Port;
use lynxstair::types::*;

const DURATION: Span = Span::from_millis(50);

/// Stores the worker of the last attempt.
#[derive(Default)]
struct LastWorkerPort(Option<WorkerId>);

impl Port for LastWorkerPort {
    fn send_attempt(&mut self, _: RequestId, worker: WorkerId, _: Time) {
        self.0 = Some(worker);
    }
    fn throttle(&mut self, _: RequestId, _: Option<Span>) {}
    fn fail(&mut self, _: RequestId) {}
    fn cancel(&mut self, _: RequestId, _: AttemptNumber) {}
    fn check_health(&mut self, _: WorkerId) {}
    fn add_to_counter(&mut self, _: CounterKey, _: Span, _: f32) {}
    fn set_timer(&mut self, _: Span, _: TimerTag) {}
    fn subscribe(&mut self) {}
}

struct Harness {
    gatekeeper: Gatekeeper,
    port: LastWorkerPort,
    now: Time,
    last_tick_at: Time,
    request_interval: Span,
    in_flight: VecDeque<(RequestId, WorkerId)>,
    max_in_flight: usize,
    tenants: u64,
    requests: u32,
}

fn settings() -> Settings {
    let operation = Operation {
        latency_objective: Span::from_millis(1000),
        integration_timeout: Span::from_millis(4000),
        late_value: 0.0,
        billed_value: 1.0,
        idempotency: Idempotency::NonIdempotent,
    };
    Settings {
        gatekeepers: 3,
        time_resolution: Span::from_millis(2),
        operations: vec![operation],
        plans: vec![Plan { rate: 1e6, burst: 1e6, price: 1.0, ..Plan::default() }],
        has_counter: true,
        counter_timeout: Span::from_millis(50),
        idle_timeout: Span::from_millis(30_000),
        max_attempts: 3,
        initial_capacity: 0.2,
        warm_up: Span::from_millis(10_000),
        overload_recovery: Span::from_millis(2000),
        overload_multiple: 2.0,
        ..Settings::default()
    }
}

impl Harness {
    fn new(workers: u64, tenants: u64) -> Self {
        let mut port = LastWorkerPort::default();
        let now = Time::from_nanos(1_000_000_000_000);
        let mut gatekeeper = Gatekeeper::new(now, 7, &settings(), &mut port);
        let worker_info = |n: u64| WorkerInfo {
            worker: WorkerId(n),
            zone: ZoneId((n % 3) as u16),
            kind: KindId(0),
            cell: CellId(0),
            phase: WorkerPhase::Ready,
            weight: 1.0,
            started_at: None,
        };
        gatekeeper.on_worker_list(now, ListUpdate::Full, &(0..workers).map(worker_info).collect::<Vec<_>>());
        let max_in_flight = (workers as usize / 2).max(1);
        let request_interval = DURATION.times(1.0 / max_in_flight as f64);
        let in_flight = VecDeque::new();
        let mut harness = Harness {
            gatekeeper,
            port,
            now,
            last_tick_at: now,
            request_interval,
            in_flight,
            max_in_flight,
            tenants,
            requests: 0,
        };
        // Warm-up: every tenant sends a request, and every worker receives attempts.
        let first = tenants.max(workers * 4);
        (0..first).for_each(|_| harness.run_request());
        harness
    }

    fn run_request(&mut self) {
        self.now = self.now + self.request_interval;
        while self.last_tick_at + Span::from_millis(200) <= self.now {
            self.last_tick_at = self.last_tick_at + Span::from_millis(200);
            self.gatekeeper.on_timer(self.last_tick_at, TimerEvent::Tick.tag(), &mut self.port);
        }
        self.requests += 1;
        let request = Request {
            id: RequestId(self.requests),
            deadline: self.now + Span::from_millis(3000),
            // Visits all tenants in turn, with distant identifiers in succession.
            tenant: TenantId(u64::from(self.requests) * 7919 % self.tenants),
            operation: OperationId(0),
            plan: PlanId(0),
            spread: 3.0,
            units: 1.0,
        };
        self.gatekeeper.on_request(self.now, &request, &mut self.port);
        if let Some(worker) = self.port.0.take() {
            self.in_flight.push_back((RequestId(self.requests), worker));
        }
        if self.in_flight.len() > self.max_in_flight
            && let Some((request_id, worker)) = self.in_flight.pop_front()
        {
            let report = AttemptReport {
                request_id,
                attempt: AttemptNumber(0),
                worker,
                outcome: Outcome::Succeeded,
                duration: DURATION,
                is_final: true,
                quota_used: None,
                actual_units: None,
                load: &[],
            };
            self.gatekeeper.on_attempt_ended(self.now, &report, &mut self.port);
        }
    }
}

fn decision(c: &mut Criterion) {
    let mut group = c.benchmark_group("decision");
    group.sample_size(20).measurement_time(std::time::Duration::from_secs(2));
    // Workers and tenants. Each tick visits all tenants, so that more of them take too long.
    let sizes = [(20, 100), (200, 100), (2000, 100), (20, 10_000)];
    for (workers, tenants) in sizes {
        let mut harness = Harness::new(workers, tenants);
        let name = BenchmarkId::new(format!("{workers} workers"), format!("{tenants} tenants"));
        group.bench_function(name, |b| b.iter(|| black_box(&mut harness).run_request()));
    }
    group.finish();
}

criterion_group!(benches, decision);
criterion_main!(benches);
