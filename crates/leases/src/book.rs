//! The record that the voters keep together: for each duty its owner, its epoch, since when, and a small state;
//! which voters there are; what operators asked for lately. One function for every change.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::words::{Epoch, LONGEST_NAME, LONGEST_STATE, VoterAt, VoterId};

/// No more duties than so many.
const MOST_DUTIES: usize = 8;
/// So many operators' commands are remembered, so that none happens twice.
const REMEMBERED: usize = 64;

/// Who owns a duty: a member, and which start of its process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Owner {
    pub name: String,
    pub stand: u64,
}

/// One duty.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    /// Of the owner, or of the last one.
    pub epoch: Epoch,
    pub owner: Option<Owner>,
    /// When it was granted, in nanoseconds since 1970 by the clock of the voter that led; for people only.
    pub since: u64,
    pub by: String,
    pub state: Vec<u8>,
    /// It is to go to this member: the owner is told to give it up.
    pub meant_for: Option<String>,
    /// It was taken from this member, who is not to have it at once.
    pub not_for: Option<String>,
}

impl Held {
    /// Whether this start of that member's process owns it.
    pub(crate) fn is_of(&self, name: &str, stand: u64) -> bool {
        self.owner.as_ref().is_some_and(|o| o.name == name && o.stand == stand)
    }
}

/// What is changed. Each says what it takes for granted, and changes nothing where that is not so any more.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// `after` is the epoch it had; `seen` one known to the claimant.
    Grant {
        duty: String,
        to: Owner,
        after: Epoch,
        seen: Epoch,
        at: u64,
        by: String,
    },
    GiveBack {
        duty: String,
        epoch: Epoch,
        from: String,
    },
    Keep {
        duty: String,
        epoch: Epoch,
        state: Vec<u8>,
    },
    HandOver {
        id: u64,
        duty: String,
        to: String,
    },
    Depose {
        id: u64,
        duty: String,
    },
}

/// What came of a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Came {
    Granted {
        duty: String,
        to: Owner,
        epoch: Epoch,
    },
    Released {
        duty: String,
        from: Owner,
        epoch: Epoch,
    },
    Kept,
    /// Nothing changed; why, for an operator.
    Nothing(&'static str),
}

/// All of it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Book {
    pub duties: BTreeMap<String, Held>,
    pub voters: BTreeMap<VoterId, VoterAt>,
    /// Operators' ids, with why nothing came of one.
    done: VecDeque<(u64, Option<String>)>,
}

impl Book {
    pub fn begun(voters: &[VoterAt]) -> Self {
        Book { voters: voters.iter().map(|v| (v.id, v.clone())).collect(), ..Book::default() }
    }

    /// What came of an operator's command: none, it was never heard of; or why nothing did.
    pub fn done(&self, id: u64) -> Option<Option<&str>> {
        self.done.iter().find(|(d, _)| *d == id).map(|(_, why)| why.as_deref())
    }

    pub(crate) fn note_done(&mut self, id: u64, why: Option<String>) {
        if self.done(id).is_none() {
            self.done.push_back((id, why));
            if self.done.len() > REMEMBERED {
                self.done.pop_front();
            }
        }
    }

    /// The one way in which anything changes.
    pub fn apply(&mut self, command: &Command, without_epochs: bool) -> Came {
        match command {
            Command::Grant { duty, to, after, seen, at, by } => {
                let room = self.duties.len() < MOST_DUTIES || self.duties.contains_key(duty);
                if !room || duty.len() > LONGEST_NAME || to.name.len() > LONGEST_NAME {
                    return Came::Nothing("no such duty");
                }
                let held = self.duties.entry(duty.clone()).or_default();
                if held.epoch != *after {
                    return Came::Nothing("another came first");
                }
                let next = if without_epochs { 0 } else { 1 };
                held.epoch = Epoch((held.epoch.max(*seen).0).saturating_add(next));
                held.owner = Some(to.clone());
                (held.since, held.by) = (*at, by.clone());
                (held.meant_for, held.not_for) = (None, None);
                Came::Granted { duty: duty.clone(), to: to.clone(), epoch: held.epoch }
            }
            Command::GiveBack { duty, epoch, from } => {
                let Some(held) = self.duties.get_mut(duty) else { return Came::Nothing("no such duty") };
                if held.epoch != *epoch || held.owner.as_ref().is_none_or(|o| o.name != *from) {
                    return Came::Nothing("not its owner");
                }
                release(duty, held)
            }
            Command::Keep { duty, epoch, state } => match self.duties.get_mut(duty) {
                Some(held)
                    if held.epoch == *epoch && held.owner.is_some() && state.len() <= LONGEST_STATE =>
                {
                    held.state.clone_from(state);
                    Came::Kept
                }
                _ => Came::Nothing("not its owner"),
            },
            Command::HandOver { id, duty, to } => self.once(*id, |book| match book.duties.get_mut(duty) {
                None => Came::Nothing("no such duty"),
                Some(held) => {
                    let owns = held.owner.as_ref().is_some_and(|o| o.name == *to);
                    (held.not_for, held.meant_for) = (None, (!owns).then(|| to.clone()));
                    Came::Kept
                }
            }),
            Command::Depose { id, duty } => self.once(*id, |book| match book.duties.get_mut(duty) {
                None => Came::Nothing("no such duty"),
                Some(held) => match held.owner.clone() {
                    None => Came::Nothing("nobody owns it"),
                    Some(owner) => {
                        (held.not_for, held.meant_for) = (Some(owner.name), None);
                        release(duty, held)
                    }
                },
            }),
        }
    }

    fn once(&mut self, id: u64, acts: impl FnOnce(&mut Book) -> Came) -> Came {
        if self.done(id).is_some() {
            return Came::Nothing("done before");
        }
        let came = acts(self);
        let why = match &came {
            Came::Nothing(why) => Some((*why).to_string()),
            _ => None,
        };
        self.note_done(id, why);
        came
    }
}

fn release(duty: &str, held: &mut Held) -> Came {
    match held.owner.take() {
        Some(from) => Came::Released { duty: duty.to_string(), from, epoch: held.epoch },
        None => Came::Nothing("nobody owns it"),
    }
}

#[cfg(test)]
mod tests;
