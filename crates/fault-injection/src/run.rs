//! Plays a trial: starts the processes and the links between them, does the faults, stops everything, and
//! hands what was seen to the judge.
//!
//! Nothing is left running: each gatekeeper is told to end with the process that started it (its fleet file
//! says so), which also holds where this one is killed; on every way out of here all are killed.

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
    HttpMessage, Load, LoadPlan, Sink, config_named, exchange, free_port, monotonic_nanos,
};
use lynxstair_leases::{DutyView, HolderState};
use lynxstair_membership::{DisabledParts, Phase, State};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

use crate::file::{Disk, Fault, Kind, Trial};
use crate::judge::{Observed, Process, Verdict, judge};
use crate::ports::Place;
use crate::relay::{Link, Relay};

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
pub enum Failed {
    #[error("{what}: {source}")]
    Io { what: String, source: io::Error },
    #[error("{0} ended before it served: {1}")]
    DidNotStart(String, String),
    #[error("told to stop")]
    Stopped,
}

fn failed(what: impl Into<String>) -> impl FnOnce(io::Error) -> Failed {
    let what = what.into();
    move |source| Failed::Io { what, source }
}

/// Where and how a trial is played.
pub struct Stage<'a> {
    /// The gatekeeper's program.
    pub program: &'a Path,
    /// Histories, logs and records are left in a folder of the trial's name in here; none: nothing is left.
    pub keep: Option<&'a Path>,
    pub broken: DisabledParts,
    pub broken_ownership: lynxstair_leases::DisabledParts,
    /// Told to stop from outside.
    pub stop: &'a AtomicBool,
}

