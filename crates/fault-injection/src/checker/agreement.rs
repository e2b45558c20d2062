//! Checks the membership views of the processes: agreement, wrong failure declarations, and detection times.

use super::*;

impl Checker<'_> {
    /// Returns the member sets that one process saw in its last run: the time of each change, the set, and
    /// whether the process was isolated. An isolated process reports no members.
    pub(super) fn visible_members_over_time(&self, index: usize) -> Vec<(u64, BTreeSet<String>, bool)> {
        let lines = &self.lines[index];
        let Some(run) = lines.last().map(|l| l.run) else { return Vec::new() };
        let (mut present, mut is_isolated) = (BTreeSet::new(), false);
        let mut changes = Vec::new();
        for line in lines.iter().filter(|l| l.run == run && l.mono_ns <= self.trace.end_ns) {
            if line.is_event("member") {
                let name = line.text("name").to_string();
                if is_present(line.text("to")) {
                    present.insert(name)
                } else {
                    present.remove(&name)
                };
            } else if line.is_event("doubt_began") {
                is_isolated = line.text("why") == "hears_nobody";
            } else if line.is_event("doubt_ended") {
                is_isolated = false;
            } else {
                continue;
            }
            let visible = if is_isolated { BTreeSet::new() } else { present.clone() };
            changes.push((line.mono_ns, visible, is_isolated));
        }
        changes
    }

    /// Checks that all running processes see the same members. Returns the seconds from the end of the last
    /// fault until they agreed for good, or `None` if the gatekeepers did not join.
    pub(super) fn check_agreement(&mut self) -> Option<f64> {
        let trace = self.trace;
        if trace.join_failure.is_some() {
            return None;
        }
        let active: Vec<usize> = (0..trace.processes.len()).filter(|n| trace.processes[*n].running).collect();
        let names: BTreeSet<String> = active.iter().map(|n| trace.processes[*n].name.clone()).collect();
        let deadline = trace.faults_end_ns + (trace.agree_within_s * 1e9) as u64;
        let mut agreed_at = trace.faults_end_ns;
        for &index in &active {
            let observer = trace.processes[index].name.clone();
            let mut expected = names.clone();
            expected.remove(&observer);
            let changes = self.visible_members_over_time(index);
            let mut last_mismatch: Option<(u64, BTreeSet<String>, bool)> = None;
            for (n, (at, present, is_isolated)) in changes.iter().enumerate() {
                if *present == expected {
                    continue;
                }
                let until = changes.get(n + 1).map_or(trace.end_ns, |(at, _, _)| *at);
                agreed_at = agreed_at.max(until);
                if until > deadline || n + 1 == changes.len() {
                    last_mismatch = Some((*at, present.clone(), *is_isolated));
                }
            }
            if changes.is_empty() && !expected.is_empty() {
                last_mismatch = Some((trace.start_ns, BTreeSet::new(), false));
            }
            if let Some((at, present, is_isolated)) = last_mismatch {
                let missing: Vec<_> = expected.difference(&present).cloned().collect();
                let extra: Vec<_> = present.difference(&expected).cloned().collect();
                let mut what = format!("{observer} sees {} others", present.len());
                if !missing.is_empty() {
                    what += &format!(", not {}", missing.join(", "));
                }
                if !extra.is_empty() {
                    what += &format!(", and {}, which does not run", extra.join(", "));
                }
                if is_isolated {
                    what += ", and is isolated";
                }
                what += &format!(
                    ", {:.1} s after the last fault",
                    (trace.end_ns.max(deadline) - trace.faults_end_ns) as f64 / 1e9
                );
                let evidence = self.last_history_lines(index, &missing, &extra);
                self.report("all-agree", at.max(deadline), &[&observer], what, evidence);
            }
            if let Some(status) = &trace.processes[index].visible_members {
                let visible = changes.last().map(|(_, present, _)| present.clone()).unwrap_or_default();
                if *status != visible {
                    let what = format!("{observer} answers {status:?}, but its history shows {visible:?}");
                    self.report("status-as-history", trace.end_ns, &[&observer], what, Vec::new());
                }
            } else {
                let what = format!("{observer} did not answer at its control address at the end");
                self.report("status-as-history", trace.end_ns, &[&observer], what, Vec::new());
            }
            self.check_failed_at_end(index, &active);
        }
        Some((agreed_at - trace.faults_end_ns) as f64 / 1e9)
    }

    /// Returns the last history line of a process about each of these members, 6 at most.
    pub(super) fn last_history_lines(
        &self,
        index: usize,
        missing: &[String],
        extra: &[String],
    ) -> Vec<String> {
        let of = |name: &String| {
            let about = |l: &&HistoryLine| l.is_event("member") && l.text("name") == name;
            self.lines[index].iter().rev().find(about).map(|l| l.text.clone())
        };
        missing.iter().chain(extra).filter_map(of).take(6).collect()
    }

    pub(super) fn check_failed_at_end(&mut self, index: usize, running: &[usize]) {
        let trace = self.trace;
        let observer = trace.processes[index].name.clone();
        for &other in running.iter().filter(|o| **o != index) {
            let name = &trace.processes[other].name;
            let about = |l: &&HistoryLine| {
                l.is_event("member") && l.text("name") == name && l.mono_ns <= trace.end_ns
            };
            let last = self.lines[index].iter().rev().find(about);
            if let Some(line) = last.filter(|l| l.text("to") == "failed") {
                let (at, text) = (line.mono_ns, line.text.clone());
                let what = format!("{observer} holds {name} failed, but {name} runs");
                self.report("not-failed-for-good", at, &[&observer, name], what, vec![text]);
            }
        }
    }

    /// Checks that a link cut does not make a process suspect the same peer again and again.
    pub(super) fn check_flapping(&mut self) {
        let trace = self.trace;
        for index in 0..self.lines.len() {
            for (from, to) in &trace.cut_only_ns {
                let mut suspicions: BTreeMap<String, Vec<HistoryLine>> = BTreeMap::new();
                for line in self.lines[index].iter().filter(|l| (*from..=*to).contains(&l.mono_ns)) {
                    if line.is_event("member") && line.text("to") == "suspected" {
                        suspicions.entry(line.text("name").to_string()).or_default().push(line.clone());
                    }
                }
                for (other, lines) in suspicions.into_iter().filter(|(_, lines)| lines.len() > MAX_SUSPICIONS)
                {
                    let observer = trace.processes[index].name.clone();
                    let what = format!(
                        "{observer} suspects {other} {} times in {:.1} s",
                        lines.len(),
                        (to - from) as f64 / 1e9
                    );
                    let evidence = lines.iter().map(|l| l.text.clone()).take(4).collect();
                    self.report(
                        "cuts-do-not-flap",
                        lines[MAX_SUSPICIONS].mono_ns,
                        &[&observer, &other],
                        what,
                        evidence,
                    );
                }
            }
        }
    }

    /// Checks `must.never_failed` and `must.seen_failed`.
    pub(super) fn check_declared_failures(&mut self) {
        let trace = self.trace;
        let mut declarations: BTreeMap<&str, Vec<(usize, u64, String)>> = BTreeMap::new();
        for (index, lines) in self.lines.iter().enumerate() {
            let within = |l: &&HistoryLine| l.mono_ns >= trace.start_ns && l.mono_ns <= trace.end_ns;
            for line in
                lines.iter().filter(within).filter(|l| l.is_event("member") && l.text("to") == "failed")
            {
                let name = trace.processes.iter().map(|p| p.name.as_str()).find(|n| *n == line.text("name"));
                if let Some(name) = name {
                    declarations.entry(name).or_default().push((index, line.mono_ns, line.text.clone()));
                }
            }
        }
        for name in &trace.never_failed {
            for (index, at, text) in declarations.get(name.as_str()).cloned().unwrap_or_default() {
                let observer = &trace.processes[index].name;
                let what = format!("{observer} declares {name} failed");
                self.report("never-failed", at, &[observer, name], what, vec![text]);
            }
        }
        for name in &trace.seen_failed {
            let declared: Vec<usize> =
                declarations.get(name.as_str()).iter().flat_map(|b| b.iter().map(|(w, _, _)| *w)).collect();
            for (index, process) in trace.processes.iter().enumerate() {
                // A process that was killed or stopped may have missed the failure.
                if process.name != *name && !process.was_terminated && !declared.contains(&index) {
                    let what = format!("{} never declares {name} failed", process.name);
                    self.report("seen-failed", trace.end_ns, &[&process.name, name], what, Vec::new());
                }
            }
        }
    }

    pub(super) fn detections(&self) -> Vec<Detection> {
        let trace = self.trace;
        let mut all = Vec::new();
        for process in &trace.processes {
            for &killed_ns in &process.kill_times_ns {
                let mut detection_times = Vec::new();
                for (index, lines) in self.lines.iter().enumerate() {
                    if trace.processes[index].name == process.name || trace.processes[index].was_terminated {
                        continue;
                    }
                    let after = |l: &&HistoryLine| {
                        l.mono_ns >= killed_ns && l.is_event("member") && l.text("name") == process.name
                    };
                    let found = lines.iter().filter(after).find(|l| l.text("to") == "failed");
                    detection_times.extend(found.map(|l| (l.mono_ns - killed_ns) as f64 / 1e9));
                }
                if let (Some(first_s), Some(last_s)) = (
                    detection_times.iter().copied().reduce(f64::min),
                    detection_times.iter().copied().reduce(f64::max),
                ) {
                    all.push(Detection { gatekeeper: process.name.clone(), first_s, last_s });
                }
            }
        }
        all
    }
}
