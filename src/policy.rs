//! The decision module of a gatekeeper: admission control, worker selection, retries and quotas.
//!
//! Callers report events to a [`Gatekeeper`], which acts through a [`Port`] before each call returns. Its
//! state is in `src/state.rs`. The module performs no I/O and is independent of protocols.

mod deliveries;
mod quota;
mod workers;

use std::collections::{BTreeMap, HashMap};

use crate::port::Port;
use crate::rng::Rng;
use crate::state::{
    Attempt, AttemptKey, DerivedSettings, GatekeeperState, OpenRequest, OperationLimits, PlanLimits,
    RequestStage, Tenant, TokenBucket, WorkKind, Worker,
};
use crate::types::{
    AttemptNumber, AttemptReport, CounterKey, DedupScope, Idempotency, ListUpdate, OperationId, Outcome,
    Plan, Request, RequestId, Settings, Span, TenantId, Time, TimerEvent, TimerTag, WorkerId, WorkerInfo,
    WorkerPhase,
};

use quota::*;
use workers::*;

const REPORT_INTERVAL: Span = Span::from_millis(1000);
/// Initial counter calls per second, divided by the square root of the number of gatekeepers.
const INITIAL_CALL_RATE: f64 = 100.0;
/// Time without requests after which a tenant is dropped once its bucket is full.
const TENANT_RETENTION: Span = Span::from_millis(20_000);
/// `Retry-After` if all workers are full, in typical latencies.
const RETRY_AFTER_LATENCIES: f64 = 0.3;
/// Retries that one request adds to the retry budget, and the maximum of the budget.
const RETRIES_PER_REQUEST: f64 = 0.3;
const MAX_RETRY_BUDGET: f64 = 10.0;
/// Silence that makes a worker unhealthy, and time after which an attempt is checked, in typical latencies.
const SILENCE_LATENCIES: f64 = 4.0;
/// Interval of the periodic maintenance, and the delay of it that indicates a stall of the process.
const TICK_INTERVAL: Span = Span::from_millis(200);
const STALL_THRESHOLD: Span = Span::from_millis(100);
/// Weight of a new sample in a moving average.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Fraction of the overload multiple that slow start uses.
const OVERLOAD_HEADROOM_FRACTION: f64 = 0.6;
/// Number of size classes of requests, and the initial typical latency as a fraction of the objective.
const SIZE_CLASSES: usize = 17;
const INITIAL_LATENCY_FRACTION: f64 = 0.1;

/// Decides on the requests of one gatekeeper, and holds their state.
pub struct Gatekeeper {
    settings: DerivedSettings,
    rng: Rng,
    state: GatekeeperState,
    workers: BTreeMap<WorkerId, Worker>,
    tenants: BTreeMap<TenantId, Tenant>,
    requests: HashMap<RequestId, OpenRequest>,
    attempts: HashMap<AttemptKey, Attempt>,
}

fn plan_limits(plan: &Plan) -> PlanLimits {
    let fill_time = if plan.rate > 0.0 { plan.burst.max(0.0) / plan.rate } else { 0.0 };
    let shortest = REPORT_INTERVAL.times(MIN_WINDOW_INTERVALS);
    let window = Span::from_secs(fill_time).max(shortest).min(MAX_RETENTION.times(0.5));
    PlanLimits::new(plan, window, window.times(2.0).min(MAX_RETENTION))
}

