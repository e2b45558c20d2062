//! A test harness of the decision module, with a port that records its actions.

use lynxstair::policy::Gatekeeper;
use lynxstair::port::Port;
use lynxstair::types::*;

#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    Attempt(RequestId, WorkerId, Time),
    Throttle(RequestId, Option<Span>),
    Fail(RequestId),
    Cancel(RequestId, AttemptNumber),
    HealthCheck(WorkerId),
    Add(CounterKey, f32),
    Timer(Span, TimerTag),
    Subscribe,
}

#[derive(Default)]
pub struct RecordingPort(pub Vec<Output>);

impl Port for RecordingPort {
    fn send_attempt(&mut self, request_id: RequestId, worker: WorkerId, deadline: Time) {
        self.0.push(Output::Attempt(request_id, worker, deadline));
    }
    fn throttle(&mut self, request_id: RequestId, retry_after: Option<Span>) {
        self.0.push(Output::Throttle(request_id, retry_after));
    }
    fn fail(&mut self, request_id: RequestId) {
        self.0.push(Output::Fail(request_id));
    }
    fn cancel(&mut self, request_id: RequestId, attempt: AttemptNumber) {
        self.0.push(Output::Cancel(request_id, attempt));
    }
    fn check_health(&mut self, worker: WorkerId) {
        self.0.push(Output::HealthCheck(worker));
    }
    fn add_to_counter(&mut self, key: CounterKey, _retention: Span, amount: f32) {
        self.0.push(Output::Add(key, amount));
    }
    fn set_timer(&mut self, after: Span, tag: TimerTag) {
        self.0.push(Output::Timer(after, tag));
    }
    fn subscribe(&mut self) {
        self.0.push(Output::Subscribe);
    }
}

pub fn at(ms: u64) -> Time {
    Time::from_nanos((1_000_000 + ms) * 1_000_000)
}

pub fn settings() -> Settings {
    let operation = |idempotency| Operation {
        latency_objective: Span::from_millis(1000),
        integration_timeout: Span::from_millis(4000),
        late_value: 0.0,
        billed_value: 1.0,
        idempotency,
    };
    let window = Span::from_millis(5000);
    let plan = Plan { rate: 2.0, burst: 8.0, price: 1.0, ..Plan::default() };
    Settings {
        gatekeepers: 2,
        time_resolution: Span::from_millis(2),
        operations: vec![
            operation(Idempotency::Idempotent),
            operation(Idempotency::NonIdempotent),
            operation(Idempotency::Deduplicated(DedupScope::All, window)),
            operation(Idempotency::Deduplicated(DedupScope::Zone, window)),
        ],
        plans: vec![
            plan.clone(),
            Plan {
                rate: 1000.0,
                burst: 1000.0,
                hard_limit_rate: 4.0,
                hard_limit_burst: 16.0,
                ..plan.clone()
            },
            Plan { rate: 0.0, burst: 0.0, ..plan },
        ],
        has_counter: true,
        counter_timeout: Span::from_millis(50),
        has_health_checks: true,
        can_cancel: true,
        sends_retry_after: true,
        max_retry_after: Span::from_millis(1000),
        allows_hedging: true,
        max_attempts: 3,
        initial_capacity: 0.2,
        warm_up: Span::from_millis(10_000),
        overload_recovery: Span::from_millis(2000),
        overload_multiple: 2.0,
        ..Settings::default()
    }
}

pub struct Harness {
    pub gatekeeper: Gatekeeper,
    pub port: RecordingPort,
    pub timers: Vec<TimerTag>,
    /// Number of ticks delivered, one per 200 ms.
    pub ticks: u64,
}

