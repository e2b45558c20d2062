//! The decisions of one gatekeeper.
//!
//! A front calls the methods of [`Gatekeeper`] with what it hears; each answers at once through the
//! [`Port`] it is handed (src/port.rs). What is remembered is in src/state.rs. Nothing here knows a
//! protocol, a deployment or another instance. docs/design.md says what is kept of the design page,
//! what was added, and when each exception acts.

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

/// How often a customer's use is reported (design page).
const ROUND: Span = Span::from_millis(1000);
/// A window is several rounds long, as in the paper; a count may be kept for no more than a minute.
const WINDOW_ROUNDS: f64 = 20.0;
const LONGEST_KEPT: Span = Span::from_millis(60_000);
/// How long others are charged on a guess without a new total, for each of them up to so many.
const GUESS_STANDS: Span = Span::from_millis(3000);
const GUESS_MOST: f64 = 10.0;
/// So many others, at most, are thought to do as this one does: of hundreds the one that a customer meets is more
/// often one of those that get much of it.
const GUESS_LIKE: f64 = 60.0;
/// Calls to the counter in a second, at least, at most, and at first by the square root of the gatekeepers.
const CALLS_LEAST: f64 = 0.3;
const CALLS_MOST: f64 = 200.0;
const CALLS_FIRST: f64 = 100.0;
/// How many more in each second that they are answered in; what a failure leaves of them, and for how long one
/// cut has to stand.
const CALLS_MORE: f64 = 1.0;
const CALLS_DOWN: f64 = 0.7;
const CUT_CALLS: Span = Span::from_millis(300);
/// The weight of a new total in the rate of the others' use.
const FRESH_USE: f64 = 0.3;
/// A customer not heard of for this long is dropped once its bucket is full.
const IDLE: Span = Span::from_millis(20_000);
/// A delivery is late over this part of the latency objective; where more than this share is late, the
/// instance's limit is cut, and under half of that it grows.
const TOO_SLOW: f64 = 0.4;
const LATE_MANY: f64 = 0.2;
/// Deliveries out per worker, by all gatekeepers together, at the least: long work alone idles no worker.
const LEAST_LIMIT: f64 = 4.0;
/// How far what is out may be over the limit while its mean over so many seconds is under it.
const ROOM: f64 = 4.0;
const MEAN_OVER: f64 = 2.0;
/// Where the fleet is full, a client is told to come back after this many usual latencies.
const COME_BACK: f64 = 0.3;
/// A cut, and how long the next has to wait.
const CUT: f64 = 0.9;
const CUT_EVERY: Span = Span::from_millis(150);
/// Further deliveries that one invocation pays for, and the most that can be saved up.
const SPARE_EACH: f64 = 0.3;
const SPARE_MOST: f64 = 10.0;
/// How long a worker is avoided after one that speaks against all of it.
const AVOID: Span = Span::from_millis(1000);
/// Of a kind of work: the weight of one more failure, the seconds it fades over, the share that is too much.
const FAILED: f64 = 0.5;
const DOUBT_OVER: f64 = 10.0;
const DOUBTED: f64 = 0.4;
/// Usual latencies of silence that speak against a worker, and after which a delivery is looked at again.
const SILENT: f64 = 4.0;
/// A beat that comes this much late tells that the gatekeeper stood still.
const BEAT: Span = Span::from_millis(200);
const STOOD: Span = Span::from_millis(100);
/// The most that one latency counts, in what is usual, and the weight of a new one in a running mean.
const SLOWEST: f64 = 10.0;
const FRESH: f64 = 0.1;
/// Seconds over which the rate of what comes back is reckoned, and for which the most of it counts.
const RATE_OVER: f64 = 2.0;
const CARRIED_OVER: f64 = 8.0;
/// The part of the multiple that pushes a cold worker over that is made use of, and what it may get at once.
const COLD_PART: f64 = 0.6;
const COLD_BURST: f64 = 2.0;
/// No worker is taken for less slow than this when two are drawn: one that holds nothing only seems fast.
const SEEMS_FAST: f64 = 0.7;
/// How much sooner a worker is drawn to which a connection is at hand, unless it is so much slower than usual.
const AT_HAND: f64 = 1000.0;
const TOO_SLOW_AT_HAND: f64 = 1.5;
/// Workers over this many times the mean cost are not drawn; a little over 1 for the rounding.
const NO_BUSIER: f64 = 1.0001;
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
        self.ask_for_report(arrival.customer, port);
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

    /// Whether the customer may go on; else when it should come back.
    fn admits(&self, now: Time, arrival: &Arrival, units: f64) -> Result<(), Span> {
        let customer = &self.customers[&arrival.customer];
        let plan = &self.figures.plans[arrival.plan.0 as usize];
        if now < customer.throttled_until {
            return Err(ROUND);
        }
        if let Some(rate) = plan.rate
            && customer.tokens.level < units
        {
            return Err(Span::from_secs((units - customer.tokens.level) / rate));
        }
        // Ceilings hold without agreement: each gatekeeper spends its even part only.
        if plan.ceiling_rate > 0.0 && customer.ceiling.level < units {
            return Err(Span::from_secs(
                (units - customer.ceiling.level) * customer.spread / plan.ceiling_rate,
            ));
        }
        if plan.open > 0 && f64::from(customer.out) >= (f64::from(plan.open) / customer.spread).ceil() {
            return Err(ROUND);
        }
        Ok(())
    }

    fn advice(&self, wait: Span) -> Option<Span> {
        self.figures.retry_after.map(|most| wait.min(most).max(Span::from_millis(1)))
    }

    // ---- quotas ----

    /// Brings a customer's stores up to now; makes them for one that is new.
    fn reckon(&mut self, now: Time, arrival: &Arrival) {
        let plan = &self.figures.plans[arrival.plan.0 as usize];
        let spread = arrival.spread_among(self.figures.gatekeepers);
        let customer = self.customers.entry(arrival.customer).or_insert_with(|| Customer {
            // The store is full at first; what the others take of it is guessed until a total tells.
            tokens: Store { level: plan.burst, at: now },
            ceiling: Store { level: 0.0, at: now },
            told_at: now,
            // The ceiling's store starts empty, so that a restart never fills it.
            ..Customer::default()
        });
        customer.plan = arrival.plan;
        customer.spread = customer.spread.max(spread);
        customer.seen_at = now;
        refill(customer, plan, now);
    }

    /// A customer's use is reported one round after there is something to say.
    fn ask_for_report(&mut self, id: CustomerId, port: &mut impl Port) {
        let customer = self.customers.get_mut(&id).expect("reckoned above");
        let has_rate = self.figures.plans[customer.plan.0 as usize].rate.is_some();
        if self.figures.counter && has_rate && customer.spread > 1.0 && !customer.report_due {
            customer.report_due = true;
            port.set_timer(ROUND, Wake::Report(id).tag());
        }
    }

    fn report(&mut self, now: Time, id: CustomerId, port: &mut impl Port) {
        let Some(customer) = self.customers.get_mut(&id) else { return };
        let plan = &self.figures.plans[customer.plan.0 as usize];
        customer.report_due = false;
        let amount = customer.unreported + customer.shared.unadded;
        // A call that only reads is let go where calls are scarce; one that adds waits for another round.
        let rate = self.instance.call_rate;
        let scarce = self.instance.calls.fill(now, rate, rate.max(1.0)) < 1.0;
        if scarce && amount == 0.0 {
            return;
        }
        if customer.shared.in_call.is_some() || scarce {
            return self.ask_for_report(id, port);
        }
        self.instance.calls.level -= 1.0;
        refill(customer, plan, now);
        let window = now.periods(plan.window);
        if customer.shared.window != window {
            customer.shared = Shared { window, ..Shared::default() };
            // What was guessed for the time before the window stays charged.
            let begun = now - Time::from_nanos(window * plan.window.nanos());
            customer.guessed = customer.guessed.min(customer.others_rate * begun.secs());
            customer.told_at = customer.told_at.max(now.saturating_sub(begun));
            customer.own_since = customer.unreported;
        }
        let amount = customer.unreported + customer.shared.unadded;
        customer.unreported = 0.0;
        customer.shared.unadded = 0.0;
        customer.shared.in_call = Some(amount);
        customer.shared.asked_at = now;
        port.add_to_count(count_name(id, window), plan.keep, amount as f32);
    }

    pub fn counted(&mut self, now: Time, name: CountName, outcome: Outcome, total: f32) {
        let id = CustomerId(name.0 & CUSTOMER_BITS);
        let Some(customer) = self.customers.get_mut(&id) else { return };
        if name != count_name(id, customer.shared.window) {
            return;
        }
        let Some(amount) = customer.shared.in_call.take() else { return };
        // Calls that fail or come late tell that all gatekeepers together ask too much of the counter.
        let late = now - customer.shared.asked_at > self.figures.counter_timeout;
        let i = &mut self.instance;
        if outcome == Outcome::Succeeded && !late {
            i.call_rate = (i.call_rate + CALLS_MORE / i.call_rate).min(CALLS_MOST);
        } else if now - i.call_cut_at > CUT_CALLS {
            i.call_cut_at = now;
            i.call_rate = (i.call_rate * CALLS_DOWN).max(CALLS_LEAST);
        }
        let plan = &self.figures.plans[customer.plan.0 as usize];
        match outcome {
            Outcome::Succeeded if total.is_finite() => {
                refill(customer, plan, now);
                hear_total(customer, plan, now, f64::from(total), amount);
            }
            // Added, but the total can't be read: the next one is known to hold this.
            Outcome::Succeeded => customer.shared.total += amount,
            // Not added: goes with this window's next report. Later ones leave out what piled up meanwhile.
            Outcome::Full | Outcome::ConnectFailed => customer.shared.unadded += amount,
            // Perhaps added: then it comes back as the others' use.
            _ => {}
        }
    }

    // ---- workers ----

    /// Two drawn at random; the one that this gatekeeper's own counts favour.
    fn pick(&mut self, now: Time, invocation: &Invocation) -> Option<WorkerId> {
        // What comes in by chance spreads by the square root of its mean: a limit of few needs room for it,
        // and one of less than one at each of hundreds holds in the mean only.
        let limit = self.limit(now);
        // What came while the gatekeeper stood still has a claim to what it did not send meanwhile.
        let stood = if now == self.instance.woke_at { self.instance.stood.secs() } else { 0.0 };
        let missed = stood / self.usual(invocation).secs().max(1e-3);
        // What is out past its objective counts as far as answers are late too, as in a jam; where they are
        // not, it is lost, and must not keep others from being sent.
        let objective = |d: &Delivery| self.figures.operations[d.kind.0.0 as usize].objective;
        let fresh = self.deliveries.values().filter(|d| now - d.sent_at < objective(d)).count();
        let jam = (self.instance.late_share / LATE_MANY).min(1.0);
        let out = fresh as f64 + jam * (self.deliveries.len() - fresh) as f64;
        let room = (ROOM * (limit - self.instance.mean_out(now, out, MEAN_OVER))).clamp(-1.0, limit.sqrt());
        if out >= limit * (1.0 + missed) + room {
            return None;
        }
        self.share_out(now);
        let f = &self.figures;
        let kind = (invocation.operation, invocation.plan);
        let fits = |id: &WorkerId, w: &Worker| {
            let may = !w.draining && !invocation.tried.contains(id) && in_group(f, invocation, w, now);
            may && has_cold_budget(f, w, now)
        };
        let (healthy, doubtful): (Vec<_>, Vec<_>) =
            self.workers.iter().filter(|(id, w)| fits(id, w)).partition(|(_, w)| !is_in_doubt(w, kind, now));
        // Where every worker is in doubt, the doubt is more likely about the way there.
        let open = if healthy.is_empty() { doubtful } else { healthy };
        // Two drawn from all would still now and then load a busy worker while others idle: in overload
        // that idle time is what is missing. So only workers no busier than the mean are drawn.
        let mean = open.iter().map(|(_, w)| cost(w)).sum::<f64>() / open.len().max(1) as f64;
        let open = open.into_iter().filter(|(_, w)| cost(w) <= mean * NO_BUSIER);
        let open: Vec<_> = open.map(|(id, w)| (*id, cost(w), able(f, w, kind, now))).collect();
        let (a, cost_a) = self.draw(&open)?;
        let (b, cost_b) = self.draw(&open)?;
        Some(if cost_b < cost_a { b } else { a })
    }

    /// One at random, by what each can do; with its cost.
    fn draw(&mut self, open: &[(WorkerId, f64, f64)]) -> Option<(WorkerId, f64)> {
        let mut point = self.rng.unit() * open.iter().map(|(_, _, able)| able).sum::<f64>();
        let drawn = open.iter().find(|(_, _, able)| {
            point -= able;
            point < 0.0
        });
        drawn.or(open.last()).map(|(id, cost, _)| (*id, *cost))
    }

    /// How many deliveries may be out: by the latencies that come back, and the even part at the least.
    fn limit(&self, now: Time) -> f64 {
        let able = self.workers.values().filter(|w| !w.draining).map(|w| warmth(&self.figures, w, now));
        let part = able.sum::<f64>() / self.figures.gatekeepers;
        self.instance.limit.max(LEAST_LIMIT * part)
    }

    /// The share of late answers counts, not their mean: a few very slow workers are for the pick to avoid.
    fn adapt_limit(&mut self, now: Time, operation: usize, took: f64) {
        let limit = self.limit(now);
        let objective = self.figures.operations[operation].objective.secs();
        let instance = &mut self.instance;
        let late = if took > objective * TOO_SLOW { 1.0 } else { 0.0 };
        instance.late_share += FRESH * (late - instance.late_share);
        if instance.late_share > LATE_MANY && now - instance.cut_at > CUT_EVERY {
            instance.cut_at = now;
            instance.limit = limit.min(instance.mean + 1.0) * CUT;
        } else if instance.late_share < LATE_MANY * 0.5 && instance.mean > limit * 0.7 {
            let step = self.workers.len() as f64 / self.figures.gatekeepers;
            instance.limit = limit + step / limit.max(1.0);
        }
    }

    fn usual(&self, i: &Invocation) -> Span {
        Span::from_secs(self.instance.usual[i.operation.0 as usize][size_of(i.units)])
    }

    fn deliver(&mut self, now: Time, inv: InvId, i: &mut Invocation, id: WorkerId, port: &mut impl Port) {
        let weight = self.usual(i).secs();
        let w = self.workers.get_mut(&id).expect("picked from these");
        w.sent(now, weight);
        w.cold_budget.level -= 1.0;
        let is_copy = i.stage == Stage::Out;
        let no = DeliveryNo(i.tried.len() as u8);
        let delivery = Delivery {
            worker: id,
            sent_at: now,
            kind: (i.operation, i.plan),
            size: size_of(i.units),
            weight,
            customer: i.customer,
        };
        self.deliveries.insert((inv, no), delivery);
        i.tried.push(id);
        i.unproven += 1;
        i.may_have_run.get_or_insert((now, w.zone, w.cell));
        i.step(if is_copy { Stage::Doubled } else { Stage::Out });
        if let Some(c) = self.customers.get_mut(&i.customer) {
            c.out += 1;
        }
        port.deliver(inv, id, i.valid_until.saturating_sub(self.figures.margin));
        let operation = &self.figures.operations[i.operation.0 as usize];
        if operation.repeat != Repeat::NonIdempotent {
            let usual = Span::from_secs(weight * SILENT);
            let check = usual.max(operation.objective.times(0.2)).min(operation.objective.times(0.6));
            port.set_timer(check, Wake::Delivery(inv, no).tag());
        }
    }

    /// A cold worker may get what others of its size carry, by what it can do now, and no burst: however many
    /// gatekeepers do the same. What they carry is what came back, not what was sent, and the most of the
    /// last seconds: where the rest jams, the cold ones must not be starved too. Where nothing is known, one
    /// delivery in each stated time by all gatekeepers together finds out.
    fn share_out(&mut self, now: Time) {
        let f = &self.figures;
        for w in self.workers.values_mut().filter(|w| w.started_at.is_some()) {
            let able = (warmth(f, w, now) * f.cold_headroom).min(1.0);
            let rate = (self.instance.carried * w.heft * able).max(f.trickle);
            w.cold_budget.fill(now, rate, COLD_BURST);
        }
    }

    /// Keeps what came back in a second, and the most of it for each part of the fleet that was able to.
    fn note_carried(&mut self, now: Time) {
        let f = &self.figures;
        let able: f64 = self.workers.values().map(|w| w.heft * warmth(f, w, now)).sum();
        let instance = &mut self.instance;
        let gap = now - instance.carried_at;
        instance.carried_at = now;
        instance.rate = instance.rate * gap.fading(RATE_OVER) + 1.0 / RATE_OVER;
        instance.carried = (instance.carried * gap.fading(CARRIED_OVER)).max(instance.rate / able.max(1e-9));
    }

    // ---- what becomes of deliveries ----

    pub fn delivery_ended(&mut self, now: Time, e: &Ended, port: &mut impl Port) {
        self.look_up(now);
        let Some(delivery) = self.deliveries.remove(&(e.inv, e.no)) else { return };
        self.learn(now, e, &delivery, port);
        if let Some(customer) = self.customers.get_mut(&delivery.customer) {
            customer.out = customer.out.saturating_sub(1);
        }
        if e.outcome == Outcome::Succeeded {
            self.note_carried(now);
        }
        let Some(mut i) = self.invocations.remove(&e.inv) else { return };
        if let Some(actual) = e.actual.filter(|_| e.outcome == Outcome::Succeeded)
            && let Some(customer) = self.customers.get_mut(&i.customer)
        {
            let more = f64::from(actual) - i.units;
            customer.tokens.level -= more;
            customer.unreported += more;
        }
        if e.outcome.never_ran() {
            i.unproven -= 1;
            if i.unproven == 0 {
                i.may_have_run = None;
            }
        }
        if e.last || e.outcome == Outcome::Succeeded {
            i.step(Stage::Answered);
            return self.cancel_rest(e.inv, &i, port);
        }
        if i.stage == Stage::Doubled {
            i.step(Stage::Out);
        }
        if i.stage == Stage::Streaming || !self.outstanding(e.inv, &i).is_empty() {
            self.invocations.insert(e.inv, i);
            return;
        }
        i.step(Stage::Taken);
        self.go_on(now, e.inv, i, e.outcome, port);
    }

    /// Nothing is out: another delivery, or the final answer at once.
    fn go_on(&mut self, now: Time, inv: InvId, mut i: Invocation, outcome: Outcome, port: &mut impl Port) {
        let repeat = self.figures.operations[i.operation.0 as usize].repeat;
        if outcome != Outcome::Moot && self.deliver_again(now, inv, &mut i, port) {
            self.invocations.insert(inv, i);
            return;
        }
        let harmless =
            i.may_have_run.is_none() || matches!(repeat, Repeat::Idempotent | Repeat::Tokened(Group::All, _));
        i.step(Stage::Answered);
        if harmless {
            port.throttle(inv, self.advice(self.usual(&i).times(COME_BACK)));
        } else {
            port.error(inv);
        }
    }

    fn outstanding(&self, inv: InvId, i: &Invocation) -> Vec<DeliveryNo> {
        let nos = (0..i.tried.len()).map(|n| DeliveryNo(n as u8));
        nos.filter(|no| self.deliveries.contains_key(&(inv, *no))).collect()
    }

    fn cancel_rest(&self, inv: InvId, i: &Invocation, port: &mut impl Port) {
        let rest = if self.figures.cancel { self.outstanding(inv, i) } else { Vec::new() };
        rest.into_iter().for_each(|no| port.cancel(inv, no));
    }

    /// What the end of a delivery tells of its worker.
    fn learn(&mut self, now: Time, e: &Ended, delivery: &Delivery, port: &mut impl Port) {
        let took = e.took.secs();
        // Time-outs do not count as late: lost answers and dead workers look the same.
        let answered = matches!(e.outcome, Outcome::Succeeded | Outcome::Errored);
        let awake = now != self.instance.woke_at;
        if awake && answered {
            self.adapt_limit(now, delivery.kind.0.0 as usize, took);
        }
        let Some(w) = self.workers.get_mut(&delivery.worker) else { return };
        let was_quiet = w.quiet_since <= delivery.sent_at;
        w.ended(delivery.weight);
        if answered || matches!(e.outcome, Outcome::Full | Outcome::Reset) {
            w.quiet_since = now;
        }
        // Each of the other ends closes the connection.
        w.used_at = if answered || e.outcome == Outcome::Full { Some(now) } else { None };
        // One kind of work may fail while the others go on: the doubt is of that kind only.
        let doubt = w.doubt(delivery.kind, now, DOUBT_OVER);
        let failed = if e.outcome == Outcome::Succeeded { 0.0 } else { 1.0 };
        // A time-out speaks less clearly than a refusal or an error.
        let weight = if e.outcome == Outcome::TimedOut { FRESH } else { FAILED };
        w.doubts.insert(delivery.kind, (doubt + weight * (failed - doubt), now));
        let usual = &mut self.instance.usual[delivery.kind.0.0 as usize][delivery.size];
        let sample = (took / usual.max(1e-6)).min(SLOWEST);
        match e.outcome {
            Outcome::Succeeded if awake => {
                w.slowness += if sample > w.slowness { FRESH * 2.0 } else { FRESH } * (sample - w.slowness);
                *usual += FRESH * 0.2 * (took - *usual);
            }
            Outcome::TimedOut | Outcome::Cancelled if !was_quiet => {
                w.slowness += FRESH * 2.0 * (sample - w.slowness).max(0.0);
            }
            Outcome::TimedOut | Outcome::ConnectFailed | Outcome::Reset => {
                self.avoid(now, delivery.worker, port)
            }
            _ => {}
        }
    }

    fn avoid(&mut self, now: Time, id: WorkerId, port: &mut impl Port) {
        let Some(w) = self.workers.get_mut(&id) else { return };
        w.avoid_until = now + AVOID;
        if self.figures.probes && !w.probe_out {
            w.probe_out = true;
            port.set_timer(AVOID, Wake::Worker(id).tag());
        }
    }

    pub fn probed(&mut self, now: Time, id: WorkerId, outcome: Outcome, port: &mut impl Port) {
        let Some(w) = self.workers.get_mut(&id) else { return };
        w.probe_out = false;
        if outcome != Outcome::Succeeded {
            return self.avoid(now, id, port);
        }
        w.avoid_until = now;
    }

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

    /// A delivery that is late at a worker in doubt, dead or cut off, is sent elsewhere. One that is late at
    /// a worker that goes on answering is left alone: a copy would only add to the load that made it late.
    fn check_delivery(&mut self, now: Time, inv: InvId, no: DeliveryNo, port: &mut impl Port) {
        let Some(delivery) = self.deliveries.get(&(inv, no)) else { return };
        let worker = self.workers.get(&delivery.worker);
        if worker.is_some_and(|w| !is_in_doubt(w, delivery.kind, now)) {
            return;
        }
        let Some(mut i) = self.invocations.remove(&inv) else { return };
        if i.stage == Stage::Out && self.figures.second_copies {
            self.deliver_again(now, inv, &mut i, port);
        } else if i.stage == Stage::Out && self.figures.cancel && self.instance.spare >= 1.0 {
            // Its end as cancelled makes room for the next.
            port.cancel(inv, no);
        }
        self.invocations.insert(inv, i);
    }

    /// One more delivery, where it can still be of use and there is something to spare: further deliveries
    /// multiply the load just when there is none to spare.
    fn deliver_again(&mut self, now: Time, inv: InvId, i: &mut Invocation, port: &mut impl Port) -> bool {
        let operation = &self.figures.operations[i.operation.0 as usize];
        if operation.repeat == Repeat::NonIdempotent && i.may_have_run.is_some() {
            return false;
        }
        let may = i.tried.len() < self.figures.max_deliveries && self.instance.spare >= 1.0;
        if !may || !self.is_useful(now, i) {
            return false;
        }
        let Some(worker) = self.pick(now, i) else { return false };
        self.instance.spare -= 1.0;
        self.deliver(now, inv, i, worker, port);
        true
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

    /// Keeps memory bounded: customers long idle with a full bucket are dropped.
    fn sweep(&mut self, now: Time) {
        let plans = &self.figures.plans;
        self.customers.retain(|_, c| {
            let plan = &plans[c.plan.0 as usize];
            refill(c, plan, now);
            let is_full = plan.rate.is_none() || c.tokens.level >= plan.burst;
            !(is_full && c.unreported == 0.0 && c.out == 0 && !c.report_due && now - c.seen_at > IDLE)
        });
    }

    pub fn list_failed(&mut self, port: &mut impl Port) {
        port.set_timer(self.figures.retry_subscription, Wake::Subscribe.tag());
    }

    pub fn listed(&mut self, now: Time, scope: Scope, list: &[Listed]) {
        if scope != Scope::Delta {
            self.workers.retain(|id, _| list.iter().any(|l| l.worker == *id));
        }
        for l in list {
            if l.phase == Phase::Gone {
                self.workers.remove(&l.worker);
                continue;
            }
            let fresh = Worker {
                started_at: l.started_at,
                slowness: 1.0,
                cold_budget: Store { level: self.rng.unit(), at: now },
                ..Worker::default()
            };
            let mut w = match self.workers.remove(&l.worker) {
                Some(w) if w.started_at == l.started_at => w,
                Some(w) => Worker { out: w.out, load: w.load, ..fresh },
                None => fresh,
            };
            w.place(l);
            self.workers.insert(l.worker, w);
        }
    }
}

