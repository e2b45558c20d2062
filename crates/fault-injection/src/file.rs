//! Trial files: the model of a trial, and its TOML format.
//!
//! A file is validated before any process starts. Errors name the file, and the line, key and valid values if
//! they apply.

mod reader;
mod writer;

use std::collections::BTreeSet;

use lynxstair_cluster::DUTIES;

/// Greatest number of gatekeepers in a trial.
pub const MAX_GATEKEEPERS: usize = 100;
const MAX_SECONDS: f64 = 3_600.0;
/// Default of `must.agree_within`, in seconds.
const DEFAULT_AGREE_WITHIN_S: f64 = 10.0;

/// First of the target numbers that stand for the owner of a duty at the time the fault begins: this number
/// plus the index of the duty.
pub const OWNER_PLACEHOLDER: usize = 1 << 20;

fn allows_owner(key: &str) -> bool {
    matches!(key, "who" | "from" | "to")
}

/// A validated trial. Gatekeepers are numbered from 0.
#[derive(Clone, Debug, PartialEq)]
pub struct Trial {
    /// Name in the verdict.
    pub name: String,
    /// Duration of the faults and the load, in seconds.
    pub duration_s: f64,
    /// Number of gatekeepers.
    pub gatekeepers: usize,
    /// Number of zones (`halls` in the file).
    pub zones: usize,
    /// Number of voters. `None` if duties have no owners in this trial.
    pub voters: Option<usize>,
    /// Seed of the random choices.
    pub seed: u64,
    /// Load by clients and workers, if any.
    pub load: Option<TrialLoad>,
    /// Faults in the order of the file.
    pub faults: Vec<Fault>,
    /// Conditions that this trial must satisfy besides the rules.
    pub expectations: Expectations,
}

/// Client load of a trial.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TrialLoad {
    /// Total request rate of all clients.
    pub requests_per_second: f64,
}

/// Conditions that a trial must satisfy besides the rules (`must` in the file).
#[derive(Clone, Debug, PartialEq)]
pub struct Expectations {
    /// Time after the last fault until all gatekeepers must agree, in seconds.
    pub agree_within_s: f64,
    /// Gatekeepers that no other may declare failed.
    pub never_failed: Vec<usize>,
    /// Gatekeepers that all others, except killed or stopped ones, must declare failed at some time.
    pub seen_failed: Vec<usize>,
}

/// A fault of a trial.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// Start, in seconds after the trial begins.
    pub start_s: f64,
    /// Duration in seconds. `None` if the fault lasts until the end of the trial or its kind has no duration.
    pub duration_s: Option<f64>,
    /// Kind and targets.
    pub kind: FaultKind,
}

/// State of the disk that a killed process finds when it restarts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DiskState {
    /// All written data is present.
    #[default]
    Intact,
    /// All data is lost.
    Emptied,
    /// The last record is truncated.
    Torn,
}

/// Set of one-way links, as pairs of sender and receiver.
#[derive(Clone, Debug, PartialEq)]
pub struct Links(pub BTreeSet<(usize, usize)>);

/// Kind of a fault, with the processes or links that it targets.
#[derive(Clone, Debug, PartialEq)]
#[allow(missing_docs, reason = "the docs of the variants cover their fields")]
pub enum FaultKind {
    /// Sends SIGSTOP, and SIGCONT at the end.
    Pause { targets: Vec<usize> },
    /// Sends SIGKILL, applies the disk state, and restarts the process after the given time.
    Kill { targets: Vec<usize>, restart_after_s: Option<f64>, disk: DiskState },
    /// Sends SIGTERM, and restarts the process after the given time.
    Stop { targets: Vec<usize>, restart_after_s: Option<f64> },
    /// Blocks all traffic.
    Cut { links: Links },
    /// Drops each datagram with this probability.
    Lose { links: Links, probability: f64 },
    /// Duplicates each datagram with this probability.
    Duplicate { links: Links, probability: f64 },
    /// Gives each datagram an extra random delay with this probability, so that later ones can overtake it.
    Reorder { links: Links, probability: f64 },
    /// Delays each datagram by `delay_ms` plus a random time of up to `jitter_ms`.
    Delay { links: Links, delay_ms: f64, jitter_ms: f64 },
    /// Makes writes of records fail.
    DiskFull { targets: Vec<usize> },
    /// Cuts and restores the links in turn, each for half of the period.
    Flap { links: Links, period_s: f64 },
}

