//! What clients and workers saw.

use super::*;

impl Checker<'_> {
    pub(super) fn invocations(&mut self) {
        let seen = self.seen;
        let of: HashMap<&str, &ProcessObservation> =
            seen.processes.iter().map(|p| (p.name.as_str(), p)).collect();
        let quiet = |name: &str, from: u64, to: u64| {
            of.get(name).is_some_and(|p| !p.disturbed.iter().any(|(a, b)| *a <= to && from <= *b))
        };
        let mut served: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
        for one in &seen.answered {
            let who = one.gatekeeper.as_str();
            let undisturbed = quiet(who, one.sent_at.saturating_sub(500_000_000), one.ended_at);
            let said = || vec![serde_json::to_string(one).unwrap_or_default()];
            if one.extra_bytes > 0 {
                let what = format!("{} bytes came behind the one answer to {:x}", one.extra_bytes, one.id);
                self.report("one-answer", one.ended_at, &[who], what, said());
            }
            if undisturbed && one.status.is_none() && one.reason != "crossed" {
                let what = format!("no answer to {:x} in time: {}", one.id, one.reason);
                self.report("one-answer", one.ended_at, &[who], what, said());
            }
            if undisturbed && one.reason != "crossed" {
                let count = served.entry(who).or_default();
                count.0 += 1;
                count.1 += usize::from(one.status == Some(200));
            }
        }
        for (who, (sent, succeeded)) in served {
            if sent >= 20 && (succeeded as f64) < SERVED * sent as f64 {
                let what = format!("{succeeded} of {sent} invocations at {who} succeeded");
                self.report("served-through", seen.ended, &[who], what, Vec::new());
            }
        }
        let by_id: HashMap<u64, &RequestOutcome> = seen.answered.iter().map(|a| (a.id, a)).collect();
        let mut runs: HashMap<u64, Vec<&ReceivedAttempt>> = HashMap::new();
        for one in &seen.delivered {
            runs.entry(one.id).or_default().push(one);
        }
        for (id, runs) in &runs {
            let Some(asked) = by_id.get(id) else { continue };
            let said =
                || runs.iter().map(|d| serde_json::to_string(d).unwrap_or_default()).collect::<Vec<_>>();
            if asked.operation == "put" && runs.len() > 1 {
                let what = format!("{id:x} is not idempotent and was run {} times", runs.len());
                self.report("no-effect-twice", runs[1].received_at, &[&asked.gatekeeper], what, said());
            }
            let Some((worker, told)) = seen.drained else { continue };
            for run in runs.iter().filter(|r| r.worker == worker && r.received_at > told + DRAINED) {
                if quiet(&asked.gatekeeper, told.saturating_sub(DRAINED), run.received_at) {
                    let what = format!(
                        "{id:x} went to worker {worker}, {:.2} s after it drained",
                        (run.received_at - told) as f64 / 1e9
                    );
                    self.report("nothing-to-drained", run.received_at, &[&asked.gatekeeper], what, said());
                }
            }
        }
    }
}

pub(super) fn counted(seen: &Observations) -> RequestCounts {
    let with = |is: fn(u16) -> bool| seen.answered.iter().filter(|a| a.status.is_some_and(is)).count();
    RequestCounts {
        sent: seen.answered.len(),
        succeeded: with(|s| s == 200),
        throttled: with(|s| s == 429 || s == 503),
        errored: with(|s| s != 200 && s != 429 && s != 503),
        unanswered: seen.answered.iter().filter(|a| a.status.is_none()).count(),
        deliveries: seen.delivered.len(),
    }
}
