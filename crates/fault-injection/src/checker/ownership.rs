//! Duties: one owner each, and what their owners left at the sink.

use super::*;

impl Checker<'_> {
    /// Who owned what: what all wrote down about it, together.
    pub(super) fn owners(&mut self) {
        let seen = self.seen;
        let mut given: BTreeMap<(String, u64), (String, u64, String)> = BTreeMap::new();
        let mut found = Vec::new();
        let all =
            || self.lines.iter().enumerate().flat_map(|(who, lines)| lines.iter().map(move |l| (who, l)));
        for (_, line) in all().filter(|(_, l)| l.is("granted")) {
            let key = (line.text("duty").to_string(), line.number("epoch"));
            let to = (line.text("owner").to_string(), line.number("stand"), line.text.clone());
            let before = given.entry(key.clone()).or_insert_with(|| to.clone());
            if (&before.0, before.1) != (&to.0, to.1) {
                let what = format!("{} in epoch {} was given to {} and to {}", key.0, key.1, before.0, to.0);
                let who = vec![before.0.clone(), to.0.clone()];
                found.push(("epoch-has-one-owner", line.mono, who, what, vec![before.2.clone(), to.2]));
            }
        }
        let mut last: BTreeMap<(usize, String), (u64, String)> = BTreeMap::new();
        for (who, line) in all().filter(|(_, l)| l.is("owns")) {
            let me = &seen.processes[who].name;
            let (duty, epoch) = (line.text("duty").to_string(), line.number("epoch"));
            if let Some((to, _, text)) = given.get(&(duty.clone(), epoch)).filter(|(to, _, _)| to != me) {
                let what = format!("{me} owns {duty} in epoch {epoch}, which was given to {to}");
                let texts = vec![text.clone(), line.text.clone()];
                found.push(("epoch-has-one-owner", line.mono, vec![me.clone(), to.clone()], what, texts));
            }
            let before = last.insert((who, duty.clone()), (epoch, line.text.clone()));
            if let Some((was, text)) = before.filter(|(was, _)| *was > epoch) {
                let what = format!("{me} owns {duty} in epoch {epoch} after {was}");
                found.push((
                    "epochs-forward",
                    line.mono,
                    vec![me.clone()],
                    what,
                    vec![text, line.text.clone()],
                ));
            }
        }
        for (rule, at, who, what, lines) in found {
            let who: Vec<&str> = who.iter().map(String::as_str).collect();
            self.report(rule, at, &who, what, lines);
        }
        self.owned_again();
        if let Some(landed) = &seen.landed {
            self.effects(landed);
            self.exported(landed);
        }
    }

    pub(super) fn effects(&mut self, landed: &[ReceivedBatch]) {
        let mut last: Option<&ReceivedBatch> = None;
        for one in landed.iter().filter(|l| matches!(l.reply, BatchReply::Accepted { .. })) {
            if let Some(before) = last.filter(|b| b.epoch > one.epoch) {
                let what =
                    format!("an effect of epoch {} was taken after one of {}", one.epoch, before.epoch);
                let lines = [before, one].map(|l| serde_json::to_string(l).unwrap_or_default());
                self.report("effects-in-order", one.received_at, &[], what, lines.to_vec());
            }
            last = last.filter(|b| b.epoch > one.epoch).or(Some(one));
        }
    }

    /// What clients were told is there; what they were not told may be there where a worker ran it.
    pub(super) fn exported(&mut self, landed: &[ReceivedBatch]) {
        let seen = self.seen;
        let mut sums: BTreeMap<(&str, u64), (u64, u64, u64)> = BTreeMap::new();
        for one in landed.iter().filter(|l| l.reply == BatchReply::Accepted { already_stored: false }) {
            for sum in &one.batch.sums {
                let key = (one.batch.stream.gatekeeper.as_str(), sum.tenant);
                sums.entry(key).or_default().0 += sum.milli_units;
            }
        }
        for one in &seen.answered {
            let sum = sums.entry((one.gatekeeper.as_str(), one.tenant)).or_default();
            match one.status {
                Some(200) => sum.1 += 1_000,
                None => sum.2 += 1_000,
                _ => {}
            }
        }
        for ((who, tenant), (exported, told, untold)) in sums {
            let judged = seen.processes.iter().any(|p| p.name == who && p.keeps_uses());
            // Without an owner it waits where it is; what is more than was told is wrong in any case.
            let least = if self.has_voters() { told } else { 0 };
            if judged && !(least..=told + untold).contains(&exported) {
                let what = format!(
                    "customer {tenant:x} at {who}: {:.3} units at the sink, {:.3} answered as succeeded, {:.3} \
                     without an answer",
                    exported as f64 / 1e3,
                    told as f64 / 1e3,
                    untold as f64 / 1e3
                );
                self.report("exported-as-answered", seen.ended, &[who], what, Vec::new());
            }
        }
    }

    /// Whether there is to be an owner at the end: most voters run and kept their records. One of three that lost
    /// its own is taken in again; two are more than the record bears.
    pub(super) fn has_voters(&self) -> bool {
        let voters = &self.seen.processes[..self.seen.voters.min(self.seen.processes.len())];
        let run = voters.iter().filter(|v| v.runs).count();
        let lost = voters.iter().filter(|v| !v.disk_lost.is_empty()).count();
        run * 2 > voters.len() && lost * 2 < voters.len()
    }

    pub(super) fn owned_again(&mut self) {
        let seen = self.seen;
        if !self.has_voters() || seen.not_joined.is_some() {
            return;
        }
        let owners: Vec<(&str, u64)> = seen
            .processes
            .iter()
            .filter_map(|p| Some((p.name.as_str(), *p.owns.as_ref()?.get("export")?)))
            .collect();
        if owners.len() != 1 {
            let who: Vec<&str> = owners.iter().map(|(n, _)| *n).collect();
            let what = format!("{} own export at the end: {owners:?}", owners.len());
            self.report("owned-again", seen.ended, &who, what, Vec::new());
        }
    }
}
