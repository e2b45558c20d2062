//! Over how many proxies a common grant is split: quotas, retries, warm-up capacity. The leader tells how many there are in
//! each zone.

use lynxstair::types::{Span, Time};

/// How long a smaller count has to stand before it is used. A leader that has just begun, or was partitioned off from some
/// proxies, counts only those that it has found so far; by that count each proxy would take more than its part.
const SETTLE_TIME: Span = Span::from_millis(4_000);
/// A leader tells each count once; of more counts within that time the oldest is dropped.
const MAX_REPORTS: usize = 64;

/// The number of proxies in each zone.
pub type ZoneCounts = Vec<(String, u32)>;

/// The counts that were told lately.
#[derive(Debug, Default)]
pub struct ProxyCounts {
    reports: Vec<(Time, ZoneCounts)>,
}

impl ProxyCounts {
    /// The leader tells how many there are.
    pub fn record(&mut self, now: Time, counts: &[(String, u32)]) {
        self.reports.push((now, counts.to_vec()));
        if self.reports.len() > MAX_REPORTS {
            self.reports.remove(0);
        }
        self.expire(now);
    }

    /// Drops reports that another one has replaced for long enough; returns whether there were any.
    pub fn expire(&mut self, now: Time) -> bool {
        let replaced = self.reports.iter().skip(1).take_while(|(at, _)| now - *at >= SETTLE_TIME).count();
        self.reports.drain(..replaced);
        replaced > 0
    }

    /// How many there may be in each zone.
    pub fn zones(&self) -> ZoneCounts {
        let mut zones = ZoneCounts::new();
        for (zone, count) in self.reports.iter().flat_map(|(_, counts)| counts) {
            match zones.iter_mut().find(|(z, _)| z == zone) {
                Some((_, max)) => *max = (*max).max(*count),
                None => zones.push((zone.clone(), *count)),
            }
        }
        zones
    }
}
