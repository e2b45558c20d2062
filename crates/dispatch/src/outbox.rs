//! Collects what the decision module decides, until its caller takes it away, and keeps the module's timers.

use std::collections::{BTreeMap, HashMap};

use lynxstair::port::Port;
use lynxstair::types::{AttemptNumber, CounterKey, RequestId, Span, Time, TimerEvent, TimerTag, WorkerId};

use crate::answers::{Assignment, Cancellation, CounterAdd, DueWork, FinalReply, Usage};

/// Timers of the module may be late by this fraction of their span.
const MAX_LATENESS_DIVISOR: u64 = 16;

/// What a timer is for.
#[derive(Clone, Copy)]
pub(crate) enum Timer {
    /// The module set it.
    Module(TimerTag),
    /// The deadline of an attempt.
    AttemptDeadline(RequestId, AttemptNumber),
}

/// A request that has no final reply yet.
pub(crate) struct OpenRequest<T> {
    pub context: T,
    pub usage: Usage,
    /// How many attempts were made.
    pub attempts: u8,
    /// How many of them are in flight.
    pub in_flight: u32,
}

/// What the module decided, and when it is to be called again.
pub(crate) struct Outbox<T> {
    /// The time that the module is told.
    pub now: Time,
    started_at: Time,
    pub requests: HashMap<RequestId, OpenRequest<T>>,
    /// By the time that they are due at, and in the order that they were set in.
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

    /// Whether a timer is still of use: those of attempts outlive them.
    fn is_current(&self, timer: &Timer) -> bool {
        let attempt = match timer {
            Timer::AttemptDeadline(request, attempt) => Some((*request, *attempt)),
            Timer::Module(tag) => match TimerEvent::from_tag(*tag) {
                Some(TimerEvent::AttemptCheck(request, attempt)) => Some((request, attempt)),
                _ => None,
            },
        };
        let Some((request, attempt)) = attempt else { return true };
        self.requests.get(&request).is_some_and(|open| attempt.0 < open.attempts && open.in_flight > 0)
    }

    /// Removes the first timer that is due and still of use.
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

    /// When the first timer that is still of use is due.
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

    /// The module's timers may be late by a fraction of their span, so that several come with one wake-up, and the calls
    /// to the counter that are due then with one write. Each gatekeeper's grid has a start of its own: on one that all
    /// share, the calls of all would meet at the counter.
    fn set_timer(&mut self, after: Span, tag: TimerTag) {
        let grid = (after.nanos() / MAX_LATENESS_DIVISOR).checked_ilog2().map_or(1, |bits| 1 << bits);
        let since_start = (self.now + after - self.started_at).nanos().div_ceil(grid) * grid;
        self.set(self.started_at + Span::from_nanos(since_start), Timer::Module(tag));
    }

    /// The list comes by itself.
    fn subscribe(&mut self) {}
}
