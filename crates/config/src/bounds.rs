//! The figures of the operators' rules, from the settings' `bounds`.

use lynxstair::types::Span;

use crate::json::{self, Object, Value, ValueError, get, invalid};

/// What the operators' rules ask for; a figure that is not named has the default of the operators' example.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// How long after the last fault machines are in touch again.
    pub contact: Span,
    /// How long a worker serves on after its drain was acknowledged.
    pub drain: Span,
    /// How long a process may go on after SIGTERM.
    pub grace: Span,
    /// How long an acknowledged configuration may take to be in force everywhere.
    pub converge: Span,
    /// A revoked key must stop working on every machine, cut off or not.
    pub revoke_final: bool,
    /// How long a revoked key may still work.
    pub revoke: Span,
    /// Retries that are granted for each request.
    pub retry_ratio: f64,
    /// The window that retries are counted in.
    pub retry_window: Span,
    /// Retries that are granted on top of the ratio in each window.
    pub retry_slack: f64,
    /// The window that quotas are counted in.
    pub quota_window: Span,
    /// The fraction by which a quota may be exceeded in a window.
    pub quota_overshoot: f64,
    /// Requests by which it may be exceeded on top of that.
    pub quota_slack: f64,
    /// The factor by which the rate of a worker that is warming up may be exceeded.
    pub warm_up_overshoot: f64,
    /// Requests a second by which it may be exceeded on top of that.
    pub warm_up_slack: f64,
    /// How long an acknowledged evacuation may take to be in force.
    pub evacuate: Span,
    /// The longest time that a directory answer may be used for.
    pub ttl_max: Span,
    /// How long a machine still counts as lost after it is back, or after its start where it is new.
    pub catch_up: Span,
    /// How long a valid command of the operator may go without an acknowledgement.
    pub ack: Span,
}

impl Bounds {
    /// Reads `name=value` texts, in a list or on one line between commas.
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
            Some(_) => invalid(format!("bounds.{name}"), "a number is wanted"),
        }
    }

    fn seconds(&self, name: &str, default: f64) -> Result<Span, ValueError> {
        self.number(name, default).map(Span::from_secs)
    }
}
