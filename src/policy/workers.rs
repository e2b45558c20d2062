//! Workers: which one gets an attempt, how many attempts may be in flight, slow start, health.

use super::*;

/// An attempt is late over this fraction of the latency objective. Where more than that fraction of them is late, the
/// concurrency limit is cut; under half of it the limit grows.
const LATE_PART: f64 = 0.4;
const MAX_LATE_FRACTION: f64 = 0.2;
/// Attempts in flight per worker, by all gatekeepers together, that are always allowed: long work alone idles no worker.
const MIN_CONCURRENCY: f64 = 4.0;
/// Attempts in flight may exceed the limit by this multiple of what their mean over so many seconds lies below it.
const BURST_ROOM: f64 = 4.0;
const MEAN_WINDOW_S: f64 = 2.0;
/// What a cut leaves of the limit, and the least time between two cuts.
const LIMIT_CUT: f64 = 0.9;
const LIMIT_CUT_INTERVAL: Span = Span::from_millis(150);
/// How long a worker is ejected after a failure that speaks against all of it.
const EJECTION_TIME: Span = Span::from_millis(1000);
/// The seconds that a failure rate decays over, and the rate that makes a worker unhealthy.
pub(super) const FAILURE_WINDOW_S: f64 = 10.0;
const MAX_FAILURE_RATE: f64 = 0.4;
/// The seconds that the rate of successes is measured over, and that its peak decays over.
const RATE_WINDOW_S: f64 = 2.0;
const PEAK_WINDOW_S: f64 = 8.0;
/// Attempts that a cold worker may get at once.
const COLD_BURST: f64 = 2.0;
/// No worker counts as faster than this when it is drawn: one with nothing in flight only seems fast.
const MIN_RELATIVE_LATENCY: f64 = 0.7;
/// How much likelier a worker is drawn that a connection is open to, unless it is slower than this.
const CONNECTED_PREFERENCE: f64 = 1000.0;
const MAX_CONNECTED_LATENCY: f64 = 1.5;
/// Workers over this multiple of the mean cost are not drawn; a little over 1 for rounding.
const MAX_RELATIVE_COST: f64 = 1.0001;

/// A worker that may be drawn.
#[derive(Clone, Copy)]
struct Candidate {
    id: WorkerId,
    cost: f64,
    weight: f64,
}

impl Gatekeeper {
    /// Draws two workers at random and picks the one with the lower cost (power of two choices). None: all are full.
    pub(super) fn pick_worker(&mut self, now: Time, request: &OpenRequest) -> Option<WorkerId> {
        if self.is_full(now, request) {
            return None;
        }
        self.refill_slow_start(now);
        let settings = &self.settings;
        let work = request.work();
        let is_eligible = |id: &WorkerId, worker: &Worker| {
            !worker.is_draining
                && !request.tried.contains(id)
                && may_run_on(settings, request, worker, now)
                && worker.has_slow_start_token(now, settings)
        };
        let eligible = self.workers.iter().filter(|(id, worker)| is_eligible(id, worker));
        let (unhealthy, healthy): (Vec<_>, Vec<_>) = eligible.partition(|(_, w)| is_unhealthy(w, work, now));
        // Where no worker is healthy, it is more likely the way there that is not.
        let usable = if healthy.is_empty() { unhealthy } else { healthy };
        // Two drawn from all would now and then load a busy worker while others idle: only those no busier than the mean.
        let mean = usable.iter().map(|(_, worker)| worker.cost()).sum::<f64>() / usable.len().max(1) as f64;
        let idle_enough = usable.into_iter().filter(|(_, worker)| worker.cost() <= mean * MAX_RELATIVE_COST);
        let candidate = |(id, worker): (&WorkerId, &Worker)| Candidate {
            id: *id,
            cost: worker.cost(),
            weight: selection_weight(settings, worker, work, now),
        };
        let candidates: Vec<Candidate> = idle_enough.map(candidate).collect();
        let first = self.draw_weighted(&candidates)?;
        let second = self.draw_weighted(&candidates)?;
        Some(if second.cost < first.cost { second.id } else { first.id })
    }

