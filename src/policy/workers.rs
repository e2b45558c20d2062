//! Workers: which one gets a delivery, how many may be out, cold ones, doubt.

use super::*;

/// A delivery is late over this part of the latency objective; where more than this share is late, the
/// instance's limit is cut, and under half of that it grows.
pub(super) const TOO_SLOW: f64 = 0.4;
pub(super) const LATE_MANY: f64 = 0.2;
/// Deliveries out per worker, by all gatekeepers together, at the least: long work alone idles no worker.
pub(super) const LEAST_LIMIT: f64 = 4.0;
/// How far what is out may be over the limit while its mean over so many seconds is under it.
pub(super) const ROOM: f64 = 4.0;
pub(super) const MEAN_OVER: f64 = 2.0;
/// A cut, and how long the next has to wait.
pub(super) const CUT: f64 = 0.9;
pub(super) const CUT_EVERY: Span = Span::from_millis(150);
/// How long a worker is avoided after one that speaks against all of it.
pub(super) const AVOID: Span = Span::from_millis(1000);
pub(super) const DOUBT_OVER: f64 = 10.0;
pub(super) const DOUBTED: f64 = 0.4;
/// Seconds over which the rate of what comes back is reckoned, and for which the most of it counts.
pub(super) const RATE_OVER: f64 = 2.0;
pub(super) const CARRIED_OVER: f64 = 8.0;
pub(super) const COLD_BURST: f64 = 2.0;
/// No worker is taken for less slow than this when two are drawn: one that holds nothing only seems fast.
pub(super) const SEEMS_FAST: f64 = 0.7;
/// How much sooner a worker is drawn to which a connection is at hand, unless it is so much slower than usual.
pub(super) const AT_HAND: f64 = 1000.0;
pub(super) const TOO_SLOW_AT_HAND: f64 = 1.5;
/// Workers over this many times the mean cost are not drawn; a little over 1 for the rounding.
pub(super) const NO_BUSIER: f64 = 1.0001;

impl Gatekeeper {
    /// Two drawn at random; the one that this gatekeeper's own counts favour.
    pub(super) fn pick(&mut self, now: Time, invocation: &Invocation) -> Option<WorkerId> {
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
    pub(super) fn draw(&mut self, open: &[(WorkerId, f64, f64)]) -> Option<(WorkerId, f64)> {
        let mut point = self.rng.unit() * open.iter().map(|(_, _, able)| able).sum::<f64>();
        let drawn = open.iter().find(|(_, _, able)| {
            point -= able;
            point < 0.0
        });
        drawn.or(open.last()).map(|(id, cost, _)| (*id, *cost))
    }

    /// How many deliveries may be out: by the latencies that come back, and the even part at the least.
    pub(super) fn limit(&self, now: Time) -> f64 {
        let able = self.workers.values().filter(|w| !w.draining).map(|w| warmth(&self.figures, w, now));
        let part = able.sum::<f64>() / self.figures.gatekeepers;
        self.instance.limit.max(LEAST_LIMIT * part)
    }

    /// The share of late answers counts, not their mean: a few very slow workers are for the pick to avoid.
    pub(super) fn adapt_limit(&mut self, now: Time, operation: usize, took: f64) {
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

    /// A cold worker may get what others of its size carry, by what it can do now, and no burst: however many
    /// gatekeepers do the same. What they carry is what came back, not what was sent, and the most of the
    /// last seconds: where the rest jams, the cold ones must not be starved too. Where nothing is known, one
    /// delivery in each stated time by all gatekeepers together finds out.
    pub(super) fn share_out(&mut self, now: Time) {
        let f = &self.figures;
        for w in self.workers.values_mut().filter(|w| w.started_at.is_some()) {
            let able = (warmth(f, w, now) * f.cold_headroom).min(1.0);
            let rate = (self.instance.carried * w.heft * able).max(f.trickle);
            w.cold_budget.fill(now, rate, COLD_BURST);
        }
    }

    /// Keeps what came back in a second, and the most of it for each part of the fleet that was able to.
    pub(super) fn note_carried(&mut self, now: Time) {
        let f = &self.figures;
        let able: f64 = self.workers.values().map(|w| w.heft * warmth(f, w, now)).sum();
        let instance = &mut self.instance;
        let gap = now - instance.carried_at;
        instance.carried_at = now;
        instance.rate = instance.rate * gap.fading(RATE_OVER) + 1.0 / RATE_OVER;
        instance.carried = (instance.carried * gap.fading(CARRIED_OVER)).max(instance.rate / able.max(1e-9));
    }

    pub(super) fn avoid(&mut self, now: Time, id: WorkerId, port: &mut impl Port) {
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

/// What is out counts by the time usual for it: a large invocation is as much as many small ones.
pub(super) fn cost(w: &Worker) -> f64 {
    w.load * w.slowness / w.heft
}

/// What it can do of a kind of work. Where next to nothing is out the counts tell nothing, and without this
/// all gatekeepers would take to the same few workers that are larger or seem faster.
pub(super) fn able(f: &Figures, w: &Worker, kind: (OperationId, PlanId), now: Time) -> f64 {
    // A cold worker's share is drawn like a worker at hand, or at hundreds of gatekeepers it is never used.
    let owed = warmth(f, w, now) < 1.0 && w.cold_budget.level >= 1.0;
    let at_hand = if owed || is_at_hand(f, w, now) { AT_HAND } else { 1.0 };
    at_hand * w.heft * ((1.0 - w.doubt(kind, now, DOUBT_OVER)) / w.slowness.max(SEEMS_FAST)).powi(2)
}

/// Whether a connection to it is open and idle. One gatekeeper among hundreds that draws from all workers meets
/// each too seldom to know any, and pays for a connection nearly each time; with those that it has, its counts
/// and latencies tell something. A further one is met where these are busier than the mean, doubted or slow.
pub(super) fn is_at_hand(f: &Figures, w: &Worker, now: Time) -> bool {
    w.used_at.is_some_and(|at| now - at < f.idle) && w.slowness < TOO_SLOW_AT_HAND
}

/// It failed lately, at work of this kind too much, or was silent for long for what is out there.
pub(super) fn is_in_doubt(w: &Worker, kind: (OperationId, PlanId), now: Time) -> bool {
    let is_silent = w.out > 0 && (now - w.quiet_since).secs() > SILENT * w.load / f64::from(w.out);
    now < w.avoid_until || is_silent || w.doubt(kind, now, DOUBT_OVER) > DOUBTED
}

/// The share of its capacity that a worker is sure to have by now.
pub(super) fn warmth(f: &Figures, w: &Worker, now: Time) -> f64 {
    let Some(started) = w.started_at else { return 1.0 };
    let age = (now - started).secs() / f.warm_within.secs().max(1e-3);
    (f.start_share + (1.0 - f.start_share) * age).min(1.0)
}

pub(super) fn has_cold_budget(f: &Figures, w: &Worker, now: Time) -> bool {
    warmth(f, w, now) >= 1.0 || w.cold_budget.level >= 1.0
}

/// Whether the rules allow this invocation at this worker, by what may have run before.
pub(super) fn in_group(f: &Figures, i: &Invocation, w: &Worker, now: Time) -> bool {
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
