//! Workers: selection, concurrency limit, slow start and health.

use super::*;

/// Fraction of the latency objective above which an attempt is late, and the fraction of late attempts above
/// which the concurrency limit is cut; below half of that it may grow.
const LATE_LATENCY_FRACTION: f64 = 0.4;
const MAX_LATE_FRACTION: f64 = 0.2;
/// Attempts in flight per warm worker that are always allowed, over all gatekeepers together, so that long
/// work alone idles no worker.
const MIN_WORKER_CONCURRENCY: f64 = 4.0;
/// Multiple of the unused limit that a burst may add, and the time constant of the mean load in seconds.
const BURST_MULTIPLE: f64 = 4.0;
const MEAN_DECAY_S: f64 = 2.0;
/// Factor of a cut of the concurrency limit, and the least time between two cuts.
const LIMIT_DECREASE_FACTOR: f64 = 0.9;
const MIN_LIMIT_CUT_INTERVAL: Span = Span::from_millis(150);
const EJECTION_TIME: Span = Span::from_millis(1000);
/// Time constant of failure rates, in seconds, and the rate above which a worker is unhealthy.
pub(super) const FAILURE_DECAY_S: f64 = 10.0;
const MAX_FAILURE_RATE: f64 = 0.4;
/// Time constants of the success rate and of its peak, in seconds.
const RATE_WINDOW_S: f64 = 2.0;
const PEAK_DECAY_S: f64 = 8.0;
/// Maximum number of attempts that slow start admits at once.
const SLOW_START_BURST: f64 = 2.0;
/// Lower bound of the relative latency in a selection weight, as idle workers only seem fast.
const MIN_RELATIVE_LATENCY: f64 = 0.7;
/// Weight factor of connected workers, and the relative latency from which it does not apply.
const CONNECTED_PREFERENCE: f64 = 1000.0;
const MAX_CONNECTED_RELATIVE_LATENCY: f64 = 1.5;
/// Multiple of the mean cost above which a worker is not selected; above 1 to allow for rounding.
const MAX_RELATIVE_COST: f64 = 1.0001;

#[derive(Clone, Copy)]
struct Candidate {
    id: WorkerId,
    cost: f64,
    weight: f64,
}

impl Gatekeeper {
    /// Picks the cheaper of two workers drawn at random (power of two choices). Returns `None` if no worker
    /// is eligible or the concurrency limit is reached.
    pub(super) fn pick_worker(&mut self, now: Time, request: &OpenRequest) -> Option<WorkerId> {
        if self.is_at_concurrency_limit(now, request) {
            return None;
        }
        self.refill_slow_start(now);
        let settings = &self.settings;
        let work = request.work();
        let is_eligible = |id: &WorkerId, worker: &Worker| {
            !worker.is_draining
                && !request.tried.contains(id)
                && may_repeat_on(settings, request, worker, now)
                && worker.has_slow_start_token(now, settings)
        };
        let eligible = self.workers.iter().filter(|(id, worker)| is_eligible(id, worker));
        let (unhealthy, healthy): (Vec<_>, Vec<_>) = eligible.partition(|(_, w)| is_unhealthy(w, work, now));
        // If no worker is healthy, the network is the more likely cause.
        let usable = if healthy.is_empty() { unhealthy } else { healthy };
        // Excludes workers costlier than the mean, which two random draws would sometimes select.
        let mean = usable.iter().map(|(_, worker)| worker.cost()).sum::<f64>() / usable.len().max(1) as f64;
        let up_to_mean = usable.into_iter().filter(|(_, worker)| worker.cost() <= mean * MAX_RELATIVE_COST);
        let candidate = |(id, worker): (&WorkerId, &Worker)| Candidate {
            id: *id,
            cost: worker.cost(),
            weight: selection_weight(settings, worker, work, now),
        };
        let candidates: Vec<Candidate> = up_to_mean.map(candidate).collect();
        let first = self.draw_weighted(&candidates)?;
        let second = self.draw_weighted(&candidates)?;
        Some(if second.cost < first.cost { second.id } else { first.id })
    }

