//! What is to happen when, in order; what was planned first comes first where two are due at once.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use lynxstair::types::Time;

pub(crate) struct Agenda<T> {
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    next: HashMap<u64, T>,
    planned: u64,
}

impl<T> Default for Agenda<T> {
    fn default() -> Self {
        Agenda { queue: BinaryHeap::new(), next: HashMap::new(), planned: 0 }
    }
}

impl<T> Agenda<T> {
    pub fn plan(&mut self, at: Time, next: T) {
        self.planned += 1;
        self.next.insert(self.planned, next);
        self.queue.push(Reverse((at, self.planned)));
    }

    /// The first thing that is due by then, and when it is.
    pub fn due(&mut self, until: Time) -> Option<(Time, T)> {
        let Reverse((at, number)) = self.queue.peek().copied().filter(|Reverse((at, _))| *at <= until)?;
        self.queue.pop();
        self.next.remove(&number).map(|next| (at, next))
    }
}
