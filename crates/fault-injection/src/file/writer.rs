//! Formats a trial as a trial file.

use std::fmt::Write;

use super::*;

impl Trial {
    /// Returns the trial in the TOML format of a trial file.
    pub fn to_toml(&self) -> String {
        let mut out = String::new();
        let names = |targets: &[usize]| {
            let names: Vec<_> =
                targets.iter().map(|w| format!("\"{}\"", Trial::gatekeeper_name(*w))).collect();
            format!("[{}]", names.join(", "))
        };
        let name = self.name.replace('\\', "\\\\").replace('"', "\\\"");
        let _ = writeln!(out, "name = \"{name}\"\nseconds = {:?}", self.duration_s);
        let _ = writeln!(out, "gatekeepers = {}\nhalls = {}", self.gatekeepers, self.zones);
        if let Some(voters) = self.voters {
            let _ = writeln!(out, "voters = {voters}");
        }
        let _ = writeln!(out, "seed = {}", self.seed);
        if let Some(load) = self.load {
            let _ = writeln!(out, "\n[load]\ninvocations_per_second = {:?}", load.requests_per_second);
        }
        for fault in &self.faults {
            // A link set may not be a product of two name lists, so it is written as one fault per sender.
            for (links, rest) in fault.key_lines(&names) {
                let _ = writeln!(out, "\n[[fault]]\nat = {:?}", fault.start_s);
                if let Some(duration_s) = fault.duration_s {
                    let _ = writeln!(out, "lasts = {duration_s:?}");
                }
                let _ = writeln!(out, "kind = \"{}\"\n{links}{rest}", fault.kind.name());
                out.truncate(out.trim_end().len());
                out.push('\n');
            }
        }
        let _ = writeln!(out, "\n[must]\nagree_within = {:?}", self.expectations.agree_within_s);
        if !self.expectations.never_failed.is_empty() {
            let _ = writeln!(out, "never_failed = {}", names(&self.expectations.never_failed));
        }
        if !self.expectations.seen_failed.is_empty() {
            let _ = writeln!(out, "seen_failed = {}", names(&self.expectations.seen_failed));
        }
        out
    }
}

impl Fault {
    /// Returns the lines with the keys besides `at`, `lasts` and `kind`: target keys and other keys. A link
    /// fault has one pair for each sender.
    fn key_lines(&self, names: &impl Fn(&[usize]) -> String) -> Vec<(String, String)> {
        let line_of_targets = |targets: &[usize]| format!("who = {}\n", names(targets));
        let (links, rest) = match &self.kind {
            FaultKind::Pause { targets: t } | FaultKind::DiskFull { targets: t } => {
                return vec![(line_of_targets(t), String::new())];
            }
            FaultKind::Kill { targets: t, restart_after_s, disk } => {
                let mut rest = restart_after_s.map_or(String::new(), |r| format!("restart_after = {r:?}\n"));
                match disk {
                    DiskState::Intact => {}
                    DiskState::Emptied => rest.push_str("disk = \"emptied\"\n"),
                    DiskState::Torn => rest.push_str("disk = \"torn\"\n"),
                }
                return vec![(line_of_targets(t), rest)];
            }
            FaultKind::Stop { targets: t, restart_after_s } => {
                let rest = restart_after_s.map_or(String::new(), |r| format!("restart_after = {r:?}\n"));
                return vec![(line_of_targets(t), rest)];
            }
            FaultKind::Cut { links } => (links, String::new()),
            FaultKind::Lose { links, probability }
            | FaultKind::Duplicate { links, probability }
            | FaultKind::Reorder { links, probability } => (links, format!("share = {probability:?}\n")),
            FaultKind::Delay { links, delay_ms, jitter_ms } => {
                (links, format!("ms = {delay_ms:?}\njitter_ms = {jitter_ms:?}\n"))
            }
            FaultKind::Flap { links, period_s } => (links, format!("period = {period_s:?}\n")),
        };
        let mut groups: Vec<(Vec<usize>, Vec<usize>)> = Vec::new();
        for from in links.0.iter().map(|(a, _)| *a).collect::<BTreeSet<_>>() {
            let to: Vec<usize> = links.0.iter().filter(|(a, _)| *a == from).map(|(_, b)| *b).collect();
            groups.push((vec![from], to));
        }
        let line =
            |(from, to): (Vec<usize>, Vec<usize>)| format!("from = {}\nto = {}\n", names(&from), names(&to));
        groups.into_iter().map(|g| (line(g), rest.clone())).collect()
    }
}
