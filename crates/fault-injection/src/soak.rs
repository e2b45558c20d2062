//! Soak test of the programs of the system.
//!
//! Runs controllers and proxies as processes on loopback, with clients, workers and operators, and injects
//! overlapping series of signals, kills, pauses, restarts and configuration changes, drawn from a seed.
//! Clients use a connection until it ends. [`run`] executes one soak and checks its history.
//!
//! Called by `lynxstair soak`. All processes are killed when the soak ends, also on a panic.

mod added_routes;
mod checker;
mod clients;
mod departures;
mod driver;
mod flooding;
mod operator;
mod plan;
mod quota;
mod replies;
mod system;
#[cfg(test)]
mod tests;
mod workers;

use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Instant;

pub use checker::{Finding, SoakRule, Summary};
pub use plan::{Action, ProcessName, SoakPlan, SoakShape, Step};

use driver::Driver;

/// Options for running a soak.
pub struct SoakOptions<'a> {
    /// Directory of `lynxstair-proxy` and `lynxstair-controller`.
    pub programs: &'a Path,
    /// Directory that keeps the logs and data of a soak with findings, in a subdirectory for each seed.
    pub keep_dir: Option<&'a Path>,
    /// Flag that interrupts the soak.
    pub stop: &'a AtomicBool,
}

/// Error that prevented a soak from completing. It says nothing about the rules.
#[derive(Debug, thiserror::Error)]
pub enum SoakError {
    /// An I/O operation of the test machine failed. A retry may succeed.
    #[error("{what}: {source}")]
    Io {
        /// Failed operation or affected path.
        what: String,
        /// Underlying error.
        source: std::io::Error,
    },
    /// The system was not ready in time; the time-out in seconds.
    #[error("the system was not ready within {0} s after its start")]
    NotReady(u64),
    /// The stop flag was set.
    #[error("interrupted")]
    Interrupted,
}

impl SoakError {
    fn io(what: impl Into<String>) -> impl FnOnce(std::io::Error) -> SoakError {
        let what = what.into();
        move |source| SoakError::Io { what, source }
    }
}

/// Result of a soak.
#[derive(Clone, Debug)]
pub struct SoakReport {
    /// Seed of the soak.
    pub seed: u64,
    /// Violations of the rules, a limited number for each rule.
    pub findings: Vec<Finding>,
    /// Counts of requests, signals and changes.
    pub summary: Summary,
    /// Directory of the kept logs and data, if any.
    pub kept_dir: Option<PathBuf>,
}

/// Runs a soak and checks its history.
///
/// # Errors
/// Fails if an I/O operation fails, if the system is not ready in time, or if the stop flag is set.
pub fn run(plan: &SoakPlan, options: &SoakOptions<'_>) -> Result<SoakReport, SoakError> {
    let dir = tempfile::tempdir().map_err(SoakError::io("creating a temporary directory"))?;
    let began = Instant::now();
    let history = Driver::start(plan, options.programs, dir.path(), began)?.execute(options.stop);
    if options.stop.load(Ordering::Relaxed) {
        return Err(SoakError::Interrupted);
    }
    let (findings, summary) = checker::check_soak(plan, &history);
    let mut kept_dir = None;
    if let Some(keep) = options.keep_dir.filter(|_| !findings.is_empty()) {
        let to = keep.join(format!("soak-{}", plan.seed));
        std::fs::create_dir_all(keep).map_err(SoakError::io(keep.display().to_string()))?;
        let from = dir.keep();
        // If the directory can't be renamed, as across file systems, the logs stay where they are.
        kept_dir = Some(if std::fs::rename(&from, &to).is_ok() { to } else { from });
    }
    Ok(SoakReport { seed: plan.seed, findings, summary, kept_dir })
}
