//! Periodic observations for the checker: effects visible through the proxies and the waiting time of
//! operators. Also the calls of the final phase.

use super::*;

impl World {
    pub fn start_final_read(&mut self, operator: usize) {
        let now = self.now;
        self.operators[operator].begin(now, OperatorTask::Read);
        self.operator_turn(operator);
    }

    /// Starts a change that is based on the last version read.
    pub fn start_final_change(&mut self, operator: usize) {
        let now = self.now;
        let last = self.checker.calls.iter().rev().find_map(|c| match c.output {
            CallOutput::Holds(version) => Some(version),
            _ => None,
        });
        self.last_mark += 1;
        let task = draw_change(&mut self.rng, last.flatten(), self.last_mark);
        self.operators[operator].begin(now, task);
        self.operator_turn(operator);
    }

    pub fn has_answered_read_since(&self, since: Time) -> bool {
        self.checker.calls.iter().any(|c| matches!(c.output, CallOutput::Holds(_)) && c.sent_at >= since)
    }

    /// Returns `true` if the configuration of a proxy is freshly confirmed, and the version of the
    /// configuration.
    pub fn proxy_status(&self, proxy: usize) -> (bool, Option<crate::core::linearizability::Version>) {
        let clock = self.clock(proxy);
        self.proxy(proxy).map_or((false, None), |p| (p.is_fresh(clock), p.active_config().map(|(v, _)| v)))
    }

    /// Number of ready workers that have run for five seconds and lack a recent acknowledgement of a
    /// heartbeat.
    pub fn unacknowledged_workers(&self) -> usize {
        let is_acked =
            |w: &Worker| w.acked_at.last().is_some_and(|at| self.now - *at < HEARTBEAT_PERIOD.times(1.7));
        let is_established = |w: &Worker| self.now - w.started_at > ms(5_000);
        self.workers
            .iter()
            .filter(|w| w.phase == WorkerPhase::Ready && is_established(w) && !is_acked(w))
            .count()
    }

    /// Returns the largest group of running controllers that are connected to one of them. `None` if it
    /// is not a majority, if the core was disturbed within the contact time, or if a disk is slow.
    pub fn settled_majority(&self) -> Option<Vec<usize>> {
        if self.now - self.last_disturbed_at < CONTACT_TIME || self.slow_disk_until > self.now {
            return None;
        }
        let runs = |m: &usize| self.machines[*m].process.is_some() && !self.machines[*m].is_paused;
        let all: Vec<usize> = self.controllers().collect();
        let groups = all.iter().copied().filter(runs).map(|a| {
            let group =
                all.iter().copied().filter(runs).filter(|b| a == *b || self.links.is_connected(a, *b));
            group.collect::<Vec<usize>>()
        });
        groups.max_by_key(Vec::len).filter(|c| c.len() * 2 > all.len())
    }

    /// Checks what clients of each proxy observe, and how long operators have been waiting.
    pub(super) fn probe(&mut self) {
        let now = self.now;
        let settled = self.settled_majority();
        for proxy in 0..PROXY_COUNT {
            if self.machines[proxy].is_paused {
                continue;
            }
            let clock = self.clock(proxy);
            let is_in_contact = settled.as_ref().is_some_and(|controllers| {
                let m = &self.machines[proxy];
                m.lost_until <= now
                    && now - m.started_at > CONTACT_TIME
                    && controllers.iter().all(|c| self.links.is_connected(proxy, *c))
            });
            let instance = self.machines[proxy].instance;
            let Some(state) = self.proxy(proxy) else { continue };
            let (active, serves) =
                (state.active_config(), state.serves_tenants(clock, crate::core::checker::REVOCATION_TIME));
            let mut violations = Vec::new();
            if is_in_contact {
                for worker in &self.workers {
                    let is_routed_to = state.routes_to(&worker.id());
                    let describe = |problem: &str| format!("proxy {proxy}: {} {problem}", worker.id());
                    if !is_routed_to && worker.has_steady_acks(now, crate::core::checker::CONVERGENCE_TIME) {
                        violations.push((
                            Check::Promised,
                            describe("receives no requests, though its heartbeats are acknowledged"),
                        ));
                    }
                    let is_leaving = worker.leave_acked_at.is_some_and(|at| {
                        now - at > crate::core::checker::DRAIN_TIME
                            && self.last_disturbed_at + CONTACT_TIME < at
                    });
                    let has_ended = worker
                        .ended_at
                        .is_some_and(|at| now - at > ms(16_000) && now - self.last_disturbed_at > ms(16_000));
                    if is_routed_to && is_leaving {
                        violations.push((
                            Check::Drained,
                            describe("receives requests after its drain or deregistration was acknowledged"),
                        ));
                    }
                    if is_routed_to && has_ended {
                        let state_at_leader = self.leader().and_then(|l| self.controller(l)).map(|c| {
                            c.detector.registry().instances().get(&worker.id()).map(|instance| instance.state)
                        });
                        let problem = format!(
                            "receives requests long after it ended; state at the leader: {state_at_leader:?}"
                        );
                        violations.push((Check::Drained, describe(&problem)));
                    }
                }
            }
            for (zone, name) in crate::core::ZONES.iter().enumerate() {
                let is_evacuated = active.as_ref().is_some_and(|(_, zones)| zones.contains(*name));
                let expected = self
                    .checker
                    .expected_evacuation(zone, now.saturating_sub(crate::core::checker::EVACUATION_TIME));
                let newest = self.checker.zone_calls.iter().rev().find(|c| c.zone == zone).map(|c| c.empties);
                if is_in_contact
                    && active.is_some()
                    && expected.is_some_and(|expected| expected != is_evacuated && newest == Some(expected))
                {
                    violations.push((
                        Check::Evacuated,
                        format!("proxy {proxy}: zone {name} is evacuated: {is_evacuated}"),
                    ));
                }
            }
            self.checker.observe_proxy(now, (proxy, instance), active.map(|(v, _)| v), serves, is_in_contact);
            for (check, what) in violations {
                self.checker.report(now, check, || what);
            }
        }
        // Waiting time before the core was settled does not count: the call may have to be retried.
        let since = self.last_disturbed_at + CONTACT_TIME;
        if settled.is_some() {
            for n in 0..self.operators.len() {
                let operator = &self.operators[n];
                let is_waiting = !matches!(operator.task, OperatorTask::Idle);
                if is_waiting && now - operator.began_at.max(since) > crate::core::checker::ACK_TIMEOUT {
                    let what = format!(
                        "operator {n}: {:?} has been waiting since {:.3} s",
                        operator.task,
                        (operator.began_at - self.began_at).secs()
                    );
                    self.checker.report(now, Check::Acknowledged, || what);
                }
            }
        }
    }
}
