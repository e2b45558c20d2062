//! The processes of a trial: settings, start, signals and exit.

use super::*;

impl TrialRun<'_> {
    /// Writes the fleet file and the configuration of a gatekeeper.
    pub(super) fn write_settings(&self, n: usize) -> io::Result<()> {
        let name = self.name(n);
        let zone = n % self.trial.zones + 1;
        let seeds: Vec<_> = (0..self.trial.gatekeepers.min(3))
            .map(|s| format!("\"{}\"", self.addresses.relay_addr(s)))
            .collect();
        let disabled = self.options.disabled_membership_parts;
        let settings = format!(
            "fleet = \"trial\"\nname = \"{name}\"\nhall = \"h{zone}\"\nbind = \"{}\"\nadvertise = \"{}\"\n\
             seeds = [{}]\ndata = \"{name}\"\nhistory = \"{name}.jsonl\"\nlog = \"json\"\nseed = {}\n\n\
             [trial]\nends_with_parent = {}\ndisk_full_while = \"{name}.full\"\n\n\
             [trial.broken]\nno-suspicion = {}\nno-lateness = {}\nno-incarnation = {}\nno-relays = {}\n",
            self.addresses.control_addr(n),
            self.addresses.relay_addr(n),
            seeds.join(", "),
            (self.trial.seed.wrapping_mul(1_000_003).wrapping_add(n as u64)) & 0x7fff_ffff,
            std::process::id(),
            disabled.no_suspicion,
            disabled.no_local_health,
            disabled.no_stored_incarnation,
            disabled.no_relays,
        );
        let mut settings = settings;
        if let Some(voters) = self.trial.voters {
            let voter = |v: usize| {
                format!(
                    "{{ name = \"{}\", addr = \"{}\" }}",
                    Trial::gatekeeper_name(v),
                    self.addresses.relay_addr(v)
                )
            };
            let all: Vec<_> = (0..voters).map(voter).collect();
            settings.insert_str(0, &format!("voters = [{}]\n", all.join(", ")));
            if let Some(sink) = &self.sink {
                // Delays the write after the ownership check, so that pauses can fall in between.
                settings = settings.replace(
                    "[trial]\n",
                    &format!("[export]\nsink = \"{}\"\n\n[trial]\nstall_ms = 60\n", sink.addr),
                );
            }
            let disabled = self.options.disabled_lease_parts;
            settings += &format!(
                "[trial.broken_ownership]\nvotes-forgotten = {}\nno-waiting-for-disk = {}\nno-epochs = {}\n\
                 no-leases = {}\nno-refusal = {}\n",
                disabled.votes_forgotten,
                disabled.no_waiting_for_disk,
                disabled.no_epochs,
                disabled.no_leases,
                disabled.no_refusal
            );
        }
        fs::write(self.dir.join(format!("{name}.toml")), settings)?;
        let unused = unused_address();
        let (known, counter, discovery) = match &self.load {
            Some(load) => (load.worker_list(), load.counter.addr, load.discovery.addr),
            None => (r#"{"revision":1,"complete":true,"members":[]}"#.to_string(), unused, unused),
        };
        let config =
            named_gatekeeper_config(name, self.addresses.serving_addr(n).into(), &known, counter, discovery);
        fs::write(self.dir.join(format!("{name}.json")), config)
    }

    pub(super) fn start_process(&mut self, n: usize) -> Result<(), TrialError> {
        let name = self.name(n).to_string();
        let log = OpenOptions::new().create(true).append(true).open(self.dir.join(format!("{name}.log")));
        let log = log.map_err(io_error(format!("opening the log of {name}")))?;
        let child = Command::new(self.options.program)
            .arg("--fleet")
            .arg(self.dir.join(format!("{name}.toml")))
            .env("RELAY_CONFIG", self.dir.join(format!("{name}.json")))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .map_err(io_error(self.options.program.display().to_string()))?;
        self.gatekeepers[n].child = Some(child);
        self.gatekeepers[n].started = Instant::now();
        Ok(())
    }

    pub(super) fn signal(&self, n: usize, signal: Signal) {
        if let Some(child) = &self.gatekeepers[n].child {
            let _ = kill(Pid::from_raw(child.id() as i32), signal);
        }
    }

    pub(super) fn check_exit(&mut self, n: usize) {
        let gatekeeper = &mut self.gatekeepers[n];
        let Some(child) = &mut gatekeeper.child else { return };
        if let Ok(Some(status)) = child.try_wait() {
            gatekeeper.child = None;
            let why = format!("exited by itself ({status})");
            gatekeeper.trace.unexpected_exit.get_or_insert((monotonic_nanos(), why));
        }
    }

    pub(super) fn kill_process(&mut self, n: usize, disk: DiskState) {
        self.mark_disturbed(n);
        let is_disk_full = self.disk_full_marker(n).exists();
        let gatekeeper = &mut self.gatekeepers[n];
        gatekeeper.trace.was_terminated = true;
        gatekeeper.trace.usage_lost |= is_disk_full;
        if let Some(mut child) = gatekeeper.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            gatekeeper.trace.kill_times_ns.push(monotonic_nanos());
        }
        let data = self.data_dir(n);
        let lost = match disk {
            DiskState::Intact => false,
            DiskState::Emptied => fs::remove_dir_all(&data).is_ok(),
            // Only voters have `voter/ledger`.
            DiskState::Torn => {
                let voter = truncate_last_record(&data.join("voter/ledger")).is_ok();
                truncate_last_record(&data.join("ledger")).is_ok() || voter
            }
        };
        if lost {
            self.gatekeepers[n].trace.disk_lost_ns.push(monotonic_nanos());
        }
    }

    /// Stops a process by SIGTERM. A paused process is killed at once; one that does not exit before the
    /// time-out is killed and recorded as an unexpected exit.
    pub(super) fn stop_process(&mut self, n: usize) {
        self.mark_disturbed(n);
        self.gatekeepers[n].trace.was_terminated = true;
        self.gatekeepers[n].trace.usage_lost |= self.disk_full_marker(n).exists();
        self.signal(n, Signal::SIGTERM);
        let paused = self.is_paused(n);
        let gatekeeper = &mut self.gatekeepers[n];
        let Some(mut child) = gatekeeper.child.take() else { return };
        let ended = if paused { None } else { wait_for_exit(&mut child) };
        match ended {
            Some(status) if status.success() => {}
            // The signal can arrive before the process has installed its handlers.
            Some(status) if status.signal().is_some() && gatekeeper.started.elapsed() < SIGNAL_SETUP_TIME => {
            }
            Some(status) => {
                gatekeeper
                    .trace
                    .unexpected_exit
                    .get_or_insert((monotonic_nanos(), format!("exited after SIGTERM ({status})")));
            }
            None => {
                let _ = child.kill();
                let _ = child.wait();
                if !paused {
                    let why = "did not exit within 6 s after SIGTERM".to_string();
                    gatekeeper.trace.unexpected_exit.get_or_insert((monotonic_nanos(), why));
                }
            }
        }
    }

    pub(super) fn is_paused(&self, n: usize) -> bool {
        let pauses = self.active_faults.iter().map(|f| &self.faults[*f].kind);
        pauses.into_iter().any(|k| matches!(k, FaultKind::Pause { targets } if targets.contains(&n)))
    }

    pub(super) fn restart_process(&mut self, n: usize) -> Result<(), TrialError> {
        if self.gatekeepers[n].child.is_some() {
            return Ok(());
        }
        self.start_process(n)?;
        if self.is_paused(n) {
            self.signal(n, Signal::SIGSTOP);
            return Ok(());
        }
        // Allows another second for the process to start serving.
        self.end_disturbance(n);
        if let Some((_, until)) = self.gatekeepers[n].trace.disturbed_ns.last_mut() {
            *until += 1_000_000_000;
        }
        Ok(())
    }

    pub(super) fn last_log_line(&self, n: usize, why: &str) -> String {
        let log = fs::read_to_string(self.dir.join(format!("{}.log", self.name(n)))).unwrap_or_default();
        format!("{why}; {}", log.lines().last().unwrap_or("its log is empty"))
    }

    pub(super) fn is_serving(&self, n: usize) -> bool {
        let addr = self.addresses.serving_addr(n).into();
        let Ok(stream) = TcpStream::connect_timeout(&addr, Duration::from_millis(200)) else { return false };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
        exchange(&stream, "GET /up HTTP/1.1\r\n\r\n").is_some_and(|m: HttpMessage| m.status() == 200)
    }
}

pub(super) fn wait_for_exit(child: &mut Child) -> Option<std::process::ExitStatus> {
    let began = Instant::now();
    while began.elapsed() < EXIT_TIMEOUT {
        if let Ok(Some(status)) = child.try_wait() {
            return Some(status);
        }
        thread::sleep(POLL_INTERVAL);
    }
    None
}

/// Cuts the last bytes off a ledger, so that its last record is incomplete. Leaves a ledger without records
/// unchanged, because a truncated header is rejected at start-up.
pub(super) fn truncate_last_record(ledger: &Path) -> io::Result<()> {
    let bytes = fs::read(ledger)?;
    let header_len = 46 + usize::from(bytes.get(9).copied().unwrap_or_default());
    if bytes.len() <= header_len {
        return Ok(());
    }
    let file = OpenOptions::new().write(true).open(ledger)?;
    file.set_len(bytes.len().saturating_sub(5).max(header_len) as u64)
}
