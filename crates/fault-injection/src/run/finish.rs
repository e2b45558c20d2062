//! The end of a trial: processes are told to end, and what they left behind is gathered.

use super::*;

impl Run<'_> {
    /// Until the sink has what clients were told, for a time; whether it does is the judge's.
    pub(super) fn wait_for_export(&mut self) -> Result<(), TrialError> {
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

    /// CPU a second of those that ran through, as a part of a core.
    pub(super) fn cpu(&self) -> Option<f64> {
        let seconds = self.began.elapsed().as_secs_f64();
        let through = self.gatekeepers.iter().filter(|g| !g.process.was_ended);
        let used: Vec<f64> = through.filter_map(|g| Some(cpu(g.child.as_ref()?.id())? - g.cpu)).collect();
        (!used.is_empty()).then(|| used.iter().sum::<f64>() / used.len() as f64 / seconds)
    }

    /// Asks all, has all end, and reads what they wrote.
    pub(super) fn end(&mut self, observed: &mut Observations) -> Result<(), TrialError> {
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
            observed.drained = traffic.drained_worker.lock().ok().and_then(|d| *d);
        }
        if self.options.keep_dir.is_some() {
            self.leave_behind(observed).map_err(io_error("what is kept"))?;
        }
        Ok(())
    }

    /// The trace of the load, beside the histories.
    pub(super) fn leave_behind(&self, observed: &Observations) -> io::Result<()> {
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
