//! Quotas: buckets, reports to the counter, guesses at the others, throttles, ceilings.

use super::*;

/// The weight of a new gap between invocations of a customer.
pub(super) const FRESH_GAP: f64 = 0.3;
/// Where the last total is old, the next report comes after this part of a round.
pub(super) const SOON_PART: f64 = 0.2;
/// A window is several rounds long, as in the paper; a count may be kept for no more than a minute.
pub(super) const WINDOW_ROUNDS: f64 = 20.0;
pub(super) const LONGEST_KEPT: Span = Span::from_millis(60_000);
/// How long others are charged on a guess without a new total, for each of them up to so many.
pub(super) const GUESS_STANDS: Span = Span::from_millis(3000);
pub(super) const GUESS_MOST: f64 = 10.0;
/// So many others, at most, are thought to do as this one does: of hundreds the one that a customer meets is more
/// often one of those that get much of it.
pub(super) const GUESS_LIKE: f64 = 60.0;
/// How many more in each second that they are answered in; what a failure leaves of them, and for how long one
/// cut has to stand.
pub(super) const CALLS_MORE: f64 = 1.0;
pub(super) const CALLS_DOWN: f64 = 0.7;
pub(super) const CUT_CALLS: Span = Span::from_millis(300);
/// The weight of a new total in the rate of the others' use.
pub(super) const FRESH_USE: f64 = 0.3;
/// Calls to the counter in a second, at least, at most, and at first by the square root of the gatekeepers.
pub(super) const CALLS_LEAST: f64 = 0.3;
pub(super) const CALLS_MOST: f64 = 200.0;
pub(super) const CUSTOMER_BITS: u64 = (1 << 34) - 1;

impl Gatekeeper {
    /// Whether the customer may go on; else when it should come back.
    pub(super) fn admits(&self, now: Time, arrival: &Arrival, units: f64) -> Result<(), Span> {
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

    /// Brings a customer's stores up to now; makes them for one that is new.
    pub(super) fn reckon(&mut self, now: Time, arrival: &Arrival) {
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
        // How far apart its invocations come in here; nothing is known of that with the first.
        if customer.seen_at != Time::default() {
            let gap = (now - customer.seen_at).secs();
            let weight = if customer.gap > 0.0 { FRESH_GAP } else { 1.0 };
            customer.gap += weight * (gap - customer.gap);
        }
        customer.plan = arrival.plan;
        customer.spread = customer.spread.max(spread);
        customer.seen_at = now;
        refill(customer, plan, now);
    }

    /// A customer's use is reported one round after there is something to say.
    pub(super) fn ask_for_report(&mut self, now: Time, id: CustomerId, port: &mut impl Port) {
        let customer = self.customers.get_mut(&id).expect("reckoned above");
        let has_rate = self.figures.plans[customer.plan.0 as usize].rate.is_some();
        if self.figures.counter && has_rate && customer.spread > 1.0 && !customer.report_due {
            customer.report_due = true;
            // What is known of the others is old, or nothing: then it is asked for soon.
            let is_old =
                now - customer.told_at > ROUND.times(2.0) || customer.shared.asked_at == Time::default();
            let soon = if is_old { ROUND.times(SOON_PART) } else { ROUND };
            port.set_timer(soon, Wake::Report(id).tag());
        }
    }

    pub(super) fn report(&mut self, now: Time, id: CustomerId, port: &mut impl Port) {
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
            return self.ask_for_report(now, id, port);
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

    /// Keeps memory bounded: customers long idle with a full bucket are dropped.
    pub(super) fn sweep(&mut self, now: Time) {
        let plans = &self.figures.plans;
        self.customers.retain(|_, c| {
            let plan = &plans[c.plan.0 as usize];
            refill(c, plan, now);
            let is_full = plan.rate.is_none() || c.tokens.level >= plan.burst;
            !(is_full && c.unreported == 0.0 && c.out == 0 && !c.report_due && now - c.seen_at > IDLE)
        });
    }
}

/// The name of a customer's count for a window of the clock.
pub(super) fn count_name(id: CustomerId, window: u64) -> CountName {
    CountName(window << 34 | id.0 & CUSTOMER_BITS)
}

/// The bucket refills at the plan's rate, less what the others are thought to take of it.
pub(super) fn refill(c: &mut Customer, plan: &PlanFigures, now: Time) {
    let part = 0.999 / c.spread;
    c.ceiling.fill(now, plan.ceiling_rate * part, plan.ceiling_burst * part);
    let Some(rate) = plan.rate else { return };
    c.tokens.fill(now, rate, plan.burst);
    guess_others(c, now);
}

/// Between totals the others are charged by the larger of two guesses: that they go on as they did, and
/// that each does as this one, as in a sudden flood. What finds no tokens stays owed until a total puts it
/// right: without that a heavy customer is taken for quiet too soon.
pub(super) fn guess_others(c: &mut Customer, now: Time) {
    let gap = (now - c.told_at).min(GUESS_STANDS.times((c.spread - 1.0).min(GUESS_MOST))).secs();
    let guess = (c.others_rate * gap).max((c.spread - 1.0).min(GUESS_LIKE) * c.own_since);
    let more = (guess - c.guessed).clamp(0.0, c.tokens.level.max(0.0));
    c.guessed += more;
    c.tokens.level -= more;
}

/// A total came back: the others' part of it is charged here too, in place of what was guessed.
pub(super) fn hear_total(c: &mut Customer, plan: &PlanFigures, now: Time, total: f64, amount: f64) {
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
    // What the others let through beyond the bucket is owed as far as it would fill up again before the customer
    // comes back here: one that is met seldom would else find a full bucket each time, at each of hundreds.
    let owed = (plan.rate.unwrap_or(0.0) * c.gap).min(plan.burst);
    c.tokens.level = (c.tokens.level + c.guessed - others).clamp(-owed, plan.burst);
    c.guessed = 0.0;
    c.told_at = now;
    if s.total + s.lost > plan.allowance {
        c.throttled_until = Time::from_nanos((s.window + 1) * plan.window.nanos());
    }
}