const CUSTOMER_BITS: u64 = (1 << 34) - 1;

/// The name of a customer's count for a window of the clock.
fn count_name(id: CustomerId, window: u64) -> CountName {
    CountName(window << 34 | id.0 & CUSTOMER_BITS)
}

/// The bucket refills at the plan's rate, less what the others are thought to take of it.
fn refill(c: &mut Customer, plan: &PlanFigures, now: Time) {
    let part = 0.999 / c.spread;
    c.ceiling.fill(now, plan.ceiling_rate * part, plan.ceiling_burst * part);
    let Some(rate) = plan.rate else { return };
    c.tokens.fill(now, rate, plan.burst);
    guess_others(c, now);
}

/// Between totals the others are charged by the larger of two guesses: that they go on as they did, and
/// that each does as this one, as in a sudden flood. What finds no tokens stays owed until a total puts it
/// right: without that a heavy customer is taken for quiet too soon.
fn guess_others(c: &mut Customer, now: Time) {
    let gap = (now - c.told_at).min(GUESS_STANDS.times((c.spread - 1.0).min(GUESS_MOST))).secs();
    let guess = (c.others_rate * gap).max((c.spread - 1.0).min(GUESS_LIKE) * c.own_since);
    let more = (guess - c.guessed).clamp(0.0, c.tokens.level.max(0.0));
    c.guessed += more;
    c.tokens.level -= more;
}

