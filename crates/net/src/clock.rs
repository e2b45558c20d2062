//! The clock: monotonic, and set to Unix time once at the start, so that windows are the same everywhere.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use lynxstair::types::{Span, Time};

/// A monotonic clock. Its copies tell the same time.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
    unix_at_start: Time,
}

impl Clock {
    /// Takes the time of day, once.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_nanos() as u64);
        Clock { started: Instant::now(), unix_at_start: Time::from_nanos(unix) }
    }

    /// The time since the Unix epoch. It never goes back, whatever becomes of the time of day.
    pub fn now(&self) -> Time {
        self.unix_at_start + Span::from_nanos(self.started.elapsed().as_nanos() as u64)
    }
}
