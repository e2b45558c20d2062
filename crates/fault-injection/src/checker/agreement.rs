//! Whether all agree on who is there, and who was called failed wrongly.

use super::*;

impl Checker<'_> {
    /// The changes of whom one process sees as there, in its last run: from when on. One that hears nobody
    /// says of nobody that he is there.
    pub(super) fn sees(&self, who: usize) -> Vec<(u64, BTreeSet<String>, bool)> {
        let lines = &self.lines[who];
        let Some(run) = lines.last().map(|l| l.run) else { return Vec::new() };
        let (mut there, mut blind) = (BTreeSet::new(), false);
        let mut steps = Vec::new();
        for line in lines.iter().filter(|l| l.run == run && l.mono <= self.seen.ended) {
            if line.is("member") {
                let name = line.text("name").to_string();
                if is_there(line.text("to")) {
                    there.insert(name)
                } else {
                    there.remove(&name)
                };
            } else if line.is("doubt_began") {
                blind = line.text("why") == "hears_nobody";
            } else if line.is("doubt_ended") {
                blind = false;
            } else {
                continue;
            }
            let says = if blind { BTreeSet::new() } else { there.clone() };
            steps.push((line.mono, says, blind));
        }
        steps
    }

    /// Whether all that run see the same; how long after the last fault that was so for good.
    pub(super) fn agreement(&mut self) -> Option<f64> {
        let seen = self.seen;
        if seen.not_joined.is_some() {
            return None;
        }
        let running: Vec<usize> = (0..seen.processes.len()).filter(|n| seen.processes[*n].runs).collect();
        let names: BTreeSet<String> = running.iter().map(|n| seen.processes[*n].name.clone()).collect();
        let by = seen.faults_over + (seen.agree_within * 1e9) as u64;
        let mut agreed_at = seen.faults_over;
        for &who in &running {
            let me = seen.processes[who].name.clone();
            let mut wanted = names.clone();
            wanted.remove(&me);
            let steps = self.sees(who);
            let mut last_bad: Option<(u64, BTreeSet<String>, bool)> = None;
            for (n, (at, there, blind)) in steps.iter().enumerate() {
                if *there == wanted {
                    continue;
                }
                let until = steps.get(n + 1).map_or(seen.ended, |(at, _, _)| *at);
                agreed_at = agreed_at.max(until);
                if until > by || n + 1 == steps.len() {
                    last_bad = Some((*at, there.clone(), *blind));
                }
            }
            if steps.is_empty() && !wanted.is_empty() {
                last_bad = Some((seen.began, BTreeSet::new(), false));
            }
            if let Some((at, there, blind)) = last_bad {
                let missing: Vec<_> = wanted.difference(&there).cloned().collect();
                let over: Vec<_> = there.difference(&wanted).cloned().collect();
                let mut what = format!("{me} sees {} others", there.len());
                if !missing.is_empty() {
                    what += &format!(", not {}", missing.join(", "));
                }
                if !over.is_empty() {
                    what += &format!(", and {} that does not run", over.join(", "));
                }
                if blind {
                    what += ", and hears nobody";
                }
                what += &format!(
                    ", {:.1} s after the last fault",
                    (seen.ended.max(by) - seen.faults_over) as f64 / 1e9
                );
                let texts = self.last_lines(who, &missing, &over);
                self.report("all-agree", at.max(by), &[&me], what, texts);
            }
            if let Some(status) = &seen.processes[who].status {
                let says = steps.last().map(|(_, there, _)| there.clone()).unwrap_or_default();
                if *status != says {
                    let what = format!("{me} answers {status:?}, and its history comes to {says:?}");
                    self.report("status-as-history", seen.ended, &[&me], what, Vec::new());
                }
            } else {
                let what = format!("{me} did not answer at its control port at the end");
                self.report("status-as-history", seen.ended, &[&me], what, Vec::new());
            }
            self.failed_for_good(who, &running);
        }
        Some((agreed_at - seen.faults_over) as f64 / 1e9)
    }

    /// The last word of one on each of these.
    pub(super) fn last_lines(&self, who: usize, missing: &[String], over: &[String]) -> Vec<String> {
        let of = |name: &String| {
            let about = |l: &&Line| l.is("member") && l.text("name") == name;
            self.lines[who].iter().rev().find(about).map(|l| l.text.clone())
        };
        missing.iter().chain(over).filter_map(of).take(6).collect()
    }

    pub(super) fn failed_for_good(&mut self, who: usize, running: &[usize]) {
        let seen = self.seen;
        let me = seen.processes[who].name.clone();
        for &other in running.iter().filter(|o| **o != who) {
            let name = &seen.processes[other].name;
            let about = |l: &&Line| l.is("member") && l.text("name") == name && l.mono <= seen.ended;
            let last = self.lines[who].iter().rev().find(about);
            if let Some(line) = last.filter(|l| l.text("to") == "failed") {
                let (at, text) = (line.mono, line.text.clone());
                let what = format!("{me} holds {name} failed, and it runs");
                self.report("not-failed-for-good", at, &[&me, name], what, vec![text]);
            }
        }
    }

    /// A cut shows as a cut: the first question that stays unanswered may raise a suspicion, not each.
    pub(super) fn flapping(&mut self) {
        let seen = self.seen;
        for who in 0..self.lines.len() {
            for (from, to) in &seen.only_cuts {
                let mut times: BTreeMap<String, Vec<Line>> = BTreeMap::new();
                for line in self.lines[who].iter().filter(|l| (*from..=*to).contains(&l.mono)) {
                    if line.is("member") && line.text("to") == "suspected" {
                        times.entry(line.text("name").to_string()).or_default().push(line.clone());
                    }
                }
                for (other, lines) in times.into_iter().filter(|(_, lines)| lines.len() > SUSPECTED) {
                    let me = seen.processes[who].name.clone();
                    let what = format!(
                        "{me} suspects {other} {} times in {:.1} s",
                        lines.len(),
                        (to - from) as f64 / 1e9
                    );
                    let texts = lines.iter().map(|l| l.text.clone()).take(4).collect();
                    self.report("cuts-do-not-flap", lines[SUSPECTED].mono, &[&me, &other], what, texts);
                }
            }
        }
    }

    /// What must be seen, and must not.
    pub(super) fn declared(&mut self) {
        let seen = self.seen;
        let mut by: BTreeMap<&str, Vec<(usize, u64, String)>> = BTreeMap::new();
        for (who, lines) in self.lines.iter().enumerate() {
            let within = |l: &&Line| l.mono >= seen.began && l.mono <= seen.ended;
            for line in lines.iter().filter(within).filter(|l| l.is("member") && l.text("to") == "failed") {
                let name = seen.processes.iter().map(|p| p.name.as_str()).find(|n| *n == line.text("name"));
                if let Some(name) = name {
                    by.entry(name).or_default().push((who, line.mono, line.text.clone()));
                }
            }
        }
        for name in &seen.never_failed {
            for (who, at, text) in by.get(name.as_str()).cloned().unwrap_or_default() {
                let me = &seen.processes[who].name;
                let what = format!("{me} declares {name} failed");
                self.report("never-failed", at, &[me, name], what, vec![text]);
            }
        }
        for name in &seen.seen_failed {
            let said: Vec<usize> =
                by.get(name.as_str()).iter().flat_map(|b| b.iter().map(|(w, _, _)| *w)).collect();
            for (who, process) in seen.processes.iter().enumerate() {
                // Whoever was ended meanwhile may have been away when it was to be seen.
                if process.name != *name && !process.was_ended && !said.contains(&who) {
                    let what = format!("{} never declares {name} failed", process.name);
                    self.report("seen-failed", seen.ended, &[&process.name, name], what, Vec::new());
                }
            }
        }
    }

    pub(super) fn detections(&self) -> Vec<Detection> {
        let seen = self.seen;
        let mut all = Vec::new();
        for process in &seen.processes {
            for &killed in &process.killed {
                let mut took = Vec::new();
                for (who, lines) in self.lines.iter().enumerate() {
                    if seen.processes[who].name == process.name || seen.processes[who].was_ended {
                        continue;
                    }
                    let after =
                        |l: &&Line| l.mono >= killed && l.is("member") && l.text("name") == process.name;
                    let found = lines.iter().filter(after).find(|l| l.text("to") == "failed");
                    took.extend(found.map(|l| (l.mono - killed) as f64 / 1e9));
                }
                if let (Some(first_s), Some(last_s)) =
                    (took.iter().copied().reduce(f64::min), took.iter().copied().reduce(f64::max))
                {
                    all.push(Detection { gatekeeper: process.name.clone(), first_s, last_s });
                }
            }
        }
        all
    }
}
