//! Ends a trial: stops the processes and collects the trace.

use super::*;

impl TrialRun<'_> {
    /// Waits until the usage of all answered requests is at the sink, or a time-out expires. The checker
    /// decides whether the usage is complete.
    pub(super) fn wait_for_export(&mut self) -> Result<(), TrialError> {
        let (Some(load), Some(sink)) = (&self.load, &self.sink) else { return Ok(()) };
        let answered = load.traffic.outcomes.lock().map(|a| a.clone()).unwrap_or_default();
        let retains_usage = |g: &GatekeeperProcess| {
            g.child.is_some() && g.trace.disk_lost_ns.is_empty() && !g.trace.usage_lost
        };
        let is_checked =
            |name: &str| self.gatekeepers.iter().any(|g| g.trace.name == name && retains_usage(g));
        let answered_count =
            answered.iter().filter(|a| a.status == Some(200) && is_checked(&a.gatekeeper)).count() as u64;
        let began = Instant::now();
        loop {
            let accepted = sink
                .received()
                .into_iter()
                .filter(|l| l.reply == BatchReply::Accepted { already_stored: false });
            let accepted: u64 = accepted
                .filter(|l| is_checked(&l.batch.stream.gatekeeper))
                .map(|l| l.batch.milli_units())
                .sum();
            if accepted >= answered_count * 1_000 || began.elapsed() > EXPORT_TIMEOUT {
                break;
            }
            thread::sleep(10 * POLL_INTERVAL);
        }
        self.wait_until(Instant::now() + AGREEMENT_HOLD_TIME)
    }

    /// Returns the mean CPU use of the gatekeepers that ran without interruption, in cores.
    pub(super) fn mean_cpu_cores(&self) -> Option<f64> {
        let seconds = self.began.elapsed().as_secs_f64();
        let uninterrupted = self.gatekeepers.iter().filter(|g| !g.trace.was_terminated);
        let used: Vec<f64> = uninterrupted
            .filter_map(|g| Some(cpu_seconds(g.child.as_ref()?.id())? - g.cpu_at_start_s))
            .collect();
        (!used.is_empty()).then(|| used.iter().sum::<f64>() / used.len() as f64 / seconds)
    }

    /// Queries the final status of all gatekeepers, stops them, and reads their histories.
    pub(super) fn finish(&mut self, trace: &mut TrialTrace) -> Result<(), TrialError> {
        for n in 0..self.gatekeepers.len() {
            self.check_exit(n);
            self.gatekeepers[n].trace.running = self.gatekeepers[n].child.is_some();
        }
        let end_ns = monotonic_nanos();
        trace.end_ns = end_ns;
        for n in 0..self.gatekeepers.len() {
            self.end_disturbance(n);
            if self.gatekeepers[n].trace.running {
                let present = member_status(self.addresses.control_addr(n)).map(|(_, present)| present);
                self.gatekeepers[n].trace.visible_members = present;
                if self.trial.voters.is_some() {
                    self.gatekeepers[n].trace.owned_duties = owned_duties(self.addresses.control_addr(n));
                }
            }
        }
        // History lines written before the status queries reach the files.
        thread::sleep(Duration::from_millis(150));
        for n in 0..self.gatekeepers.len() {
            self.signal(n, Signal::SIGTERM);
        }
        for gatekeeper in &mut self.gatekeepers {
            let Some(mut child) = gatekeeper.child.take() else { continue };
            let why = match self::wait_for_exit(&mut child) {
                Some(status) if status.success() => continue,
                Some(status) => format!("exited after SIGTERM ({status})"),
                None => {
                    let _ = child.kill();
                    let _ = child.wait();
                    "did not exit within 6 s after SIGTERM".to_string()
                }
            };
            gatekeeper.trace.unexpected_exit.get_or_insert((monotonic_nanos(), why));
        }
        for gatekeeper in &mut self.gatekeepers {
            let path = self.dir.join(format!("{}.jsonl", gatekeeper.trace.name));
            let bytes = fs::read(&path).unwrap_or_default();
            let text = String::from_utf8_lossy(&bytes);
            gatekeeper.trace.history = text.lines().map(str::to_string).collect();
            trace.processes.push(gatekeeper.trace.clone());
        }
        if let Some(load) = &self.load {
            let traffic = &load.traffic;
            trace.outcomes = traffic.outcomes.lock().map(|a| a.clone()).unwrap_or_default();
            trace.attempts = traffic.attempts.lock().map(|d| d.clone()).unwrap_or_default();
            trace.sink_batches = self.sink.as_ref().map(Sink::received);
            trace.drained_worker = traffic.drained_worker.lock().ok().and_then(|d| *d);
        }
        if self.options.keep_dir.is_some() {
            self.write_traces(trace).map_err(io_error("writing the kept traces"))?;
        }
        Ok(())
    }

    /// Writes the request outcomes and the times of the trial beside the histories.
    pub(super) fn write_traces(&self, trace: &TrialTrace) -> io::Result<()> {
        let mut out = Vec::new();
        for outcome in &trace.outcomes {
            serde_json::to_writer(&mut out, outcome)?;
            out.push(b'\n');
        }
        fs::write(self.dir.join("answered.jsonl"), out)?;
        let times: BTreeMap<_, _> =
            [("began", trace.start_ns), ("faults_over", trace.faults_end_ns), ("ended", trace.end_ns)].into();
        fs::write(self.dir.join("times.json"), serde_json::to_vec(&times)?)
    }
}