    /// Whether as many attempts are in flight as may be.
    fn is_full(&mut self, now: Time, request: &OpenRequest) -> bool {
        let limit = self.concurrency_limit(now);
        // What came while the process was stalled has a claim to what it did not send meanwhile.
        let stalled_s = if now == self.state.resumed_at { self.state.stalled.secs() } else { 0.0 };
        let missed = stalled_s / self.typical_latency(request).secs().max(1e-3);
        // An attempt past its objective counts as far as answers are late too, as in a jam; where they are not, it is lost
        // and must not keep others from being sent.
        let objective = |attempt: &Attempt| self.settings.operation(attempt.work.0).objective;
        let in_time = self.attempts.values().filter(|a| now - a.sent_at < objective(a)).count();
        let jam = (self.state.late_fraction / MAX_LATE_FRACTION).min(1.0);
        let in_flight = in_time as f64 + jam * (self.attempts.len() - in_time) as f64;
        // Arrivals scatter by the square root of their mean: a limit of few needs room for that, and one of less than one
        // at each of hundreds holds on average only.
        let mean = self.state.update_mean(now, in_flight, MEAN_WINDOW_S);
        let room = (BURST_ROOM * (limit - mean)).clamp(-1.0, limit.sqrt());
        in_flight >= limit * (1.0 + missed) + room
    }

    /// Draws one at random, by their weights.
    fn draw_weighted(&mut self, candidates: &[Candidate]) -> Option<Candidate> {
        let mut point = self.rng.next_f64() * candidates.iter().map(|c| c.weight).sum::<f64>();
        let drawn = candidates.iter().find(|candidate| {
            point -= candidate.weight;
            point < 0.0
        });
        drawn.or(candidates.last()).copied()
    }

    /// How many attempts may be in flight: by the latencies that come back, and an even share at the least.
    fn concurrency_limit(&self, now: Time) -> f64 {
        let usable = self.workers.values().filter(|worker| !worker.is_draining);
        let warm = usable.map(|worker| worker.warm_fraction(now, &self.settings)).sum::<f64>();
        self.state.concurrency_limit.max(MIN_CONCURRENCY * (warm / self.settings.gatekeepers))
    }

    /// Adapts the limit to the fraction of late answers, not to their mean: a few very slow workers are not picked anyway.
    pub(super) fn adapt_concurrency(&mut self, now: Time, operation: OperationId, duration: f64) {
        let limit = self.concurrency_limit(now);
        let objective = self.settings.operation(operation).objective.secs();
        let state = &mut self.state;
        let late = if duration > objective * LATE_PART { 1.0 } else { 0.0 };
        state.late_fraction += SAMPLE_WEIGHT * (late - state.late_fraction);
        if state.late_fraction > MAX_LATE_FRACTION && now - state.limit_cut_at > LIMIT_CUT_INTERVAL {
            state.limit_cut_at = now;
            state.concurrency_limit = limit.min(state.mean_in_flight + 1.0) * LIMIT_CUT;
        } else if state.late_fraction < MAX_LATE_FRACTION * 0.5 && state.mean_in_flight > limit * 0.7 {
            let step = self.workers.len() as f64 / self.settings.gatekeepers;
            state.concurrency_limit = limit + step / limit.max(1.0);
        }
    }

    /// Slow start: a cold worker may get what others of its weight carry, by what it can do now, and no burst, however many
    /// gatekeepers do the same. What they carry is what came back, not what was sent, and its peak of the last seconds:
    /// where the rest jams, cold workers must not be starved too. Where nothing is known, one attempt in each stated time
    /// by all gatekeepers together finds out.
    fn refill_slow_start(&mut self, now: Time) {
        let settings = &self.settings;
        for worker in self.workers.values_mut().filter(|worker| worker.started_at.is_some()) {
            let usable = (worker.warm_fraction(now, settings) * settings.slow_start_headroom).min(1.0);
            let rate = (self.state.peak_rate * worker.weight * usable).max(settings.min_slow_start_rate);
            worker.slow_start.refill(now, rate, COLD_BURST);
        }
    }

    /// Updates the rate of successes, and its peak for a unit of the weight that was warm.
    pub(super) fn record_success(&mut self, now: Time) {
        let settings = &self.settings;
        let warm: f64 = self.workers.values().map(|w| w.weight * w.warm_fraction(now, settings)).sum();
        let state = &mut self.state;
        let elapsed = now - state.rate_at;
        state.rate_at = now;
        state.success_rate = state.success_rate * elapsed.decay_factor(RATE_WINDOW_S) + 1.0 / RATE_WINDOW_S;
        let rate = state.success_rate / warm.max(1e-9);
        state.peak_rate = (state.peak_rate * elapsed.decay_factor(PEAK_WINDOW_S)).max(rate);
    }

