//! What the local health changes: while this member doubts itself, it probes others and declares nobody failed.

use foca::Timer;
use lynxstair::types::{Span, Time};

use super::suspicion::MAX_SUSPECTED_ROUNDS;
use super::{Membership, Timeout};
use crate::event::{Event, Phase};
use crate::local_health::{DegradedReason, DoubtChange};
use crate::status::State;

/// In parts of the isolation threshold: when a life begins, and after that.
const FIRST_HEALTH_CHECK: f64 = 0.5;
const HEALTH_CHECK: f64 = 0.25;

impl Membership {
    /// Every entry point begins here: notices whether the process was paused since it last ran.
    pub(super) fn observe(&mut self, now: Time) {
        let Some(pause) = self.health.observe(now, self.next_deadline(), &self.times) else { return };
        self.emit(Event::Paused { ms: pause.nanos() / 1_000_000 });
        // A short pause costs nobody more than the time that awake time leaves out.
        if pause > self.times.probe_interval && self.takes_part() {
            self.doubt(now, DegradedReason::Paused);
        }
    }

    pub(super) fn doubt(&mut self, now: Time, reason: DegradedReason) {
        let change = self.health.doubt(now, reason, self.last_number + 1);
        if let Some(DoubtChange::Began(reason)) = change {
            self.emit(Event::HealthDegraded { reason });
            self.restart_timer(now, Timeout::ProbeOthers, Span::ZERO);
        }
    }

    /// Handles the end of a doubt. Suspected members have all their time to refute it once more, and what was
    /// probed before has time to be answered.
    pub(super) fn on_doubt_change(&mut self, now: Time, change: Option<DoubtChange>) {
        let Some(DoubtChange::Ended { since }) = change else { return };
        self.emit(Event::HealthRecovered { ms: (now - since).nanos() / 1_000_000 });
        let soon = self.health.awake_time(now) + self.times.suspicion_timeout;
        let is_affected =
            |(at, timeout): &(&(Time, u64), &Timeout)| timeout.may_declare_failed() && at.0 <= soon;
        let affected: Vec<_> = self.timers.iter().filter(is_affected).map(|(at, _)| *at).collect();
        for at in affected {
            let Some(timeout) = self.timers.remove(&at) else { continue };
            let after = match timeout {
                Timeout::Swim(Timer::ChangeSuspectToDown { .. }) | Timeout::Overdue(..) => {
                    self.times.suspicion_timeout.times(2.0)
                }
                _ => self.times.probe_timeout,
            };
            self.set_timer(now, timeout, after);
        }
        self.tell_all_suspects(now);
    }

    /// Suspects were hardly told while nobody could be heard. Told now, they may refute it.
    pub(super) fn tell_all_suspects(&mut self, now: Time) {
        let suspects = self.members.values().filter(|member| member.state() == State::Suspected);
        let names: Vec<_> = suspects.map(|member| member.identity.name.clone()).collect();
        for name in names {
            self.set_timer(now, Timeout::TellSuspect(name, MAX_SUSPECTED_ROUNDS), Span::ZERO);
        }
    }

    /// Begins to look after the local health, once a life begins.
    pub(super) fn start_health_checks(&mut self, now: Time) {
        let first_check = self.times.isolation_threshold.times(FIRST_HEALTH_CHECK);
        self.restart_timer(now, Timeout::CheckHealth, first_check);
    }

    /// Looks whether anybody was heard lately, and repeats durable notices where a member came back.
    pub(super) fn check_health(&mut self, now: Time) {
        let interval = self.times.isolation_threshold.times(HEALTH_CHECK);
        self.restart_timer(now, Timeout::CheckHealth, interval);
        if self.phase == Phase::In {
            if self.present().next().is_none() {
                let change = self.health.alone(now);
                self.on_doubt_change(now, change);
            } else if self.health.is_isolated(now, &self.times) {
                self.doubt(now, DegradedReason::Isolated);
            }
        }
        let forget_after = self.times.forget_after;
        self.name_conflicts.retain(|_, conflict| now - conflict.since < forget_after);
        if std::mem::take(&mut self.repeats_notices) {
            self.repeat_notices();
        }
    }
}
