//! Over how many gatekeepers what all may spend together is split: quotas, further tries, cold room. The leader of the
//! core tells how many there are in each zone.

use lynxstair::types::{Span, Time};

/// So long a smaller count has to stand before it goes. A leader that has just begun, or was cut off from some, tells
/// those that it has found so far; each would take more than its part by that.
const STANDS: Span = Span::from_millis(4_000);
/// A leader tells each count once; of more within that time the oldest goes.
const MOST: usize = 64;

/// Gatekeepers in each zone.
pub type Zones = Vec<(String, u32)>;

#[derive(Debug, Default)]
pub struct Sharing {
    /// What was told, and when.
    told: Vec<(Time, Zones)>,
}

impl Sharing {
    /// The leader says how many there are.
    pub fn hear(&mut self, now: Time, zones: &[(String, u32)]) {
        self.told.push((now, zones.to_vec()));
        if self.told.len() > MOST {
            self.told.remove(0);
        }
        self.forget(now);
    }

    /// Lets go of what another count has stood in the place of for long enough; whether something went.
    pub fn forget(&mut self, now: Time) -> bool {
        let gone = self.told.iter().skip(1).take_while(|(at, _)| now - *at >= STANDS).count();
        self.told.drain(..gone);
        gone > 0
    }

    /// How many there may be in each zone.
    pub fn zones(&self) -> Zones {
        let mut zones = Zones::new();
        for (zone, n) in self.told.iter().flat_map(|(_, told)| told) {
            match zones.iter_mut().find(|(z, _)| z == zone) {
                Some((_, most)) => *most = (*most).max(*n),
                None => zones.push((zone.clone(), *n)),
            }
        }
        zones
    }
}
