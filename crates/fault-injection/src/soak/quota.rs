//! Checks the usage of the tenant with a quota over all proxies.

use std::collections::HashMap;

use super::checker::{Finding, SoakRule};
use super::clients::SentRequest;
use super::workers::Run;

/// API keys of the tenant with a quota and of the one without.
pub(super) const LIMITED_KEY: &str = "limited-key";
pub(super) const UNLIMITED_KEY: &str = "unlimited-key";
/// Share of the requests that are of the tenant with a quota. The load exceeds the quota.
pub(super) const LIMITED_SHARE: f64 = 0.3;
/// Quota, in requests per second, and requests beyond it.
pub(super) const QUOTA_RATE: f64 = 8.0;
pub(super) const QUOTA_BURST: f64 = 8.0;
/// Bounds in the settings: in a window, `(rate * window + burst) * (1 + overshoot) + slack` requests may run.
pub(super) const QUOTA_WINDOW_S: f64 = 5.0;
pub(super) const QUOTA_OVERSHOOT: f64 = 0.1;
pub(super) const QUOTA_SLACK: f64 = 5.0;

/// Reports the window with the most requests that were both sent by the client and run by a worker in it, if
/// these are more than allowed.
pub(super) fn check_quota(runs: &[Run], requests: &[SentRequest]) -> Option<Finding> {
    let limited = requests.iter().filter(|request| request.is_limited);
    let sent: HashMap<&str, f64> = limited.map(|request| (&request.id[..], request.sent_s)).collect();
    let mut arrivals: Vec<(f64, f64)> =
        runs.iter().filter_map(|run| Some((*sent.get(&run.id[..])?, run.start_s))).collect();
    arrivals.sort_by(|a, b| a.0.total_cmp(&b.0));
    let in_window = |first: usize| {
        let from = arrivals[first].0;
        let later = arrivals[first..].iter().take_while(|(sent_s, _)| *sent_s < from + QUOTA_WINDOW_S);
        later.filter(|(_, start_s)| *start_s < from + QUOTA_WINDOW_S).count()
    };
    let windows = (0..arrivals.len()).map(|first| (in_window(first), arrivals[first].0));
    let (most, at_s) = windows.max_by(|a, b| a.0.cmp(&b.0))?;
    let allowed = (QUOTA_RATE * QUOTA_WINDOW_S + QUOTA_BURST) * (1.0 + QUOTA_OVERSHOOT) + QUOTA_SLACK;
    (most as f64 > allowed).then(|| Finding {
        rule: SoakRule::QuotaExceeded,
        at_s,
        description: format!(
            "{most} requests of the limited tenant ran in {QUOTA_WINDOW_S} s, {allowed} allowed"
        ),
    })
}