    /// Returns `true` if no further attempt may be in flight.
    fn is_at_concurrency_limit(&mut self, now: Time, request: &OpenRequest) -> bool {
        let limit = self.concurrency_limit(now);
        // Requests read after a stall may use the capacity that was left unused during it.
        let stalled_s = if now == self.state.resumed_at { self.state.stall_duration.secs() } else { 0.0 };
        let stall_backlog = stalled_s / self.typical_latency(request).secs().max(1e-3);
        // Attempts past their objective count in proportion to the congestion: without congestion they are
        // probably lost and must not block others.
        let objective = |attempt: &Attempt| self.settings.operation(attempt.work.0).objective;
        let in_time = self.attempts.values().filter(|a| now - a.sent_at < objective(a)).count();
        let congestion = (self.state.late_fraction / MAX_LATE_FRACTION).min(1.0);
        let in_flight = in_time as f64 + congestion * (self.attempts.len() - in_time) as f64;
        // The number of arrivals varies by the square root of its mean: a small limit needs an allowance for
        // bursts, and a limit below one can hold only on average.
        let mean = self.state.update_mean(now, in_flight, MEAN_DECAY_S);
        let burst_allowance = (BURST_MULTIPLE * (limit - mean)).clamp(-1.0, limit.sqrt());
        in_flight >= limit * (1.0 + stall_backlog) + burst_allowance
    }

    fn draw_weighted(&mut self, candidates: &[Candidate]) -> Option<Candidate> {
        let mut point = self.rng.next_f64() * candidates.iter().map(|c| c.weight).sum::<f64>();
        let drawn = candidates.iter().find(|candidate| {
            point -= candidate.weight;
            point < 0.0
        });
        drawn.or(candidates.last()).copied()
    }

    /// Maximum number of attempts in flight: the adapted limit, or the minimum of the warm workers if larger.
    fn concurrency_limit(&self, now: Time) -> f64 {
        let usable = self.workers.values().filter(|worker| !worker.is_draining);
        let warm = usable.map(|worker| worker.warm_fraction(now, &self.settings)).sum::<f64>();
        self.state.concurrency_limit.max(MIN_WORKER_CONCURRENCY * (warm / self.settings.gatekeepers))
    }

    /// Adapts the limit to the fraction of late answers, as slow workers would dominate the mean latency.
    pub(super) fn adapt_concurrency(&mut self, now: Time, operation: OperationId, duration: f64) {
        let limit = self.concurrency_limit(now);
        let objective = self.settings.operation(operation).objective.secs();
        let state = &mut self.state;
        let late = if duration > objective * LATE_LATENCY_FRACTION { 1.0 } else { 0.0 };
        state.late_fraction += SAMPLE_WEIGHT * (late - state.late_fraction);
        if state.late_fraction > MAX_LATE_FRACTION && now - state.limit_cut_at > MIN_LIMIT_CUT_INTERVAL {
            state.limit_cut_at = now;
            state.concurrency_limit = limit.min(state.mean_in_flight + 1.0) * LIMIT_DECREASE_FACTOR;
        } else if state.late_fraction < MAX_LATE_FRACTION * 0.5 && state.mean_in_flight > limit * 0.7 {
            let step = self.workers.len() as f64 / self.settings.gatekeepers;
            state.concurrency_limit = limit + step / limit.max(1.0);
        }
    }

    /// Refills the slow-start tokens. A worker that is warming up gets the rate of a warm worker of its
    /// weight, scaled by its current capacity with headroom, and at least the minimum rate. The reference is
    /// the recent peak of successes, so that congestion at the other workers does not starve it.
    fn refill_slow_start(&mut self, now: Time) {
        let settings = &self.settings;
        for worker in self.workers.values_mut().filter(|worker| worker.started_at.is_some()) {
            let usable = (worker.warm_fraction(now, settings) * settings.slow_start_headroom).min(1.0);
            let rate = (self.state.peak_rate * worker.weight * usable).max(settings.min_slow_start_rate);
            worker.slow_start.refill(now, rate, SLOW_START_BURST);
        }
    }

