//! Plays a trial: starts the processes and the links between them, does the faults, stops everything, and
//! hands what was seen to the judge.
//!
//! Nothing is left running: each gatekeeper is told to end with the process that started it (its fleet file
//! says so), which also holds where this one is killed; on every way out of here all are killed.

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

use crate::checker::{Observations, ProcessObservation, Verdict, check_trial};
use crate::file::{Disk, Fault, Kind, Trial};
use crate::ports::Place;
use crate::relay::{Link, Relay};

use processes::ended;
use queries::{cpu, owner_heard, owns, status};

/// All are to be in by then.
const JOINED_WITHIN: Duration = Duration::from_secs(40);
/// One that is told to end is to have ended by then.
const ENDED_WITHIN: Duration = Duration::from_secs(6);
/// What is left of the time after all have to agree, to see that it lasts.
const LASTS: Duration = Duration::from_millis(700);
/// A process that was started longer ago than this listens to signals.
const STARTS_WITHIN: Duration = Duration::from_secs(2);
const WORKERS: usize = 4;
/// Within so long members find out what links are cut, in nanoseconds.
const FOUND_OUT: u64 = 4_000_000_000;
/// A pause of an owner waits so long for an effect to fall into.
const EFFECT_WITHIN: Duration = Duration::from_millis(1_500);
/// A fault that is done to a duty's owner waits so long for there to be one.
const OWNER_WITHIN: Duration = Duration::from_millis(1_500);
/// What clients were told is to be at the sink by then.
const EXPORTED_WITHIN: Duration = Duration::from_secs(10);
const TURN: Duration = Duration::from_millis(5);

/// The machine failed the trial, or it was told to stop: nothing is known of the rules.
#[derive(Debug, thiserror::Error)]
pub enum TrialError {
    /// The machine refused something: trying again may help.
    #[error("{what}: {source}")]
    Io {
        /// What.
        what: String,
        /// Why.
        source: io::Error,
    },
    /// A gatekeeper, by name, and the last lines of its log.
    #[error("{0} ended before it served: {1}")]
    DidNotStart(String, String),
    /// Told to stop from outside.
    #[error("told to stop")]
    Stopped,
}

fn io_error(what: impl Into<String>) -> impl FnOnce(io::Error) -> TrialError {
    let what = what.into();
    move |source| TrialError::Io { what, source }
}

/// Where and how a trial is played.
pub struct TrialOptions<'a> {
    /// The gatekeeper's program.
    pub program: &'a Path,
    /// Histories, logs and records are left in a folder of the trial's name in here; none: nothing is left.
    pub keep_dir: Option<&'a Path>,
    /// Parts of membership that are taken out.
    pub disabled_membership_parts: DisabledParts,
    /// Parts of the leases that are taken out.
    pub disabled_lease_parts: lynxstair_leases::DisabledParts,
    /// Told to stop from outside.
    pub stop: &'a AtomicBool,
}

struct Gatekeeper {
    child: Option<Child>,
    process: ProcessObservation,
    disturbed_since: Option<u64>,
    started: Instant,
    /// CPU so far, in seconds, when the trial began.
    cpu: f64,
}

/// What is to be done, and when.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    Begins(usize),
    Ends(usize),
    Restarts(usize),
    Drains,
}

struct Run<'a> {
    trial: &'a Trial,
    options: &'a TrialOptions<'a>,
    folder: PathBuf,
    place: Place,
    relay: Relay,
    load: Option<Load>,
    /// Where there are owners and a load.
    sink: Option<Sink>,
    gatekeepers: Vec<Gatekeeper>,
    active: BTreeSet<usize>,
    /// As the trial has them; done to a duty's owner, as it was when they began.
    faults: Vec<Fault>,
    began: Instant,
}

