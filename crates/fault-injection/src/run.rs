//! Runs a trial: starts the gatekeepers and the relay between them, injects the faults, stops everything, and
//! passes the trace to the checker.
//!
//! No process is left behind: dropping the run kills all gatekeepers, and each fleet file sets
//! `ends_with_parent`, so that the gatekeepers also exit if this process is killed.

mod faults;
mod finish;
mod processes;
mod queries;

use std::collections::{BTreeMap, BTreeSet};
use std::fs::{self, OpenOptions};
use std::io;
use std::net::{SocketAddrV4, TcpStream};
use std::os::unix::process::ExitStatusExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use lynxstair_cluster::DUTIES;
use lynxstair_cluster::protocol::{Request, Response};
use lynxstair_export::BatchReply;
use lynxstair_fakes::{
    HttpMessage, Load, LoadPlan, Sink, exchange, monotonic_nanos, named_gatekeeper_config, unused_address,
};
use lynxstair_leases::{DutyView, HolderState};
use lynxstair_membership::{DisabledParts, Phase, State};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

use crate::checker::{ProcessTrace, TrialTrace, Verdict, check_trial};
use crate::file::{DiskState, Fault, FaultKind, Trial};
use crate::ports::TrialAddresses;
use crate::relay::{Link, Relay};

use processes::wait_for_exit;
use queries::{cpu_seconds, knows_all_owners, member_status, owned_duties};

/// Time-out for all gatekeepers to join.
const JOIN_TIMEOUT: Duration = Duration::from_secs(40);
/// Time-out for a process to exit after SIGTERM.
const EXIT_TIMEOUT: Duration = Duration::from_secs(6);
/// Time after the agreement deadline in which the agreement must hold.
const AGREEMENT_HOLD_TIME: Duration = Duration::from_millis(700);
/// Time after its start in which a process may not have installed its signal handlers.
const SIGNAL_SETUP_TIME: Duration = Duration::from_secs(2);
const WORKER_COUNT: usize = 4;
/// Time in which members detect cut links, in nanoseconds.
const CUT_DETECTION_NS: u64 = 4_000_000_000;
/// Longest wait for a batch to begin before an owner is paused.
const BATCH_START_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Longest wait for a duty to have an owner before a fault is injected into the owner.
const OWNER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time-out for the usage of the succeeded requests to reach the sink.
const EXPORT_TIMEOUT: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Error that prevented a trial from completing. It says nothing about the rules.
#[derive(Debug, thiserror::Error)]
pub enum TrialError {
    /// An I/O operation of the test machine failed. A retry may succeed.
    #[error("{what}: {source}")]
    Io {
        /// Failed operation or affected path.
        what: String,
        /// Underlying error.
        source: io::Error,
    },
    /// A gatekeeper exited while the trial started: its name, the exit status and its last log line.
    #[error("{0} exited before the trial began: {1}")]
    StartFailed(String, String),
    /// The stop flag was set.
    #[error("interrupted")]
    Interrupted,
}

fn io_error(what: impl Into<String>) -> impl FnOnce(io::Error) -> TrialError {
    let what = what.into();
    move |source| TrialError::Io { what, source }
}

/// Options for running a trial.
pub struct TrialOptions<'a> {
    /// Path of the gatekeeper program.
    pub program: &'a Path,
    /// Directory that keeps histories, logs and records, in a subdirectory named after the trial. `None`
    /// keeps nothing.
    pub keep_dir: Option<&'a Path>,
    /// Parts of membership that are disabled.
    pub disabled_membership_parts: DisabledParts,
    /// Parts of the leases that are disabled.
    pub disabled_lease_parts: lynxstair_leases::DisabledParts,
    /// Flag that interrupts the trial.
    pub stop: &'a AtomicBool,
}

struct GatekeeperProcess {
    child: Option<Child>,
    trace: ProcessTrace,
    disturbed_since_ns: Option<u64>,
    started: Instant,
    /// CPU time used before the trial began, in seconds.
    cpu_at_start_s: f64,
}

/// A step of the schedule. Faults are given by index.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ScheduledStep {
    BeginFault(usize),
    EndFault(usize),
    RestartProcesses(usize),
    DrainWorker,
}

struct TrialRun<'a> {
    trial: &'a Trial,
    options: &'a TrialOptions<'a>,
    dir: PathBuf,
    addresses: TrialAddresses,
    relay: Relay,
    load: Option<Load>,
    /// `Some` if the trial has voters and a load.
    sink: Option<Sink>,
    gatekeepers: Vec<GatekeeperProcess>,
    active_faults: BTreeSet<usize>,
    /// Faults of the trial. A fault on the owner of a duty gets its target when it begins.
    faults: Vec<Fault>,
    began: Instant,
}

