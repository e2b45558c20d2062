//! Checks that workers receive no requests long after their departure was acknowledged.

use std::collections::{BTreeMap, HashMap};

use super::checker::{Finding, SoakRule};
use super::clients::SentRequest;
use super::driver::{History, ProcessEvent};
use super::plan::ProcessName;

/// Time after the acknowledgement for which a worker may still receive requests (`drain-s`).
const DRAIN_S: f64 = 2.5;
/// Time after the last disturbance after which the controllers and a proxy are in touch (`contact-s`).
const CONTACT_S: f64 = 5.0;

/// Acknowledgement that a worker drains or has deregistered.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Departure {
    /// Number of the worker.
    pub worker: usize,
    /// Time of the acknowledgement, in seconds since the start of the soak.
    pub acknowledged_s: f64,
}

/// Reports requests that a proxy in touch sent to a worker later than `drain-s` after its departure was
/// acknowledged.
pub(super) fn check_departed_workers(history: &History) -> Vec<Finding> {
    let departures: HashMap<usize, f64> =
        history.departures.iter().map(|departure| (departure.worker, departure.acknowledged_s)).collect();
    let requests: HashMap<&str, &SentRequest> =
        history.requests.iter().map(|request| (&request.id[..], request)).collect();
    let mut findings = Vec::new();
    for run in &history.runs {
        let (Some(acknowledged_s), Some(request)) = (departures.get(&run.worker), requests.get(&run.id[..]))
        else {
            continue;
        };
        let late_s = run.start_s - acknowledged_s;
        if late_s > DRAIN_S && is_in_touch(&history.events, request) {
            let description = format!(
                "{} at proxy{}, sent {:.3}, reached worker {} {late_s:.3} s after its departure was acknowledged",
                request.id,
                request.proxy + 1,
                request.sent_s,
                run.worker,
            );
            findings.push(Finding { rule: SoakRule::DepartedWorkerUsed, at_s: run.start_s, description });
        }
    }
    findings
}

/// Returns `true` if neither a controller nor the proxy of the request was disturbed in the last `CONTACT_S`
/// before the request was sent, until it ended.
fn is_in_touch(events: &BTreeMap<ProcessName, Vec<(f64, ProcessEvent)>>, request: &SentRequest) -> bool {
    let concerned = events.iter().filter(|(name, _)| match name {
        ProcessName::Controller(_) => true,
        ProcessName::Proxy(n) => *n == request.proxy,
    });
    let mut disturbances = concerned.flat_map(|(_, events)| events).filter_map(|(at_s, event)| match event {
        ProcessEvent::HungUp => None,
        ProcessEvent::Paused(duration_s) => Some((*at_s, at_s + duration_s)),
        _ => Some((*at_s, *at_s)),
    });
    !disturbances.any(|(from_s, until_s)| from_s <= request.ended_s && request.sent_s < until_s + CONTACT_S)
}
