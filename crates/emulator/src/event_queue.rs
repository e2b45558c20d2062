//! Queue of scheduled events, ordered by time. Events that are due at the same time are returned in the
//! order in which they were scheduled.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use lynxstair::types::Time;

pub(crate) struct EventQueue<T> {
    heap: BinaryHeap<Reverse<(Time, u64)>>,
    events: HashMap<u64, T>,
    scheduled_count: u64,
}

impl<T> Default for EventQueue<T> {
    fn default() -> Self {
        EventQueue { heap: BinaryHeap::new(), events: HashMap::new(), scheduled_count: 0 }
    }
}

impl<T> EventQueue<T> {
    pub fn schedule(&mut self, at: Time, event: T) {
        self.scheduled_count += 1;
        self.events.insert(self.scheduled_count, event);
        self.heap.push(Reverse((at, self.scheduled_count)));
    }

    /// Removes and returns the first event that is due at `until` or before, with its time.
    pub fn pop_due(&mut self, until: Time) -> Option<(Time, T)> {
        let Reverse((at, number)) = self.heap.peek().copied().filter(|Reverse((at, _))| *at <= until)?;
        self.heap.pop();
        self.events.remove(&number).map(|event| (at, event))
    }
}
