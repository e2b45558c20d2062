//! Cold workers: what all gatekeepers together may send to one is split over those of its own zone, so that the sum
//! stays within what it bears, whoever is in touch with whom.

use std::collections::HashMap;

use lynxstair::state::Store;
use lynxstair::types::{Span, Time};

/// The part of what a cold worker bears that is made use of, and what may go to it at once.
const PART: f64 = 0.9;
const BURST: f64 = 1.5;
/// After a zone is taken back its workers may be cold and not have said so: they count as cold for so long, in beats.
const UNSAID_BEATS: f64 = 1.6;

/// While the core is out of reach a worker may have turned cold, or its zone have been emptied and be taken back, and
/// nobody here be told: no worker of the own zone gets more then than a cold one may get in a second. So much of that goes
/// at a steady rate, so much at once.
const UNHEARD_RATE: f64 = 0.65;
const UNHEARD_BURST: f64 = 0.25;
/// What one worker got is forgotten so long after.
const REMEMBERED: Span = Span::from_millis(5_000);

/// What is known here of how cold the workers of a zone are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Tidings {
    /// What they said last.
    Heard,
    /// The zone was just taken back: they may be cold and not have said so yet.
    Unsaid,
    /// The core is out of reach: they may have said anything.
    Unheard,
}

#[derive(Default)]
pub struct Cold {
    stores: HashMap<String, Store>,
    unheard: HashMap<String, Store>,
    overshoot: f64,
    slack: f64,
}

impl Cold {
    /// The operators' bounds: a cold worker may get `per_s` x `overshoot` + `slack` in any second, from all together.
    pub fn new(overshoot: f64, slack: f64) -> Cold {
        Cold { overshoot, slack, ..Cold::default() }
    }

    /// Whether a worker of which nothing can be heard may get a request, as far as it may be cold by now.
    pub fn has_room_unheard(&mut self, now: Time, worker: &str, per_s: f64, sharing: u32) -> bool {
        let own = (per_s * self.overshoot + self.slack) / f64::from(sharing.max(1));
        let burst = (own * UNHEARD_BURST).max(1.0);
        let rate = own * UNHEARD_RATE;
        let store = self.unheard.entry(worker.to_string()).or_insert(Store { level: 1.0, at: now });
        store.fill(now, rate, burst) >= 1.0
    }

    pub fn take_unheard(&mut self, worker: &str) {
        if let Some(store) = self.unheard.get_mut(worker) {
            store.level -= 1.0;
        }
    }

    /// Whether a request may go to the cold worker now. `sharing`: how many gatekeepers there are in its zone.
    pub fn has_room(&mut self, now: Time, worker: &str, per_s: f64, sharing: u32) -> bool {
        if sharing == 0 {
            return false;
        }
        let rate = per_s * PART / f64::from(sharing);
        let store = self.stores.entry(worker.to_string()).or_insert(Store { level: 0.5, at: now });
        store.fill(now, rate, BURST) >= 1.0
    }

    pub fn take(&mut self, worker: &str) {
        if let Some(store) = self.stores.get_mut(worker) {
            store.level -= 1.0;
        }
    }

    /// Lets go of workers that are warm or gone, and of what was counted while the core was out of reach.
    pub fn keep(&mut self, now: Time, is_cold: impl Fn(&str) -> bool) {
        self.unheard.retain(|_, store| now - store.at < REMEMBERED);
        self.stores.retain(|worker, _| is_cold(worker));
    }

    /// How long a worker counts as cold after its zone was taken back, until it says otherwise.
    pub fn unsaid(beat: Span) -> Span {
        beat.times(UNSAID_BEATS)
    }
}
