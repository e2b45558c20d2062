//! State of the direct link to each member. If a direct probe gets no answer while other members reach
//! the target, the link is at fault, not the member. Messages to it then also go through relays until it
//! answers a direct probe, so that a link cut in one direction doesn't make the member's state flap.

use std::collections::HashMap;

use lynxstair::types::Time;
use serde::{Deserialize, Serialize};

use crate::identity::Name;

/// Consecutive unanswered direct probes after which a link counts as cut if other members reach the target.
const CUT_AFTER_UNANSWERED_PROBES: u32 = 3;

/// State of the direct link to and from a member.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LinkState {
    /// No direct probe was answered yet, and the link isn't found cut.
    #[default]
    Unknown,
    /// A direct probe was answered directly, and the link was not found cut since.
    Whole,
    /// Only other members reach the member: at least one direction of the link is cut.
    Cut,
}

/// Direct link to a member.
#[derive(Clone, Debug, Default)]
pub(crate) struct Link {
    state: LinkState,
    last_received_at: Option<Time>,
    unanswered_probes: u32,
}

impl Link {
    pub fn state(&self) -> LinkState {
        self.state
    }

    /// Time of the last datagram that came directly from the member.
    pub fn last_received_at(&self) -> Option<Time> {
        self.last_received_at
    }

    /// Sets the state and returns it if it changed. All changes go through this method.
    fn set_state(&mut self, state: LinkState) -> Option<LinkState> {
        if self.state == state {
            return None;
        }
        self.state = state;
        Some(state)
    }
}

/// Direct probe that has not ended.
#[derive(Clone, Debug)]
struct PendingProbe {
    name: Name,
    number: u8,
    is_answered: bool,
}

/// Result of a direct probe.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct EndedProbe {
    pub name: Name,
    pub is_answered: bool,
}

/// Direct links to all members, and the pending direct probe.
#[derive(Clone, Debug, Default)]
pub(crate) struct LinkTable {
    links: HashMap<Name, Link>,
    pending_probe: Option<PendingProbe>,
}

impl LinkTable {
    pub fn get(&self, name: &Name) -> Option<&Link> {
        self.links.get(name)
    }

    /// Records a datagram that came directly from a member.
    pub fn message_received(&mut self, name: &Name, now: Time) {
        match self.links.get_mut(name) {
            Some(link) => link.last_received_at = Some(now),
            None => {
                let link = Link { last_received_at: Some(now), ..Link::default() };
                self.links.insert(name.clone(), link);
            }
        }
    }

    /// Records a direct probe that was sent.
    pub fn probe_sent(&mut self, name: &Name, number: u8) {
        self.pending_probe = Some(PendingProbe { name: name.clone(), number, is_answered: false });
    }

    /// Records a direct answer to the pending probe. Returns the state of the link if it changed.
    pub fn probe_answered(&mut self, name: &Name, number: u8) -> Option<LinkState> {
        let probe =
            self.pending_probe.as_mut().filter(|probe| probe.name == *name && probe.number == number)?;
        probe.is_answered = true;
        let link = self.links.entry(name.clone()).or_default();
        link.unanswered_probes = 0;
        link.set_state(LinkState::Whole)
    }

    /// Ends the pending probe and returns its result.
    pub fn end_probe(&mut self) -> Option<EndedProbe> {
        let probe = self.pending_probe.take()?;
        Some(EndedProbe { name: probe.name, is_answered: probe.is_answered })
    }

    /// Records that a member didn't answer directly but was reached by other members. Returns the state
    /// of the link if it changed.
    pub fn direct_probe_failed(&mut self, name: &Name) -> Option<LinkState> {
        let link = self.links.entry(name.clone()).or_default();
        link.unanswered_probes += 1;
        if link.unanswered_probes < CUT_AFTER_UNANSWERED_PROBES {
            return None;
        }
        link.set_state(LinkState::Cut)
    }

    /// Records that no member reached a member. Messages to it are relayed until it answers a direct probe.
    pub fn all_probes_failed(&mut self, name: &Name) {
        self.links.entry(name.clone()).or_default().unanswered_probes += 1;
    }

    /// Returns `true` if messages to a member also go through relays.
    pub fn needs_relay(&self, name: &Name) -> bool {
        self.links.get(name).is_some_and(|link| link.unanswered_probes > 0)
    }

    /// Removes the link of a name that another run of the process now holds.
    pub fn remove(&mut self, name: &Name) {
        self.links.remove(name);
    }

    /// Returns the names of the members whose link is in `state`.
    pub fn with_state(&self, state: LinkState) -> impl Iterator<Item = &Name> {
        self.links.iter().filter(move |(_, link)| link.state == state).map(|(name, _)| name)
    }
}

#[cfg(test)]
mod tests;