fn derive(settings: &Settings) -> DerivedSettings {
    let gatekeepers = f64::from(settings.gatekeepers.max(1));
    DerivedSettings {
        gatekeepers,
        deadline_margin: settings.time_resolution.times(2.0) + Span::from_millis(2),
        operations: settings.operations.iter().map(OperationLimits::from).collect(),
        plans: settings.plans.iter().map(plan_limits).collect(),
        has_counter: settings.has_counter,
        counter_timeout: settings.counter_timeout,
        idle_timeout: settings.idle_timeout,
        has_health_checks: settings.has_health_checks,
        can_cancel: settings.can_cancel,
        max_retry_after: Some(settings.max_retry_after).filter(|_| settings.sends_retry_after),
        allows_hedging: settings.allows_hedging,
        max_attempts: settings.max_attempts.max(1) as usize,
        initial_capacity: settings.initial_capacity.clamp(0.01, 1.0),
        warm_up: settings.warm_up,
        slow_start_headroom: (settings.overload_multiple * OVERLOAD_HEADROOM_FRACTION).max(1.0),
        min_slow_start_rate: 1.0 / settings.overload_recovery.secs().max(1.0) / gatekeepers,
        resubscribe_after: settings.subscribe_within.times(0.1).max(Span::from_millis(200)),
    }
}

impl Gatekeeper {
    /// Creates a gatekeeper without workers and tenants. `seed` initializes its random numbers.
    pub fn new(now: Time, seed: u64, settings: &Settings, port: &mut impl Port) -> Self {
        if settings.must_subscribe {
            port.subscribe();
        }
        port.set_timer(TICK_INTERVAL, TimerEvent::Tick.tag());
        let client_timeouts = settings.operations.iter().map(|o| o.integration_timeout.secs()).collect();
        let settings = derive(settings);
        let latencies =
            |o: &OperationLimits| vec![o.objective.secs() * INITIAL_LATENCY_FRACTION; SIZE_CLASSES];
        let state = GatekeeperState {
            retry_budget: MAX_RETRY_BUDGET,
            rates_updated_at: now,
            typical_latency_s: settings.operations.iter().map(latencies).collect(),
            call_rate: INITIAL_CALL_RATE / settings.gatekeepers.sqrt(),
            tick_due: now + TICK_INTERVAL,
            client_timeout_s: client_timeouts,
            ..GatekeeperState::default()
        };
        Gatekeeper {
            settings,
            rng: Rng::new(seed),
            state,
            workers: BTreeMap::new(),
            tenants: BTreeMap::new(),
            requests: HashMap::new(),
            attempts: HashMap::new(),
        }
    }

    /// Handles a new request: sends it to a worker or rejects it at once.
    pub fn on_request(&mut self, now: Time, request: &Request, port: &mut impl Port) {
        let id = request.id;
        let (operations, plans) = (self.settings.operations.len(), self.settings.plans.len());
        if request.operation.0 as usize >= operations || request.plan.0 as usize >= plans {
            return port.fail(id);
        }
        self.detect_stall(now);
        let units = request.units();

        // Quota: the window's throttle, then the local bucket, then the other limits.
        self.refresh_tenant(now, request);
        self.schedule_report(now, request.tenant, port);
        if let Err(wait) = self.check_quota(now, request, units) {
            return port.throttle(id, self.retry_after(wait));
        }

        // Worker: if none has capacity, a further request would only be late.
        let mut open = OpenRequest {
            operation: request.operation,
            plan: request.plan,
            tenant: request.tenant,
            units,
            arrived_at: now.saturating_sub(self.stall_delay(now, request)),
            deadline: request.deadline,
            ..OpenRequest::default()
        };
        if !self.can_be_in_time(now, &open) {
            return port.throttle(id, None);
        }
        let Some(worker) = self.pick_worker(now, &open) else {
            return port.throttle(id, self.retry_after_at_capacity(&open));
        };

        let tenant = self.tenants.get_mut(&request.tenant).expect("tenant is refreshed above");
        tenant.charge(units);
        charge_peer_estimate(tenant, now);
        self.state.retry_budget = (self.state.retry_budget + RETRIES_PER_REQUEST).min(MAX_RETRY_BUDGET);
        self.send_attempt(now, id, &mut open, worker, port);
        self.requests.insert(id, open);
    }

    /// Estimates the time that a request waited unread during a stall, by the mean time from arrival to
    /// deadline. For requests without a stall it updates that mean and returns zero.
    fn stall_delay(&mut self, now: Time, request: &Request) -> Span {
        let left = (request.deadline - now).secs();
        let timeout = &mut self.state.client_timeout_s[request.operation.0 as usize];
        if now != self.state.resumed_at {
            *timeout += SAMPLE_WEIGHT * (left - *timeout);
            return Span::default();
        }
        Span::from_secs((*timeout - left).max(0.0)).min(self.state.stall_duration)
    }

