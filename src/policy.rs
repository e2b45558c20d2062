//! The decisions of one gatekeeper.
//!
//! A caller reports events by the methods of [`Gatekeeper`]; each decides at once and answers through a [`Port`]. What is
//! remembered is in `src/state.rs`. Nothing here knows a protocol, a deployment or another instance. `docs/design.md` says
//! what is kept of the operators' design, what was added, and when each exception acts.

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

/// How often a tenant's use is reported (the operators' design).
const REPORT_INTERVAL: Span = Span::from_millis(1000);
/// Calls to the counter in a second at first, over the square root of the number of gatekeepers.
const INITIAL_CALL_RATE: f64 = 100.0;
/// A tenant that has sent nothing for this long is dropped once its bucket is full.
const TENANT_RETENTION: Span = Span::from_millis(20_000);
/// `Retry-After` where all workers are full, in typical latencies.
const RETRY_AFTER_LATENCIES: f64 = 0.3;
/// Retries that one request earns, and the most that can be saved up.
const RETRIES_PER_REQUEST: f64 = 0.3;
const MAX_RETRY_BUDGET: f64 = 10.0;
/// Typical latencies of silence that make a worker unhealthy, and after which an attempt is checked on.
const SILENCE_LATENCIES: f64 = 4.0;
/// How often the periodic upkeep runs. Where it is late by the threshold, the process had stalled.
const TICK_INTERVAL: Span = Span::from_millis(200);
const STALL_THRESHOLD: Span = Span::from_millis(100);
/// The weight of a new sample in a running mean.
const SAMPLE_WEIGHT: f64 = 0.1;
/// The fraction of the multiple that overloads a cold worker which is made use of.
const COLD_HEADROOM_PART: f64 = 0.6;
/// How many sizes of requests are told apart; and the typical latency before any is known, as a fraction of the objective.
const SIZE_CLASSES: usize = 17;
const INITIAL_LATENCY_PART: f64 = 0.1;

/// One gatekeeper's decisions, with all that it remembers.
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
        margin: settings.time_resolution.times(2.0) + Span::from_millis(2),
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
        slow_start_headroom: (settings.overload_multiple * COLD_HEADROOM_PART).max(1.0),
        min_slow_start_rate: 1.0 / settings.overload_recovery.secs().max(1.0) / gatekeepers,
        resubscribe_after: settings.subscribe_within.times(0.1).max(Span::from_millis(200)),
    }
}

