//! The retry budget: for each service, how many retries this proxy may make of what the operators grant to all proxies.
//! Requests earn it, and what may be saved up is this proxy's part of the slack. A process that begins has saved nothing:
//! the one before it on the same machine may have spent that part a moment ago.

use std::collections::HashMap;

/// The fraction of what is granted that is used: windows slide, and attempts that seemed lost on the way count too.
const USED_PART: f64 = 0.6;
/// How many proxies share the grant, as long as that is not known.
const INITIAL_PROXIES: f64 = 8.0;

/// Retries that may still be made, by service.
#[derive(Debug)]
pub struct RetryBudget {
    ratio: f64,
    slack: f64,
    proxies: f64,
    saved: HashMap<String, f64>,
}

impl RetryBudget {
    /// All proxies together are granted `ratio` retries for each request and `slack` on top in each window.
    pub fn new(ratio: f64, slack: f64) -> Self {
        RetryBudget { ratio, slack, proxies: INITIAL_PROXIES, saved: HashMap::new() }
    }

    /// How many proxies share the grant.
    pub fn set_proxy_count(&mut self, proxies: u32) {
        self.proxies = f64::from(proxies.max(1));
    }

    fn max_saved(&self) -> f64 {
        (self.slack * USED_PART / self.proxies).max(1.0)
    }

    /// A client's request for the service has gone to a worker for the first time.
    pub fn earn(&mut self, service: &str) {
        let (earned, max) = (self.ratio * USED_PART, self.max_saved());
        match self.saved.get_mut(service) {
            Some(saved) => *saved = (*saved + earned).min(max),
            None => {
                self.saved.insert(service.to_string(), earned.min(max));
            }
        }
    }

    /// Spends a retry; false where there is none left.
    pub fn try_spend(&mut self, service: &str) -> bool {
        match self.saved.get_mut(service) {
            Some(saved) if *saved >= 1.0 => {
                *saved -= 1.0;
                true
            }
            _ => false,
        }
    }

    /// Forgets services that the configuration does not hold any more.
    pub fn retain_services(&mut self, is_configured: impl Fn(&str) -> bool) {
        self.saved.retain(|service, _| is_configured(service));
    }
}
