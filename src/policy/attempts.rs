//! Deliveries: how they are made, what their end tells, and what comes next.

use super::*;

/// Of a kind of work: the weight of one more failure, the seconds it fades over, the share that is too much.
pub(super) const FAILED: f64 = 0.5;
/// The most that one latency counts, in what is usual, and the weight of a new one in a running mean.
pub(super) const SLOWEST: f64 = 10.0;

impl Gatekeeper {
    pub(super) fn deliver(
        &mut self,
        now: Time,
        inv: InvId,
        i: &mut Invocation,
        id: WorkerId,
        port: &mut impl Port,
    ) {
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
    pub(super) fn go_on(
        &mut self,
        now: Time,
        inv: InvId,
        mut i: Invocation,
        outcome: Outcome,
        port: &mut impl Port,
    ) {
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

    pub(super) fn outstanding(&self, inv: InvId, i: &Invocation) -> Vec<DeliveryNo> {
        let nos = (0..i.tried.len()).map(|n| DeliveryNo(n as u8));
        nos.filter(|no| self.deliveries.contains_key(&(inv, *no))).collect()
    }

    pub(super) fn cancel_rest(&self, inv: InvId, i: &Invocation, port: &mut impl Port) {
        let rest = if self.figures.cancel { self.outstanding(inv, i) } else { Vec::new() };
        rest.into_iter().for_each(|no| port.cancel(inv, no));
    }

    /// What the end of a delivery tells of its worker.
    pub(super) fn learn(&mut self, now: Time, e: &Ended, delivery: &Delivery, port: &mut impl Port) {
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

    /// A delivery that is late at a worker in doubt, dead or cut off, is sent elsewhere. One that is late at
    /// a worker that goes on answering is left alone: a copy would only add to the load that made it late.
    pub(super) fn check_delivery(&mut self, now: Time, inv: InvId, no: DeliveryNo, port: &mut impl Port) {
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
    pub(super) fn deliver_again(
        &mut self,
        now: Time,
        inv: InvId,
        i: &mut Invocation,
        port: &mut impl Port,
    ) -> bool {
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
}
