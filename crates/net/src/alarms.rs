//! Wake-ups at requested times, for readers of connections and for sleeping coroutines.
//!
//! One coroutine waits for one timer. Alarms of blockers cannot be cancelled: an outdated alarm causes a spurious
//! wake-up, so every waiter checks its own condition again. A connection has one alarm, which the next one
//! replaces, so that memory does not grow with the number of alarms set.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::{Arc, Mutex, MutexGuard, Weak};

use lynxstair::types::{Span, Time};
use may::sync::Blocker;

use crate::clock::Clock;
use crate::connection::Connection;
use crate::wake_timer::WakeTimer;

/// Messages read within this time after a stall of the process count as received during it.
const TIME_RESOLUTION: Span = Span::from_millis(1);

enum Waiter {
    Connection(Weak<Connection>),
    Blocker(Arc<Blocker>),
}

/// The alarm of a connection.
#[derive(Debug, Default)]
pub(crate) struct ConnectionAlarm {
    /// Time at which its reader is to be woken; `None` if there is no alarm.
    due: Option<Time>,
    /// Time of its entry in the queue, which is at `due` or before; `None` if there is none. An entry with another
    /// time is outdated.
    queued: Option<Time>,
}

impl ConnectionAlarm {
    /// Replaces the alarm. Returns `true` if it needs a new entry in the queue.
    fn replace(&mut self, due: Time) -> bool {
        self.due = Some(due);
        let needs_entry = self.queued.is_none_or(|queued| queued > due);
        if needs_entry {
            self.queued = Some(due);
        }
        needs_entry
    }

    /// Handles the entry with time `at`, which was removed from the queue.
    fn on_removed(&mut self, now: Time, at: Time) -> AlarmStep {
        if self.queued != Some(at) {
            return AlarmStep::Nothing;
        }
        self.queued = None;
        match self.due {
            Some(due) if due > now => {
                self.queued = Some(due);
                AlarmStep::Requeue(due)
            }
            Some(_) => {
                self.due = None;
                AlarmStep::Wake
            }
            None => AlarmStep::Nothing,
        }
    }
}

/// What to do after an entry of a connection was removed from the queue.
enum AlarmStep {
    Nothing,
    Wake,
    Requeue(Time),
}

fn lock_alarm(connection: &Connection) -> MutexGuard<'_, ConnectionAlarm> {
    connection.alarm.lock().unwrap_or_else(|e| e.into_inner())
}

/// A pending wake-up, ordered by time and then by the order of creation.
struct Alarm {
    at: Time,
    sequence: u64,
    waiter: Waiter,
}

impl PartialEq for Alarm {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.sequence) == (other.at, other.sequence)
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
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

#[derive(Default)]
struct AlarmQueue {
    heap: BinaryHeap<Reverse<Alarm>>,
    last_sequence: u64,
}

impl AlarmQueue {
    /// Removes and returns the earliest alarm if it is due.
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

/// Pending wake-ups of a process.
pub struct Alarms {
    /// Clock of the alarm times.
    pub clock: Clock,
    wake_timer: WakeTimer,
    queue: Mutex<AlarmQueue>,
}

impl Alarms {
    /// Creates an empty set of alarms. They fire while `run` is running.
    pub fn new(clock: Clock) -> std::io::Result<Self> {
        let wake_timer = WakeTimer::new(clock, TIME_RESOLUTION)?;
        Ok(Alarms { clock, wake_timer, queue: Mutex::new(AlarmQueue::default()) })
    }

    fn queue(&self) -> MutexGuard<'_, AlarmQueue> {
        self.queue.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn set(&self, at: Time, waiter: Waiter) {
        {
            let mut queue = self.queue();
            queue.last_sequence += 1;
            let sequence = queue.last_sequence;
            queue.heap.push(Reverse(Alarm { at, sequence, waiter }));
        }
        self.wake_timer.wake_by(at);
    }

    /// Current time of the clock.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Earliest time at which a message that is read at `now` may have been received; before `now` after a
    /// stall of the process.
    pub fn received_at(&self, now: Time) -> Time {
        self.wake_timer.received_at(now)
    }

    /// Wakes the reader of a connection at `at`, unless the connection has been dropped. Replaces the alarm that
    /// was set before.
    pub fn wake_connection(&self, at: Time, connection: &Arc<Connection>) {
        if lock_alarm(connection).replace(at) {
            self.set(at, Waiter::Connection(Arc::downgrade(connection)));
        }
    }

    fn fire(&self, now: Time, alarm: Alarm) {
        match alarm.waiter {
            Waiter::Blocker(blocker) => blocker.unpark(),
            Waiter::Connection(waiting) => {
                let Some(connection) = waiting.upgrade() else { return };
                let step = lock_alarm(&connection).on_removed(now, alarm.at);
                match step {
                    AlarmStep::Nothing => {}
                    AlarmStep::Wake => connection.wake(),
                    AlarmStep::Requeue(due) => self.set(due, Waiter::Connection(waiting)),
                }
            }
        }
    }

    /// Unparks a blocker at `at`.
    pub fn unpark_at(&self, at: Time, blocker: &Arc<Blocker>) {
        self.set(at, Waiter::Blocker(blocker.clone()));
    }

    /// Suspends the calling coroutine until `at`.
    pub fn sleep_until(&self, at: Time) {
        if at <= self.now() {
            return;
        }
        let blocker = Blocker::current();
        self.unpark_at(at, &blocker);
        let _ = blocker.park(None);
    }

    /// Fires alarms as they become due. Never returns; must run in a coroutine of its own.
    pub fn run(&self) {
        loop {
            let now = self.now();
            loop {
                // A separate statement, so that the queue is unlocked when the waiter is woken.
                let due = self.queue().pop_due(now);
                let Some(alarm) = due else { break };
                self.fire(now, alarm);
            }
            let next = self.queue().next_due();
            if let Some(next) = next {
                self.wake_timer.wake_by(next);
            }
            self.wake_timer.wait();
        }
    }
}
