//! Checks that routes which the configuration changes add are served like the others.

use super::checker::{Finding, SoakRule};
use super::clients::SentRequest;

/// Length of a window in which the shares of the routes are compared.
const WINDOW_S: f64 = 5.0;
/// Number of requests to added routes from which a window counts.
const MIN_REQUESTS: usize = 20;
/// Least share of requests to the other routes that succeed for a window to count.
const MIN_SHARE: f64 = 0.5;
/// Added routes must be served at least this fraction as often as the others.
const MIN_RELATIVE_SHARE: f64 = 0.25;

/// Number of requests in a window, and how many of them succeeded.
#[derive(Clone, Copy, Default)]
struct Served {
    sent: usize,
    succeeded: usize,
}

impl Served {
    fn add(&mut self, request: &SentRequest) {
        self.sent += 1;
        self.succeeded += usize::from(request.has_succeeded());
    }

    fn share(self) -> f64 {
        self.succeeded as f64 / self.sent.max(1) as f64
    }
}

/// Reports windows in which the added routes are hardly served although the others are. Requests of the tenant
/// with a quota don't count.
pub(super) fn check_added_routes(requests: &[SentRequest]) -> Vec<Finding> {
    let end_s = requests.iter().map(|request| request.sent_s).fold(0.0, f64::max);
    let windows = (0..=(end_s / WINDOW_S) as usize).map(|n| n as f64 * WINDOW_S);
    windows.filter_map(|from_s| check_window(requests, from_s)).collect()
}

fn check_window(requests: &[SentRequest], from_s: f64) -> Option<Finding> {
    let (mut added, mut others) = (Served::default(), Served::default());
    let is_inside = |r: &&SentRequest| r.sent_s >= from_s && r.sent_s < from_s + WINDOW_S && !r.is_limited;
    for request in requests.iter().filter(is_inside) {
        if request.is_added_route { added.add(request) } else { others.add(request) }
    }
    let is_starved = added.sent >= MIN_REQUESTS
        && others.share() >= MIN_SHARE
        && added.share() < others.share() * MIN_RELATIVE_SHARE;
    is_starved.then(|| Finding {
        rule: SoakRule::AddedRouteStarved,
        at_s: from_s,
        description: format!(
            "from {from_s:.0} s, {} of {} requests to added routes succeeded, {} of {} to others",
            added.succeeded, added.sent, others.succeeded, others.sent
        ),
    })
}
