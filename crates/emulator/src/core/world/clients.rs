//! Operators and workers as callers: what they send, to whom, and what they make of the answer.

use super::*;

impl World {
    pub(super) fn calls(&mut self, by: Caller, controller: usize, ask: Ask) -> u64 {
        self.last_call += 1;
        let call = self.last_call;
        let (mut store, mut zone) = (None, None);
        if let Caller::Operator(operator) = by {
            let order = &self.operators[operator];
            match (&order.wants, order.ask()) {
                (Wants::Zone { zone: which, empties }, _) => {
                    let sent =
                        ZoneCall { zone: *which, empties: *empties, sent_at: self.now, acked_at: None };
                    self.judges.zones.push(sent);
                    zone = Some(self.judges.zones.len() - 1);
                }
                (_, Some((_, Some(asked)))) => store = Some(self.judges.sends(self.now, asked)),
                _ => {}
            }
        }
        self.calls.insert(call, Calling { by, controller, store, zone });
        let way = self.way();
        if self.machines[controller].process.is_none() {
            self.plan(way, Next::Answered { call, answer: None });
        } else {
            self.plan_at(controller, self.now + way, Event::Called { call, ask });
            self.plan(CALL, Next::GivenUp { call });
        }
        call
    }

    /// A caller is told something, or nothing.
    pub(super) fn answered(&mut self, call: u64, answer: Option<Answer>) {
        let Some(calling) = self.calls.remove(&call) else { return };
        let now = self.now;
        if answer.is_none()
            && let Some(Process::Controller(controller)) = &mut self.machines[calling.controller].process
        {
            controller.hangs_up(call);
        }
        let told = match &answer {
            Some(Answer::Status(200)) => CallOutput::Taken,
            Some(Answer::Status(status)) if *status < 500 => CallOutput::Refused,
            Some(Answer::Holds(version)) => CallOutput::Holds(*version),
            _ => CallOutput::Nothing,
        };
        if let Some(store) = calling.store.filter(|_| told != CallOutput::Nothing) {
            self.judges.told(now, store, told);
        }
        if let Some(zone) = calling.zone.filter(|_| told == CallOutput::Taken) {
            self.judges.zones[zone].acked_at = Some(now);
        }
        match calling.by {
            Caller::Operator(operator) => {
                self.operator_told(operator, call, calling.controller, told, answer)
            }
            Caller::Worker(worker, instance) => self.worker_told(worker, instance, calling.controller, told),
        }
    }

    /// Another than the one that gave no answer.
    pub(super) fn any_controller(&mut self, but: Option<usize>) -> usize {
        let others: Vec<usize> = self.listed.iter().copied().filter(|h| Some(*h) != but).collect();
        others.choose(&mut self.chance).copied().or(but).expect("some controller is listed")
    }

    pub(super) fn turn(&mut self, operator: usize) {
        let now = self.now;
        if self.operators[operator].call.is_some() {
            return;
        }
        if matches!(self.operators[operator].wants, Wants::Rest) {
            if self.closing {
                return;
            }
            let wants = if operator == 0 && self.chance.random_bool(0.5) {
                let zone = self.chance.random_range(0..crate::core::ZONES.len());
                let is_empty =
                    self.judges.zones.iter().rev().find(|c| c.zone == zone).is_some_and(|c| c.empties);
                Wants::Zone { zone, empties: !is_empty }
            } else {
                Wants::Read
            };
            self.operators[operator].begins(now, wants);
        }
        let controller = self.any_controller(self.operators[operator].last);
        self.sends_order(operator, controller);
    }

    pub fn sends_order(&mut self, operator: usize, controller: usize) {
        if let Some((ask, _)) = self.operators[operator].ask() {
            let call = self.calls(Caller::Operator(operator), controller, ask);
            self.operators[operator].call = Some(call);
        }
    }