/// Runs a trial and checks its trace.
///
/// # Errors
/// Fails if an I/O operation fails, if a gatekeeper exits while starting, or if the stop flag is set.
pub fn run_trial(trial: &Trial, options: &TrialOptions<'_>) -> Result<Verdict, TrialError> {
    let temporary = tempfile::tempdir().map_err(io_error("creating a temporary directory"))?;
    let dir = match options.keep_dir {
        Some(keep) => keep.join(file_name(&trial.name)),
        None => temporary.path().to_path_buf(),
    };
    if options.keep_dir.is_some() {
        let _ = fs::remove_dir_all(&dir);
    }
    fs::create_dir_all(&dir).map_err(io_error(dir.display().to_string()))?;
    let addresses =
        TrialAddresses::find(trial.gatekeepers).map_err(io_error("finding free loopback addresses"))?;
    let relay =
        Relay::start(addresses, trial.gatekeepers, trial.seed).map_err(io_error("starting the relay"))?;
    let load = trial
        .load
        .map(|l| Load::new(LoadPlan { requests_per_second: l.requests_per_second, workers: WORKER_COUNT }));
    let sink = match (&load, trial.voters) {
        (Some(_), Some(_)) => {
            let sink = Sink::open(&dir.join("sink"));
            Some(sink.map_err(|e| io_error("opening the sink")(io::Error::other(e)))?)
        }
        _ => None,
    };
    if let Some(sink) = &sink {
        sink.accepts_stale_epochs.store(options.disabled_lease_parts.no_refusal, Ordering::SeqCst);
    }
    let gatekeepers = (0..trial.gatekeepers)
        .map(|n| GatekeeperProcess {
            child: None,
            trace: ProcessTrace { name: Trial::gatekeeper_name(n), ..ProcessTrace::default() },
            disturbed_since_ns: None,
            started: Instant::now(),
            cpu_at_start_s: 0.0,
        })
        .collect();
    let (active_faults, faults) = (BTreeSet::new(), trial.faults.clone());
    let began = Instant::now();
    let mut run = TrialRun {
        trial,
        options,
        dir,
        addresses,
        relay,
        load,
        sink,
        gatekeepers,
        active_faults,
        faults,
        began,
    };
    let trace = run.execute()?;
    if options.keep_dir.is_some() {
        let text = trial.to_toml();
        fs::write(run.dir.join("trial.toml"), text).map_err(io_error("writing trial.toml"))?;
    }
    Ok(check_trial(&trace))
}

fn file_name(name: &str) -> String {
    let word = |c: char| if c.is_ascii_alphanumeric() { c.to_ascii_lowercase() } else { '-' };
    name.chars().map(word).collect()
}

impl Drop for TrialRun<'_> {
    /// Kills all processes.
    fn drop(&mut self) {
        for gatekeeper in &mut self.gatekeepers {
            if let Some(child) = &mut gatekeeper.child {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
    }
}

impl TrialRun<'_> {
    fn name(&self, n: usize) -> &str {
        &self.gatekeepers[n].trace.name
    }

    fn data_dir(&self, n: usize) -> PathBuf {
        self.dir.join(self.name(n))
    }

    fn disk_full_marker(&self, n: usize) -> PathBuf {
        self.dir.join(format!("{}.full", self.name(n)))
    }

    /// Waits until the given time. Records processes that exit meanwhile, and fails if the stop flag is set.
    fn wait_until(&mut self, until: Instant) -> Result<(), TrialError> {
        loop {
            if self.options.stop.load(Ordering::SeqCst) {
                return Err(TrialError::Interrupted);
            }
            for n in 0..self.gatekeepers.len() {
                self.check_exit(n);
            }
            let now = Instant::now();
            if now >= until {
                return Ok(());
            }
            thread::sleep((until - now).min(POLL_INTERVAL));
        }
    }

    fn execute(&mut self) -> Result<TrialTrace, TrialError> {
        for n in 0..self.trial.gatekeepers {
            self.write_settings(n).map_err(io_error("writing the settings of a gatekeeper"))?;
        }
        for n in 0..self.trial.gatekeepers {
            self.start_process(n)?;
        }
        let join_failure = self.wait_for_join()?;
        let mut trace = TrialTrace {
            name: self.trial.name.clone(),
            agree_within_s: self.trial.expectations.agree_within_s,
            never_failed: self
                .trial
                .expectations
                .never_failed
                .iter()
                .map(|n| Trial::gatekeeper_name(*n))
                .collect(),
            seen_failed: self
                .trial
                .expectations
                .seen_failed
                .iter()
                .map(|n| Trial::gatekeeper_name(*n))
                .collect(),
            voters: self.trial.voters.unwrap_or_default(),
            start_ns: monotonic_nanos(),
            ..TrialTrace::default()
        };
        self.began = Instant::now();
        if join_failure.is_none() {
            self.run_faults(&mut trace)?;
        }
        trace.join_failure = join_failure;
        self.finish(&mut trace)?;
        Ok(trace)
    }

    /// Waits until all gatekeepers serve, have joined, see each other and, in a trial with voters, know the
    /// owner of each duty. Returns the reason if they do not before the time-out.
    fn wait_for_join(&mut self) -> Result<Option<String>, TrialError> {
        let began = Instant::now();
        loop {
            self.wait_until(Instant::now() + Duration::from_millis(100))?;
            for n in 0..self.gatekeepers.len() {
                if let Some((_, why)) = &self.gatekeepers[n].trace.unexpected_exit {
                    return Err(TrialError::StartFailed(
                        self.name(n).to_string(),
                        self.last_log_line(n, why),
                    ));
                }
            }
            let count = self.trial.gatekeepers;
            let failure = (0..count).find_map(|n| {
                if !self.is_serving(n) {
                    return Some(format!("{} does not serve", self.name(n)));
                }
                let Some((phase, present)) = member_status(self.addresses.control_addr(n)) else {
                    return Some(format!("{} does not answer at its control address", self.name(n)));
                };
                if self.trial.voters.is_some()
                    && knows_all_owners(self.addresses.control_addr(n)) != Some(true)
                {
                    return Some(format!("{} does not know the owner of each duty", self.name(n)));
                }
                let has_joined = phase == Phase::In && present.len() + 1 == count;
                (!has_joined)
                    .then(|| format!("{} is {phase:?} and sees {} others", self.name(n), present.len()))
            });
            match failure {
                None => return Ok(None),
                Some(failure) if began.elapsed() > JOIN_TIMEOUT => return Ok(Some(failure)),
                Some(_) => {}
            }
        }
    }
}
