//! The number of events in a sliding window.

use std::collections::VecDeque;

use lynxstair::types::{Span, Time};

/// Events of the same interval of this length share one entry.
const RESOLUTION: Span = Span::from_millis(100);

/// Events by the time at which they happened. An event may count for up to `RESOLUTION` too long, but never
/// too short.
#[derive(Debug, Default)]
pub(crate) struct SlidingCount {
    /// End of the interval and number of its events, in the order of time.
    entries: VecDeque<(Time, u64)>,
    sum: u64,
}

impl SlidingCount {
    /// Adds events that happened at `at`, which may lie in the past.
    pub fn add(&mut self, at: Time, count: u64) {
        if count == 0 {
            return;
        }
        self.sum += count;
        let interval = RESOLUTION.nanos();
        let end = Time::from_nanos((at.nanos() / interval + 1) * interval);
        let position = self.entries.partition_point(|(e, _)| *e < end);
        match self.entries.get_mut(position).filter(|(e, _)| *e == end) {
            Some((_, n)) => *n += count,
            None => self.entries.insert(position, (end, count)),
        }
    }

    /// Returns the number of events in the window up to `now`.
    pub fn sum(&mut self, now: Time, window: Span) -> u64 {
        while let Some((_, count)) = self.entries.pop_front_if(|(end, _)| now >= *end + window) {
            self.sum -= count;
        }
        self.sum
    }
}