    /// Updates the success rate, and its peak per unit of warm worker weight.
    pub(super) fn record_success(&mut self, now: Time) {
        let settings = &self.settings;
        let warm: f64 = self.workers.values().map(|w| w.weight * w.warm_fraction(now, settings)).sum();
        let state = &mut self.state;
        let elapsed = now - state.rates_updated_at;
        state.rates_updated_at = now;
        state.success_rate = state.success_rate * elapsed.decay_factor(RATE_WINDOW_S) + 1.0 / RATE_WINDOW_S;
        let rate = state.success_rate / warm.max(1e-9);
        state.peak_rate = (state.peak_rate * elapsed.decay_factor(PEAK_DECAY_S)).max(rate);
    }

    /// Ejects a worker temporarily, and schedules a health check if workers answer them.
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

    /// Handles the result of a health check: ends the ejection, or renews it after a failure.
    pub fn on_health_check(&mut self, now: Time, id: WorkerId, outcome: Outcome, port: &mut impl Port) {
        let Some(worker) = self.workers.get_mut(&id) else { return };
        worker.is_being_checked = false;
        if outcome != Outcome::Succeeded {
            return self.eject(now, id, port);
        }
        worker.ejected_until = now;
    }

    /// Applies a list of workers, or a change of the list.
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

/// Selection weight of a worker for a kind of work. It spreads attempts over the workers at low load, where
/// costs hardly differ.
fn selection_weight(settings: &DerivedSettings, worker: &Worker, work: WorkKind, now: Time) -> f64 {
    // Slow-start tokens count like an open connection; otherwise the worker would hardly be selected.
    let has_slow_start_share = worker.warm_fraction(now, settings) < 1.0 && worker.slow_start.level >= 1.0;
    let is_preferred = has_slow_start_share || is_connected(settings, worker, now);
    let preference = if is_preferred { CONNECTED_PREFERENCE } else { 1.0 };
    let success_rate = 1.0 - worker.failure_rate(work, now, FAILURE_DECAY_S);
    preference * worker.weight * (success_rate / worker.relative_latency.max(MIN_RELATIVE_LATENCY)).powi(2)
}

/// Returns `true` if the worker has an open connection and is not slow. Preferring such workers saves
/// connection set-ups, and keeps statistics recent if there are many gatekeepers.
fn is_connected(settings: &DerivedSettings, worker: &Worker, now: Time) -> bool {
    let is_open = worker.connection_idle_since.is_some_and(|at| now - at < settings.idle_timeout);
    is_open && worker.relative_latency < MAX_CONNECTED_RELATIVE_LATENCY
}

/// Returns `true` if the worker is ejected, often fails this kind of work, or has been silent for too long.
pub(super) fn is_unhealthy(worker: &Worker, work: WorkKind, now: Time) -> bool {
    let max_silence_s = SILENCE_LATENCIES * worker.load_s / f64::from(worker.in_flight.max(1));
    let is_silent = worker.in_flight > 0 && (now - worker.silent_since).secs() > max_silence_s;
    let has_failed = worker.failure_rate(work, now, FAILURE_DECAY_S) > MAX_FAILURE_RATE;
    now < worker.ejected_until || is_silent || has_failed
}

/// Returns `true` if a request that may have been processed elsewhere may be sent to this worker.
fn may_repeat_on(settings: &DerivedSettings, request: &OpenRequest, worker: &Worker, now: Time) -> bool {
    match (settings.operation(request.operation).idempotency, request.first_possible_run) {
        (Idempotency::Deduplicated(scope, window), Some((sent_at, zone, cell))) => {
            now + settings.deadline_margin < sent_at + window
                && match scope {
                    DedupScope::All => true,
                    DedupScope::Zone => worker.zone == zone,
                    DedupScope::Cell => worker.cell == cell,
                }
        }
        _ => true,
    }
}
