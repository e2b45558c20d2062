//! A soak of the system's own programs: controllers and proxies as processes on loopback, clients that keep
//! using their connections until the process behind them is gone, workers, an operator. Signals, kills,
//! pauses, restarts and changes of the configuration come in series that overlap, drawn from a seed. [`run`]
//! plays one, and says what broke.
//!
//! Called by `lynxstair soak`. Every process is killed on the way out of here, also after a panic.

mod checker;
mod clients;
mod driver;
mod flooding;
mod operator;
mod plan;
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

/// Where and how a soak is played.
pub struct SoakOptions<'a> {
    /// The folder of `lynxstair-proxy` and `lynxstair-controller`.
    pub programs: &'a Path,
    /// Logs and data are left here, in a folder for each soak in which something broke.
    pub keep_dir: Option<&'a Path>,
    /// Told to stop from outside: what was started ends.
    pub stop: &'a AtomicBool,
}

/// Why a soak could not be played. Trying again may help where the machine was short of something.
#[derive(Debug, thiserror::Error)]
pub enum SoakError {
    /// The machine refused something.
    #[error("{what}: {source}")]
    Io {
        /// What.
        what: String,
        /// Why.
        source: std::io::Error,
    },
    /// The system does not serve.
    #[error("the system does not serve within {0} s of its start")]
    DoesNotServe(u64),
    /// It was told to stop.
    #[error("told to stop")]
    Stopped,
}

impl SoakError {
    fn io(what: impl Into<String>) -> impl FnOnce(std::io::Error) -> SoakError {
        let what = what.into();
        move |source| SoakError::Io { what, source }
    }
}

/// What a soak came to.
#[derive(Clone, Debug)]
pub struct SoakReport {
    /// Its seed.
    pub seed: u64,
    /// What broke.
    pub findings: Vec<Finding>,
    /// Counts.
    pub summary: Summary,
    /// Where logs and data were left.
    pub kept_dir: Option<PathBuf>,
}

/// Plays a soak and judges it.
///
/// # Errors
/// The machine failed it, or the system never served; nothing is known of the rules then.
pub fn run(plan: &SoakPlan, options: &SoakOptions<'_>) -> Result<SoakReport, SoakError> {
    let folder = tempfile::tempdir().map_err(SoakError::io("a folder for the soak"))?;
    let began = Instant::now();
    let history = Driver::start(plan, options.programs, folder.path(), began)?.execute(options.stop);
    if options.stop.load(Ordering::Relaxed) {
        return Err(SoakError::Stopped);
    }
    let (findings, summary) = checker::check_soak(plan, &history);
    let mut kept_dir = None;
    if let Some(keep) = options.keep_dir.filter(|_| !findings.is_empty()) {
        let to = keep.join(format!("soak-{}", plan.seed));
        std::fs::create_dir_all(keep).map_err(SoakError::io(keep.display().to_string()))?;
        let from = folder.keep();
        // Another file system: the logs stay where they are.
        kept_dir = Some(if std::fs::rename(&from, &to).is_ok() { to } else { from });
    }
    Ok(SoakReport { seed: plan.seed, findings, summary, kept_dir })
}
