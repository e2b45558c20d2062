//! Collects the actions of the decision module until the dispatcher returns them, and keeps its timers.

use std::collections::{BTreeMap, HashMap};

use lynxstair::port::Port;
use lynxstair::types::{AttemptNumber, CounterKey, RequestId, Span, Time, TimerEvent, TimerTag, WorkerId};

use crate::answers::{Assignment, Cancellation, CounterAdd, DueWork, FinalReply, Usage};

/// Timers of the decision module may be late by their span divided by this.
const MAX_LATENESS_DIVISOR: u64 = 16;

/// Purpose of a timer.
#[derive(Clone, Copy)]
pub(crate) enum Timer {
    /// Set by the decision module.
    DecisionModule(TimerTag),
    /// Deadline of an attempt.
    AttemptDeadline(RequestId, AttemptNumber),
}

/// A request without a final reply.
pub(crate) struct OpenRequest<T> {
    pub context: T,
    pub usage: Usage,
    /// Number of attempts sent.
    pub attempts: u8,
    /// Number of attempts in flight.
    pub in_flight: u32,
}

/// Actions of the decision module, its timers, and the open requests.
pub(crate) struct Outbox<T> {
    /// Time reported to the decision module.
    pub now: Time,
    started_at: Time,
    pub requests: HashMap<RequestId, OpenRequest<T>>,
    /// Timers, by due time and then in the order in which they were set.
    timers: BTreeMap<(Time, u64), Timer>,
    timers_set: u64,
    pub due: DueWork<T>,
}

impl<T> Outbox<T> {
    pub fn new(now: Time) -> Self {
        Outbox {
            now,
            started_at: now,
            requests: HashMap::new(),
            timers: BTreeMap::new(),
            timers_set: 0,
            due: DueWork::default(),
        }
    }

    fn set(&mut self, at: Time, timer: Timer) {
        self.timers_set += 1;
        self.timers.insert((at, self.timers_set), timer);
    }

    fn reply(&mut self, request: RequestId, reply: FinalReply) {
        if let Some(open) = self.requests.remove(&request) {
            self.due.replies.push((open.context, request, reply));
        }
    }

    /// Returns `false` for a timer of an attempt whose request has no attempt in flight.
    fn is_current(&self, timer: &Timer) -> bool {
        let attempt = match timer {
            Timer::AttemptDeadline(request, attempt) => Some((*request, *attempt)),
            Timer::DecisionModule(tag) => match TimerEvent::from_tag(*tag) {
                Some(TimerEvent::AttemptCheck(request, attempt)) => Some((request, attempt)),
                _ => None,
            },
        };
        let Some((request, attempt)) = attempt else { return true };
        self.requests.get(&request).is_some_and(|open| attempt.0 < open.attempts && open.in_flight > 0)
    }

    /// Removes and returns the first due timer that is current.
    pub fn pop_due(&mut self, now: Time) -> Option<Timer> {
        while let Some(first) = self.timers.first_entry()
            && first.key().0 <= now
        {
            let timer = first.remove();
            if self.is_current(&timer) {
                return Some(timer);
            }
        }
        None
    }

    /// Due time of the first timer that is current.
    pub fn next_due(&mut self) -> Time {
        while let Some(first) = self.timers.first_entry() {
            let (at, timer) = (first.key().0, *first.get());
            if self.is_current(&timer) {
                return at;
            }
            self.timers.pop_first();
        }
        Time::from_nanos(u64::MAX)
    }
}

impl<T: Clone> Port for Outbox<T> {
    fn send_attempt(&mut self, request: RequestId, worker: WorkerId, deadline: Time) {
        let Some(open) = self.requests.get_mut(&request) else { return };
        let attempt = AttemptNumber(open.attempts);
        open.attempts = open.attempts.saturating_add(1);
        open.in_flight += 1;
        let (context, usage) = (open.context.clone(), open.usage);
        self.due.attempts.push(Assignment { context, request_id: request, attempt, worker, deadline, usage });
        self.set(deadline, Timer::AttemptDeadline(request, attempt));
    }

    fn throttle(&mut self, request: RequestId, retry_after: Option<Span>) {
        self.reply(request, FinalReply::Throttled(retry_after));
    }

    fn fail(&mut self, request: RequestId) {
        self.reply(request, FinalReply::Errored);
    }

    fn cancel(&mut self, request: RequestId, attempt: AttemptNumber) {
        if let Some(open) = self.requests.get(&request) {
            let context = open.context.clone();
            self.due.cancelled.push(Cancellation { context, request_id: request, attempt });
        }
    }

    fn check_health(&mut self, worker: WorkerId) {
        self.due.health_checks.push(worker);
    }

    fn add_to_counter(&mut self, key: CounterKey, retention: Span, amount: f32) {
        self.due.counter_adds.push(CounterAdd { key, retention, amount });
    }

    /// Delays timers to a grid, so that several share a wake-up and the counter calls due then share a
    /// write. The grid starts at the dispatcher's start, so that the counter calls of many gatekeepers do
    /// not coincide.
    fn set_timer(&mut self, after: Span, tag: TimerTag) {
        let grid = (after.nanos() / MAX_LATENESS_DIVISOR).checked_ilog2().map_or(1, |bits| 1 << bits);
        let since_start = (self.now + after - self.started_at).nanos().div_ceil(grid) * grid;
        self.set(self.started_at + Span::from_nanos(since_start), Timer::DecisionModule(tag));
    }

    /// The list of workers is received without a subscription.
    fn subscribe(&mut self) {}
}
