//! Splits the requests of a route over services by weight.
//!
//! Each route steps through a low-discrepancy sequence (multiples of the golden ratio) instead of random
//! numbers, so that even a few hundred requests are split close to the weights, also in total over many
//! proxies.

use std::collections::HashMap;

/// Fractional part of the golden ratio.
const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_749_894_8;

/// Position of each route in its sequence.
#[derive(Debug, Default)]
pub struct WeightedSplit {
    points: HashMap<String, f64>,
}

impl WeightedSplit {
    /// Returns the index in `services` of the service for the next request of a route. `services` holds
    /// services and weights, at least one of them above 0. `start`, from 0 up to but not including 1, is
    /// the first point of a new sequence; it should differ between proxies.
    pub fn next(&mut self, route: &str, services: &[(String, f64)], start: f64) -> usize {
        let point = match self.points.get_mut(route) {
            Some(point) => {
                *point = (*point + GOLDEN_RATIO_FRACTION).fract();
                *point
            }
            None => {
                self.points.insert(route.to_string(), start);
                start
            }
        };
        let mut remaining = point * services.iter().map(|(_, weight)| weight).sum::<f64>();
        let chosen = services.iter().position(|(_, weight)| {
            remaining -= weight;
            remaining < 0.0
        });
        // Rounding errors may leave a remainder after the last weight.
        chosen.or_else(|| services.iter().position(|(_, weight)| *weight > 0.0)).unwrap_or(0)
    }

    /// Removes routes that are no longer configured.
    pub fn retain_routes(&mut self, is_configured: impl Fn(&str) -> bool) {
        self.points.retain(|route, _| is_configured(route));
    }
}