/// A total came back: the others' part of it is charged here too, in place of what was guessed.
fn hear_total(c: &mut Customer, plan: &PlanFigures, now: Time, total: f64, amount: f64) {
    let s = &mut c.shared;
    if total + 0.001 < s.total {
        // The counter came back empty: what it held is kept, and the count goes on from here.
        s.lost += s.total;
        s.total = 0.0;
    }
    let others = (total - s.total - amount).max(0.0);
    s.total = total;
    let gap = (now - c.told_at).secs().max(0.1);
    c.others_rate += FRESH_USE * (others / gap - c.others_rate);
    c.own_since = c.unreported;
    c.tokens.level = (c.tokens.level + c.guessed - others).clamp(0.0, plan.burst);
    c.guessed = 0.0;
    c.told_at = now;
    if s.total + s.lost > plan.allowance {
        c.throttled_until = Time::from_nanos((s.window + 1) * plan.window.nanos());
    }
}

/// Sizes of one operation are told apart in steps of a unit, up to the last.
fn size_of(units: f64) -> usize {
    (units.ceil() as usize).min(SIZES - 1)
}

/// What is out counts by the time usual for it: a large invocation is as much as many small ones.
fn cost(w: &Worker) -> f64 {
    w.load * w.slowness / w.heft
}

