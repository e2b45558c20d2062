//! Checks the owners of duties and the batches that they sent to the sink.

use super::*;

impl Checker<'_> {
    /// Checks grants and owners over the histories of all processes together.
    pub(super) fn check_owners(&mut self) {
        let trace = self.trace;
        let mut grants: BTreeMap<(String, u64), (String, u64, String)> = BTreeMap::new();
        let mut violations = Vec::new();
        let all =
            || self.lines.iter().enumerate().flat_map(|(index, lines)| lines.iter().map(move |l| (index, l)));
        for (_, line) in all().filter(|(_, l)| l.is_event("granted")) {
            let key = (line.text("duty").to_string(), line.number("epoch"));
            let to = (line.text("owner").to_string(), line.number("stand"), line.text.clone());
            let before = grants.entry(key.clone()).or_insert_with(|| to.clone());
            if (&before.0, before.1) != (&to.0, to.1) {
                let what =
                    format!("{} in epoch {} was granted to {} and to {}", key.0, key.1, before.0, to.0);
                let involved = vec![before.0.clone(), to.0.clone()];
                violations.push((
                    "epoch-has-one-owner",
                    line.mono_ns,
                    involved,
                    what,
                    vec![before.2.clone(), to.2],
                ));
            }
        }
        let mut last: BTreeMap<(usize, String), (u64, String)> = BTreeMap::new();
        for (index, line) in all().filter(|(_, l)| l.is_event("owns")) {
            let owner = &trace.processes[index].name;
            let (duty, epoch) = (line.text("duty").to_string(), line.number("epoch"));
            if let Some((to, _, text)) = grants.get(&(duty.clone(), epoch)).filter(|(to, _, _)| to != owner) {
                let what = format!("{owner} owns {duty} in epoch {epoch}, which was granted to {to}");
                let texts = vec![text.clone(), line.text.clone()];
                violations.push((
                    "epoch-has-one-owner",
                    line.mono_ns,
                    vec![owner.clone(), to.clone()],
                    what,
                    texts,
                ));
            }
            let before = last.insert((index, duty.clone()), (epoch, line.text.clone()));
            if let Some((was, text)) = before.filter(|(was, _)| *was > epoch) {
                let what = format!("{owner} owns {duty} in epoch {epoch} after epoch {was}");
                violations.push((
                    "epochs-forward",
                    line.mono_ns,
                    vec![owner.clone()],
                    what,
                    vec![text, line.text.clone()],
                ));
            }
        }
        for (rule, at, involved, what, lines) in violations {
            let involved: Vec<&str> = involved.iter().map(String::as_str).collect();
            self.report(rule, at, &involved, what, lines);
        }
        self.check_final_owner();
        if let Some(sink_batches) = &trace.sink_batches {
            self.check_batch_order(sink_batches);
            self.check_exported_usage(sink_batches);
        }
    }

    pub(super) fn check_batch_order(&mut self, sink_batches: &[ReceivedBatch]) {
        let mut last: Option<&ReceivedBatch> = None;
        for batch in sink_batches.iter().filter(|l| matches!(l.reply, BatchReply::Accepted { .. })) {
            if let Some(before) = last.filter(|b| b.epoch > batch.epoch) {
                let what = format!(
                    "the sink accepted a batch of epoch {} after one of epoch {}",
                    batch.epoch, before.epoch
                );
                let lines = [before, batch].map(|l| serde_json::to_string(l).unwrap_or_default());
                self.report("effects-in-order", batch.received_at, &[], what, lines.to_vec());
            }
            last = last.filter(|b| b.epoch > batch.epoch).or(Some(batch));
        }
    }

    /// Compares the exported usage with the answers to clients. A request without an answer may have run, so
    /// its usage may be at the sink or not.
    pub(super) fn check_exported_usage(&mut self, sink_batches: &[ReceivedBatch]) {
        let trace = self.trace;
        let mut sums: BTreeMap<(&str, u64), (u64, u64, u64)> = BTreeMap::new();
        for received in
            sink_batches.iter().filter(|l| l.reply == BatchReply::Accepted { already_stored: false })
        {
            for sum in &received.batch.sums {
                let key = (received.batch.stream.gatekeeper.as_str(), sum.tenant);
                sums.entry(key).or_default().0 += sum.milli_units;
            }
        }
        for outcome in &trace.outcomes {
            let sum = sums.entry((outcome.gatekeeper.as_str(), outcome.tenant)).or_default();
            match outcome.status {
                Some(200) => sum.1 += 1_000,
                None => sum.2 += 1_000,
                _ => {}
            }
        }
        for ((gatekeeper, tenant), (exported, answered, unanswered)) in sums {
            let is_checked = trace.processes.iter().any(|p| p.name == gatekeeper && p.retains_usage());
            // Without an owner, usage is not exported yet; an excess is a violation in any case.
            let required = if self.has_voter_quorum() { answered } else { 0 };
            if is_checked && !(required..=answered + unanswered).contains(&exported) {
                let what = format!(
                    "tenant {tenant:x} at {gatekeeper}: {:.3} units at the sink, {:.3} answered with \
                     success, {:.3} without an answer",
                    exported as f64 / 1e3,
                    answered as f64 / 1e3,
                    unanswered as f64 / 1e3
                );
                self.report("exported-as-answered", trace.end_ns, &[gatekeeper], what, Vec::new());
            }
        }
    }

    /// Returns `true` if an owner is expected at the end: most voters run, and most kept their records.
    pub(super) fn has_voter_quorum(&self) -> bool {
        let voters = &self.trace.processes[..self.trace.voters.min(self.trace.processes.len())];
        let running = voters.iter().filter(|v| v.running).count();
        let lost = voters.iter().filter(|v| !v.disk_lost_ns.is_empty()).count();
        running * 2 > voters.len() && lost * 2 < voters.len()
    }

    pub(super) fn check_final_owner(&mut self) {
        let trace = self.trace;
        if !self.has_voter_quorum() || trace.join_failure.is_some() {
            return;
        }
        let owners: Vec<(&str, u64)> = trace
            .processes
            .iter()
            .filter_map(|p| Some((p.name.as_str(), *p.owned_duties.as_ref()?.get("export")?)))
            .collect();
        if owners.len() != 1 {
            let involved: Vec<&str> = owners.iter().map(|(n, _)| *n).collect();
            let what = format!("{} gatekeepers own export at the end: {owners:?}", owners.len());
            self.report("owned-again", trace.end_ns, &involved, what, Vec::new());
        }
    }
}
