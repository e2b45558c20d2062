//! Plays the faults of a trial: when each begins and ends, and what it does to links and processes.

use super::*;

impl Run<'_> {
    pub(super) fn steps(&self) -> Vec<(f64, Step)> {
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

    pub(super) fn play_faults(&mut self, observed: &mut Observations) -> Result<(), TrialError> {
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

    /// To so many seconds after all served; flaps go on meanwhile.
    pub(super) fn wait_to(&mut self, at: f64) -> Result<(), TrialError> {
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

    pub(super) fn take(&mut self, step: Step) -> Result<(), TrialError> {
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
    pub(super) fn only_cuts(&self, since: u64) -> Option<(u64, u64)> {
        let (from, to) = (since + FOUND_OUT, monotonic_nanos());
        let faults = || self.active.iter().map(|f| &self.faults[*f].kind);
        let cuts = faults().next().is_some() && faults().all(|k| matches!(k, Kind::Cut { .. }));
        (cuts && self.gatekeepers.iter().all(|g| g.disturbed_since.is_none()) && from < to)
            .then_some((from, to))
    }

    pub(super) fn disturb(&mut self, n: usize) {
        self.gatekeepers[n].disturbed_since.get_or_insert(monotonic_nanos());
    }

    /// Nothing is done to it any more; what it missed it has a second for.
    pub(super) fn calm(&mut self, n: usize) {
        if let Some(since) = self.gatekeepers[n].disturbed_since.take() {
            self.gatekeepers[n].process.disturbed.push((since, monotonic_nanos() + 1_000_000_000));
        }
    }

    /// Whoever says that it owns the duty; waited for a little, as it may be on its way from one to another.
    pub(super) fn owner_of(&self, duty: usize) -> Option<usize> {
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
    pub(super) fn wait_for_effect(&self, who: &[usize]) {
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

    pub(super) fn begins(&mut self, fault: usize) {
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

    pub(super) fn ends(&mut self, fault: usize) {
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

    /// All links as the faults that are on have them.
    pub(super) fn set_links(&self) {
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
}
