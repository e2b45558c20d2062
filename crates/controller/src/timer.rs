//! Wake-up time of the timer coroutine, which can be moved to an earlier time while it sleeps.

use std::sync::Arc;

use lynxstair::types::Time;
use lynxstair_net::alarms::Alarms;
use may::sync::Blocker;

/// Next wake-up of the timer coroutine, with its blocker; `None` before its first sleep.
#[derive(Default)]
pub struct Timer(Option<(Time, Arc<Blocker>)>);

impl Timer {
    /// Records that the timer coroutine is about to sleep until `due`.
    pub fn set(&mut self, due: Time, blocker: &Arc<Blocker>) {
        self.0 = Some((due, blocker.clone()));
    }

    /// Makes the timer coroutine wake at `due` if it would wake later.
    pub fn wake_by(&mut self, alarms: &Alarms, due: Time) {
        if let Some((at, blocker)) = &mut self.0
            && due < *at
        {
            *at = due;
            alarms.unpark_at(due, blocker);
        }
    }
}