    /// Returns `true` if an answer can still be in time to have a value.
    fn can_be_in_time(&self, now: Time, request: &OpenRequest) -> bool {
        let operation = self.settings.operation(request.operation);
        let in_time = request.arrived_at + operation.objective;
        let objective = if operation.is_late_useful { request.deadline } else { in_time };
        now + self.typical_latency(request) < objective
            && now + self.settings.deadline_margin < request.deadline
    }

    fn retry_after(&self, wait: Span) -> Option<Span> {
        self.settings.max_retry_after.map(|max| wait.min(max).max(Span::from_millis(1)))
    }

    /// `Retry-After` if all workers are full: capacity is available once an attempt ends.
    fn retry_after_at_capacity(&self, request: &OpenRequest) -> Option<Span> {
        self.retry_after(self.typical_latency(request).times(RETRY_AFTER_LATENCIES))
    }

    fn typical_latency(&self, request: &OpenRequest) -> Span {
        let latencies = &self.state.typical_latency_s[request.operation.0 as usize];
        Span::from_secs(latencies[size_class(request.units)])
    }

    /// Ends a request whose client has left or was answered elsewhere.
    pub fn on_expired(&mut self, id: RequestId, port: &mut impl Port) {
        if let Some(mut request) = self.requests.remove(&id) {
            request.enter(RequestStage::Answered);
            self.cancel_others(id, &request, port);
        }
    }

    /// Records that the response stream of a request has started. The request can no longer be retried.
    pub fn on_stream_started(&mut self, now: Time, id: RequestId, worker: WorkerId) {
        if let Some(worker) = self.workers.get_mut(&worker) {
            worker.silent_since = now;
        }
        if let Some(request) = self.requests.get_mut(&id)
            && request.stage != RequestStage::Streaming
        {
            request.enter(RequestStage::Streaming);
        }
    }

    /// Handles an expired timer.
    pub fn on_timer(&mut self, now: Time, tag: TimerTag, port: &mut impl Port) {
        self.detect_stall(now);
        match TimerEvent::from_tag(tag) {
            Some(TimerEvent::Tick) => self.tick(now, port),
            Some(TimerEvent::AttemptCheck(id, attempt)) => self.check_attempt(now, (id, attempt), port),
            Some(TimerEvent::UsageReport(tenant)) => self.report_usage(now, tenant, port),
            Some(TimerEvent::HealthCheck(id)) => self.check_health(id, port),
            Some(TimerEvent::Subscribe) => port.subscribe(),
            None => {}
        }
    }

    fn tick(&mut self, now: Time, port: &mut impl Port) {
        self.state.tick_due = now + TICK_INTERVAL;
        self.expire_tenants(now);
        port.set_timer(TICK_INTERVAL, TimerEvent::Tick.tag());
    }

    /// Detects a stall of the process. Events of that time arrive at once afterwards, so no worker counts as
    /// silent.
    fn detect_stall(&mut self, now: Time) {
        let state = &mut self.state;
        if now - state.tick_due < STALL_THRESHOLD || now == state.resumed_at {
            return;
        }
        state.resumed_at = now;
        state.stall_duration = now - state.tick_due + TICK_INTERVAL.times(0.5);
        self.workers.values_mut().for_each(|worker| worker.silent_since = now);
    }

    /// Handles a failed subscription to the list of workers.
    pub fn on_list_failed(&mut self, port: &mut impl Port) {
        port.set_timer(self.settings.resubscribe_after, TimerEvent::Subscribe.tag());
    }
}

/// Size class of a request: its units, rounded up. The last class holds all larger requests.
fn size_class(units: f64) -> usize {
    (units.ceil() as usize).min(SIZE_CLASSES - 1)
}