    /// Keeps attempts away from a worker for a while, and has its health checked then.
    pub(super) fn eject(&mut self, now: Time, id: WorkerId, port: &mut impl Port) {
        let Some(worker) = self.workers.get_mut(&id) else { return };
        worker.ejected_until = now + EJECTION_TIME;
        if self.settings.has_health_checks && !worker.is_being_checked {
            worker.is_being_checked = true;
            port.set_timer(EJECTION_TIME, TimerEvent::HealthCheck(id).tag());
        }
    }

    pub(super) fn check_health(&self, id: WorkerId, port: &mut impl Port) {
        if self.workers.get(&id).is_some_and(|worker| worker.is_being_checked) {
            port.check_health(id);
        }
    }

    /// A health check has ended.
    pub fn on_health_check(&mut self, now: Time, id: WorkerId, outcome: Outcome, port: &mut impl Port) {
        let Some(worker) = self.workers.get_mut(&id) else { return };
        worker.is_being_checked = false;
        if outcome != Outcome::Succeeded {
            return self.eject(now, id, port);
        }
        worker.ejected_until = now;
    }

    /// The list of workers, or a change of it, has come.
    pub fn on_worker_list(&mut self, now: Time, update: ListUpdate, list: &[WorkerInfo]) {
        if update != ListUpdate::Delta {
            self.workers.retain(|id, _| list.iter().any(|info| info.worker == *id));
        }
        for info in list {
            if info.phase == WorkerPhase::Removed {
                self.workers.remove(&info.worker);
                continue;
            }
            let new = Worker {
                started_at: info.started_at,
                relative_latency: 1.0,
                slow_start: TokenBucket { level: self.rng.next_f64(), refilled_at: now },
                ..Worker::default()
            };
            let mut worker = match self.workers.remove(&info.worker) {
                Some(known) if known.started_at == info.started_at => known,
                Some(known) => Worker { in_flight: known.in_flight, load_s: known.load_s, ..new },
                None => new,
            };
            worker.update(info);
            self.workers.insert(info.worker, worker);
        }
    }
}

/// The weight that a worker is drawn by, for a kind of work. Where next to nothing is in flight, costs tell nothing, and
/// without this all gatekeepers would take to the same few workers that are larger or seem faster.
fn selection_weight(settings: &DerivedSettings, worker: &Worker, work: WorkKind, now: Time) -> f64 {
    // A cold worker's share is drawn as if a connection were open, or at hundreds of gatekeepers it is never used.
    let is_owed = worker.warm_fraction(now, settings) < 1.0 && worker.slow_start.level >= 1.0;
    let is_preferred = is_owed || is_connected(settings, worker, now);
    let preference = if is_preferred { CONNECTED_PREFERENCE } else { 1.0 };
    let success_rate = 1.0 - worker.failure_rate(work, now, FAILURE_WINDOW_S);
    preference * worker.weight * (success_rate / worker.relative_latency.max(MIN_RELATIVE_LATENCY)).powi(2)
}

/// Whether a connection to it is open and idle. One gatekeeper among hundreds that draws from all workers meets each too
/// seldom to know any, and pays for a connection nearly each time; with those that it has, its counts and latencies tell
/// something. Another one is met where these are busier than the mean, unhealthy or slow.
fn is_connected(settings: &DerivedSettings, worker: &Worker, now: Time) -> bool {
    let is_open = worker.connected_at.is_some_and(|at| now - at < settings.idle_timeout);
    is_open && worker.relative_latency < MAX_CONNECTED_LATENCY
}

/// Whether it was ejected, failed too much lately at work of this kind, or has been silent for too long.
pub(super) fn is_unhealthy(worker: &Worker, work: WorkKind, now: Time) -> bool {
    let most_s = SILENCE_LATENCIES * worker.load_s / f64::from(worker.in_flight.max(1));
    let is_silent = worker.in_flight > 0 && (now - worker.silent_since).secs() > most_s;
    let has_failed = worker.failure_rate(work, now, FAILURE_WINDOW_S) > MAX_FAILURE_RATE;
    now < worker.ejected_until || is_silent || has_failed
}

/// Whether a request that may have run on another worker may be sent to this one.
fn may_run_on(settings: &DerivedSettings, request: &OpenRequest, worker: &Worker, now: Time) -> bool {
    match (settings.operation(request.operation).idempotency, request.first_possible_run) {
        (Idempotency::Deduplicated(scope, window), Some((sent_at, zone, cell))) => {
            now + settings.margin < sent_at + window
                && match scope {
                    DedupScope::All => true,
                    DedupScope::Zone => worker.zone == zone,
                    DedupScope::Cell => worker.cell == cell,
                }
        }
        _ => true,
    }
}
