//! How a route's requests are split over services by weight. Drawn by chance, the shares of a few hundred requests stray by
//! several hundredths from the weights; here each route goes through the points of a low-discrepancy sequence (multiples of the
//! golden ratio), so that every run of requests is split nearly as the weights say, also the sum over many proxies.

use std::collections::HashMap;

/// The fractional part of the golden ratio.
const GOLDEN_RATIO: f64 = 0.618_033_988_749_894_8;

/// Where each route's sequence stands.
#[derive(Debug, Default)]
pub struct WeightedSplit {
    points: HashMap<String, f64>,
}

impl WeightedSplit {
    /// The next choice of a route: an index into `parts`, services with their weights, of which at least one is above 0.
    /// `start` is where a route's sequence begins, from 0 up to 1: another point in each proxy.
    pub fn next(&mut self, route: &str, parts: &[(String, f64)], start: f64) -> usize {
        let point = match self.points.get_mut(route) {
            Some(point) => {
                *point = (*point + GOLDEN_RATIO).fract();
                *point
            }
            None => {
                self.points.insert(route.to_string(), start);
                start
            }
        };
        let mut left = point * parts.iter().map(|(_, weight)| weight).sum::<f64>();
        let drawn = parts.iter().position(|(_, weight)| {
            left -= weight;
            left < 0.0
        });
        // Rounding may leave a rest behind the last one.
        drawn.or_else(|| parts.iter().position(|(_, weight)| *weight > 0.0)).unwrap_or(0)
    }

    /// Forgets routes that the configuration does not hold any more.
    pub fn retain_routes(&mut self, is_configured: impl Fn(&str) -> bool) {
        self.points.retain(|route, _| is_configured(route));
    }
}
