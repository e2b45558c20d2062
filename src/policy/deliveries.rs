//! Attempts (deliveries): sending, evaluation of outcomes, retries and hedges.

use super::*;

/// Weight of a new outcome in a failure rate, except for time-outs.
const FAILURE_WEIGHT: f64 = 0.5;
/// Maximum of one latency sample, in typical latencies.
const MAX_RELATIVE_LATENCY: f64 = 10.0;

impl Gatekeeper {
    pub(super) fn send_attempt(
        &mut self,
        now: Time,
        id: RequestId,
        request: &mut OpenRequest,
        worker_id: WorkerId,
        port: &mut impl Port,
    ) {
        let expected_s = self.typical_latency(request).secs();
        let worker = self.workers.get_mut(&worker_id).expect("picked workers are listed");
        worker.on_sent(now, expected_s);
        worker.slow_start.level -= 1.0;
        let is_hedge = request.stage == RequestStage::Sent;
        let number = AttemptNumber(request.tried.len() as u8);
        let attempt = Attempt {
            worker: worker_id,
            sent_at: now,
            work: request.work(),
            size_class: size_class(request.units),
            expected_s,
            tenant: request.tenant,
        };
        self.attempts.insert((id, number), attempt);
        request.tried.push(worker_id);
        request.possibly_run += 1;
        request.first_possible_run.get_or_insert((now, worker.zone, worker.cell));
        request.enter(if is_hedge { RequestStage::Hedged } else { RequestStage::Sent });
        if let Some(tenant) = self.tenants.get_mut(&request.tenant) {
            tenant.in_flight += 1;
        }
        port.send_attempt(id, worker_id, request.deadline.saturating_sub(self.settings.deadline_margin));
        let operation = self.settings.operation(request.operation);
        if operation.idempotency != Idempotency::NonIdempotent {
            let silence = Span::from_secs(expected_s * SILENCE_LATENCIES);
            let check = silence.max(operation.objective.times(0.2)).min(operation.objective.times(0.6));
            port.set_timer(check, TimerEvent::AttemptCheck(id, number).tag());
        }
    }

    /// Handles the end of an attempt: its request is answered, retried, or waits for another attempt.
    pub fn on_attempt_ended(&mut self, now: Time, report: &AttemptReport, port: &mut impl Port) {
        self.detect_stall(now);
        let id = report.request_id;
        let Some(attempt) = self.attempts.remove(&(id, report.attempt)) else { return };
        self.record_outcome(now, report, &attempt, port);
        if let Some(tenant) = self.tenants.get_mut(&attempt.tenant) {
            tenant.in_flight = tenant.in_flight.saturating_sub(1);
        }
        if report.outcome == Outcome::Succeeded {
            self.record_success(now);
        }
        let Some(mut request) = self.requests.remove(&id) else { return };
        if let Some(actual) = report.actual_units.filter(|_| report.outcome == Outcome::Succeeded)
            && let Some(tenant) = self.tenants.get_mut(&request.tenant)
        {
            tenant.correct_charge(request.units, f64::from(actual));
        }
        if report.outcome.never_ran() {
            request.on_never_ran();
        }
        if report.is_final || report.outcome == Outcome::Succeeded {
            request.enter(RequestStage::Answered);
            return self.cancel_others(id, &request, port);
        }
        if request.stage == RequestStage::Hedged {
            request.enter(RequestStage::Sent);
        }
        if request.stage == RequestStage::Streaming || !self.attempts_in_flight(id, &request).is_empty() {
            self.requests.insert(id, request);
            return;
        }
        request.enter(RequestStage::Admitted);
        self.retry_or_answer(now, id, request, report.outcome, port);
    }

    /// Retries a request that has no attempt in flight, or sends its final answer.
    fn retry_or_answer(
        &mut self,
        now: Time,
        id: RequestId,
        mut request: OpenRequest,
        outcome: Outcome,
        port: &mut impl Port,
    ) {
        if outcome != Outcome::Superseded && self.retry(now, id, &mut request, port) {
            self.requests.insert(id, request);
            return;
        }
        let may_run_again = matches!(
            self.settings.operation(request.operation).idempotency,
            Idempotency::Idempotent | Idempotency::Deduplicated(DedupScope::All, _)
        );
        request.enter(RequestStage::Answered);
        if request.first_possible_run.is_none() || may_run_again {
            port.throttle(id, self.retry_after_at_capacity(&request));
        } else {
            port.fail(id);
        }
    }

    fn attempts_in_flight(&self, id: RequestId, request: &OpenRequest) -> Vec<AttemptNumber> {
        let numbers = (0..request.tried.len()).map(|n| AttemptNumber(n as u8));
        numbers.filter(|number| self.attempts.contains_key(&(id, *number))).collect()
    }

