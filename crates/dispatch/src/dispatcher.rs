//! Calls the decision module under one lock and returns its decisions.

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard};

use lynxstair::policy::Gatekeeper;
use lynxstair::types::{
    AttemptReport, CounterKey, ListUpdate, Outcome, Request, RequestId, Settings, Span, Time, WorkerId,
    WorkerInfo,
};
use lynxstair_net::log_limited;

use crate::answers::{Assignment, Cancellation, Decision, DueWork, FinalReply, NextStep, Usage};
use crate::outbox::{OpenRequest, Outbox, Timer};

struct Inner<T> {
    gatekeeper: Gatekeeper,
    outbox: Outbox<T>,
    /// Events closer together than this are reported with the same time. After a stall, the decision module
    /// recognizes the waiting requests by their common time.
    time_resolution: Span,
    last_request: u32,
}

/// Decides on the requests of one gatekeeper. `T` is the caller's context of a request.
pub struct Dispatcher<T> {
    inner: Mutex<Inner<T>>,
    /// Time at which `tick` is due, in nanoseconds.
    next_due: AtomicU64,
}

impl<T: Clone> Dispatcher<T> {
    /// Creates a dispatcher without workers. `seed` initializes the random numbers of the decision module.
    pub fn new(now: Time, seed: u64, settings: &Settings) -> Self {
        let mut outbox = Outbox::new(now);
        let gatekeeper = Gatekeeper::new(now, seed, settings, &mut outbox);
        let next_due = AtomicU64::new(outbox.next_due().nanos());
        let inner = Inner { gatekeeper, outbox, time_resolution: settings.time_resolution, last_request: 0 };
        Dispatcher { inner: Mutex::new(inner), next_due }
    }

    fn inner(&self) -> MutexGuard<'_, Inner<T>> {
        self.inner.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Time of the next call of `tick`.
    pub fn next_due(&self) -> Time {
        Time::from_nanos(self.next_due.load(Ordering::Relaxed))
    }

    /// Calls the decision module; returns `false` if it panicked.
    fn call(
        &self,
        now: Time,
        inner: &mut Inner<T>,
        event: impl FnOnce(Time, &mut Gatekeeper, &mut Outbox<T>),
    ) -> bool {
        if now - inner.outbox.now >= inner.time_resolution {
            inner.outbox.now = now;
        }
        let now = inner.outbox.now;
        let (gatekeeper, outbox) = (&mut inner.gatekeeper, &mut inner.outbox);
        let has_completed = catch_panic(|| event(now, gatekeeper, outbox));
        self.next_due.store(inner.outbox.next_due().nanos(), Ordering::Relaxed);
        has_completed
    }

    /// Handles a new request: returns the attempt to send or the final reply. The request gets a new
    /// identifier, which is returned too.
    pub fn dispatch(&self, now: Time, mut request: Request, context: T) -> (RequestId, Decision<T>) {
        let mut inner = self.inner();
        inner.last_request = inner.last_request.wrapping_add(1);
        let id = RequestId(inner.last_request);
        request.id = id;
        let units = request.units() as f32;
        let usage = Usage { tenant: request.tenant, operation: request.operation, units };
        inner.outbox.requests.insert(id, OpenRequest { context, usage, attempts: 0, in_flight: 0 });
        self.call(now, &mut inner, |now, gatekeeper, outbox| gatekeeper.on_request(now, &request, outbox));
        let outbox = &mut inner.outbox;
        let decision = match (outbox.due.attempts.pop(), outbox.due.replies.pop()) {
            (Some(assignment), _) => Decision::Forward(assignment),
            (None, Some((_, _, reply))) => Decision::Reply(reply),
            (None, None) => {
                outbox.requests.remove(&id);
                Decision::Reply(FinalReply::Errored)
            }
        };
        (id, decision)
    }

