//! Monotonic clock that starts at Unix time, so that time windows are aligned across processes.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use lynxstair::types::{Span, Time};

/// Monotonic clock. Copies return the same time.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
    unix_at_start: Time,
}

impl Clock {
    /// Starts the clock at the system's current Unix time.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_nanos() as u64);
        Clock { started: Instant::now(), unix_at_start: Time::from_nanos(unix) }
    }

    /// Time since the Unix epoch. Never decreases, and ignores later changes of the system time.
    pub fn now(&self) -> Time {
        self.unix_at_start + Span::from_nanos(self.started.elapsed().as_nanos() as u64)
    }
}
