//! Calls of operators and workers to controllers, and how they react to the answers.

use super::*;

impl World {
    /// Sends a call, records it for the checker and returns its id.
    pub(super) fn send_call(&mut self, caller: Caller, controller: usize, request: ClientCall) -> u64 {
        self.last_call_id += 1;
        let call = self.last_call_id;
        let (mut call_index, mut zone_index) = (None, None);
        if let Caller::Operator(operator) = caller {
            let operator = &self.operators[operator];
            match (&operator.task, operator.next_call()) {
                (OperatorTask::Zone { zone, empties }, _) => {
                    let zone_call =
                        ZoneCall { zone: *zone, empties: *empties, sent_at: self.now, acked_at: None };
                    self.checker.zone_calls.push(zone_call);
                    zone_index = Some(self.checker.zone_calls.len() - 1);
                }
                (_, Some((_, Some(input)))) => call_index = Some(self.checker.record_call(self.now, input)),
                _ => {}
            }
        }
        self.open_calls.insert(call, OpenCall { caller, controller, call_index, zone_index });
        let delay = self.draw_network_delay();
        if self.machines[controller].process.is_none() {
            self.schedule(delay, WorldEvent::Answered { call, answer: None });
        } else {
            self.schedule_process_event(controller, self.now + delay, ProcessEvent::Call { call, request });
            self.schedule(CALL_TIMEOUT, WorldEvent::CallTimeout { call });
        }
        call
    }

    /// Handles the answer to a call, or its loss or time-out if it is `None`.
    pub(super) fn on_answer(&mut self, call: u64, answer: Option<Answer>) {
        let Some(open_call) = self.open_calls.remove(&call) else { return };
        let now = self.now;
        if answer.is_none()
            && let Some(Process::Controller(controller)) = &mut self.machines[open_call.controller].process
        {
            controller.cancel_call(call);
        }
        let output = match &answer {
            Some(Answer::Status(200)) => CallOutput::Taken,
            Some(Answer::Status(status)) if *status < 500 => CallOutput::Refused,
            Some(Answer::Configuration(version)) => CallOutput::Holds(*version),
            _ => CallOutput::Nothing,
        };
        if let Some(index) = open_call.call_index.filter(|_| output != CallOutput::Nothing) {
            self.checker.record_output(now, index, output);
        }
        if let Some(index) = open_call.zone_index.filter(|_| output == CallOutput::Taken) {
            self.checker.zone_calls[index].acked_at = Some(now);
        }
        match open_call.caller {
            Caller::Operator(operator) => {
                self.on_operator_answer(operator, call, open_call.controller, output, answer)
            }
            Caller::Worker(worker, instance) => {
                self.on_worker_answer(worker, instance, open_call.controller, output)
            }
        }
    }

    /// Draws a listed controller other than `excluded`, or returns `excluded` if there is no other.
    pub(super) fn any_controller(&mut self, excluded: Option<usize>) -> usize {
        let others: Vec<usize> =
            self.listed_controllers.iter().copied().filter(|c| Some(*c) != excluded).collect();
        others.choose(&mut self.rng).copied().or(excluded).expect("some controller is listed")
    }

    /// Sends the next call of an operator that has none in flight; an idle operator starts a task first.
    pub(super) fn operator_turn(&mut self, operator: usize) {
        let now = self.now;
        if self.operators[operator].call.is_some() {
            return;
        }
        if matches!(self.operators[operator].task, OperatorTask::Idle) {
            if self.is_final_phase {
                return;
            }
            let task = if operator == 0 && self.rng.random_bool(0.5) {
                let zone = self.rng.random_range(0..crate::core::ZONES.len());
                let is_evacuated =
                    self.checker.zone_calls.iter().rev().find(|c| c.zone == zone).is_some_and(|c| c.empties);
                OperatorTask::Zone { zone, empties: !is_evacuated }
            } else {
                OperatorTask::Read
            };
            self.operators[operator].begin(now, task);
        }
        let controller = self.any_controller(self.operators[operator].last_failed_controller);
        self.send_operator_call(operator, controller);
    }

    pub fn send_operator_call(&mut self, operator: usize, controller: usize) {
        if let Some((request, _)) = self.operators[operator].next_call() {
            let call = self.send_call(Caller::Operator(operator), controller, request);
            self.operators[operator].call = Some(call);
        }
    }

