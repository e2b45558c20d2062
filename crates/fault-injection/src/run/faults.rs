//! Injects the faults of a trial into processes and links, on the schedule of the trial.

use super::*;

impl TrialRun<'_> {
    pub(super) fn schedule(&self) -> Vec<(f64, ScheduledStep)> {
        let trial_duration_s = self.trial.duration_s;
        let mut schedule = Vec::new();
        for (n, fault) in self.trial.faults.iter().enumerate() {
            schedule.push((fault.start_s, ScheduledStep::BeginFault(n)));
            match &fault.kind {
                FaultKind::Kill { restart_after_s, .. } | FaultKind::Stop { restart_after_s, .. } => {
                    let at = restart_after_s.map(|r| fault.start_s + r).filter(|at| *at < trial_duration_s);
                    schedule.extend(at.map(|at| (at, ScheduledStep::RestartProcesses(n))));
                }
                _ => schedule.push((fault.end_s(trial_duration_s), ScheduledStep::EndFault(n))),
            }
        }
        if self.load.is_some() {
            schedule.push((trial_duration_s / 2.0, ScheduledStep::DrainWorker));
        }
        // At equal times, faults end before others begin.
        schedule.sort_by(|a, b| {
            a.0.total_cmp(&b.0).then_with(|| {
                matches!(a.1, ScheduledStep::BeginFault(_)).cmp(&matches!(b.1, ScheduledStep::BeginFault(_)))
            })
        });
        schedule
    }

    pub(super) fn run_faults(&mut self, trace: &mut TrialTrace) -> Result<(), TrialError> {
        let serving: Vec<_> = (0..self.trial.gatekeepers)
            .map(|n| (self.name(n).to_string(), self.addresses.serving_addr(n).into()))
            .collect();
        if let Some(load) = &mut self.load {
            load.start_clients(&serving);
        }
        for gatekeeper in &mut self.gatekeepers {
            gatekeeper.cpu_at_start_s =
                gatekeeper.child.as_ref().and_then(|c| cpu_seconds(c.id())).unwrap_or_default();
        }
        let mut faults_end_ns = monotonic_nanos();
        for (at, step) in self.schedule() {
            self.wait_until_offset(at)?;
            if step != ScheduledStep::DrainWorker {
                trace.cut_only_ns.extend(self.cut_only_interval(faults_end_ns));
            }
            self.perform(step)?;
            if step != ScheduledStep::DrainWorker {
                faults_end_ns = monotonic_nanos();
            }
        }
        self.wait_until_offset(self.trial.duration_s)?;
        trace.faults_end_ns = faults_end_ns;
        trace.cpu_cores = self.mean_cpu_cores();
        // Waits until the agreement has held after its deadline. No flap is active, so links need no updates.
        let agree = Duration::from_secs_f64(self.trial.expectations.agree_within_s);
        let since = Duration::from_nanos(monotonic_nanos() - faults_end_ns);
        let left = (agree + AGREEMENT_HOLD_TIME).saturating_sub(since);
        self.wait_until(Instant::now() + left.max(AGREEMENT_HOLD_TIME))?;
        if let Some(load) = &mut self.load {
            load.stop_clients();
        }
        self.wait_for_export()
    }

    /// Waits until this many seconds after the start of the trial, updating flapping links meanwhile.
    pub(super) fn wait_until_offset(&mut self, at: f64) -> Result<(), TrialError> {
        let until = self.began + Duration::from_secs_f64(at);
        loop {
            let flapping =
                self.active_faults.iter().any(|f| matches!(self.faults[*f].kind, FaultKind::Flap { .. }));
            if !flapping {
                return self.wait_until(until);
            }
            self.update_links();
            let now = Instant::now();
            if now >= until {
                return Ok(());
            }
            self.wait_until((now + POLL_INTERVAL).min(until))?;
        }
    }

    pub(super) fn perform(&mut self, step: ScheduledStep) -> Result<(), TrialError> {
        match step {
            ScheduledStep::BeginFault(fault) => self.begin_fault(fault),
            ScheduledStep::EndFault(fault) => self.end_fault(fault),
            ScheduledStep::RestartProcesses(fault) => {
                for target in self.faults[fault].kind.targets().to_vec() {
                    self.restart_process(target)?;
                }
            }
            ScheduledStep::DrainWorker => {
                if let Some(load) = &self.load {
                    load.drain_first_worker();
                }
            }
        }
        Ok(())
    }

    /// Returns the interval since the last step, without the time to detect cuts, if link cuts were the only
    /// active faults in it and no process was disturbed.
    pub(super) fn cut_only_interval(&self, since: u64) -> Option<(u64, u64)> {
        let (from, to) = (since + CUT_DETECTION_NS, monotonic_nanos());
        let faults = || self.active_faults.iter().map(|f| &self.faults[*f].kind);
        let cuts = faults().next().is_some() && faults().all(|k| matches!(k, FaultKind::Cut { .. }));
        (cuts && self.gatekeepers.iter().all(|g| g.disturbed_since_ns.is_none()) && from < to)
            .then_some((from, to))
    }

    pub(super) fn mark_disturbed(&mut self, n: usize) {
        self.gatekeepers[n].disturbed_since_ns.get_or_insert(monotonic_nanos());
    }

    /// Closes the disturbed interval of a process, with one second to catch up.
    pub(super) fn end_disturbance(&mut self, n: usize) {
        if let Some(since) = self.gatekeepers[n].disturbed_since_ns.take() {
            self.gatekeepers[n].trace.disturbed_ns.push((since, monotonic_nanos() + 1_000_000_000));
        }
    }

    /// Returns the gatekeeper that reports to own the duty. Waits briefly, as the duty may be changing hands.
    pub(super) fn find_owner(&self, duty: usize) -> Option<usize> {
        let began = Instant::now();
        while began.elapsed() < OWNER_TIMEOUT {
            for n in (0..self.gatekeepers.len()).filter(|n| !self.is_paused(*n)) {
                let is_running = self.gatekeepers[n].child.is_some();
                if is_running
                    && owned_duties(self.addresses.control_addr(n))
                        .is_some_and(|all| all.contains_key(DUTIES[duty]))
                {
                    return Some(n);
                }
            }
            thread::sleep(POLL_INTERVAL);
        }
        None
    }

    /// Waits until the owner has begun a batch and not yet written it, so that a pause falls between the
    /// ownership check and the write. Gives up after a time-out.
    pub(super) fn wait_for_batch_start(&self, targets: &[usize]) {
        let Some(n) = targets.first().filter(|_| self.sink.is_some()) else { return };
        let path = self.dir.join(format!("{}.jsonl", self.name(*n)));
        let len = || fs::metadata(&path).map_or(0, |m| m.len());
        let (began, from) = (Instant::now(), len());
        while began.elapsed() < BATCH_START_TIMEOUT {
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

    pub(super) fn begin_fault(&mut self, fault: usize) {
        if self.trial.faults[fault].kind.targets_owner() {
            let kind = self.trial.faults[fault].kind.with_resolved_owners(&|duty| self.find_owner(duty));
            if let FaultKind::Pause { targets } = &kind {
                self.wait_for_batch_start(targets);
            }
            self.faults[fault].kind = kind;
        }
        self.active_faults.insert(fault);
        let kind = self.faults[fault].kind.clone();
        match &kind {
            FaultKind::Pause { targets } => {
                for &n in targets {
                    self.mark_disturbed(n);
                    self.signal(n, Signal::SIGSTOP);
                }
            }
            FaultKind::Kill { targets, disk, .. } => {
                for &n in targets {
                    self.kill_process(n, *disk);
                }
                self.active_faults.remove(&fault);
            }
            FaultKind::Stop { targets, .. } => {
                for &n in targets {
                    self.stop_process(n);
                }
                self.active_faults.remove(&fault);
            }
            FaultKind::DiskFull { targets } => {
                for &n in targets {
                    let _ = fs::write(self.disk_full_marker(n), "");
                }
            }
            _ => self.update_links(),
        }
    }

    pub(super) fn end_fault(&mut self, fault: usize) {
        self.active_faults.remove(&fault);
        let kind = self.faults[fault].kind.clone();
        // Another fault of the same kind may still apply to some of the processes.
        let holds = |k: &FaultKind, n: usize| k.name() == kind.name() && k.targets().contains(&n);
        let is_still_active = |n: usize| self.active_faults.iter().any(|f| holds(&self.faults[*f].kind, n));
        let released: Vec<usize> = kind.targets().iter().copied().filter(|n| !is_still_active(*n)).collect();
        match &kind {
            FaultKind::Pause { .. } => {
                for n in released {
                    self.signal(n, Signal::SIGCONT);
                    self.end_disturbance(n);
                }
            }
            FaultKind::DiskFull { .. } => {
                for n in released {
                    let _ = fs::remove_file(self.disk_full_marker(n));
                }
            }
            _ => self.update_links(),
        }
    }

    /// Sets the state of all links from the active faults.
    pub(super) fn update_links(&self) {
        let count = self.trial.gatekeepers;
        let mut links = vec![vec![Link::default(); count]; count];
        let since = self.began.elapsed().as_secs_f64();
        for fault in self.active_faults.iter().map(|f| &self.faults[*f]) {
            let mut each = |of: &crate::file::Links, change: &dyn Fn(&mut Link)| {
                of.0.iter().for_each(|(a, b)| change(&mut links[*a][*b]));
            };
            // Faults on the same link are independent events.
            let combined_probability = |a: f64, b: f64| a + b - a * b;
            match &fault.kind {
                FaultKind::Cut { links } => each(links, &|l| l.is_cut = true),
                FaultKind::Flap { links, period_s } => {
                    let cut = (since - fault.start_s).max(0.0) % period_s < period_s / 2.0;
                    each(links, &|l| l.is_cut |= cut);
                }
                FaultKind::Lose { links, probability } => each(links, &|l| {
                    l.loss_probability = combined_probability(l.loss_probability, *probability)
                }),
                FaultKind::Duplicate { links, probability } => each(links, &|l| {
                    l.duplicate_probability = combined_probability(l.duplicate_probability, *probability)
                }),
                FaultKind::Reorder { links, probability } => each(links, &|l| {
                    l.reorder_probability = combined_probability(l.reorder_probability, *probability)
                }),
                FaultKind::Delay { links, delay_ms, jitter_ms } => each(links, &|l| {
                    l.delay += Duration::from_secs_f64(delay_ms / 1e3);
                    l.jitter += Duration::from_secs_f64(jitter_ms / 1e3);
                }),
                _ => {}
            }
        }
        self.relay.set_links(links);
    }
}
