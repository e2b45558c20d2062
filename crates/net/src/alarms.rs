//! Wakes whoever waits, at the time it asked for: a connection is nudged, a sleeper goes on. One timer, and one
//! coroutine that waits on it; an alarm that is no longer of use only wakes somebody for nothing.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::{Arc, Mutex, MutexGuard, Weak};

use lynxstair::types::{Span, Time};
use may::sync::Blocker;

use crate::clock::Clock;
use crate::conn::Conn;
use crate::ticker::Ticker;

enum Sleeper {
    Conn(Weak<Conn>),
    Blocker(Arc<Blocker>),
}

struct Alarm(Time, u64, Sleeper);

impl PartialEq for Alarm {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
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
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

#[derive(Default)]
struct Set {
    heap: BinaryHeap<Reverse<Alarm>>,
    last: u64,
}

pub struct Alarms {
    pub clock: Clock,
    ticker: Ticker,
    set: Mutex<Set>,
}

impl Alarms {
    pub fn new(clock: Clock) -> std::io::Result<Self> {
        let ticker = Ticker::new(clock, Span::from_millis(1))?;
        Ok(Alarms { clock, ticker, set: Mutex::new(Set::default()) })
    }

    fn set(&self) -> MutexGuard<'_, Set> {
        self.set.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn put(&self, at: Time, sleeper: Sleeper) {
        {
            let mut set = self.set();
            set.last += 1;
            let number = set.last;
            set.heap.push(Reverse(Alarm(at, number, sleeper)));
        }
        self.ticker.by(at);
    }

    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// When what is read now may have come at the earliest: now, or, where the program stood still, when it last ran.
    pub fn came_at(&self, now: Time) -> Time {
        self.ticker.came_at(now)
    }

    /// Nudges the connection then, if it still stands: its reader looks at its time limit.
    pub fn nudge(&self, at: Time, conn: &Arc<Conn>) {
        self.put(at, Sleeper::Conn(Arc::downgrade(conn)));
    }

    /// Wakes a blocker then.
    pub fn wake(&self, at: Time, blocker: &Arc<Blocker>) {
        self.put(at, Sleeper::Blocker(blocker.clone()));
    }

    /// Sleeps until then; for coroutines.
    pub fn sleep_until(&self, at: Time) {
        if at <= self.now() {
            return;
        }
        let blocker = Blocker::current();
        self.wake(at, &blocker);
        let _ = blocker.park(None);
    }

    /// The coroutine that all the others are woken by; it never ends.
    pub fn run(&self) {
        loop {
            let now = self.now();
            loop {
                let mut set = self.set();
                if set.heap.peek().is_none_or(|Reverse(first)| first.0 > now) {
                    break;
                }
                let Some(Reverse(alarm)) = set.heap.pop() else { break };
                drop(set);
                match alarm.2 {
                    Sleeper::Conn(conn) => {
                        if let Some(conn) = conn.upgrade() {
                            conn.nudge();
                        }
                    }
                    Sleeper::Blocker(blocker) => blocker.unpark(),
                }
            }
            let next = self.set().heap.peek().map(|Reverse(first)| first.0);
            if let Some(next) = next {
                self.ticker.by(next);
            }
            self.ticker.wait();
        }
    }
}
