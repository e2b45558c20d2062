//! Checks the outcomes of client requests and the attempts that workers received.

use super::*;

impl Checker<'_> {
    pub(super) fn check_requests(&mut self) {
        let trace = self.trace;
        let by_name: HashMap<&str, &ProcessTrace> =
            trace.processes.iter().map(|p| (p.name.as_str(), p)).collect();
        let is_undisturbed = |name: &str, from: u64, to: u64| {
            by_name.get(name).is_some_and(|p| !p.disturbed_ns.iter().any(|(a, b)| *a <= to && from <= *b))
        };
        let mut counts_by_gatekeeper: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
        for entry in &trace.outcomes {
            let name = entry.gatekeeper.as_str();
            let undisturbed = is_undisturbed(name, entry.sent_at.saturating_sub(500_000_000), entry.ended_at);
            let records = || vec![serde_json::to_string(entry).unwrap_or_default()];
            if entry.extra_bytes > 0 {
                let what = format!("{} bytes after the answer to request {:x}", entry.extra_bytes, entry.id);
                self.report("one-answer", entry.ended_at, &[name], what, records());
            }
            if undisturbed && entry.status.is_none() && entry.reason != "crossed" {
                let what = format!("request {:x} got no answer in time: {}", entry.id, entry.reason);
                self.report("one-answer", entry.ended_at, &[name], what, records());
            }
            if undisturbed && entry.reason != "crossed" {
                let count = counts_by_gatekeeper.entry(name).or_default();
                count.0 += 1;
                count.1 += usize::from(entry.status == Some(200));
            }
        }
        for (name, (sent, succeeded)) in counts_by_gatekeeper {
            if sent >= 20 && (succeeded as f64) < MIN_SUCCESS_SHARE * sent as f64 {
                let what = format!("{succeeded} of {sent} requests at {name} succeeded");
                self.report("served-through", trace.end_ns, &[name], what, Vec::new());
            }
        }
        let by_id: HashMap<u64, &RequestOutcome> = trace.outcomes.iter().map(|a| (a.id, a)).collect();
        let mut runs: HashMap<u64, Vec<&ReceivedAttempt>> = HashMap::new();
        for run in &trace.attempts {
            runs.entry(run.id).or_default().push(run);
        }
        for (id, runs) in &runs {
            let Some(entry) = by_id.get(id) else { continue };
            let records =
                || runs.iter().map(|d| serde_json::to_string(d).unwrap_or_default()).collect::<Vec<_>>();
            if entry.operation == "put" && runs.len() > 1 {
                let what = format!("request {id:x} is not idempotent and ran {} times", runs.len());
                self.report("no-effect-twice", runs[1].received_at, &[&entry.gatekeeper], what, records());
            }
            let Some((worker, since)) = trace.drained_worker else { continue };
            for run in runs.iter().filter(|r| r.worker == worker && r.received_at > since + DRAIN_GRACE_NS) {
                if is_undisturbed(&entry.gatekeeper, since.saturating_sub(DRAIN_GRACE_NS), run.received_at) {
                    let what = format!(
                        "request {id:x} went to worker {worker} {:.2} s after it started draining",
                        (run.received_at - since) as f64 / 1e9
                    );
                    self.report("nothing-to-drained", run.received_at, &[&entry.gatekeeper], what, records());
                }
            }
        }
    }
}

pub(super) fn count_requests(trace: &TrialTrace) -> RequestCounts {
    let with = |is: fn(u16) -> bool| trace.outcomes.iter().filter(|a| a.status.is_some_and(is)).count();
    RequestCounts {
        sent: trace.outcomes.len(),
        succeeded: with(|s| s == 200),
        throttled: with(|s| s == 429 || s == 503),
        errored: with(|s| s != 200 && s != 429 && s != 503),
        unanswered: trace.outcomes.iter().filter(|a| a.status.is_none()).count(),
        deliveries: trace.attempts.len(),
    }
}