    /// Handles the end of an attempt: returns the next action, and other attempts of the request to abort.
    ///
    /// `quota_used` is the fraction of the tenant's rate that all gatekeepers used, if the worker reported
    /// it.
    pub fn report(
        &self,
        now: Time,
        ended: &Assignment<T>,
        outcome: Outcome,
        duration: Span,
        quota_used: Option<f32>,
    ) -> (NextStep<T>, Vec<Cancellation<T>>) {
        let mut inner = self.inner();
        // The outcome is reported to the decision module even if the request is answered.
        let open = inner.outbox.requests.get_mut(&ended.request_id);
        let is_answered = open.map(|open| open.in_flight = open.in_flight.saturating_sub(1)).is_none();
        let is_final = is_answered || outcome == Outcome::Succeeded;
        let report = AttemptReport {
            request_id: ended.request_id,
            attempt: ended.attempt,
            worker: ended.worker,
            outcome,
            duration,
            is_final,
            quota_used,
            actual_units: None,
            load: &[],
        };
        let has_completed = self.call(now, &mut inner, |now, gatekeeper, outbox| {
            gatekeeper.on_attempt_ended(now, &report, outbox);
        });
        if is_answered {
            return (NextStep::Nothing, Vec::new());
        }
        let outbox = &mut inner.outbox;
        let cancelled = std::mem::take(&mut outbox.due.cancelled);
        if is_final && let Some(open) = outbox.requests.remove(&ended.request_id) {
            return (NextStep::Relay(open.context), cancelled);
        }
        let next = match (outbox.due.attempts.pop(), outbox.due.replies.pop()) {
            (Some(assignment), _) => NextStep::Retry(assignment),
            (None, Some((context, _, reply))) => NextStep::Reply(context, reply),
            // The decision module panicked. An error is safe, as it leaves open whether the request was
            // processed.
            (None, None) if !has_completed => match outbox.requests.remove(&ended.request_id) {
                Some(open) => NextStep::Reply(open.context, FinalReply::Errored),
                None => NextStep::Nothing,
            },
            (None, None) => NextStep::Nothing,
        };
        (next, cancelled)
    }

    /// Runs due timers and returns the actions that are due.
    pub fn tick(&self, now: Time) -> DueWork<T> {
        let mut inner = self.inner();
        inner.outbox.now = now;
        while let Some(timer) = inner.outbox.pop_due(now) {
            match timer {
                Timer::DecisionModule(tag) => {
                    self.call(now, &mut inner, |now, gatekeeper, outbox| {
                        gatekeeper.on_timer(now, tag, outbox)
                    });
                }
                Timer::AttemptDeadline(request_id, attempt) => {
                    if let Some(open) = inner.outbox.requests.get(&request_id) {
                        let context = open.context.clone();
                        let timed_out = &mut inner.outbox.due.timed_out;
                        timed_out.push(Cancellation { context, request_id, attempt });
                    }
                }
            }
        }
        self.next_due.store(inner.outbox.next_due().nanos(), Ordering::Relaxed);
        std::mem::take(&mut inner.outbox.due)
    }

    /// Ends a request whose client has left or was answered elsewhere, and returns its attempts to abort.
    pub fn end_request(&self, now: Time, request: RequestId) -> Vec<Cancellation<T>> {
        let mut inner = self.inner();
        self.call(now, &mut inner, |_, gatekeeper, outbox| gatekeeper.on_expired(request, outbox));
        inner.outbox.requests.remove(&request);
        std::mem::take(&mut inner.outbox.due.cancelled)
    }

    /// Applies a list of workers, or a change of the list.
    pub fn update_workers(&self, now: Time, update: ListUpdate, list: &[WorkerInfo]) {
        self.call(now, &mut self.inner(), |now, gatekeeper, _| gatekeeper.on_worker_list(now, update, list));
    }

    /// Handles the reply to a counter call. `total` is the current count, not finite if it can't be read.
    pub fn on_counter_reply(&self, now: Time, key: CounterKey, outcome: Outcome, total: f32) {
        self.call(now, &mut self.inner(), |now, gatekeeper, _| {
            gatekeeper.on_counter_reply(now, key, outcome, total);
        });
    }

    /// Handles the result of a health check.
    pub fn on_health_check(&self, now: Time, worker: WorkerId, outcome: Outcome) {
        self.call(now, &mut self.inner(), |now, gatekeeper, outbox| {
            gatekeeper.on_health_check(now, worker, outcome, outbox);
        });
    }
}

/// Runs `call`; returns `false` if it panicked.
pub(crate) fn catch_panic(call: impl FnOnce()) -> bool {
    let has_completed = catch_unwind(AssertUnwindSafe(call)).is_ok();
    if !has_completed {
        log_limited!("decision module panicked; a request being decided on fails with an error");
    }
    has_completed
}
