//! Checks during the simulation that an epoch has one owner, that leases do not overlap, and that
//! acknowledged state is not lost.

use super::*;

impl OwnershipSimulation {
    pub(super) fn record_violation(&mut self, rule: &'static str, description: String) {
        if !self.violations.iter().any(|v| v.rule == rule) {
            self.violations.push(Violation { rule, at: self.now, description });
        }
    }

    /// Produces an effect if the member holds the lease, schedules the next check, and checks that no two
    /// members hold the lease.
    pub(super) fn check_effect(&mut self, member: usize, run: u32) {
        let now = self.clock(member);
        if self.nodes[member].run != run {
            return;
        }
        let Some(process) = self.nodes[member].process.as_mut() else { return };
        if process.paused {
            return;
        }
        let leased_epoch = process.holder.leased_epoch(now, DUTY);
        let stored_number = process.holder.stored_state(DUTY).try_into().map_or(0, u64::from_be_bytes);
        if let Some(epoch) = leased_epoch {
            process.last_effect = process.last_effect.max(stored_number) + 1;
            process.pending_effect = Some((epoch, process.last_effect));
        }
        let delay = MAX_EFFECT_DELAY.times(self.rng.random());
        if let Some((epoch, number)) =
            self.nodes[member].process.as_mut().and_then(|p| p.pending_effect.take())
        {
            // Half of the effects are held back, as if the process stalled after the check. The next
            // check replaces the effect while the lease is held. Otherwise a later check, or the resume
            // after a pause, sends it late.
            if self.rng.random_bool(0.5) {
                self.schedule_after(delay, ScheduledEvent::EffectArrival { member, epoch, number });
            } else if let Some(process) = self.nodes[member].process.as_mut() {
                process.pending_effect = Some((epoch, number));
            }
        }
        self.schedule_after(EFFECT_INTERVAL, ScheduledEvent::EffectCheck { member, run });
        let owners = self.owners();
        if owners.len() > 1 && self.now >= self.overlap_allowed_until {
            let names: Vec<_> = owners.iter().map(|m| member_name(*m)).collect();
            self.record_violation("leases-apart", format!("{} hold a lease at once", names.join(" and ")));
        }
    }

    /// Records an event, and checks the rules on grants and on the state found by a new owner.
    pub(super) fn record_event(&mut self, member: usize, event: Event) {
        match &event {
            Event::Granted { owner, incarnation, epoch, .. } => {
                let grantee = (owner.clone(), *incarnation);
                let previous = self.granted.insert(*epoch, grantee.clone());
                if previous.as_ref().is_some_and(|p| *p != grantee) {
                    let description = format!("{epoch:?} was granted to {previous:?} and to {grantee:?}");
                    self.record_violation("epoch-has-one-owner", description);
                }
            }
            Event::OwnershipAcquired { epoch, .. } => {
                if self.granted.get(epoch).is_some_and(|(n, _)| *n != member_name(member)) {
                    let description = format!(
                        "{} owns in {epoch:?}, which was granted to another member",
                        member_name(member)
                    );
                    self.record_violation("epoch-has-one-owner", description);
                }
                let is_same_acquisition = |(_, m, e): &(Time, usize, Event)| {
                    *m == member
                        && matches!(e, Event::OwnershipAcquired { epoch: before, .. } if before == epoch)
                };
                let is_first = !self.events.iter().rev().take(2_000).any(is_same_acquisition);
                let process = self.nodes[member].process.as_ref();
                let stored_number = process
                    .map_or(0, |p| p.holder.stored_state(DUTY).try_into().map_or(0, u64::from_be_bytes));
                if is_first && stored_number < self.acknowledged_number {
                    let description = format!(
                        "storage of {} was acknowledged, but {} finds {stored_number}",
                        self.acknowledged_number,
                        member_name(member)
                    );
                    self.record_violation("kept-is-kept", description);
                }
            }
            _ => {}
        }
        self.events.push((self.now, member, event));
    }
}