/// Plays a trial and judges it.
///
/// # Errors
/// Where the machine failed it (a port, a file, a program that does not start), or it was told to stop.
pub fn run_trial(trial: &Trial, options: &TrialOptions<'_>) -> Result<Verdict, TrialError> {
    let temporary = tempfile::tempdir().map_err(io_error("a folder for the trial"))?;
    let folder = match options.keep_dir {
        Some(keep) => keep.join(file_name(&trial.name)),
        None => temporary.path().to_path_buf(),
    };
    if options.keep_dir.is_some() {
        let _ = fs::remove_dir_all(&folder);
    }
    fs::create_dir_all(&folder).map_err(io_error(folder.display().to_string()))?;
    let place = Place::find(trial.gatekeepers).map_err(io_error("addresses of its own"))?;
    let relay = Relay::start(place, trial.gatekeepers, trial.seed).map_err(io_error("the links"))?;
    let load = trial
        .load
        .map(|l| Load::new(LoadPlan { requests_per_second: l.invocations_per_second, workers: WORKERS }));
    let sink = match (&load, trial.voters) {
        (Some(_), Some(_)) => {
            let sink = Sink::open(&folder.join("sink"));
            Some(sink.map_err(|e| io_error("the sink")(io::Error::other(e)))?)
        }
        _ => None,
    };
    if let Some(sink) = &sink {
        sink.accepts_stale_epochs.store(options.disabled_lease_parts.no_refusal, Ordering::SeqCst);
    }
    let gatekeepers = (0..trial.gatekeepers)
        .map(|n| Gatekeeper {
            child: None,
            process: ProcessObservation { name: Trial::name_of(n), ..ProcessObservation::default() },
            disturbed_since: None,
            started: Instant::now(),
            cpu: 0.0,
        })
        .collect();
    let (active, faults) = (BTreeSet::new(), trial.faults.clone());
    let began = Instant::now();
    let mut run =
        Run { trial, options, folder, place, relay, load, sink, gatekeepers, active, faults, began };
    let observed = run.execute()?;
    if options.keep_dir.is_some() {
        let text = trial.to_toml();
        fs::write(run.folder.join("trial.toml"), text).map_err(io_error("the trial's file"))?;
    }
    Ok(check_trial(&observed))
}

fn file_name(name: &str) -> String {
    let word = |c: char| if c.is_ascii_alphanumeric() { c.to_ascii_lowercase() } else { '-' };
    name.chars().map(word).collect()
}

impl Drop for Run<'_> {
    /// On every way out nothing is left running.
    fn drop(&mut self) {
        for gatekeeper in &mut self.gatekeepers {
            if let Some(child) = &mut gatekeeper.child {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
    }
}

impl Run<'_> {
    fn name(&self, n: usize) -> &str {
        &self.gatekeepers[n].process.name
    }

    fn data(&self, n: usize) -> PathBuf {
        self.folder.join(self.name(n))
    }

    fn full(&self, n: usize) -> PathBuf {
        self.folder.join(format!("{}.full", self.name(n)))
    }

    /// Sees that it is not told to stop and that nobody ended by itself, for so long.
    fn wait(&mut self, until: Instant) -> Result<(), TrialError> {
        loop {
            if self.options.stop.load(Ordering::SeqCst) {
                return Err(TrialError::Stopped);
            }
            for n in 0..self.gatekeepers.len() {
                self.look_at(n);
            }
            let now = Instant::now();
            if now >= until {
                return Ok(());
            }
            thread::sleep((until - now).min(TURN));
        }
    }

    fn execute(&mut self) -> Result<Observations, TrialError> {
        for n in 0..self.trial.gatekeepers {
            self.write_files(n).map_err(io_error("the files of a gatekeeper"))?;
        }
        for n in 0..self.trial.gatekeepers {
            self.start(n)?;
        }
        let not_joined = self.all_join()?;
        let mut observed = Observations {
            name: self.trial.name.clone(),
            agree_within: self.trial.must.agree_within,
            never_failed: self.trial.must.never_failed.iter().map(|n| Trial::name_of(*n)).collect(),
            seen_failed: self.trial.must.seen_failed.iter().map(|n| Trial::name_of(*n)).collect(),
            voters: self.trial.voters.unwrap_or_default(),
            began: monotonic_nanos(),
            ..Observations::default()
        };
        self.began = Instant::now();
        if not_joined.is_none() {
            self.play_faults(&mut observed)?;
        }
        observed.not_joined = not_joined;
        self.end(&mut observed)?;
        Ok(observed)
    }

    /// Waits until all serve and see each other. What is wrong, where they do not in time.
    fn all_join(&mut self) -> Result<Option<String>, TrialError> {
        let began = Instant::now();
        loop {
            self.wait(Instant::now() + Duration::from_millis(100))?;
            for n in 0..self.gatekeepers.len() {
                if let Some((_, why)) = &self.gatekeepers[n].process.ended_badly {
                    return Err(TrialError::DidNotStart(self.name(n).to_string(), self.last_words(n, why)));
                }
            }
            let all = self.trial.gatekeepers;
            let wrong = (0..all).find_map(|n| {
                if !self.serves(n) {
                    return Some(format!("{} does not serve", self.name(n)));
                }
                let Some((phase, there)) = status(self.place.member(n)) else {
                    return Some(format!("{} does not answer at its control port", self.name(n)));
                };
                if self.trial.voters.is_some() && owner_heard(self.place.member(n)) != Some(true) {
                    return Some(format!("{} has heard of no owner", self.name(n)));
                }
                let is_in = phase == Phase::In && there.len() + 1 == all;
                (!is_in).then(|| format!("{} is {phase:?} and sees {} others", self.name(n), there.len()))
            });
            match wrong {
                None => return Ok(None),
                Some(wrong) if began.elapsed() > JOINED_WITHIN => return Ok(Some(wrong)),
                Some(_) => {}
            }
        }
    }
}