    pub(super) fn on_operator_answer(
        &mut self,
        operator: usize,
        call: u64,
        controller: usize,
        output: CallOutput,
        answer: Option<Answer>,
    ) {
        if self.operators[operator].call != Some(call) {
            return;
        }
        let now = self.now;
        self.operators[operator].call = None;
        let idle_time = ms(self.rng.random_range(20..900));
        match output {
            CallOutput::Nothing => {
                let state = &mut self.operators[operator];
                if let Some(Answer::Redirect(to)) = answer
                    && state.redirect_count < 2
                {
                    state.redirect_count += 1;
                    let to = self::machine(to);
                    return self.send_operator_call(operator, to);
                }
                state.redirect_count = 0;
                state.last_failed_controller = Some(controller);
                state.retry_delay = state.retry_delay.times(1.7).max(ms(30)).min(ms(500));
                let delay = state.retry_delay;
                self.schedule(delay, WorldEvent::OperatorTurn { operator });
            }
            CallOutput::Holds(version) if !self.is_final_phase && self.rng.random_bool(0.8) => {
                self.last_mark += 1;
                let task = draw_change(&mut self.rng, version, self.last_mark);
                self.operators[operator].begin(now, task);
                let delay = ms(self.rng.random_range(0..30));
                self.schedule(delay, WorldEvent::OperatorTurn { operator });
            }
            CallOutput::Taken if !self.operators[operator].is_repeat && self.rng.random_bool(0.3) => {
                // The operator sends the acknowledged command once more, as after a lost answer.
                let task = self.operators[operator].task.clone();
                self.operators[operator].begin(now, task);
                self.operators[operator].is_repeat = true;
                let delay = ms(self.rng.random_range(0..1_500));
                self.schedule(delay, WorldEvent::OperatorTurn { operator });
            }
            _ => {
                self.operators[operator].finish();
                self.schedule(idle_time, WorldEvent::OperatorTurn { operator });
            }
        }
    }

    /// Sends the next heartbeat or deregistration of a worker instance. Some instances start to drain at this
    /// point, others end without deregistration.
    pub(super) fn worker_heartbeat(&mut self, index: usize, instance: u32) {
        if self.workers[index].instance != instance || self.workers[index].call.is_some() {
            return;
        }
        let now = self.now;
        let age = now - self.workers[index].started_at;
        let worker = &mut self.workers[index];
        match worker.phase {
            WorkerPhase::Ready if age > ms(4_000) && !self.is_final_phase && self.rng.random_bool(0.06) => {
                worker.phase =
                    if self.rng.random_bool(0.7) { WorkerPhase::Draining } else { WorkerPhase::Ended };
            }
            WorkerPhase::Draining if worker.leave_acked_at.is_some_and(|at| now - at > ms(2_500)) => {
                worker.phase = WorkerPhase::Deregistering;
            }
            _ => {}
        }
        if self.workers[index].phase == WorkerPhase::Ended {
            return self.replace_worker(index);
        }
        let controller = match self.workers[index].controller {
            Some(controller) => controller,
            None => self.any_controller(self.workers[index].rejected_by),
        };
        if let Some(request) = self.workers[index].next_call() {
            self.workers[index].call =
                Some(self.send_call(Caller::Worker(index, instance), controller, request));
        }
    }

    /// Ends a worker instance and schedules the start of its successor.
    pub(super) fn replace_worker(&mut self, index: usize) {
        let now = self.now;
        let worker = &mut self.workers[index];
        worker.phase = WorkerPhase::Ended;
        worker.ended_at = Some(now);
        let ended = worker.clone();
        self.workers.push(ended);
        let instance = self.workers[index].instance + 1;
        self.workers[index] = Worker::new(now, index, instance);
        let delay = ms(self.rng.random_range(500..3_000));
        self.schedule(delay, WorldEvent::WorkerHeartbeat { worker: index, instance });
    }

    pub(super) fn on_worker_answer(
        &mut self,
        index: usize,
        instance: u32,
        controller: usize,
        output: CallOutput,
    ) {
        if self.workers[index].instance != instance {
            return;
        }
        let now = self.now;
        let worker = &mut self.workers[index];
        worker.call = None;
        let delay = if output == CallOutput::Taken {
            worker.controller = Some(controller);
            worker.on_acknowledged(now);
            if worker.phase == WorkerPhase::Deregistering {
                return self.replace_worker(index);
            }
            HEARTBEAT_PERIOD.times(0.95 + 0.1 * self.rng.random::<f64>())
        } else {
            (worker.controller, worker.rejected_by) = (None, Some(controller));
            ms(20)
        };
        self.schedule(delay, WorldEvent::WorkerHeartbeat { worker: index, instance });
    }
}
