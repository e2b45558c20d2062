//! Number of proxies that share quotas, retry budgets and worker capacity. The leader reports the number in
//! each zone.

use lynxstair::types::{Span, Time};

/// A smaller count is used only after this time. A new leader, or one partitioned from some proxies, counts
/// only the proxies known to it; with that count each proxy would take more than its share.
const SETTLE_TIME: Span = Span::from_millis(4_000);
/// Maximum number of reports kept; the oldest is dropped.
const MAX_REPORTS: usize = 64;

/// The number of proxies in each zone.
pub type ZoneCounts = Vec<(String, u32)>;

/// Recent reports of the leader.
#[derive(Debug, Default)]
pub struct ProxyCounts {
    reports: Vec<(Time, ZoneCounts)>,
}

impl ProxyCounts {
    /// Records a report of the leader.
    pub fn record(&mut self, now: Time, counts: &[(String, u32)]) {
        self.reports.push((now, counts.to_vec()));
        if self.reports.len() > MAX_REPORTS {
            self.reports.remove(0);
        }
        self.expire(now);
    }

    /// Drops reports that were superseded at least `SETTLE_TIME` ago. Returns `true` if any was dropped.
    pub fn expire(&mut self, now: Time) -> bool {
        let replaced = self.reports.iter().skip(1).take_while(|(at, _)| now - *at >= SETTLE_TIME).count();
        self.reports.drain(..replaced);
        replaced > 0
    }

    /// Returns the number of proxies in each zone: the largest one among the reports kept.
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