impl FaultKind {
    /// Name of the kind in a trial file.
    pub fn name(&self) -> &'static str {
        match self {
            FaultKind::Pause { .. } => "pause",
            FaultKind::Kill { .. } => "kill",
            FaultKind::Stop { .. } => "stop",
            FaultKind::Cut { .. } => "cut",
            FaultKind::Lose { .. } => "lose",
            FaultKind::Duplicate { .. } => "double",
            FaultKind::Reorder { .. } => "reorder",
            FaultKind::Delay { .. } => "delay",
            FaultKind::DiskFull { .. } => "disk_full",
            FaultKind::Flap { .. } => "flap",
        }
    }

    /// Gatekeepers whose processes are targeted. Empty for link faults.
    pub fn targets(&self) -> &[usize] {
        match self {
            FaultKind::Pause { targets }
            | FaultKind::Kill { targets, .. }
            | FaultKind::Stop { targets, .. }
            | FaultKind::DiskFull { targets } => targets,
            _ => &[],
        }
    }

    /// Returns the kind with each owner placeholder replaced by the current owner. A duty without an owner is
    /// left out.
    pub fn with_resolved_owners(&self, owner: &impl Fn(usize) -> Option<usize>) -> FaultKind {
        let resolve = |n: usize| if n >= OWNER_PLACEHOLDER { owner(n - OWNER_PLACEHOLDER) } else { Some(n) };
        let mut kind = self.clone();
        match &mut kind {
            FaultKind::Pause { targets }
            | FaultKind::Kill { targets, .. }
            | FaultKind::Stop { targets, .. }
            | FaultKind::DiskFull { targets } => {
                *targets =
                    targets.iter().filter_map(|n| resolve(*n)).collect::<BTreeSet<_>>().into_iter().collect();
            }
            FaultKind::Cut { links }
            | FaultKind::Lose { links, .. }
            | FaultKind::Duplicate { links, .. }
            | FaultKind::Reorder { links, .. }
            | FaultKind::Delay { links, .. }
            | FaultKind::Flap { links, .. } => {
                let pairs = links.0.iter().filter_map(|(a, b)| Some((resolve(*a)?, resolve(*b)?)));
                links.0 = pairs.filter(|(a, b)| a != b).collect();
            }
        }
        kind
    }

    /// Returns `true` if a target or an end of a link is an owner placeholder.
    pub fn targets_owner(&self) -> bool {
        let links = match self {
            FaultKind::Cut { links }
            | FaultKind::Lose { links, .. }
            | FaultKind::Duplicate { links, .. }
            | FaultKind::Reorder { links, .. }
            | FaultKind::Delay { links, .. }
            | FaultKind::Flap { links, .. } => Some(links),
            _ => None,
        };
        let in_links = links
            .is_some_and(|l| l.0.iter().any(|(a, b)| *a >= OWNER_PLACEHOLDER || *b >= OWNER_PLACEHOLDER));
        in_links || self.targets().iter().any(|n| *n >= OWNER_PLACEHOLDER)
    }

    /// Returns `true` if the kind takes a duration (`lasts` in the file).
    pub fn has_duration(&self) -> bool {
        !matches!(self, FaultKind::Kill { .. } | FaultKind::Stop { .. })
    }
}

impl Fault {
    /// End of the fault in a trial of the given duration, in seconds after the trial begins.
    pub fn end_s(&self, trial_duration_s: f64) -> f64 {
        match &self.kind {
            FaultKind::Kill { restart_after_s, .. } | FaultKind::Stop { restart_after_s, .. } => {
                // No restart takes place after the end of the trial.
                let restarts = restart_after_s.map(|r| self.start_s + r).filter(|at| *at < trial_duration_s);
                restarts.unwrap_or(self.start_s)
            }
            _ => self.duration_s.map_or(trial_duration_s, |l| (self.start_s + l).min(trial_duration_s)),
        }
    }
}

impl Trial {
    /// Returns the name of a gatekeeper or of an owner placeholder, as in a trial file.
    pub fn gatekeeper_name(number: usize) -> String {
        match number.checked_sub(OWNER_PLACEHOLDER) {
            Some(duty) => format!("owner:{}", DUTIES[duty]),
            None => format!("g{}", number + 1),
        }
    }

    /// End of the last fault, in seconds after the trial begins.
    pub fn faults_end_s(&self) -> f64 {
        self.faults.iter().map(|f| f.end_s(self.duration_s)).fold(0.0, f64::max)
    }
}

#[cfg(test)]
mod tests;
