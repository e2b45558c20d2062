//! Retry budget: limits the retries of a proxy for each service.
//!
//! Each request adds a fraction of a retry; the balance is capped at this proxy's share of the slack. A new
//! process starts with an empty balance, because the previous process on the machine may just have spent
//! that share.

use std::collections::HashMap;

/// Fraction of the granted retries that is used. The rest covers sliding windows and attempts that only
/// appear lost.
const USED_FRACTION: f64 = 0.6;
/// Assumed number of proxies until the leader reports it.
const INITIAL_PROXIES: f64 = 8.0;

/// Available retries of each service.
#[derive(Debug)]
pub struct RetryBudget {
    ratio: f64,
    slack: f64,
    proxies: f64,
    balances: HashMap<String, f64>,
}

impl RetryBudget {
    /// Creates an empty budget. All proxies together may make `ratio` retries for each request, plus
    /// `slack` retries in each window.
    pub fn new(ratio: f64, slack: f64) -> Self {
        RetryBudget { ratio, slack, proxies: INITIAL_PROXIES, balances: HashMap::new() }
    }

    /// Sets the number of proxies that share the budget.
    pub fn set_proxy_count(&mut self, proxies: u32) {
        self.proxies = f64::from(proxies.max(1));
    }

    fn max_balance(&self) -> f64 {
        (self.slack * USED_FRACTION / self.proxies).max(1.0)
    }

    /// Adds to the budget of a service, at the first attempt of a client's request.
    pub fn earn(&mut self, service: &str) {
        let (earned, max) = (self.ratio * USED_FRACTION, self.max_balance());
        match self.balances.get_mut(service) {
            Some(balance) => *balance = (*balance + earned).min(max),
            None => {
                self.balances.insert(service.to_string(), earned.min(max));
            }
        }
    }

    /// Spends one retry. Returns `false` if none is available.
    pub fn try_spend(&mut self, service: &str) -> bool {
        match self.balances.get_mut(service) {
            Some(balance) if *balance >= 1.0 => {
                *balance -= 1.0;
                true
            }
            _ => false,
        }
    }

    /// Removes services that are no longer configured.
    pub fn retain_services(&mut self, is_configured: impl Fn(&str) -> bool) {
        self.balances.retain(|service, _| is_configured(service));
    }
}
