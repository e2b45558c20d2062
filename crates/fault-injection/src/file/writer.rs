//! Writes a trial as a file.

use std::fmt::Write;

use super::*;

impl Trial {
    /// The same trial as a file.
    pub fn to_toml(&self) -> String {
        let mut out = String::new();
        let names = |who: &[usize]| {
            let names: Vec<_> = who.iter().map(|w| format!("\"{}\"", Trial::name_of(*w))).collect();
            format!("[{}]", names.join(", "))
        };
        let name = self.name.replace('\\', "\\\\").replace('"', "\\\"");
        let _ = writeln!(out, "name = \"{name}\"\nseconds = {:?}", self.seconds);
        let _ = writeln!(out, "gatekeepers = {}\nhalls = {}", self.gatekeepers, self.halls);
        if let Some(voters) = self.voters {
            let _ = writeln!(out, "voters = {voters}");
        }
        let _ = writeln!(out, "seed = {}", self.seed);
        if let Some(load) = self.load {
            let _ = writeln!(out, "\n[load]\ninvocations_per_second = {:?}", load.invocations_per_second);
        }
        for fault in &self.faults {
            // Links that no two lists of names give are written one by one.
            for (links, rest) in fault.lines(&names) {
                let _ = writeln!(out, "\n[[fault]]\nat = {:?}", fault.at);
                if let Some(lasts) = fault.lasts {
                    let _ = writeln!(out, "lasts = {lasts:?}");
                }
                let _ = writeln!(out, "kind = \"{}\"\n{links}{rest}", fault.kind.name());
                out.truncate(out.trim_end().len());
                out.push('\n');
            }
        }
        let _ = writeln!(out, "\n[must]\nagree_within = {:?}", self.must.agree_within);
        if !self.must.never_failed.is_empty() {
            let _ = writeln!(out, "never_failed = {}", names(&self.must.never_failed));
        }
        if !self.must.seen_failed.is_empty() {
            let _ = writeln!(out, "seen_failed = {}", names(&self.must.seen_failed));
        }
        out
    }
}

impl Fault {
    /// Its keys besides `at`, `lasts` and `kind`, once for each group of links.
    fn lines(&self, names: &impl Fn(&[usize]) -> String) -> Vec<(String, String)> {
        let who = |who: &[usize]| format!("who = {}\n", names(who));
        let (links, rest) = match &self.kind {
            Kind::Pause { who: w } | Kind::DiskFull { who: w } => return vec![(who(w), String::new())],
            Kind::Kill { who: w, restart_after, disk } => {
                let mut rest = restart_after.map_or(String::new(), |r| format!("restart_after = {r:?}\n"));
                match disk {
                    Disk::Kept => {}
                    Disk::Emptied => rest.push_str("disk = \"emptied\"\n"),
                    Disk::Torn => rest.push_str("disk = \"torn\"\n"),
                }
                return vec![(who(w), rest)];
            }
            Kind::Stop { who: w, restart_after } => {
                let rest = restart_after.map_or(String::new(), |r| format!("restart_after = {r:?}\n"));
                return vec![(who(w), rest)];
            }
            Kind::Cut { links } => (links, String::new()),
            Kind::Lose { links, share } | Kind::Double { links, share } | Kind::Reorder { links, share } => {
                (links, format!("share = {share:?}\n"))
            }
            Kind::Delay { links, ms, jitter_ms } => {
                (links, format!("ms = {ms:?}\njitter_ms = {jitter_ms:?}\n"))
            }
            Kind::Flap { links, period } => (links, format!("period = {period:?}\n")),
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