struct Gatekeeper {
    child: Option<Child>,
    process: Process,
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
    stage: &'a Stage<'a>,
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
pub fn play(trial: &Trial, stage: &Stage<'_>) -> Result<Verdict, Failed> {
    let temporary = tempfile::tempdir().map_err(failed("a folder for the trial"))?;
    let folder = match stage.keep {
        Some(keep) => keep.join(file_name(&trial.name)),
        None => temporary.path().to_path_buf(),
    };
    if stage.keep.is_some() {
        let _ = fs::remove_dir_all(&folder);
    }
    fs::create_dir_all(&folder).map_err(failed(folder.display().to_string()))?;
    let place = Place::find(trial.gatekeepers).map_err(failed("addresses of its own"))?;
    let relay = Relay::start(place, trial.gatekeepers, trial.seed).map_err(failed("the links"))?;
    let load = trial
        .load
        .map(|l| Load::new(LoadPlan { requests_per_second: l.invocations_per_second, workers: WORKERS }));
    let sink = match (&load, trial.voters) {
        (Some(_), Some(_)) => {
            let sink = Sink::open(&folder.join("sink"));
            Some(sink.map_err(|e| failed("the sink")(io::Error::other(e)))?)
        }
        _ => None,
    };
    if let Some(sink) = &sink {
        sink.no_refusal.store(stage.broken_ownership.no_refusal, Ordering::SeqCst);
    }
    let gatekeepers = (0..trial.gatekeepers)
        .map(|n| Gatekeeper {
            child: None,
            process: Process { name: Trial::name_of(n), ..Process::default() },
            disturbed_since: None,
            started: Instant::now(),
            cpu: 0.0,
        })
        .collect();
    let (active, faults) = (BTreeSet::new(), trial.faults.clone());
    let began = Instant::now();
    let mut run = Run { trial, stage, folder, place, relay, load, sink, gatekeepers, active, faults, began };
    let observed = run.play()?;
    if stage.keep.is_some() {
        let text = trial.to_toml();
        fs::write(run.folder.join("trial.toml"), text).map_err(failed("the trial's file"))?;
    }
    Ok(judge(&observed))
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

    /// The two files that a gatekeeper is started with.
    fn write_files(&self, n: usize) -> io::Result<()> {
        let name = self.name(n);
        let hall = n % self.trial.halls + 1;
        let seeds: Vec<_> =
            (0..self.trial.gatekeepers.min(3)).map(|s| format!("\"{}\"", self.place.front(s))).collect();
        let broken = self.stage.broken;
        let fleet = format!(
            "fleet = \"trial\"\nname = \"{name}\"\nhall = \"h{hall}\"\nbind = \"{}\"\nadvertise = \"{}\"\n\
             seeds = [{}]\ndata = \"{name}\"\nhistory = \"{name}.jsonl\"\nlog = \"json\"\nseed = {}\n\n\
             [trial]\nends_with_parent = {}\ndisk_full_while = \"{name}.full\"\n\n\
             [trial.broken]\nno-suspicion = {}\nno-lateness = {}\nno-incarnation = {}\nno-relays = {}\n",
            self.place.member(n),
            self.place.front(n),
            seeds.join(", "),
            (self.trial.seed.wrapping_mul(1_000_003).wrapping_add(n as u64)) & 0x7fff_ffff,
            std::process::id(),
            broken.no_suspicion,
            broken.no_lateness,
            broken.no_incarnation,
            broken.no_relays,
        );
        let mut fleet = fleet;
        if let Some(voters) = self.trial.voters {
            let voter = |v: usize| {
                format!("{{ name = \"{}\", addr = \"{}\" }}", Trial::name_of(v), self.place.front(v))
            };
            let all: Vec<_> = (0..voters).map(voter).collect();
            fleet.insert_str(0, &format!("voters = [{}]\n", all.join(", ")));
            if let Some(sink) = &self.sink {
                // A moment between check and write, so that pauses fall into it.
                fleet = fleet.replace(
                    "[trial]\n",
                    &format!("[export]\nsink = \"{}\"\n\n[trial]\nstall_ms = 60\n", sink.addr),
                );
            }
            let b = self.stage.broken_ownership;
            fleet += &format!(
                "[trial.broken_ownership]\nvotes-forgotten = {}\nno-waiting-for-disk = {}\nno-epochs = {}\n\
                 no-leases = {}\nno-refusal = {}\n",
                b.votes_forgotten, b.no_waiting_for_disk, b.no_epochs, b.no_leases, b.no_refusal
            );
        }
        fs::write(self.folder.join(format!("{name}.toml")), fleet)?;
        let nobody = free_port();
        let (known, counter, discovery) = match &self.load {
            Some(load) => (load.worker_list(), load.counter.addr, load.discovery.addr),
            None => (r#"{"revision":1,"complete":true,"members":[]}"#.to_string(), nobody, nobody),
        };
        let config = config_named(name, self.place.serving(n).into(), &known, counter, discovery);
        fs::write(self.folder.join(format!("{name}.json")), config)
    }

    fn start(&mut self, n: usize) -> Result<(), Failed> {
        let name = self.name(n).to_string();
        let log = OpenOptions::new().create(true).append(true).open(self.folder.join(format!("{name}.log")));
        let log = log.map_err(failed(format!("the log of {name}")))?;
        let child = Command::new(self.stage.program)
            .arg("--fleet")
            .arg(self.folder.join(format!("{name}.toml")))
            .env("RELAY_CONFIG", self.folder.join(format!("{name}.json")))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .map_err(failed(self.stage.program.display().to_string()))?;
        self.gatekeepers[n].child = Some(child);
        self.gatekeepers[n].started = Instant::now();
        Ok(())
    }

    fn signal(&self, n: usize, signal: Signal) {
        if let Some(child) = &self.gatekeepers[n].child {
            let _ = kill(Pid::from_raw(child.id() as i32), signal);
        }
    }

    /// Sees that it is not told to stop and that nobody ended by itself, for so long.
    fn wait(&mut self, until: Instant) -> Result<(), Failed> {
        loop {
            if self.stage.stop.load(Ordering::SeqCst) {
                return Err(Failed::Stopped);
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

    fn look_at(&mut self, n: usize) {
        let gatekeeper = &mut self.gatekeepers[n];
        let Some(child) = &mut gatekeeper.child else { return };
        if let Ok(Some(status)) = child.try_wait() {
            gatekeeper.child = None;
            let why = format!("ended by itself, {status}");
            gatekeeper.process.ended_badly.get_or_insert((monotonic_nanos(), why));
        }
    }

    fn play(&mut self) -> Result<Observed, Failed> {
        for n in 0..self.trial.gatekeepers {
            self.write_files(n).map_err(failed("the files of a gatekeeper"))?;
        }
        for n in 0..self.trial.gatekeepers {
            self.start(n)?;
        }
        let not_joined = self.all_join()?;
        let mut observed = Observed {
            name: self.trial.name.clone(),
            agree_within: self.trial.must.agree_within,
            never_failed: self.trial.must.never_failed.iter().map(|n| Trial::name_of(*n)).collect(),
            seen_failed: self.trial.must.seen_failed.iter().map(|n| Trial::name_of(*n)).collect(),
            voters: self.trial.voters.unwrap_or_default(),
            began: monotonic_nanos(),
            ..Observed::default()
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
    fn all_join(&mut self) -> Result<Option<String>, Failed> {
        let began = Instant::now();
        loop {
            self.wait(Instant::now() + Duration::from_millis(100))?;
            for n in 0..self.gatekeepers.len() {
                if let Some((_, why)) = &self.gatekeepers[n].process.ended_badly {
                    return Err(Failed::DidNotStart(self.name(n).to_string(), self.last_words(n, why)));
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

    fn last_words(&self, n: usize, why: &str) -> String {
        let log = fs::read_to_string(self.folder.join(format!("{}.log", self.name(n)))).unwrap_or_default();
        format!("{why}; {}", log.lines().last().unwrap_or("it said nothing"))
    }

    fn serves(&self, n: usize) -> bool {
        let addr = self.place.serving(n).into();
        let Ok(stream) = TcpStream::connect_timeout(&addr, Duration::from_millis(200)) else { return false };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
        exchange(&stream, "GET /up HTTP/1.1\r\n\r\n").is_some_and(|m: HttpMessage| m.status() == 200)
    }

    fn steps(&self) -> Vec<(f64, Step)> {
        let seconds = self.trial.seconds;
        let mut steps = Vec::new();
        for (n, fault) in self.trial.faults.iter().enumerate() {
            steps.push((fault.at, Step::Begins(n)));
            match &fault.kind {
                Kind::Kill { restart_after, .. } | Kind::Stop { restart_after, .. } => {
                    let at = restart_after.map(|r| fault.at + r).filter(|at| *at < seconds);
                    steps.extend(at.map(|at| (at, Step::Restarts(n))));
                }
                _ => steps.push((fault.ends(seconds), Step::Ends(n))),
            }
        }
        if self.load.is_some() {
            steps.push((seconds / 2.0, Step::Drains));
        }
        // What ends is over before what begins in the same moment.
        steps.sort_by(|a, b| {
            a.0.total_cmp(&b.0)
                .then_with(|| matches!(a.1, Step::Begins(_)).cmp(&matches!(b.1, Step::Begins(_))))
        });
        steps
    }

    fn play_faults(&mut self, observed: &mut Observed) -> Result<(), Failed> {
        let serving: Vec<_> = (0..self.trial.gatekeepers)
            .map(|n| (self.name(n).to_string(), self.place.serving(n).into()))
            .collect();
        if let Some(load) = &mut self.load {
            load.start_clients(&serving);
        }
        for gatekeeper in &mut self.gatekeepers {
            gatekeeper.cpu = gatekeeper.child.as_ref().and_then(|c| cpu(c.id())).unwrap_or_default();
        }
        let mut faults_over = monotonic_nanos();
        for (at, step) in self.steps() {
            self.wait_to(at)?;
            if step != Step::Drains {
                observed.only_cuts.extend(self.only_cuts(faults_over));
            }
            self.take(step)?;
            if step != Step::Drains {
                faults_over = monotonic_nanos();
            }
        }
        self.wait_to(self.trial.seconds)?;
        observed.faults_over = faults_over;
        observed.cpu = self.cpu();
        // Long enough to see whether all agree in time, and that it lasts; flaps need their clock no more.
        let agree = Duration::from_secs_f64(self.trial.must.agree_within);
        let since = Duration::from_nanos(monotonic_nanos() - faults_over);
        let left = (agree + LASTS).saturating_sub(since);
        self.wait(Instant::now() + left.max(LASTS))?;
        if let Some(load) = &mut self.load {
            load.stop_clients();
        }
        self.wait_for_export()
    }

    /// Until the sink has what clients were told, for a time; whether it does is the judge's.
    fn wait_for_export(&mut self) -> Result<(), Failed> {
        let (Some(load), Some(sink)) = (&self.load, &self.sink) else { return Ok(()) };
        let answered = load.traffic.outcomes.lock().map(|a| a.clone()).unwrap_or_default();
        let is_so =
            |g: &Gatekeeper| g.child.is_some() && g.process.disk_lost.is_empty() && !g.process.uses_lost;
        let runs = |name: &str| self.gatekeepers.iter().any(|g| g.process.name == name && is_so(g));
        let told = answered.iter().filter(|a| a.status == Some(200) && runs(&a.gatekeeper)).count() as u64;
        let began = Instant::now();
        loop {
            let taken = sink
                .received()
                .into_iter()
                .filter(|l| l.reply == BatchReply::Accepted { already_stored: false });
            let taken: u64 =
                taken.filter(|l| runs(&l.batch.stream.gatekeeper)).map(|l| l.batch.milli_units()).sum();
            if taken >= told * 1_000 || began.elapsed() > EXPORTED_WITHIN {
                break;
            }
            thread::sleep(10 * TURN);
        }
        self.wait(Instant::now() + LASTS)
    }

    /// To so many seconds after all served; flaps go on meanwhile.
    fn wait_to(&mut self, at: f64) -> Result<(), Failed> {
        let until = self.began + Duration::from_secs_f64(at);
        loop {
            let flapping = self.active.iter().any(|f| matches!(self.faults[*f].kind, Kind::Flap { .. }));
            if !flapping {
                return self.wait(until);
            }
            self.set_links();
            let now = Instant::now();
            if now >= until {
                return Ok(());
            }
            self.wait((now + TURN).min(until))?;
        }
    }

    fn take(&mut self, step: Step) -> Result<(), Failed> {
        match step {
            Step::Begins(fault) => self.begins(fault),
            Step::Ends(fault) => self.ends(fault),
            Step::Restarts(fault) => {
                for who in self.faults[fault].kind.who().to_vec() {
                    self.restarts(who)?;
                }
            }
            Step::Drains => {
                if let Some(load) = &self.load {
                    load.drain_first_worker();
                }
            }
        }
        Ok(())
    }

    /// The stretch since the last change, where nothing but cuts lasted in it and there was time to find them
    /// out.
    fn only_cuts(&self, since: u64) -> Option<(u64, u64)> {
        let (from, to) = (since + FOUND_OUT, monotonic_nanos());
        let faults = || self.active.iter().map(|f| &self.faults[*f].kind);
        let cuts = faults().next().is_some() && faults().all(|k| matches!(k, Kind::Cut { .. }));
        (cuts && self.gatekeepers.iter().all(|g| g.disturbed_since.is_none()) && from < to)
            .then_some((from, to))
    }

    fn disturb(&mut self, n: usize) {
        self.gatekeepers[n].disturbed_since.get_or_insert(monotonic_nanos());
    }

    /// Nothing is done to it any more; what it missed it has a second for.
    fn calm(&mut self, n: usize) {
        if let Some(since) = self.gatekeepers[n].disturbed_since.take() {
            self.gatekeepers[n].process.disturbed.push((since, monotonic_nanos() + 1_000_000_000));
        }
    }

    /// Whoever says that it owns the duty; waited for a little, as it may be on its way from one to another.
    fn owner_of(&self, duty: usize) -> Option<usize> {
        let began = Instant::now();
        while began.elapsed() < OWNER_WITHIN {
            for n in (0..self.gatekeepers.len()).filter(|n| !self.is_paused(*n)) {
                let runs = self.gatekeepers[n].child.is_some();
                if runs && owns(self.place.member(n)).is_some_and(|all| all.contains_key(DUTIES[duty])) {
                    return Some(n);
                }
            }
            thread::sleep(TURN);
        }
        None
    }

    /// Until the owner is between the check and the write of an effect, or for a time: a pause is to fall there.
    fn wait_for_effect(&self, who: &[usize]) {
        let Some(n) = who.first().filter(|_| self.sink.is_some()) else { return };
        let path = self.folder.join(format!("{}.jsonl", self.name(*n)));
        let len = || fs::metadata(&path).map_or(0, |m| m.len());
        let (began, from) = (Instant::now(), len());
        while began.elapsed() < EFFECT_WITHIN {
            thread::sleep(Duration::from_millis(1));
            if len() > from {
                let bytes = fs::read(&path).unwrap_or_default();
                let new = String::from_utf8_lossy(&bytes[(from as usize).min(bytes.len())..]).into_owned();
                if new.lines().last().is_some_and(|l| l.contains("\"event\":\"begins\"")) {
                    return;
                }
            }
        }
    }

    fn begins(&mut self, fault: usize) {
        if self.trial.faults[fault].kind.names_owner() {
            let kind = self.trial.faults[fault].kind.of_owner(&|duty| self.owner_of(duty));
            if let Kind::Pause { who } = &kind {
                self.wait_for_effect(who);
            }
            self.faults[fault].kind = kind;
        }
        self.active.insert(fault);
        let kind = self.faults[fault].kind.clone();
        match &kind {
            Kind::Pause { who } => {
                for &n in who {
                    self.disturb(n);
                    self.signal(n, Signal::SIGSTOP);
                }
            }
            Kind::Kill { who, disk, .. } => {
                for &n in who {
                    self.kill_one(n, *disk);
                }
                self.active.remove(&fault);
            }
            Kind::Stop { who, .. } => {
                for &n in who {
                    self.stop_one(n);
                }
                self.active.remove(&fault);
            }
            Kind::DiskFull { who } => {
                for &n in who {
                    let _ = fs::write(self.full(n), "");
                }
            }
            _ => self.set_links(),
        }
    }

    fn ends(&mut self, fault: usize) {
        self.active.remove(&fault);
        let kind = self.faults[fault].kind.clone();
        // Another fault of the same kind may still hold some of them.
        let holds = |k: &Kind, n: usize| k.name() == kind.name() && k.who().contains(&n);
        let still = |n: usize| self.active.iter().any(|f| holds(&self.faults[*f].kind, n));
        let free: Vec<usize> = kind.who().iter().copied().filter(|n| !still(*n)).collect();
        match &kind {
            Kind::Pause { .. } => {
                for n in free {
                    self.signal(n, Signal::SIGCONT);
                    self.calm(n);
                }
            }
            Kind::DiskFull { .. } => {
                for n in free {
                    let _ = fs::remove_file(self.full(n));
                }
            }
            _ => self.set_links(),
        }
    }

    fn kill_one(&mut self, n: usize, disk: Disk) {
        self.disturb(n);
        let full = self.full(n).exists();
        let gatekeeper = &mut self.gatekeepers[n];
        gatekeeper.process.was_ended = true;
        gatekeeper.process.uses_lost |= full;
        if let Some(mut child) = gatekeeper.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            gatekeeper.process.killed.push(monotonic_nanos());
        }
        let data = self.data(n);
        let lost = match disk {
            Disk::Kept => false,
            Disk::Emptied => fs::remove_dir_all(&data).is_ok(),
            // A gatekeeper that is no voter has but the one.
            Disk::Torn => {
                let voter = tear(&data.join("voter/ledger")).is_ok();
                tear(&data.join("ledger")).is_ok() || voter
            }
        };
        if lost {
            self.gatekeepers[n].process.disk_lost.push(monotonic_nanos());
        }
    }

    /// Told to end; one that is paused or slow to end is killed when its time is up, and that is a break.
    fn stop_one(&mut self, n: usize) {
        self.disturb(n);
        self.gatekeepers[n].process.was_ended = true;
        self.gatekeepers[n].process.uses_lost |= self.full(n).exists();
        self.signal(n, Signal::SIGTERM);
        let paused = self.is_paused(n);
        let gatekeeper = &mut self.gatekeepers[n];
        let Some(mut child) = gatekeeper.child.take() else { return };
        let ended = if paused { None } else { ended(&mut child) };
        match ended {
            Some(status) if status.success() => {}
            // Told so soon that it had not yet said that it listens to signals.
            Some(status) if status.signal().is_some() && gatekeeper.started.elapsed() < STARTS_WITHIN => {}
            Some(status) => {
                gatekeeper
                    .process
                    .ended_badly
                    .get_or_insert((monotonic_nanos(), format!("told to end, {status}")));
            }
            None => {
                let _ = child.kill();
                let _ = child.wait();
                if !paused {
                    let why = "told to end, and had not after 6 s".to_string();
                    gatekeeper.process.ended_badly.get_or_insert((monotonic_nanos(), why));
                }
            }
        }
    }

    fn is_paused(&self, n: usize) -> bool {
        let pauses = self.active.iter().map(|f| &self.faults[*f].kind);
        pauses.into_iter().any(|k| matches!(k, Kind::Pause { who } if who.contains(&n)))
    }

    fn restarts(&mut self, n: usize) -> Result<(), Failed> {
        if self.gatekeepers[n].child.is_some() {
            return Ok(());
        }
        self.start(n)?;
        if self.is_paused(n) {
            self.signal(n, Signal::SIGSTOP);
            return Ok(());
        }
        // Until it serves nothing is asked of it.
        self.calm(n);
        if let Some((_, until)) = self.gatekeepers[n].process.disturbed.last_mut() {
            *until += 1_000_000_000;
        }
        Ok(())
    }

    /// All links as the faults that are on have them.
    fn set_links(&self) {
        let many = self.trial.gatekeepers;
        let mut links = vec![vec![Link::default(); many]; many];
        let since = self.began.elapsed().as_secs_f64();
        for fault in self.active.iter().map(|f| &self.faults[*f]) {
            let mut each = |of: &crate::file::Links, change: &dyn Fn(&mut Link)| {
                of.0.iter().for_each(|(a, b)| change(&mut links[*a][*b]));
            };
            // Shares of several faults on one link add up as chances do.
            let either = |a: f64, b: f64| a + b - a * b;
            match &fault.kind {
                Kind::Cut { links } => each(links, &|l| l.cut = true),
                Kind::Flap { links, period } => {
                    let cut = (since - fault.at).max(0.0) % period < period / 2.0;
                    each(links, &|l| l.cut |= cut);
                }
                Kind::Lose { links, share } => each(links, &|l| l.lose = either(l.lose, *share)),
                Kind::Double { links, share } => each(links, &|l| l.double = either(l.double, *share)),
                Kind::Reorder { links, share } => each(links, &|l| l.reorder = either(l.reorder, *share)),
                Kind::Delay { links, ms, jitter_ms } => each(links, &|l| {
                    l.delay += Duration::from_secs_f64(ms / 1e3);
                    l.jitter += Duration::from_secs_f64(jitter_ms / 1e3);
                }),
                _ => {}
            }
        }
        self.relay.set(links);
    }

    /// CPU a second of those that ran through, as a part of a core.
    fn cpu(&self) -> Option<f64> {
        let seconds = self.began.elapsed().as_secs_f64();
        let through = self.gatekeepers.iter().filter(|g| !g.process.was_ended);
        let used: Vec<f64> = through.filter_map(|g| Some(cpu(g.child.as_ref()?.id())? - g.cpu)).collect();
        (!used.is_empty()).then(|| used.iter().sum::<f64>() / used.len() as f64 / seconds)
    }

    /// Asks all, has all end, and reads what they wrote.
    fn end(&mut self, observed: &mut Observed) -> Result<(), Failed> {
        for n in 0..self.gatekeepers.len() {
            self.look_at(n);
            self.gatekeepers[n].process.runs = self.gatekeepers[n].child.is_some();
        }
        let ended = monotonic_nanos();
        observed.ended = ended;
        for n in 0..self.gatekeepers.len() {
            self.calm(n);
            if self.gatekeepers[n].process.runs {
                let there = status(self.place.member(n)).map(|(_, there)| there);
                self.gatekeepers[n].process.status = there;
                if self.trial.voters.is_some() {
                    self.gatekeepers[n].process.owns = owns(self.place.member(n));
                }
            }
        }
        // Whatever was written before all were asked is there a moment later.
        thread::sleep(Duration::from_millis(150));
        for n in 0..self.gatekeepers.len() {
            self.signal(n, Signal::SIGTERM);
        }
        for gatekeeper in &mut self.gatekeepers {
            let Some(mut child) = gatekeeper.child.take() else { continue };
            let why = match self::ended(&mut child) {
                Some(status) if status.success() => continue,
                Some(status) => format!("told to end, {status}"),
                None => {
                    let _ = child.kill();
                    let _ = child.wait();
                    "told to end, and had not after 6 s".to_string()
                }
            };
            gatekeeper.process.ended_badly.get_or_insert((monotonic_nanos(), why));
        }
        for gatekeeper in &mut self.gatekeepers {
            let path = self.folder.join(format!("{}.jsonl", gatekeeper.process.name));
            let bytes = fs::read(&path).unwrap_or_default();
            let text = String::from_utf8_lossy(&bytes);
            gatekeeper.process.history = text.lines().map(str::to_string).collect();
            observed.processes.push(gatekeeper.process.clone());
        }
        if let Some(load) = &self.load {
            let traffic = &load.traffic;
            observed.answered = traffic.outcomes.lock().map(|a| a.clone()).unwrap_or_default();
            observed.delivered = traffic.attempts.lock().map(|d| d.clone()).unwrap_or_default();
            observed.landed = self.sink.as_ref().map(Sink::received);
            observed.drained = traffic.drained.lock().ok().and_then(|d| *d);
        }
        if self.stage.keep.is_some() {
            self.leave_behind(observed).map_err(failed("what is kept"))?;
        }
        Ok(())
    }

    /// The trace of the load, beside the histories.
    fn leave_behind(&self, observed: &Observed) -> io::Result<()> {
        let mut out = Vec::new();
        for one in &observed.answered {
            serde_json::to_writer(&mut out, one)?;
            out.push(b'\n');
        }
        fs::write(self.folder.join("answered.jsonl"), out)?;
        let times: BTreeMap<_, _> =
            [("began", observed.began), ("faults_over", observed.faults_over), ("ended", observed.ended)]
                .into();
        fs::write(self.folder.join("times.json"), serde_json::to_vec(&times)?)
    }
}

fn ended(child: &mut Child) -> Option<std::process::ExitStatus> {
    let began = Instant::now();
    while began.elapsed() < ENDED_WITHIN {
        if let Ok(Some(status)) = child.try_wait() {
            return Some(status);
        }
        thread::sleep(TURN);
    }
    None
}

/// As if the disk had lost the end of the last record. Where there is none, nothing is lost: a head that is cut
/// short is another thing, and refused at the start.
fn tear(ledger: &Path) -> io::Result<()> {
    let bytes = fs::read(ledger)?;
    let head = 46 + usize::from(bytes.get(9).copied().unwrap_or_default());
    if bytes.len() <= head {
        return Ok(());
    }
    let file = OpenOptions::new().write(true).open(ledger)?;
    file.set_len(bytes.len().saturating_sub(5).max(head) as u64)
}

/// CPU that a process used so far, in seconds.
fn cpu(pid: u32) -> Option<f64> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let mut fields = stat.rsplit_once(')')?.1.split_whitespace().skip(11);
    let ticks = fields.next()?.parse::<f64>().ok()? + fields.next()?.parse::<f64>().ok()?;
    Some(ticks / 100.0)
}

/// What a member answers: its phase, and whom it sees as there.
fn status(addr: SocketAddrV4) -> Option<(Phase, BTreeSet<String>)> {
    let Response::Status { view, .. } = lynxstair_cluster::request(addr, &Request::Status).ok()? else {
        return None;
    };
    let there = view.members.iter().filter(|m| matches!(m.state, State::Alive | State::Suspected));
    Some((view.phase, there.map(|m| m.name.as_str().to_string()).collect()))
}

/// What a member is with each duty.
fn duties(addr: SocketAddrV4) -> Option<Vec<DutyView>> {
    match lynxstair_cluster::request(addr, &Request::LocalRoles).ok()? {
        Response::LocalRoles { duties, .. } => Some(duties),
        _ => None,
    }
}

/// What a member says that it owns, and in which epoch.
fn owns(addr: SocketAddrV4) -> Option<BTreeMap<String, u64>> {
    let owned = duties(addr)?.into_iter().filter_map(|d| match d.state {
        HolderState::Owner { epoch } => Some((d.duty, epoch.0)),
        HolderState::Claiming => None,
    });
    Some(owned.collect())
}

/// Whether a member has heard who owns each duty.
fn owner_heard(addr: SocketAddrV4) -> Option<bool> {
    Some(duties(addr)?.iter().all(|d| d.owner.is_some()))
}
