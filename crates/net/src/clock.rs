//! The clock: monotonic, set to Unix time once at the start, so that windows are the same everywhere.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use lynxstair::types::{Span, Time};

#[derive(Clone, Copy)]
pub struct Clock {
    started: Instant,
    unix_at_start: Time,
}

impl Clock {
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_nanos() as u64);
        Clock { started: Instant::now(), unix_at_start: Time::from_nanos(unix) }
    }

    pub fn now(&self) -> Time {
        self.unix_at_start + Span::from_nanos(self.started.elapsed().as_nanos() as u64)
    }
}
