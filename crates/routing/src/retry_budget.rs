//! Further tries at a worker: for each service, what this gatekeeper may spend of what the operators grant to all of
//! them. It earns by requests, and what it saves up is its part of the slack.

use std::collections::HashMap;

/// The part of what is granted that is made use of: windows slide, and arrivals that were thought lost count too.
const PART: f64 = 0.6;

#[derive(Debug)]
pub struct Budget {
    ratio: f64,
    slack: f64,
    gatekeepers: f64,
    saved: HashMap<String, f64>,
}

impl Budget {
    pub fn new(ratio: f64, slack: f64) -> Self {
        Budget { ratio, slack, gatekeepers: 8.0, saved: HashMap::new() }
    }

    pub fn shared_by(&mut self, gatekeepers: u32) {
        self.gatekeepers = f64::from(gatekeepers.max(1));
    }

    fn most(&self) -> f64 {
        (self.slack * PART / self.gatekeepers).max(1.0)
    }

    /// A request of a client for the service has gone to a worker.
    pub fn earn(&mut self, service: &str) {
        let (more, most) = (self.ratio * PART, self.most());
        match self.saved.get_mut(service) {
            Some(saved) => *saved = (*saved + more).min(most),
            None => {
                self.saved.insert(service.to_string(), most);
            }
        }
    }

    /// Whether one more try may be made.
    pub fn spend(&mut self, service: &str) -> bool {
        let most = self.most();
        let saved = self.saved.entry(service.to_string()).or_insert(most);
        if *saved < 1.0 {
            return false;
        }
        *saved -= 1.0;
        true
    }

    pub fn keep(&mut self, is_held: impl Fn(&str) -> bool) {
        self.saved.retain(|service, _| is_held(service));
    }
}

#[cfg(test)]
mod tests {
    use super::Budget;

    /// Where every request asks for a further try, all gatekeepers together stay within the rule.
    #[test]
    fn storms_are_bounded() {
        let (ratio, slack, gatekeepers) = (0.2, 56.0, 8);
        let (mut requests, mut further) = (0, 0);
        let mut all: Vec<Budget> = (0..gatekeepers).map(|_| Budget::new(ratio, slack)).collect();
        for n in 0..2000 {
            let budget = &mut all[n % gatekeepers];
            budget.shared_by(gatekeepers as u32);
            budget.earn("s");
            requests += 1;
            further += u32::from(budget.spend("s"));
            assert!(f64::from(further) <= ratio * f64::from(requests) + slack, "{further} of {requests}");
        }
        assert!(further > 150, "{further}");
    }
}