impl Harness {
    /// Creates a gatekeeper with warm workers. The first two share a zone; each other has its own.
    pub fn new(settings: &Settings, workers: u64) -> Self {
        let mut port = RecordingPort::default();
        let mut gatekeeper = Gatekeeper::new(at(0), 7, settings, &mut port);
        let list: Vec<WorkerInfo> = (0..workers).map(|n| worker_info(n, WorkerPhase::Ready)).collect();
        gatekeeper.on_worker_list(at(0), ListUpdate::Cached, &list);
        Harness { gatekeeper, port, timers: Vec::new(), ticks: 0 }
    }

    /// Advances the clock and delivers the ticks that are due.
    pub fn advance_to(&mut self, ms: u64) {
        while (self.ticks + 1) * 200 <= ms {
            self.ticks += 1;
            self.gatekeeper.on_timer(at(self.ticks * 200), TimerEvent::Tick.tag(), &mut self.port);
        }
        self.take_outputs();
    }

    pub fn send_request(
        &mut self,
        ms: u64,
        request_id: u32,
        operation: u8,
        plan: u16,
        units: f32,
        spread: f32,
    ) -> Vec<Output> {
        self.advance_to(ms);
        let request = request(ms, request_id, operation, plan, units, spread);
        self.gatekeeper.on_request(at(ms), &request, &mut self.port);
        self.take_outputs()
    }

    pub fn end_attempt(
        &mut self,
        ms: u64,
        request_id: u32,
        attempt: u8,
        worker: WorkerId,
        outcome: Outcome,
    ) -> Vec<Output> {
        self.end_attempt_after(ms, request_id, attempt, worker, outcome, 50)
    }

    /// Ends an attempt after `duration_ms`.
    pub fn end_attempt_after(
        &mut self,
        ms: u64,
        request_id: u32,
        attempt: u8,
        worker: WorkerId,
        outcome: Outcome,
        duration_ms: u64,
    ) -> Vec<Output> {
        self.advance_to(ms);
        let report = AttemptReport {
            request_id: RequestId(request_id),
            attempt: AttemptNumber(attempt),
            worker,
            outcome,
            duration: Span::from_millis(duration_ms),
            is_final: outcome == Outcome::Succeeded,
            quota_used: None,
            actual_units: None,
            load: &[],
        };
        self.gatekeeper.on_attempt_ended(at(ms), &report, &mut self.port);
        self.take_outputs()
    }

    pub fn fire_timer(&mut self, ms: u64, tag: TimerTag) -> Vec<Output> {
        self.advance_to(ms);
        self.gatekeeper.on_timer(at(ms), tag, &mut self.port);
        self.take_outputs()
    }

    /// Returns the actions since the last call. Timers are moved to `timers`.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        let (timers, outputs): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.port.0).into_iter().partition(|s| matches!(s, Output::Timer(..)));
        self.timers
            .extend(timers.iter().filter_map(|s| if let Output::Timer(_, t) = s { Some(*t) } else { None }));
        outputs
    }
}

/// A request at `ms` whose deadline is three seconds later.
pub fn request(ms: u64, request_id: u32, operation: u8, plan: u16, units: f32, spread: f32) -> Request {
    Request {
        id: RequestId(request_id),
        deadline: at(ms + 3000),
        tenant: TenantId(u64::from(plan) + 1),
        operation: OperationId(operation),
        plan: PlanId(plan),
        spread,
        units,
    }
}

pub fn worker_info(n: u64, phase: WorkerPhase) -> WorkerInfo {
    WorkerInfo {
        worker: WorkerId(n + 1),
        zone: ZoneId(n.saturating_sub(1) as u16),
        kind: KindId(0),
        cell: CellId(0),
        phase,
        weight: 1.0,
        started_at: None,
    }
}

pub fn sent_to(outputs: &[Output]) -> Option<WorkerId> {
    outputs.iter().find_map(|s| if let Output::Attempt(_, w, _) = s { Some(*w) } else { None })
}

/// Tag of a tenant's usage report timer.
pub fn report_tag(tenant: u64) -> TimerTag {
    TimerEvent::UsageReport(TenantId(tenant)).tag()
}
