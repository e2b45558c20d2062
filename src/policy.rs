//! The decisions of one gatekeeper.
//!
//! A front calls the methods of [`Gatekeeper`] with what it hears; each answers at once through the
//! [`Port`] it is handed (src/port.rs). What is remembered is in src/state.rs. Nothing here knows a
//! protocol, a deployment or another instance. docs/design.md says what is kept of the design page,
//! what was added, and when each exception acts.

mod deliveries;
mod quota;
mod workers;

use std::collections::{BTreeMap, HashMap};

use crate::port::Port;
use crate::rng::Rng;
use crate::state::{
    Customer, Delivery, DeliveryKey, Figures, Instance, Invocation, OperationFigures, PlanFigures, Shared,
    Stage, Store, Worker,
};
use crate::types::{
    Arrival, CountName, CustomerId, DeliveryNo, Ended, Group, InvId, Listed, Operation, OperationId, Outcome,
    Phase, Plan, PlanId, Repeat, Scope, Settings, Span, Time, TimerTag, Wake, WorkerId,
};

use quota::*;
use workers::*;

/// How often a customer's use is reported (design page).
const ROUND: Span = Span::from_millis(1000);
const CALLS_FIRST: f64 = 100.0;
/// A customer not heard of for this long is dropped once its bucket is full.
const IDLE: Span = Span::from_millis(20_000);
/// Where the fleet is full, a client is told to come back after this many usual latencies.
const COME_BACK: f64 = 0.3;
/// Further deliveries that one invocation pays for, and the most that can be saved up.
const SPARE_EACH: f64 = 0.3;
const SPARE_MOST: f64 = 10.0;
/// Usual latencies of silence that speak against a worker, and after which a delivery is looked at again.
const SILENT: f64 = 4.0;
/// A beat that comes this much late tells that the gatekeeper stood still.
const BEAT: Span = Span::from_millis(200);
const STOOD: Span = Span::from_millis(100);
const FRESH: f64 = 0.1;
/// The part of the multiple that pushes a cold worker over that is made use of, and what it may get at once.
const COLD_PART: f64 = 0.6;
/// How many sizes of an operation are told apart, larger ones going with the last; and the part of the
/// objective that is taken for usual before any latency is known.
const SIZES: usize = 17;
const USUAL_AT_FIRST: f64 = 0.1;

pub struct Gatekeeper {
    figures: Figures,
    rng: Rng,
    instance: Instance,
    workers: BTreeMap<WorkerId, Worker>,
    customers: BTreeMap<CustomerId, Customer>,
    invocations: HashMap<InvId, Invocation>,
    deliveries: HashMap<DeliveryKey, Delivery>,
}

fn derive(s: &Settings) -> Figures {
    let plan = |p: &Plan| {
        let (rate, burst) = (p.rate.max(0.0), p.burst.max(0.0));
        let fill = Span::from_secs(if rate > 0.0 { burst / rate } else { 0.0 });
        let window = fill.max(ROUND.times(WINDOW_ROUNDS)).min(LONGEST_KEPT.times(0.5));
        PlanFigures {
            rate: Some(rate).filter(|r| *r > 0.0),
            burst,
            open: p.open,
            ceiling_rate: p.ceiling_rate.max(0.0),
            ceiling_burst: p.ceiling_burst.max(0.0),
            window,
            allowance: burst + rate * window.secs(),
            keep: (window.times(2.0)).min(LONGEST_KEPT),
        }
    };
    let operation = |o: &Operation| OperationFigures {
        objective: o.latency_objective,
        late_pays: o.late_share > 0.0,
        repeat: o.repeat,
    };
    Figures {
        gatekeepers: f64::from(s.gatekeepers.max(1)),
        margin: s.step.times(2.0) + Span::from_millis(2),
        operations: s.operations.iter().map(operation).collect(),
        plans: s.plans.iter().map(plan).collect(),
        counter: s.counter,
        counter_timeout: s.counter_timeout,
        idle: s.idle,
        probes: s.probes,
        cancel: s.cancel,
        retry_after: Some(s.max_retry_after).filter(|_| s.retry_after),
        second_copies: s.second_copies,
        max_deliveries: s.max_deliveries.max(1) as usize,
        start_share: s.start_share.clamp(0.01, 1.0),
        warm_within: s.warm_within,
        cold_headroom: (s.fall_multiple * COLD_PART).max(1.0),
        trickle: 1.0 / s.fall.secs().max(1.0) / f64::from(s.gatekeepers.max(1)),
        retry_subscription: s.must_ask_in.times(0.1).max(Span::from_millis(200)),
    }
}

impl Gatekeeper {
    pub fn start(now: Time, seed: u64, settings: &Settings, port: &mut impl Port) -> Self {
        if settings.list_is_asked {
            port.subscribe();
        }
        port.set_timer(BEAT, Wake::Beat.tag());
        let figures = derive(settings);
        let usual = |o: &OperationFigures| vec![o.objective.secs() * USUAL_AT_FIRST; SIZES];
        let usual = figures.operations.iter().map(usual).collect();
        let call_rate = CALLS_FIRST / figures.gatekeepers.sqrt();
        let patience = settings.operations.iter().map(|o| o.integration_timeout.secs()).collect();
        Gatekeeper {
            figures,
            rng: Rng::new(seed),
            instance: Instance {
                spare: SPARE_MOST,
                carried_at: now,
                usual,
                call_rate,
                beat_due: now + BEAT,
                patience,
                ..Instance::default()
            },
            workers: BTreeMap::new(),
            customers: BTreeMap::new(),
            invocations: HashMap::new(),
            deliveries: HashMap::new(),
        }
    }

