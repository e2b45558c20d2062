//! When the timer coroutine wakes next, and how it is woken sooner.

use std::sync::Arc;

use lynxstair::types::Time;
use lynxstair_net::alarms::Alarms;
use may::sync::Blocker;

/// The next wake-up.
#[derive(Default)]
pub struct Timer(Option<(Time, Arc<Blocker>)>);

impl Timer {
    /// The timer coroutine is about to sleep until then.
    pub fn set(&mut self, due: Time, blocker: &Arc<Blocker>) {
        self.0 = Some((due, blocker.clone()));
    }

    /// Something is due then: the coroutine wakes by that time.
    pub fn wake_by(&mut self, alarms: &Alarms, due: Time) {
        if let Some((at, blocker)) = &mut self.0
            && due < *at
        {
            *at = due;
            alarms.unpark_at(due, blocker);
        }
    }
}