/// What it can do of a kind of work. Where next to nothing is out the counts tell nothing, and without this
/// all gatekeepers would take to the same few workers that are larger or seem faster.
fn able(f: &Figures, w: &Worker, kind: (OperationId, PlanId), now: Time) -> f64 {
    // A cold worker's share is drawn like a worker at hand, or at hundreds of gatekeepers it is never used.
    let owed = warmth(f, w, now) < 1.0 && w.cold_budget.level >= 1.0;
    let at_hand = if owed || is_at_hand(f, w, now) { AT_HAND } else { 1.0 };
    at_hand * w.heft * ((1.0 - w.doubt(kind, now, DOUBT_OVER)) / w.slowness.max(SEEMS_FAST)).powi(2)
}

/// Whether a connection to it is open and idle. One gatekeeper among hundreds that draws from all workers meets
/// each too seldom to know any, and pays for a connection nearly each time; with those that it has, its counts
/// and latencies tell something. A further one is met where these are busier than the mean, doubted or slow.
fn is_at_hand(f: &Figures, w: &Worker, now: Time) -> bool {
    w.used_at.is_some_and(|at| now - at < f.idle) && w.slowness < TOO_SLOW_AT_HAND
}

/// It failed lately, at work of this kind too much, or was silent for long for what is out there.
fn is_in_doubt(w: &Worker, kind: (OperationId, PlanId), now: Time) -> bool {
    let is_silent = w.out > 0 && (now - w.quiet_since).secs() > SILENT * w.load / f64::from(w.out);
    now < w.avoid_until || is_silent || w.doubt(kind, now, DOUBT_OVER) > DOUBTED
}

/// The share of its capacity that a worker is sure to have by now.
fn warmth(f: &Figures, w: &Worker, now: Time) -> f64 {
    let Some(started) = w.started_at else { return 1.0 };
    let age = (now - started).secs() / f.warm_within.secs().max(1e-3);
    (f.start_share + (1.0 - f.start_share) * age).min(1.0)
}

fn has_cold_budget(f: &Figures, w: &Worker, now: Time) -> bool {
    warmth(f, w, now) >= 1.0 || w.cold_budget.level >= 1.0
}

/// Whether the rules allow this invocation at this worker, by what may have run before.
fn in_group(f: &Figures, i: &Invocation, w: &Worker, now: Time) -> bool {
    match (f.operations[i.operation.0 as usize].repeat, i.may_have_run) {
        (Repeat::Tokened(group, window), Some((sent, zone, cell))) => {
            now + f.margin < sent + window
                && match group {
                    Group::All => true,
                    Group::Zone => w.zone == zone,
                    Group::Cell => w.cell == cell,
                }
        }
        _ => true,
    }
}
