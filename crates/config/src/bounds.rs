//! Limits and time spans of the operators' rules, read from `bounds` in the settings file.

use lynxstair::types::Span;

use crate::json::{self, Object, Value, ValueError, get, invalid};

/// Limits and time spans of the operators' rules. Values that the settings omit have defaults.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// Longest time after the last fault until machines are in contact again.
    pub contact: Span,
    /// Time for which a worker continues to serve after its drain was acknowledged.
    pub drain: Span,
    /// Longest time between SIGTERM and the exit of a process.
    pub grace: Span,
    /// Longest time until an acknowledged configuration is in force on every machine.
    pub converge: Span,
    /// A revoked key must stop working on every machine, including partitioned ones.
    pub revoke_final: bool,
    /// Longest time for which a revoked key still works.
    pub revoke: Span,
    /// Retries granted for each request.
    pub retry_ratio: f64,
    /// Window for counting retries.
    pub retry_window: Span,
    /// Retries granted in addition to the ratio in each window.
    pub retry_slack: f64,
    /// Window for counting requests against a quota.
    pub quota_window: Span,
    /// Fraction by which a quota may be exceeded in a window.
    pub quota_overshoot: f64,
    /// Requests by which a quota may be exceeded in addition.
    pub quota_slack: f64,
    /// Allowed multiple of the rate of a worker that is warming up.
    pub warm_up_overshoot: f64,
    /// Requests a second allowed in addition to that multiple.
    pub warm_up_slack: f64,
    /// Longest time until an acknowledged evacuation is in force.
    pub evacuate: Span,
    /// Longest time to live of a directory response.
    pub ttl_max: Span,
    /// Time after its return, or after the start of a new machine, during which a machine still counts as
    /// failed.
    pub catch_up: Span,
    /// Longest time until a valid operator command is acknowledged.
    pub ack: Span,
}

impl Bounds {
    /// Reads `name=value` strings, from a list or from one comma-separated string.
    pub(crate) fn from_settings(settings: &Object) -> Result<Bounds, ValueError> {
        let pairs = Pairs::from_settings(settings)?;
        Ok(Bounds {
            contact: pairs.seconds("contact-s", 5.0)?,
            drain: pairs.seconds("drain-s", 2.5)?,
            grace: pairs.seconds("grace-s", 6.0)?,
            converge: pairs.seconds("converge-s", 2.5)?,
            revoke_final: pairs.find("revoke-final") == Some("true"),
            revoke: pairs.seconds("revoke-s", 5.0)?,
            retry_ratio: pairs.number("retry-ratio", 0.2)?,
            retry_window: pairs.seconds("retry-window-s", 10.0)?,
            retry_slack: pairs.number("retry-slack", 50.0)?,
            quota_window: pairs.seconds("quota-window-s", 5.0)?,
            quota_overshoot: pairs.number("quota-overshoot", 0.1)?,
            quota_slack: pairs.number("quota-slack", 20.0)?,
            warm_up_overshoot: pairs.number("cold-overshoot", 1.5)?,
            warm_up_slack: pairs.number("cold-slack", 5.0)?,
            evacuate: pairs.seconds("evacuate-s", 5.0)?,
            ttl_max: pairs.seconds("ttl_max_s", 5.0)?,
            catch_up: pairs.seconds("catch-up-s", 4.0)?,
            ack: pairs.seconds("ack-s", 8.0)?,
        })
    }
}

/// The `name=value` strings of the `bounds` setting.
struct Pairs(Vec<String>);

impl Pairs {
    fn from_settings(settings: &Object) -> Result<Pairs, ValueError> {
        match get(settings, "bounds") {
            Some(list @ Value::Array(_)) => json::as_strings(list, "bounds").map(Pairs),
            Some(Value::String(line)) => Ok(Pairs(line.split(',').map(str::to_string).collect())),
            _ => Ok(Pairs(Vec::new())),
        }
    }

    fn find(&self, name: &str) -> Option<&str> {
        let pairs = self.0.iter().filter_map(|pair| pair.split_once('='));
        pairs.into_iter().find(|(n, _)| n.trim() == name).map(|(_, value)| value.trim())
    }

    fn number(&self, name: &str, default: f64) -> Result<f64, ValueError> {
        match self.find(name).map(str::parse::<f64>) {
            None => Ok(default),
            Some(Ok(n)) if n.is_finite() && n >= 0.0 => Ok(n),
            Some(_) => invalid(format!("bounds.{name}"), "expected a non-negative number"),
        }
    }

    fn seconds(&self, name: &str, default: f64) -> Result<Span, ValueError> {
        self.number(name, default).map(Span::from_secs)
    }
}
