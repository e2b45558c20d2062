//! A port that keeps what was answered, and a small world of settings.

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
    fn send_attempt(&mut self, request_id: RequestId, worker: WorkerId, stop_at: Time) {
        self.0.push(Output::Attempt(request_id, worker, stop_at));
    }
    fn throttle(&mut self, request_id: RequestId, sends_retry_after: Option<Span>) {
        self.0.push(Output::Throttle(request_id, sends_retry_after));
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
    fn add_to_counter(&mut self, name: CounterKey, _keep: Span, amount: f32) {
        self.0.push(Output::Add(name, amount));
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

pub struct World {
    pub gatekeeper: Gatekeeper,
    pub port: RecordingPort,
    pub timers: Vec<TimerTag>,
    /// The ticks that came, one each 200 ms.
    pub ticks: u64,
}

impl World {
    /// A gatekeeper that has been told of so many warm workers, each in a zone of its own but the first two.
    pub fn new(settings: &Settings, workers: u64) -> Self {
        let mut port = RecordingPort::default();
        let mut gatekeeper = Gatekeeper::new(at(0), 7, settings, &mut port);
        let list: Vec<WorkerInfo> = (0..workers).map(|n| worker_info(n, WorkerPhase::Ready)).collect();
        gatekeeper.on_worker_list(at(0), ListUpdate::Cached, &list);
        World { gatekeeper, port, timers: Vec::new(), ticks: 0 }
    }

    /// Time passes, and the gatekeeper's ticks come when they are due.
    pub fn pass(&mut self, ms: u64) {
        while (self.ticks + 1) * 200 <= ms {
            self.ticks += 1;
            self.gatekeeper.on_timer(at(self.ticks * 200), TimerEvent::Tick.tag(), &mut self.port);
        }
        self.outputs();
    }

    pub fn send(
        &mut self,
        ms: u64,
        request_id: u32,
        operation: u8,
        plan: u16,
        units: f32,
        spread: f32,
    ) -> Vec<Output> {
        self.pass(ms);
        let request = request(ms, request_id, operation, plan, units, spread);
        self.gatekeeper.on_request(at(ms), &request, &mut self.port);
        self.outputs()
    }

    pub fn end(
        &mut self,
        ms: u64,
        request_id: u32,
        attempt: u8,
        worker: WorkerId,
        outcome: Outcome,
    ) -> Vec<Output> {
        self.end_in(ms, request_id, attempt, worker, outcome, 50)
    }

    /// The end of a attempt that took so long.
    pub fn end_in(
        &mut self,
        ms: u64,
        request_id: u32,
        attempt: u8,
        worker: WorkerId,
        outcome: Outcome,
        duration_ms: u64,
    ) -> Vec<Output> {
        self.pass(ms);
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
        self.outputs()
    }

    pub fn timer(&mut self, ms: u64, tag: TimerTag) -> Vec<Output> {
        self.pass(ms);
        self.gatekeeper.on_timer(at(ms), tag, &mut self.port);
        self.outputs()
    }

    /// What was said since; timers are kept apart.
    pub fn outputs(&mut self) -> Vec<Output> {
        let (timers, outputs): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.port.0).into_iter().partition(|s| matches!(s, Output::Timer(..)));
        self.timers
            .extend(timers.iter().filter_map(|s| if let Output::Timer(_, t) = s { Some(*t) } else { None }));
        outputs
    }
}

/// An request at that time, whose client waits for three seconds.
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

/// The tag of the report that is due for a tenant.
pub fn report_tag(tenant: u64) -> TimerTag {
    TimerEvent::UsageReport(TenantId(tenant)).tag()
}
