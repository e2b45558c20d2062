//! Effects of the local health: while it is degraded, this member sends recovery probes and declares no
//! member failed.

use foca::Timer;
use lynxstair::types::{Span, Time};

use super::suspicion::SUSPECT_NOTIFICATION_ROUNDS;
use super::{Membership, Timeout};
use crate::event::{Event, Phase};
use crate::local_health::{DegradedReason, HealthChange};
use crate::status::State;

/// Delay of the first health check of an incarnation, as a multiple of the isolation threshold.
const FIRST_HEALTH_CHECK_FACTOR: f64 = 0.5;
/// Interval between two health checks, as a multiple of the isolation threshold.
const HEALTH_CHECK_FACTOR: f64 = 0.25;

impl Membership {
    /// Detects a pause of the process from the delay of its next timer. Entry points call this first.
    pub(super) fn observe(&mut self, now: Time) {
        let Some(pause) = self.health.observe(now, self.next_deadline(), &self.times) else { return };
        self.emit(Event::Paused { ms: pause.nanos() / 1_000_000 });
        // A pause of at most one probe interval needs no recovery: awake time excludes it.
        if pause > self.times.probe_interval && self.is_participating() {
            self.degrade(now, DegradedReason::Paused);
        }
    }

    /// Marks the local health as degraded and starts recovery probes. Replies to earlier probes don't count.
    pub(super) fn degrade(&mut self, now: Time, reason: DegradedReason) {
        let change = self.health.degrade(now, reason, self.last_request_number + 1);
        if let Some(HealthChange::Degraded(reason)) = change {
            self.emit(Event::HealthDegraded { reason });
            self.restart_timer(now, Timeout::RecoveryProbe, Span::ZERO);
        }
    }

    /// Handles the recovery of the local health. Reschedules timers that are due within one suspicion
    /// time-out and may declare a member failed: the end of a suspicion to twice that time-out from now,
    /// probes to the probe time-out. This gives members time to answer first.
    pub(super) fn on_health_change(&mut self, now: Time, change: Option<HealthChange>) {
        let Some(HealthChange::Recovered { since }) = change else { return };
        self.emit(Event::HealthRecovered { ms: (now - since).nanos() / 1_000_000 });
        let soon = self.health.awake_time(now) + self.times.suspicion_timeout;
        let is_affected =
            |(at, timeout): &(&(Time, u64), &Timeout)| timeout.may_declare_failed() && at.0 <= soon;
        let affected: Vec<_> = self.timers.iter().filter(is_affected).map(|(at, _)| *at).collect();
        for at in affected {
            let Some(timeout) = self.timers.remove(&at) else { continue };
            let after = match timeout {
                Timeout::Swim(Timer::ChangeSuspectToDown { .. }) | Timeout::ExpiredSuspicion(..) => {
                    self.times.suspicion_timeout.times(2.0)
                }
                _ => self.times.probe_timeout,
            };
            self.set_timer(now, timeout, after);
        }
        self.notify_all_suspects(now);
    }

    /// Notifies all suspected members, so that they can refute the suspicion. Earlier notifications may
    /// not have arrived while this member was isolated.
    pub(super) fn notify_all_suspects(&mut self, now: Time) {
        let suspects = self.members.values().filter(|member| member.state() == State::Suspected);
        let names: Vec<_> = suspects.map(|member| member.identity.name.clone()).collect();
        for name in names {
            self.set_timer(now, Timeout::NotifySuspect(name, SUSPECT_NOTIFICATION_ROUNDS), Span::ZERO);
        }
    }

    /// Schedules the first health check of an incarnation.
    pub(super) fn start_health_checks(&mut self, now: Time) {
        let first_check = self.times.isolation_threshold.times(FIRST_HEALTH_CHECK_FACTOR);
        self.restart_timer(now, Timeout::CheckHealth, first_check);
    }

    /// Checks for isolation, drops old name conflicts, and gossips durable notices again if a member
    /// became present.
    pub(super) fn check_health(&mut self, now: Time) {
        let interval = self.times.isolation_threshold.times(HEALTH_CHECK_FACTOR);
        self.restart_timer(now, Timeout::CheckHealth, interval);
        if self.phase == Phase::In {
            if self.present().next().is_none() {
                let change = self.health.on_no_members(now);
                self.on_health_change(now, change);
            } else if self.health.is_isolated(now, &self.times) {
                self.degrade(now, DegradedReason::Isolated);
            }
        }
        let forget_after = self.times.forget_after;
        self.name_conflicts.retain(|_, conflict| now - conflict.since < forget_after);
        if std::mem::take(&mut self.must_repeat_notices) {
            self.repeat_notices();
        }
    }
}
