//! The processes of a trial: their files, starts, signals and ends.

use super::*;

impl Run<'_> {
    /// The two files that a gatekeeper is started with.
    pub(super) fn write_files(&self, n: usize) -> io::Result<()> {
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
            broken.no_local_health,
            broken.no_stored_incarnation,
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
        let nobody = unused_address();
        let (known, counter, discovery) = match &self.load {
            Some(load) => (load.worker_list(), load.counter.addr, load.discovery.addr),
            None => (r#"{"revision":1,"complete":true,"members":[]}"#.to_string(), nobody, nobody),
        };
        let config = named_gatekeeper_config(name, self.place.serving(n).into(), &known, counter, discovery);
        fs::write(self.folder.join(format!("{name}.json")), config)
    }

    pub(super) fn start(&mut self, n: usize) -> Result<(), Failed> {
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

    pub(super) fn signal(&self, n: usize, signal: Signal) {
        if let Some(child) = &self.gatekeepers[n].child {
            let _ = kill(Pid::from_raw(child.id() as i32), signal);
        }
    }

    pub(super) fn look_at(&mut self, n: usize) {
        let gatekeeper = &mut self.gatekeepers[n];
        let Some(child) = &mut gatekeeper.child else { return };
        if let Ok(Some(status)) = child.try_wait() {
            gatekeeper.child = None;
            let why = format!("ended by itself, {status}");
            gatekeeper.process.ended_badly.get_or_insert((monotonic_nanos(), why));
        }
    }

    pub(super) fn kill_one(&mut self, n: usize, disk: Disk) {
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
    pub(super) fn stop_one(&mut self, n: usize) {
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

    pub(super) fn is_paused(&self, n: usize) -> bool {
        let pauses = self.active.iter().map(|f| &self.faults[*f].kind);
        pauses.into_iter().any(|k| matches!(k, Kind::Pause { who } if who.contains(&n)))
    }

    pub(super) fn restarts(&mut self, n: usize) -> Result<(), Failed> {
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

    pub(super) fn last_words(&self, n: usize, why: &str) -> String {
        let log = fs::read_to_string(self.folder.join(format!("{}.log", self.name(n)))).unwrap_or_default();
        format!("{why}; {}", log.lines().last().unwrap_or("it said nothing"))
    }

    pub(super) fn serves(&self, n: usize) -> bool {
        let addr = self.place.serving(n).into();
        let Ok(stream) = TcpStream::connect_timeout(&addr, Duration::from_millis(200)) else { return false };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
        exchange(&stream, "GET /up HTTP/1.1\r\n\r\n").is_some_and(|m: HttpMessage| m.status() == 200)
    }
}

pub(super) fn ended(child: &mut Child) -> Option<std::process::ExitStatus> {
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
pub(super) fn tear(ledger: &Path) -> io::Result<()> {
    let bytes = fs::read(ledger)?;
    let head = 46 + usize::from(bytes.get(9).copied().unwrap_or_default());
    if bytes.len() <= head {
        return Ok(());
    }
    let file = OpenOptions::new().write(true).open(ledger)?;
    file.set_len(bytes.len().saturating_sub(5).max(head) as u64)
}
