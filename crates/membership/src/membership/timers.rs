//! The timers: what is due when, by awake time.

use std::mem::discriminant;

use foca::Timer;
use lynxstair::types::{Span, Time};

use super::Membership;
use crate::event::Phase;
use crate::identity::{Identity, Name};
use crate::local_health::DegradedReason;

/// What a timer does when it fires.
#[derive(Clone, Debug)]
pub(super) enum Timeout {
    /// One of `foca`'s.
    Swim(Timer<Identity>),
    Join,
    /// Probe others, while this member doubts itself.
    ProbeOthers,
    CheckHealth,
    /// Ask seeds that nobody present bears the address of to let this member join.
    SeekOthers,
    ReportLinks,
    RememberMembers,
    /// Tell a suspected member; so many rounds are left.
    TellSuspect(Name, u32),
    /// A suspicion that came from others, in this incarnation of `foca`: neither a refutation nor its end was
    /// heard of. And then, with the member's own time to refute it over as well.
    Unsettled(Identity, u16),
    Overdue(Identity, u16),
    /// Tell others that this member leaves; so many rounds are left.
    Leave(u32),
}

impl Timeout {
    /// Whether it may lead to a member being declared failed.
    pub fn may_declare_failed(&self) -> bool {
        matches!(
            self,
            Timeout::Overdue(..)
                | Timeout::Swim(
                    Timer::ProbeRandomMember(_)
                        | Timer::SendIndirectProbe { .. }
                        | Timer::ChangeSuspectToDown { .. }
                )
        )
    }
}

impl Membership {
    /// When `tick` is due.
    pub fn next_deadline(&self) -> Option<Time> {
        self.timers.first_key_value().map(|((at, _), _)| self.health.clock_time(*at))
    }

    pub(super) fn set_timer(&mut self, now: Time, timeout: Timeout, after: Span) {
        self.timers_set += 1;
        self.timers.insert((self.health.awake_time(now) + after, self.timers_set), timeout);
    }

    /// Sets a timer and removes others of its kind. For what repeats: one is enough, also where the next life
    /// begins it anew.
    pub(super) fn restart_timer(&mut self, now: Time, timeout: Timeout, after: Span) {
        let kind = discriminant(&timeout);
        self.timers.retain(|_, other| discriminant(other) != kind);
        self.set_timer(now, timeout, after);
    }

    /// Fires all timers that are due.
    pub fn tick(&mut self, now: Time) {
        self.observe(now);
        let mut postponed = Vec::new();
        while let Some(entry) = self.timers.first_entry() {
            if entry.key().0 > self.health.awake_time(now) {
                break;
            }
            let timeout = entry.remove();
            let may_declare_failed = timeout.may_declare_failed();
            // Where nobody was heard lately, it may be this member that is cut off.
            if may_declare_failed && self.phase == Phase::In && self.health.is_isolated(now, &self.times) {
                self.doubt(now, DegradedReason::Isolated);
            }
            if may_declare_failed && self.health.doubting().is_some() {
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
            Timeout::ProbeOthers => self.probe_others(now),
            Timeout::CheckHealth => self.check_health(now),
            Timeout::SeekOthers => self.seek_others(now),
            Timeout::ReportLinks => self.report_links(now),
            Timeout::RememberMembers => self.remember_members(),
            Timeout::TellSuspect(name, rounds_left) => self.tell_suspect(now, name, rounds_left),
            Timeout::Unsettled(suspect, swim_incarnation) => {
                self.on_unsettled(now, suspect, swim_incarnation);
            }
            Timeout::Overdue(suspect, swim_incarnation) => self.on_overdue(now, suspect, swim_incarnation),
            Timeout::Leave(rounds_left) => self.tell_leaving(now, rounds_left),
        }
    }
}
