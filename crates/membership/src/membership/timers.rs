//! Timers of the state machine, set by awake time.

use std::mem::discriminant;

use foca::Timer;
use lynxstair::types::{Span, Time};

use super::Membership;
use crate::event::Phase;
use crate::identity::{Identity, Name};
use crate::local_health::DegradedReason;

/// Action of a timer.
#[derive(Clone, Debug)]
pub(super) enum Timeout {
    /// Timer of `foca`.
    Swim(Timer<Identity>),
    Join,
    /// Probe other members while the local health is degraded.
    RecoveryProbe,
    CheckHealth,
    /// Send joins to seeds and known members that aren't present.
    ContactMissing,
    ReportLinks,
    SaveMembers,
    /// Notify a suspected member; holds the number of rounds left.
    NotifySuspect(Name, u32),
    /// A member is still suspected in this SWIM incarnation, and neither a refutation nor an end was
    /// received.
    UnresolvedSuspicion(Identity, u16),
    /// The further time that an unresolved suspect had to refute the suspicion is over.
    ExpiredSuspicion(Identity, u16),
    /// Announce that this member leaves; holds the number of rounds left.
    Leave(u32),
}

impl Timeout {
    /// Returns `true` if the timer may lead to a member being declared failed.
    pub fn may_declare_failed(&self) -> bool {
        matches!(
            self,
            Timeout::ExpiredSuspicion(..)
                | Timeout::Swim(
                    Timer::ProbeRandomMember(_)
                        | Timer::SendIndirectProbe { .. }
                        | Timer::ChangeSuspectToDown { .. }
                )
        )
    }
}

impl Membership {
    /// Time at which [`Self::tick`] must be called next.
    pub fn next_deadline(&self) -> Option<Time> {
        self.timers.first_key_value().map(|((at, _), _)| self.health.clock_time(*at))
    }

    pub(super) fn set_timer(&mut self, now: Time, timeout: Timeout, after: Span) {
        self.timers_set += 1;
        self.timers.insert((self.health.awake_time(now) + after, self.timers_set), timeout);
    }

    /// Sets a timer and removes all others of its variant. For periodic timers, which a new incarnation
    /// starts again.
    pub(super) fn restart_timer(&mut self, now: Time, timeout: Timeout, after: Span) {
        let kind = discriminant(&timeout);
        self.timers.retain(|_, other| discriminant(other) != kind);
        self.set_timer(now, timeout, after);
    }

    /// Fires all timers that are due. While the local health is degraded, postpones those that may declare
    /// a member failed.
    pub fn tick(&mut self, now: Time) {
        self.observe(now);
        let mut postponed = Vec::new();
        while let Some(entry) = self.timers.first_entry() {
            if entry.key().0 > self.health.awake_time(now) {
                break;
            }
            let timeout = entry.remove();
            let may_declare_failed = timeout.may_declare_failed();
            // If no message was received lately, this member may be isolated.
            if may_declare_failed && self.phase == Phase::In && self.health.is_isolated(now, &self.times) {
                self.degrade(now, DegradedReason::Isolated);
            }
            if may_declare_failed && self.health.degraded().is_some() {
                postponed.push(timeout);
                continue;
            }
            self.fire(now, timeout);
        }
        for timeout in postponed {
            self.set_timer(now, timeout, self.times.probe_timeout);
        }
    }

    pub(super) fn fire(&mut self, now: Time, timeout: Timeout) {
        match timeout {
            Timeout::Swim(timer) => self.fire_swim_timer(now, timer),
            Timeout::Join => self.send_joins(now),
            Timeout::RecoveryProbe => self.send_recovery_probes(now),
            Timeout::CheckHealth => self.check_health(now),
            Timeout::ContactMissing => self.contact_missing_members(now),
            Timeout::ReportLinks => self.report_links(now),
            Timeout::SaveMembers => self.save_members(),
            Timeout::NotifySuspect(name, rounds_left) => self.notify_suspect(now, name, rounds_left),
            Timeout::UnresolvedSuspicion(suspect, swim_incarnation) => {
                self.on_unresolved_suspicion(now, suspect, swim_incarnation);
            }
            Timeout::ExpiredSuspicion(suspect, swim_incarnation) => {
                self.on_expired_suspicion(now, suspect, swim_incarnation)
            }
            Timeout::Leave(rounds_left) => self.announce_leave(now, rounds_left),
        }
    }
}
