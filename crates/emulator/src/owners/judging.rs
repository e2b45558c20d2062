//! What is checked while the world runs.

use super::*;

impl Owners {
    pub(super) fn breaks(&mut self, rule: &'static str, what: String) {
        if !self.broke.iter().any(|b| b.rule == rule) {
            self.broke.push(Broke { rule, at: self.now, what });
        }
    }

    pub(super) fn checks(&mut self, who: usize, run: u32) {
        let now = self.clock(who);
        if self.nodes[who].runs != run {
            return;
        }
        let Some(process) = self.nodes[who].process.as_mut() else { return };
        if process.stopped {
            return;
        }
        let may = process.holder.leased_epoch(now, DUTY);
        let kept = process.holder.stored_state(DUTY).try_into().map_or(0, u64::from_be_bytes);
        if let Some(epoch) = may {
            process.effects = process.effects.max(kept) + 1;
            process.checked = Some((epoch, process.effects));
        }
        let way = ON_ITS_WAY.times(self.chance.random());
        if let Some((epoch, number)) = self.nodes[who].process.as_mut().and_then(|p| p.checked.take()) {
            // Between the check and the write it may be paused: the write waits for it then.
            if self.chance.random_bool(0.5) {
                self.later(way, Next::Lands { who, epoch, number });
            } else if let Some(process) = self.nodes[who].process.as_mut() {
                process.checked = Some((epoch, number));
            }
        }
        self.later(EFFECT, Next::Checks { who, run });
        let owners = self.owners();
        if owners.len() > 1 && self.now >= self.deposed_until {
            let names: Vec<_> = owners.iter().map(|w| name(*w)).collect();
            self.breaks("leases-apart", format!("{} hold a lease at once", names.join(" and ")));
        }
    }

    pub(super) fn heard_of(&mut self, who: usize, event: Event) {
        match &event {
            Event::Granted { owner, incarnation, epoch, .. } => {
                let to = (owner.clone(), *incarnation);
                let before = self.granted.insert(*epoch, to.clone());
                if before.as_ref().is_some_and(|b| *b != to) {
                    let what = format!("{epoch:?} was given to {before:?} and to {to:?}");
                    self.breaks("epoch-has-one-owner", what);
                }
            }
            Event::OwnershipAcquired { epoch, .. } => {
                if self.granted.get(epoch).is_some_and(|(n, _)| *n != name(who)) {
                    let what = format!("{} owns in {epoch:?}, and it was given to another", name(who));
                    self.breaks("epoch-has-one-owner", what);
                }
                let again = |(_, w, e): &(Time, usize, Event)| {
                    *w == who
                        && matches!(e, Event::OwnershipAcquired { epoch: before, .. } if before == epoch)
                };
                let first = !self.events.iter().rev().take(2_000).any(again);
                let process = self.nodes[who].process.as_ref();
                let state = process
                    .map_or(0, |p| p.holder.stored_state(DUTY).try_into().map_or(0, u64::from_be_bytes));
                if first && state < self.promised {
                    let what =
                        format!("{} was promised to be kept, and {} finds {state}", self.promised, name(who));
                    self.breaks("kept-is-kept", what);
                }
            }
            _ => {}
        }
        self.events.push((self.now, who, event));
    }
}
