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
    /// What it is called in the verdict.
    pub name: String,
    /// How long faults and load last.
    pub seconds: f64,
    /// How many gatekeepers there are.
    pub gatekeepers: usize,
    /// How many zones (`halls` in the file) they are spread over.
    pub halls: usize,
    /// How many of them vote; none: no duty has an owner.
    pub voters: Option<usize>,
    /// What chance is drawn from.
    pub seed: u64,
    /// Clients and workers, if there are any.
    pub load: Option<LoadPlan>,
    /// In the order of the file.
    pub faults: Vec<Fault>,
    /// What must hold besides the rules.
    pub must: Must,
}

/// The load of a trial.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadPlan {
    /// By all clients together.
    pub invocations_per_second: f64,
}

/// What must hold in this trial besides the rules.
#[derive(Clone, Debug, PartialEq)]
pub struct Must {
    /// All agree by then, in seconds after the last fault's end.
    pub agree_within: f64,
    /// Nobody may declare these failed.
    pub never_failed: Vec<usize>,
    /// All others declare these failed, at some time.
    pub seen_failed: Vec<usize>,
}

/// One fault.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// Seconds after all serve.
    pub at: f64,
    /// None: to the end of the trial, or where the kind has no end.
    pub lasts: Option<f64>,
    /// What is done, and to whom.
    pub kind: Kind,
}

/// What a killed process finds on its disk.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Disk {
    /// All that it wrote.
    #[default]
    Kept,
    /// Nothing.
    Emptied,
    /// The last record is cut short.
    Torn,
}

/// Directions of links, by gatekeeper.
#[derive(Clone, Debug, PartialEq)]
pub struct Links(pub BTreeSet<(usize, usize)>);

/// What is done to processes (`who`, by number) or to links.
#[derive(Clone, Debug, PartialEq)]
#[allow(missing_docs, reason = "fields are named as in the file; the variants say what they mean")]
pub enum Kind {
    /// SIGSTOP, and SIGCONT at its end.
    Pause { who: Vec<usize> },
    /// SIGKILL; started again after so many seconds, with this disk.
    Kill { who: Vec<usize>, restart_after: Option<f64>, disk: Disk },
    /// SIGTERM; started again after so many seconds.
    Stop { who: Vec<usize>, restart_after: Option<f64> },
    /// Nothing gets through.
    Cut { links: Links },
    /// This share of the datagrams is lost.
    Lose { links: Links, share: f64 },
    /// This share comes twice.
    Double { links: Links, share: f64 },
    /// This share comes behind later ones.
    Reorder { links: Links, share: f64 },
    /// All come later, by this much and up to the jitter.
    Delay { links: Links, ms: f64, jitter_ms: f64 },
    /// Writes of records fail.
    DiskFull { who: Vec<usize> },
    /// Cut and whole in turn, each for half of the period in seconds.
    Flap { links: Links, period: f64 },
}

impl Kind {
    /// As in the file.
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
