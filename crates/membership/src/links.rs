//! Who hears whom directly. A direct question that stays unanswered while others reach that member is a
//! matter of the link and not of the member: from then on what goes to it goes by two others as well, until
//! the direct way answers again. So a one-sided cut shows as a cut, not as a death, and does not flap.

use std::collections::HashMap;

use lynxstair::types::Time;
use serde::{Deserialize, Serialize};

use crate::ident::Name;

/// So many direct questions in a row without an answer, where others reach it, make a link count as cut.
const CUT_AFTER: u32 = 3;

/// The direct way to and from a member.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LinkState {
    /// Not asked yet.
    #[default]
    Unknown,
    /// The last direct question was answered directly.
    Whole,
    /// Reached by others only: one direction of it, or both, are cut.
    Cut,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Link {
    state: LinkState,
    heard_at: Option<Time>,
    unanswered: u32,
}

impl Link {
    pub fn state(&self) -> LinkState {
        self.state
    }

    pub fn heard_at(&self) -> Option<Time> {
        self.heard_at
    }
}

/// The question that is out.
#[derive(Clone, Debug)]
struct Asked {
    name: Name,
    number: u8,
    answered: bool,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Links {
    links: HashMap<Name, Link>,
    asked: Option<Asked>,
}

impl Links {
    pub fn get(&self, name: &Name) -> Option<&Link> {
        self.links.get(name)
    }

    pub fn heard(&mut self, name: &Name, now: Time) {
        match self.links.get_mut(name) {
            Some(link) => link.heard_at = Some(now),
            None => {
                let link = Link { heard_at: Some(now), ..Link::default() };
                self.links.insert(name.clone(), link);
            }
        }
    }

    pub fn asked(&mut self, name: &Name, number: u8) {
        self.asked = Some(Asked { name: name.clone(), number, answered: false });
    }

    /// A direct answer. The change of state, if there is one.
    pub fn answered(&mut self, name: &Name, number: u8) -> Option<LinkState> {
        let asked = self.asked.as_mut().filter(|a| a.name == *name && a.number == number)?;
        asked.answered = true;
        let link = self.links.entry(name.clone()).or_default();
        link.unanswered = 0;
        Links::change(link, LinkState::Whole)
    }

    /// The time of the question that is out is over: whom it was for, and whether it was answered directly.
    pub fn over(&mut self) -> Option<(Name, bool)> {
        self.asked.take().map(|a| (a.name, a.answered))
    }

    /// It did not answer directly, and others reached it.
    pub fn reached_by_others(&mut self, name: &Name) -> Option<LinkState> {
        let link = self.links.entry(name.clone()).or_default();
        link.unanswered += 1;
        if link.unanswered < CUT_AFTER {
            return None;
        }
        Links::change(link, LinkState::Cut)
    }

    /// Nobody reached it: whether it is there is another matter, but until it answers others are asked as
    /// well.
    pub fn not_reached(&mut self, name: &Name) {
        self.links.entry(name.clone()).or_default().unanswered += 1;
    }

    /// Every change of a link's state goes through here.
    fn change(link: &mut Link, state: LinkState) -> Option<LinkState> {
        if link.state == state {
            return None;
        }
        link.state = state;
        Some(state)
    }

    /// Whether what goes there goes by others as well.
    pub fn is_doubtful(&self, name: &Name) -> bool {
        self.links.get(name).is_some_and(|l| l.unanswered > 0)
    }

    /// A later life of that name is another process: nothing is known of its links.
    pub fn forget(&mut self, name: &Name) {
        self.links.remove(name);
    }

    pub fn with_state(&self, state: LinkState) -> impl Iterator<Item = &Name> {
        self.links.iter().filter(move |(_, l)| l.state == state).map(|(name, _)| name)
    }
}

#[cfg(test)]
mod tests;