    // ---- the ordinary path ----

    pub fn invoke(&mut self, now: Time, arrival: &Arrival, port: &mut impl Port) {
        let inv = arrival.inv;
        let (operations, plans) = (self.figures.operations.len(), self.figures.plans.len());
        if arrival.operation.0 as usize >= operations || arrival.plan.0 as usize >= plans {
            return port.error(inv);
        }
        self.look_up(now);
        let units = arrival.units();

        // The quota: the window's throttle, then the local bucket, then the guards.
        self.reckon(now, arrival);
        self.ask_for_report(now, arrival.customer, port);
        if let Err(wait) = self.admits(now, arrival, units) {
            return port.throttle(inv, self.advice(wait));
        }

        // The worker: none free means that the fleet is full, and one more would only be late.
        let mut invocation = Invocation {
            operation: arrival.operation,
            plan: arrival.plan,
            customer: arrival.customer,
            units,
            arrived_at: now.saturating_sub(self.lay(now, arrival)),
            valid_until: arrival.valid_until,
            ..Invocation::default()
        };
        if !self.is_useful(now, &invocation) {
            return port.throttle(inv, None);
        }
        let Some(worker) = self.pick(now, &invocation) else {
            // A place is free once a delivery ends; a client that waits longer comes too late.
            return port.throttle(inv, self.advice(self.usual(&invocation).times(COME_BACK)));
        };

        // The charge, then the delivery.
        let customer = self.customers.get_mut(&arrival.customer).expect("reckoned above");
        customer.tokens.level -= units;
        customer.own_since += units;
        guess_others(customer, now);
        customer.ceiling.level -= units;
        customer.unreported += if customer.report_due { units } else { 0.0 };
        self.instance.spare = (self.instance.spare + SPARE_EACH).min(SPARE_MOST);
        self.deliver(now, inv, &mut invocation, worker, port);
        self.invocations.insert(inv, invocation);
    }

    /// How long an arrival lay while the gatekeeper stood still: clients of one operation give up after
    /// about the same time, so what is missing of that has passed.
    fn lay(&mut self, now: Time, arrival: &Arrival) -> Span {
        let left = (arrival.valid_until - now).secs();
        let patience = &mut self.instance.patience[arrival.operation.0 as usize];
        if now != self.instance.woke_at {
            *patience += FRESH * (left - *patience);
            return Span::default();
        }
        Span::from_secs((*patience - left).max(0.0)).min(self.instance.stood)
    }

    /// Whether an answer can still come in time for what it is worth.
    fn is_useful(&self, now: Time, i: &Invocation) -> bool {
        let operation = &self.figures.operations[i.operation.0 as usize];
        let objective = if operation.late_pays { i.valid_until } else { i.arrived_at + operation.objective };
        now + self.usual(i) < objective && now + self.figures.margin < i.valid_until
    }

    fn advice(&self, wait: Span) -> Option<Span> {
        self.figures.retry_after.map(|most| wait.min(most).max(Span::from_millis(1)))
    }

    // ---- quotas ----

    // ---- workers ----

    fn usual(&self, i: &Invocation) -> Span {
        Span::from_secs(self.instance.usual[i.operation.0 as usize][size_of(i.units)])
    }

    // ---- what becomes of deliveries ----

    pub fn expired(&mut self, inv: InvId, port: &mut impl Port) {
        if let Some(mut i) = self.invocations.remove(&inv) {
            i.step(Stage::Answered);
            self.cancel_rest(inv, &i, port);
        }
    }

    pub fn stream_started(&mut self, now: Time, inv: InvId, worker: WorkerId) {
        if let Some(w) = self.workers.get_mut(&worker) {
            w.quiet_since = now;
        }
        if let Some(i) = self.invocations.get_mut(&inv).filter(|i| i.stage != Stage::Streaming) {
            i.step(Stage::Streaming);
        }
    }

    pub fn timer(&mut self, now: Time, t: TimerTag, port: &mut impl Port) {
        self.look_up(now);
        match Wake::of(t) {
            Some(Wake::Beat) => self.beat(now, port),
            Some(Wake::Delivery(inv, no)) => self.check_delivery(now, inv, no, port),
            Some(Wake::Report(id)) => self.report(now, id, port),
            Some(Wake::Worker(id)) if self.workers.get(&id).is_some_and(|w| w.probe_out) => port.probe(id),
            Some(Wake::Subscribe) => port.subscribe(),
            _ => {}
        }
    }

    fn beat(&mut self, now: Time, port: &mut impl Port) {
        self.instance.beat_due = now + BEAT;
        self.sweep(now);
        port.set_timer(BEAT, Wake::Beat.tag());
    }

    /// A gatekeeper that stood still finds all that came meanwhile at once. How long that lay there says
    /// nothing of the workers, and their silence was its own.
    fn look_up(&mut self, now: Time) {
        let instance = &mut self.instance;
        if now - instance.beat_due < STOOD || now == instance.woke_at {
            return;
        }
        instance.woke_at = now;
        instance.stood = now - instance.beat_due + BEAT.times(0.5);
        self.workers.values_mut().for_each(|w| w.quiet_since = now);
    }

    pub fn list_failed(&mut self, port: &mut impl Port) {
        port.set_timer(self.figures.retry_subscription, Wake::Subscribe.tag());
    }
}

/// Sizes of one operation are told apart in steps of a unit, up to the last.
fn size_of(units: f64) -> usize {
    (units.ceil() as usize).min(SIZES - 1)
}
