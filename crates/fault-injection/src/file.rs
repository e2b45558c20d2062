//! The trial file: TOML, read whole and checked before anything is started. What can't be played is told with
//! file, line, key and what would be right.

mod reader;
mod writer;

use std::collections::BTreeSet;

use lynxstair_cluster::DUTIES;

/// One machine holds no more gatekeepers with a relay for each.
pub const MOST_GATEKEEPERS: usize = 100;
const LONGEST_SECONDS: f64 = 3_600.0;
/// Where the file does not say within how many seconds all agree.
const AGREE_WITHIN: f64 = 10.0;

/// Numbers from here on stand for whoever owns a duty when the fault begins.
pub const OWNER: usize = 1 << 20;

fn key_may_be_owner(key: &str) -> bool {
    matches!(key, "who" | "from" | "to")
}

/// A trial, checked: all names are numbers of gatekeepers from 0.
#[derive(Clone, Debug, PartialEq)]
pub struct Trial {
    pub name: String,
    /// Of faults and load.
    pub seconds: f64,
    pub gatekeepers: usize,
    pub halls: usize,
    pub voters: Option<usize>,
    pub seed: u64,
    pub load: Option<LoadPlan>,
    pub faults: Vec<Fault>,
    pub must: Must,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadPlan {
    pub invocations_per_second: f64,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Must {
    /// Seconds after the last fault's end.
    pub agree_within: f64,
    pub never_failed: Vec<usize>,
    pub seen_failed: Vec<usize>,
}

/// One fault.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// Seconds after all serve.
    pub at: f64,
    /// None: to the end of the trial, or where the kind has no end.
    pub lasts: Option<f64>,
    pub kind: Kind,
}

/// What a killed process finds on its disk.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Disk {
    #[default]
    Kept,
    Emptied,
    /// The last record is cut short.
    Torn,
}

/// Directions of links, by gatekeeper.
#[derive(Clone, Debug, PartialEq)]
pub struct Links(pub BTreeSet<(usize, usize)>);

#[derive(Clone, Debug, PartialEq)]
pub enum Kind {
    Pause { who: Vec<usize> },
    Kill { who: Vec<usize>, restart_after: Option<f64>, disk: Disk },
    Stop { who: Vec<usize>, restart_after: Option<f64> },
    Cut { links: Links },
    Lose { links: Links, share: f64 },
    Double { links: Links, share: f64 },
    Reorder { links: Links, share: f64 },
    Delay { links: Links, ms: f64, jitter_ms: f64 },
    DiskFull { who: Vec<usize> },
    Flap { links: Links, period: f64 },
}

impl Kind {
    pub fn name(&self) -> &'static str {
        match self {
            Kind::Pause { .. } => "pause",
            Kind::Kill { .. } => "kill",
            Kind::Stop { .. } => "stop",
            Kind::Cut { .. } => "cut",
            Kind::Lose { .. } => "lose",
            Kind::Double { .. } => "double",
            Kind::Reorder { .. } => "reorder",
            Kind::Delay { .. } => "delay",
            Kind::DiskFull { .. } => "disk_full",
            Kind::Flap { .. } => "flap",
        }
    }

    /// Whose processes it is done to.
    pub fn who(&self) -> &[usize] {
        match self {
            Kind::Pause { who }
            | Kind::Kill { who, .. }
            | Kind::Stop { who, .. }
            | Kind::DiskFull { who } => who,
            _ => &[],
        }
    }

    /// The same kind, done to these in the place of whoever owns a duty; none: nobody does.
    pub fn of_owner(&self, owner: &impl Fn(usize) -> Option<usize>) -> Kind {
        let one = |n: usize| if n >= OWNER { owner(n - OWNER) } else { Some(n) };
        let mut kind = self.clone();
        match &mut kind {
            Kind::Pause { who }
            | Kind::Kill { who, .. }
            | Kind::Stop { who, .. }
            | Kind::DiskFull { who } => {
                *who = who.iter().filter_map(|n| one(*n)).collect::<BTreeSet<_>>().into_iter().collect();
            }
            Kind::Cut { links }
            | Kind::Lose { links, .. }
            | Kind::Double { links, .. }
            | Kind::Reorder { links, .. }
            | Kind::Delay { links, .. }
            | Kind::Flap { links, .. } => {
                let pairs = links.0.iter().filter_map(|(a, b)| Some((one(*a)?, one(*b)?)));
                links.0 = pairs.filter(|(a, b)| a != b).collect();
            }
        }
        kind
    }

    /// Whether it is done to whoever owns a duty.
    pub fn names_owner(&self) -> bool {
        let links = match self {
            Kind::Cut { links }
            | Kind::Lose { links, .. }
            | Kind::Double { links, .. }
            | Kind::Reorder { links, .. }
            | Kind::Delay { links, .. }
            | Kind::Flap { links, .. } => Some(links),
            _ => None,
        };
        let in_links = links.is_some_and(|l| l.0.iter().any(|(a, b)| *a >= OWNER || *b >= OWNER));
        in_links || self.who().iter().any(|n| *n >= OWNER)
    }

    /// Whether it ends: has `lasts`.
    pub fn has_end(&self) -> bool {
        !matches!(self, Kind::Kill { .. } | Kind::Stop { .. })
    }
}

impl Fault {
    /// Seconds after all serve when it is over, in a trial that long.
    pub fn ends(&self, seconds: f64) -> f64 {
        match &self.kind {
            Kind::Kill { restart_after, .. } | Kind::Stop { restart_after, .. } => {
                // A restart that would come after the end does not come.
                let restarts = restart_after.map(|r| self.at + r).filter(|at| *at < seconds);
                restarts.unwrap_or(self.at)
            }
            _ => self.lasts.map_or(seconds, |l| (self.at + l).min(seconds)),
        }
    }
}

impl Trial {
    /// The name of a gatekeeper.
    pub fn name_of(number: usize) -> String {
        match number.checked_sub(OWNER) {
            Some(duty) => format!("owner:{}", DUTIES[duty]),
            None => format!("g{}", number + 1),
        }
    }

    /// Seconds after all serve when the last fault is over.
    pub fn faults_over(&self) -> f64 {
        self.faults.iter().map(|f| f.ends(self.seconds)).fold(0.0, f64::max)
    }
}

#[cfg(test)]
mod tests;
