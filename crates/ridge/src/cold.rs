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

#[derive(Default)]
pub struct Cold {
    stores: HashMap<String, Store>,
}

impl Cold {
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

    /// Lets go of workers that are warm or gone.
    pub fn keep(&mut self, is_cold: impl Fn(&str) -> bool) {
        self.stores.retain(|worker, _| is_cold(worker));
    }

    /// How long a worker counts as cold after its zone was taken back, until it says otherwise.
    pub fn unsaid(beat: Span) -> Span {
        beat.times(UNSAID_BEATS)
    }
}