    pub(super) fn operator_told(
        &mut self,
        who: usize,
        call: u64,
        controller: usize,
        told: CallOutput,
        answer: Option<Answer>,
    ) {
        if self.operators[who].call != Some(call) {
            return;
        }
        let now = self.now;
        self.operators[who].call = None;
        let rest = ms(self.chance.random_range(20..900));
        match told {
            CallOutput::Nothing => {
                let operator = &mut self.operators[who];
                if let Some(Answer::Elsewhere(to)) = answer
                    && operator.redirects < 2
                {
                    operator.redirects += 1;
                    let to = self::machine(to);
                    return self.sends_order(who, to);
                }
                operator.redirects = 0;
                operator.last = Some(controller);
                operator.pause = operator.pause.times(1.7).max(ms(30)).min(ms(500));
                let pause = operator.pause;
                self.plan(pause, Next::Turn { operator: who });
            }
            CallOutput::Holds(version) if !self.closing && self.chance.random_bool(0.8) => {
                self.last_mark += 1;
                let wants = change(&mut self.chance, version, self.last_mark);
                self.operators[who].begins(now, wants);
                let soon = ms(self.chance.random_range(0..30));
                self.plan(soon, Next::Turn { operator: who });
            }
            CallOutput::Taken if !self.operators[who].again && self.chance.random_bool(0.3) => {
                // Its answer was lost further on: the same order is sent again.
                let wants = self.operators[who].wants.clone();
                self.operators[who].begins(now, wants);
                self.operators[who].again = true;
                let later = ms(self.chance.random_range(0..1_500));
                self.plan(later, Next::Turn { operator: who });
            }
            _ => {
                self.operators[who].rests();
                self.plan(rest, Next::Turn { operator: who });
            }
        }
    }

    pub(super) fn heartbeat(&mut self, who: usize, instance: u32) {
        if self.workers[who].instance != instance || self.workers[who].call.is_some() {
            return;
        }
        let now = self.now;
        // Lives end now and then: in order, or without a word.
        let age = now - self.workers[who].began_at;
        let worker = &mut self.workers[who];
        match worker.goes {
            Goes::Ready if age > ms(4_000) && !self.closing && self.chance.random_bool(0.06) => {
                worker.goes = if self.chance.random_bool(0.7) { Goes::Draining } else { Goes::Over };
            }
            Goes::Draining if worker.out_acked_at.is_some_and(|at| now - at > ms(2_500)) => {
                worker.goes = Goes::Ending;
            }
            _ => {}
        }
        if self.workers[who].goes == Goes::Over {
            return self.worker_over(who);
        }
        let controller = match self.workers[who].controller {
            Some(controller) => controller,
            None => self.any_controller(self.workers[who].refused_by),
        };
        if let Some(ask) = self.workers[who].ask() {
            self.workers[who].call = Some(self.calls(Caller::Worker(who, instance), controller, ask));
        }
    }

    pub(super) fn worker_over(&mut self, who: usize) {
        let now = self.now;
        let worker = &mut self.workers[who];
        worker.goes = Goes::Over;
        worker.over_at = Some(now);
        let old = worker.clone();
        self.workers.push(old);
        let instance = self.workers[who].instance + 1;
        self.workers[who] = Worker::new(now, who, instance);
        let later = ms(self.chance.random_range(500..3_000));
        self.plan(later, Next::Heartbeat { worker: who, instance });
    }

    pub(super) fn worker_told(&mut self, who: usize, instance: u32, controller: usize, told: CallOutput) {
        if self.workers[who].instance != instance {
            return;
        }
        let now = self.now;
        let worker = &mut self.workers[who];
        worker.call = None;
        let next = if told == CallOutput::Taken {
            worker.controller = Some(controller);
            worker.acked(now);
            if worker.goes == Goes::Ending {
                return self.worker_over(who);
            }
            BEAT.times(0.95 + 0.1 * self.chance.random::<f64>())
        } else {
            (worker.controller, worker.refused_by) = (None, Some(controller));
            ms(20)
        };
        self.plan(next, Next::Heartbeat { worker: who, instance });
    }
}
