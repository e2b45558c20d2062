//! Which members answer directly. A probe that stays unanswered while others reach the member tells of the link,
//! not of the member: from then on what goes to it goes through two others as well, until it answers directly
//! again. So a link that is cut one way shows as cut; the member does not flap between states.

use std::collections::HashMap;

use lynxstair::types::Time;
use serde::{Deserialize, Serialize};

use crate::identity::Name;

/// So many unanswered direct probes in a row, of a member that others reach, make its link count as cut.
const CUT_AFTER_PROBES: u32 = 3;

/// The direct link to and from a member.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LinkState {
    /// Not probed yet.
    #[default]
    Unknown,
    /// The last direct probe was answered directly.
    Whole,
    /// The member is reached by others only: one direction of the link or both are cut.
    Cut,
}

/// The link to a member.
#[derive(Clone, Debug, Default)]
pub(crate) struct Link {
    state: LinkState,
    heard_at: Option<Time>,
    unanswered_probes: u32,
}

impl Link {
    pub fn state(&self) -> LinkState {
        self.state
    }

    /// When a datagram last came directly from the member.
    pub fn heard_at(&self) -> Option<Time> {
        self.heard_at
    }

    /// Changes the state; returns it where it is another. Every change goes through here.
    fn set_state(&mut self, state: LinkState) -> Option<LinkState> {
        if self.state == state {
            return None;
        }
        self.state = state;
        Some(state)
    }
}

/// The direct probe that is under way.
#[derive(Clone, Debug)]
struct OpenProbe {
    name: Name,
    number: u8,
    is_answered: bool,
}

/// How a direct probe ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct EndedProbe {
    pub name: Name,
    pub is_answered: bool,
}

/// All links.
#[derive(Clone, Debug, Default)]
pub(crate) struct LinkTable {
    links: HashMap<Name, Link>,
    probe: Option<OpenProbe>,
}

impl LinkTable {
    pub fn get(&self, name: &Name) -> Option<&Link> {
        self.links.get(name)
    }

    /// A datagram came directly from a member.
    pub fn heard(&mut self, name: &Name, now: Time) {
        match self.links.get_mut(name) {
            Some(link) => link.heard_at = Some(now),
            None => {
                let link = Link { heard_at: Some(now), ..Link::default() };
                self.links.insert(name.clone(), link);
            }
        }
    }

    /// A direct probe was sent.
    pub fn probe_sent(&mut self, name: &Name, number: u8) {
        self.probe = Some(OpenProbe { name: name.clone(), number, is_answered: false });
    }

    /// A probe was answered directly. Returns the link's state where it changed.
    pub fn probe_answered(&mut self, name: &Name, number: u8) -> Option<LinkState> {
        let probe = self.probe.as_mut().filter(|probe| probe.name == *name && probe.number == number)?;
        probe.is_answered = true;
        let link = self.links.entry(name.clone()).or_default();
        link.unanswered_probes = 0;
        link.set_state(LinkState::Whole)
    }

    /// The time of the open probe is over.
    pub fn end_probe(&mut self) -> Option<EndedProbe> {
        let probe = self.probe.take()?;
        Some(EndedProbe { name: probe.name, is_answered: probe.is_answered })
    }

    /// A member did not answer directly, and others reached it. Returns the link's state where it changed.
    pub fn reached_by_others(&mut self, name: &Name) -> Option<LinkState> {
        let link = self.links.entry(name.clone()).or_default();
        link.unanswered_probes += 1;
        if link.unanswered_probes < CUT_AFTER_PROBES {
            return None;
        }
        link.set_state(LinkState::Cut)
    }

    /// Nobody reached a member. Whether it is there is another matter; until it answers, others relay to it.
    pub fn reached_by_nobody(&mut self, name: &Name) {
        self.links.entry(name.clone()).or_default().unanswered_probes += 1;
    }

    /// Whether what goes to a member is relayed by others as well.
    pub fn needs_relay(&self, name: &Name) -> bool {
        self.links.get(name).is_some_and(|link| link.unanswered_probes > 0)
    }

    /// A later life of the name is another process: nothing is known of its link.
    pub fn forget(&mut self, name: &Name) {
        self.links.remove(name);
    }

    /// Members whose link is in a state.
    pub fn with_state(&self, state: LinkState) -> impl Iterator<Item = &Name> {
        self.links.iter().filter(move |(_, link)| link.state == state).map(|(name, _)| name)
    }
}

#[cfg(test)]
mod tests;