    pub(super) fn cancel_others(&self, id: RequestId, request: &OpenRequest, port: &mut impl Port) {
        if self.settings.can_cancel {
            self.attempts_in_flight(id, request).into_iter().for_each(|number| port.cancel(id, number));
        }
    }

    /// Updates the concurrency limit, the worker's statistics and the typical latency after an attempt.
    /// Ejects the worker if it was silent or its connection failed.
    fn record_outcome(&mut self, now: Time, report: &AttemptReport, attempt: &Attempt, port: &mut impl Port) {
        let duration = report.duration.secs();
        // Time-outs do not count as late: the answer may have been lost.
        let is_answered = matches!(report.outcome, Outcome::Succeeded | Outcome::Errored);
        let was_running = now != self.state.resumed_at;
        let operation = attempt.work.0;
        if was_running && is_answered {
            self.adapt_concurrency(now, operation, duration);
        }
        let Some(worker) = self.workers.get_mut(&attempt.worker) else { return };
        let was_silent = worker.silent_since <= attempt.sent_at;
        worker.on_ended(attempt.expected_s);
        if is_answered || matches!(report.outcome, Outcome::Full | Outcome::Reset) {
            worker.silent_since = now;
        }
        // All other outcomes close the connection.
        worker.connection_idle_since = (is_answered || report.outcome == Outcome::Full).then_some(now);
        // The failure rate is kept per kind of work, as one kind may fail while others succeed.
        let rate = worker.failure_rate(attempt.work, now, FAILURE_DECAY_S);
        let failed = if report.outcome == Outcome::Succeeded { 0.0 } else { 1.0 };
        // A time-out is weaker evidence against a worker than a rejection or an error.
        let weight = if report.outcome == Outcome::TimedOut { SAMPLE_WEIGHT } else { FAILURE_WEIGHT };
        worker.failure_rates.insert(attempt.work, (rate + weight * (failed - rate), now));
        let typical = &mut self.state.typical_latency_s[operation.0 as usize][attempt.size_class];
        let sample = (duration / typical.max(1e-6)).min(MAX_RELATIVE_LATENCY);
        let latency = &mut worker.relative_latency;
        match report.outcome {
            Outcome::Succeeded if was_running => {
                let weight = if sample > *latency { SAMPLE_WEIGHT * 2.0 } else { SAMPLE_WEIGHT };
                *latency += weight * (sample - *latency);
                *typical += SAMPLE_WEIGHT * 0.2 * (duration - *typical);
            }
            Outcome::TimedOut | Outcome::Cancelled if !was_silent => {
                *latency += SAMPLE_WEIGHT * 2.0 * (sample - *latency).max(0.0);
            }
            Outcome::TimedOut | Outcome::ConnectFailed | Outcome::Reset => {
                self.eject(now, attempt.worker, port)
            }
            _ => {}
        }
    }

    /// Hedges or cancels a late attempt if its worker is unhealthy or no longer listed. At a healthy worker
    /// the attempt continues, as a hedge would add to the load that delays it.
    pub(super) fn check_attempt(&mut self, now: Time, key: AttemptKey, port: &mut impl Port) {
        let (id, number) = key;
        let Some(attempt) = self.attempts.get(&key) else { return };
        let worker = self.workers.get(&attempt.worker);
        if worker.is_some_and(|worker| !is_unhealthy(worker, attempt.work, now)) {
            return;
        }
        let Some(mut request) = self.requests.remove(&id) else { return };
        if request.stage == RequestStage::Sent && self.settings.allows_hedging {
            self.retry(now, id, &mut request, port);
        } else if request.stage == RequestStage::Sent && self.settings.can_cancel && self.has_retry_budget() {
            // The end of the cancelled attempt leads to a retry.
            port.cancel(id, number);
        }
        self.requests.insert(id, request);
    }

    fn has_retry_budget(&self) -> bool {
        self.state.retry_budget >= 1.0
    }

    /// Sends another attempt if the operation, the retry budget and the remaining time allow it and a worker
    /// is available. Returns `true` if it was sent. Retries add load just when no capacity is to spare.
    fn retry(&mut self, now: Time, id: RequestId, request: &mut OpenRequest, port: &mut impl Port) -> bool {
        let idempotency = self.settings.operation(request.operation).idempotency;
        if idempotency == Idempotency::NonIdempotent && request.first_possible_run.is_some() {
            return false;
        }
        let may_retry = request.tried.len() < self.settings.max_attempts && self.has_retry_budget();
        if !may_retry || !self.can_be_in_time(now, request) {
            return false;
        }
        let Some(worker) = self.pick_worker(now, request) else { return false };
        self.state.retry_budget -= 1.0;
        self.send_attempt(now, id, request, worker, port);
        true
    }
}