impl Gatekeeper {
    /// A gatekeeper that knows no worker and no tenant yet. `seed`: of its draws.
    pub fn new(now: Time, seed: u64, settings: &Settings, port: &mut impl Port) -> Self {
        if settings.must_subscribe {
            port.subscribe();
        }
        port.set_timer(TICK_INTERVAL, TimerEvent::Tick.tag());
        let client_timeouts = settings.operations.iter().map(|o| o.integration_timeout.secs()).collect();
        let settings = derive(settings);
        let latencies = |o: &OperationLimits| vec![o.objective.secs() * INITIAL_LATENCY_PART; SIZE_CLASSES];
        let state = GatekeeperState {
            retry_budget: MAX_RETRY_BUDGET,
            rate_at: now,
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

    /// A request has arrived: it is sent to a worker or throttled, at once. This is the ordinary path, from top to bottom.
    pub fn on_request(&mut self, now: Time, request: &Request, port: &mut impl Port) {
        let id = request.id;
        let (operations, plans) = (self.settings.operations.len(), self.settings.plans.len());
        if request.operation.0 as usize >= operations || request.plan.0 as usize >= plans {
            return port.fail(id);
        }
        self.detect_stall(now);
        let units = request.units();

        // The quota: the window's throttle, then the local bucket, then the other limits.
        self.refresh_tenant(now, request);
        self.schedule_report(now, request.tenant, port);
        if let Err(wait) = self.check_quota(now, request, units) {
            return port.throttle(id, self.retry_after(wait));
        }

        // The worker: if none is free, one request more would only be late.
        let mut open = OpenRequest {
            operation: request.operation,
            plan: request.plan,
            tenant: request.tenant,
            units,
            arrived_at: now.saturating_sub(self.time_unread(now, request)),
            deadline: request.deadline,
            ..OpenRequest::default()
        };
        if !self.can_be_in_time(now, &open) {
            return port.throttle(id, None);
        }
        let Some(worker) = self.pick_worker(now, &open) else {
            return port.throttle(id, self.retry_after_full(&open));
        };

        // The charge, then the attempt.
        let tenant = self.tenants.get_mut(&request.tenant).expect("refreshed above");
        tenant.charge(units);
        charge_estimated_use(tenant, now);
        self.state.retry_budget = (self.state.retry_budget + RETRIES_PER_REQUEST).min(MAX_RETRY_BUDGET);
        self.send_attempt(now, id, &mut open, worker, port);
        self.requests.insert(id, open);
    }

    /// How long a request lay unread in a stall: what is missing of the time after which clients of its operation give up.
    fn time_unread(&mut self, now: Time, request: &Request) -> Span {
        let left = (request.deadline - now).secs();
        let timeout = &mut self.state.client_timeout_s[request.operation.0 as usize];
        if now != self.state.resumed_at {
            *timeout += SAMPLE_WEIGHT * (left - *timeout);
            return Span::default();
        }
        Span::from_secs((*timeout - left).max(0.0)).min(self.state.stalled)
    }

    /// Whether an answer can still come in time to be worth something.
    fn can_be_in_time(&self, now: Time, request: &OpenRequest) -> bool {
        let operation = self.settings.operation(request.operation);
        let in_time = request.arrived_at + operation.objective;
        let objective = if operation.is_late_useful { request.deadline } else { in_time };
        now + self.typical_latency(request) < objective && now + self.settings.margin < request.deadline
    }

    fn retry_after(&self, wait: Span) -> Option<Span> {
        self.settings.max_retry_after.map(|most| wait.min(most).max(Span::from_millis(1)))
    }

    /// `Retry-After` where all workers are full: one is free once an attempt ends.
    fn retry_after_full(&self, request: &OpenRequest) -> Option<Span> {
        self.retry_after(self.typical_latency(request).times(RETRY_AFTER_LATENCIES))
    }

    fn typical_latency(&self, request: &OpenRequest) -> Span {
        let latencies = &self.state.typical_latency_s[request.operation.0 as usize];
        Span::from_secs(latencies[size_class(request.units)])
    }

    /// The client has left or was answered by somebody else: nothing more is owed for the request.
    pub fn on_expired(&mut self, id: RequestId, port: &mut impl Port) {
        if let Some(mut request) = self.requests.remove(&id) {
            request.enter(RequestStage::Answered);
            self.cancel_others(id, &request, port);
        }
    }

    /// The answer to a request has begun to come; the request can't be retried any more.
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

    /// A timer is due.
    pub fn on_timer(&mut self, now: Time, tag: TimerTag, port: &mut impl Port) {
        self.detect_stall(now);
        match TimerEvent::from_tag(tag) {
            Some(TimerEvent::Tick) => self.tick(now, port),
            Some(TimerEvent::AttemptCheck(id, attempt)) => self.check_attempt(now, (id, attempt), port),
            Some(TimerEvent::UsageReport(tenant)) => self.report_use(now, tenant, port),
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

    /// A process that was stalled reads all that came meanwhile at once: the workers' silence was its own.
    fn detect_stall(&mut self, now: Time) {
        let state = &mut self.state;
        if now - state.tick_due < STALL_THRESHOLD || now == state.resumed_at {
            return;
        }
        state.resumed_at = now;
        state.stalled = now - state.tick_due + TICK_INTERVAL.times(0.5);
        self.workers.values_mut().for_each(|worker| worker.silent_since = now);
    }

    /// A subscription to the list of workers has failed.
    pub fn on_list_failed(&mut self, port: &mut impl Port) {
        port.set_timer(self.settings.resubscribe_after, TimerEvent::Subscribe.tag());
    }
}

/// Sizes of one operation's requests are told apart in steps of a unit; the last class holds all larger ones.
fn size_class(units: f64) -> usize {
    (units.ceil() as usize).min(SIZE_CLASSES - 1)
}
