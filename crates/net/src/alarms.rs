//! Wakes whoever waits, at the time it asked for: the reader of a connection, or a sleeping coroutine. One timer, and one
//! coroutine that waits for it; an alarm that is no longer of use only wakes somebody for nothing.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::{Arc, Mutex, MutexGuard, Weak};

use lynxstair::types::{Span, Time};
use may::sync::Blocker;

use crate::clock::Clock;
use crate::connection::Connection;
use crate::wake_timer::WakeTimer;

/// Messages that are read within this time count as received at once.
const STEP: Span = Span::from_millis(1);

enum Sleeper {
    Connection(Weak<Connection>),
    Blocker(Arc<Blocker>),
}

impl Sleeper {
    fn wake(self) {
        match self {
            Sleeper::Connection(connection) => {
                if let Some(connection) = connection.upgrade() {
                    connection.wake();
                }
            }
            Sleeper::Blocker(blocker) => blocker.unpark(),
        }
    }
}

/// Ordered by time, and in the order that they were set in.
struct Alarm {
    at: Time,
    number: u64,
    sleeper: Sleeper,
}

impl PartialEq for Alarm {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.number) == (other.at, other.number)
    }
}

impl Eq for Alarm {}

impl PartialOrd for Alarm {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Alarm {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

#[derive(Default)]
struct AlarmQueue {
    heap: BinaryHeap<Reverse<Alarm>>,
    last_number: u64,
}

impl AlarmQueue {
    /// Removes the first alarm that is due.
    fn pop_due(&mut self, now: Time) -> Option<Alarm> {
        if self.next_due()? > now {
            return None;
        }
        self.heap.pop().map(|Reverse(alarm)| alarm)
    }

    fn next_due(&self) -> Option<Time> {
        self.heap.peek().map(|Reverse(first)| first.at)
    }
}

/// The alarms of a process.
pub struct Alarms {
    /// The clock that they go by.
    pub clock: Clock,
    wake_timer: WakeTimer,
    queue: Mutex<AlarmQueue>,
}

impl Alarms {
    /// No alarms yet. They go off once `run` runs.
    pub fn new(clock: Clock) -> std::io::Result<Self> {
        let wake_timer = WakeTimer::new(clock, STEP)?;
        Ok(Alarms { clock, wake_timer, queue: Mutex::new(AlarmQueue::default()) })
    }

    fn queue(&self) -> MutexGuard<'_, AlarmQueue> {
        self.queue.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn set(&self, at: Time, sleeper: Sleeper) {
        {
            let mut queue = self.queue();
            queue.last_number += 1;
            let number = queue.last_number;
            queue.heap.push(Reverse(Alarm { at, number, sleeper }));
        }
        self.wake_timer.wake_by(at);
    }

    /// The time by the clock.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// When a message that is read now may have been received, at the earliest: now, or, where the process was stalled, when
    /// it last ran.
    pub fn received_at(&self, now: Time) -> Time {
        self.wake_timer.received_at(now)
    }

    /// Wakes the reader of a connection then, if it still stands: it checks its deadline.
    pub fn wake_connection(&self, at: Time, connection: &Arc<Connection>) {
        self.set(at, Sleeper::Connection(Arc::downgrade(connection)));
    }

    /// Unparks a blocker then.
    pub fn unpark_at(&self, at: Time, blocker: &Arc<Blocker>) {
        self.set(at, Sleeper::Blocker(blocker.clone()));
    }

    /// Sleeps until then; for coroutines.
    pub fn sleep_until(&self, at: Time) {
        if at <= self.now() {
            return;
        }
        let blocker = Blocker::current();
        self.unpark_at(at, &blocker);
        let _ = blocker.park(None);
    }

    /// Has alarms go off; never returns. For a coroutine of its own.
    pub fn run(&self) {
        loop {
            let now = self.now();
            loop {
                // A statement of its own: the queue is not locked any more when the sleeper is woken.
                let due = self.queue().pop_due(now);
                let Some(alarm) = due else { break };
                alarm.sleeper.wake();
            }
            let next = self.queue().next_due();
            if let Some(next) = next {
                self.wake_timer.wake_by(next);
            }
            self.wake_timer.wait();
        }
    }
}
