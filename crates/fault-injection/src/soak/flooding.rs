//! Checks the request rate of workers that are warming up.

use std::collections::HashMap;

use super::checker::{Finding, SoakRule};
use super::clients::SentRequest;
use super::workers::{Run, WARMUP_OVERSHOOT, WARMUP_RATE, WARMUP_SLACK, WarmupPeriod};

/// Length of the windows in which requests are counted.
const WINDOW_S: f64 = 1.0;

/// Request that reached a worker: the times of sending by the client and of arrival.
struct Arrival {
    sent_s: f64,
    start_s: f64,
}

/// Reports workers that received more requests than allowed in a second of their warm-up, from all proxies
/// together. Requests sent before that second or before the warm-up do not count.
pub(super) fn check_warming_workers(
    periods: &[WarmupPeriod],
    runs: &[Run],
    requests: &[SentRequest],
) -> Vec<Finding> {
    let sent: HashMap<&str, f64> = requests.iter().map(|request| (&request.id[..], request.sent_s)).collect();
    let mut arrivals_by_worker: HashMap<usize, Vec<Arrival>> = HashMap::new();
    for run in runs {
        // Requests still pending at the end have no client record.
        let Some(sent) = sent.get(&run.id[..]) else { continue };
        arrivals_by_worker
            .entry(run.worker)
            .or_default()
            .push(Arrival { sent_s: *sent, start_s: run.start_s });
    }
    periods
        .iter()
        .filter_map(|period| check_warmup_period(period, arrivals_by_worker.get(&period.worker)?))
        .collect()
}

fn check_warmup_period(period: &WarmupPeriod, arrivals: &[Arrival]) -> Option<Finding> {
    let is_during = |arrival: &&Arrival| arrival.sent_s >= period.from_s && arrival.start_s <= period.until_s;
    let arrivals: Vec<&Arrival> = arrivals.iter().filter(is_during).collect();
    let in_window = |from: f64| {
        let is_inside = |arrival: &&&Arrival| arrival.sent_s >= from && arrival.start_s < from + WINDOW_S;
        arrivals.iter().filter(is_inside).count()
    };
    let windows = arrivals.iter().map(|arrival| (in_window(arrival.sent_s), arrival.sent_s));
    let (max_requests, at_s) = windows.max_by(|a, b| a.0.cmp(&b.0))?;
    let allowed = WARMUP_RATE * WARMUP_OVERSHOOT + WARMUP_SLACK;
    (max_requests as f64 > allowed).then(|| Finding {
        rule: SoakRule::WorkerOverloaded,
        at_s,
        description: format!(
            "worker {} received {max_requests} requests in one second while warming up from {:.3} to {:.3}, \
             {allowed} allowed",
            period.worker, period.from_s, period.until_s
        ),
    })
}
