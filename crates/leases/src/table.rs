//! The table that the voters replicate: for each duty its owner, epoch and a small state; the voters; and the
//! results of recent commands of operators. [`LeaseTable::apply`] makes every change.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::identity::{Epoch, VoterId, VoterInfo};
use crate::message::{MAX_NAME_BYTES, MAX_STATE_BYTES};

const MAX_DUTIES: usize = 8;
/// Results of operators' commands that are remembered, so that none takes effect twice.
const MAX_ADMIN_RESULTS: usize = 64;

/// Why a command changed nothing, as an operator is told.
const NO_SUCH_DUTY: &str = "no such duty";
const STALE_EPOCH: &str = "another came first";
const NOT_OWNER: &str = "not its owner";
const NO_OWNER: &str = "nobody owns it";
const DONE_BEFORE: &str = "done before";

/// The owner of a duty: one start of one member's process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Owner {
    /// The member's name.
    pub name: String,
    /// Drawn at each start of its process.
    pub incarnation: u64,
}

/// One duty.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Of the owner, or of the last one.
    pub epoch: Epoch,
    /// Who owns it.
    pub owner: Option<Owner>,
    /// When it was granted, in nanoseconds since 1970 by the leader's clock; for people only.
    pub granted_at: u64,
    /// The voter that led then.
    pub granted_by: String,
    /// What the owner stores with it.
    pub state: Vec<u8>,
    /// The member it is being handed over to: the owner is told to release it.
    pub reserved_for: Option<String>,
    /// The member it was taken from, which is not to have it at once.
    pub deposed: Option<String>,
}

impl Lease {
    /// Whether this start of that member's process owns it.
    pub(crate) fn is_held_by(&self, name: &str, incarnation: u64) -> bool {
        self.owner.as_ref().is_some_and(|owner| owner.name == name && owner.incarnation == incarnation)
    }
}

/// A replicated command. Each names the state it expects and changes nothing where that has passed: two leaders,
/// or a repeated request, may have put the same command into the log twice.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    Grant {
        duty: String,
        to: Owner,
        /// The epoch that the duty had.
        expected_epoch: Epoch,
        /// The highest epoch known to the claimant.
        highest_epoch: Epoch,
        granted_at: u64,
        granted_by: String,
    },
    Release {
        duty: String,
        epoch: Epoch,
        from: String,
    },
    Store {
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

impl Command {
    /// The command as it lies in the log.
    pub(crate) fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }
}

/// What a command did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
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
    Updated,
    /// Nothing; why, for an operator.
    Rejected(&'static str),
}

/// The table.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseTable {
    /// By duty.
    pub duties: BTreeMap<String, Lease>,
    /// By id.
    pub voters: BTreeMap<VoterId, VoterInfo>,
    /// Ids of operators' commands, oldest first, with the reason where one was rejected.
    admin_results: VecDeque<(u64, Option<String>)>,
}

impl LeaseTable {
    /// The table of voters that bootstrap together.
    pub(crate) fn bootstrap(voters: &[VoterInfo]) -> Self {
        let voters = voters.iter().map(|voter| (voter.id, voter.clone())).collect();
        LeaseTable { voters, ..LeaseTable::default() }
    }

    /// The result of an operator's command: `None` where it is not known; the inner option has the reason where
    /// it was rejected.
    pub(crate) fn admin_result(&self, id: u64) -> Option<Option<&str>> {
        self.admin_results.iter().find(|(known, _)| *known == id).map(|(_, reason)| reason.as_deref())
    }

    pub(crate) fn record_admin_result(&mut self, id: u64, rejection: Option<String>) {
        if self.admin_result(id).is_some() {
            return;
        }
        self.admin_results.push_back((id, rejection));
        if self.admin_results.len() > MAX_ADMIN_RESULTS {
            self.admin_results.pop_front();
        }
    }

    /// Applies a command. `without_epochs`: for trials, the epoch does not grow.
    pub fn apply(&mut self, command: &Command, without_epochs: bool) -> Outcome {
        match command {
            Command::Grant { duty, to, expected_epoch, highest_epoch, granted_at, granted_by } => {
                let has_room = self.duties.len() < MAX_DUTIES || self.duties.contains_key(duty);
                if !has_room || duty.len() > MAX_NAME_BYTES || to.name.len() > MAX_NAME_BYTES {
                    return Outcome::Rejected(NO_SUCH_DUTY);
                }
                let lease = self.duties.entry(duty.clone()).or_default();
                if lease.epoch != *expected_epoch {
                    return Outcome::Rejected(STALE_EPOCH);
                }
                let increment = u64::from(!without_epochs);
                let epoch = Epoch(lease.epoch.max(*highest_epoch).0.saturating_add(increment));
                *lease = Lease {
                    epoch,
                    owner: Some(to.clone()),
                    granted_at: *granted_at,
                    granted_by: granted_by.clone(),
                    state: std::mem::take(&mut lease.state),
                    reserved_for: None,
                    deposed: None,
                };
                Outcome::Granted { duty: duty.clone(), to: to.clone(), epoch }
            }
            Command::Release { duty, epoch, from } => self.release(duty, *epoch, from),
            Command::Store { duty, epoch, state } => self.store(duty, *epoch, state),
            Command::HandOver { id, duty, to } => self.apply_once(*id, |table| table.hand_over(duty, to)),
            Command::Depose { id, duty } => self.apply_once(*id, |table| table.depose(duty)),
        }
    }

    fn release(&mut self, duty: &str, epoch: Epoch, from: &str) -> Outcome {
        let Some(lease) = self.duties.get_mut(duty) else { return Outcome::Rejected(NO_SUCH_DUTY) };
        if lease.epoch != epoch || lease.owner.as_ref().is_none_or(|owner| owner.name != from) {
            return Outcome::Rejected(NOT_OWNER);
        }
        remove_owner(duty, lease)
    }

    fn store(&mut self, duty: &str, epoch: Epoch, state: &[u8]) -> Outcome {
        let is_owned = |lease: &&mut Lease| lease.epoch == epoch && lease.owner.is_some();
        match self.duties.get_mut(duty).filter(is_owned) {
            Some(lease) if state.len() <= MAX_STATE_BYTES => {
                lease.state = state.to_vec();
                Outcome::Updated
            }
            _ => Outcome::Rejected(NOT_OWNER),
        }
    }

    fn hand_over(&mut self, duty: &str, to: &str) -> Outcome {
        let Some(lease) = self.duties.get_mut(duty) else { return Outcome::Rejected(NO_SUCH_DUTY) };
        let is_owner = lease.owner.as_ref().is_some_and(|owner| owner.name == to);
        lease.reserved_for = (!is_owner).then(|| to.to_string());
        lease.deposed = None;
        Outcome::Updated
    }

    fn depose(&mut self, duty: &str) -> Outcome {
        let Some(lease) = self.duties.get_mut(duty) else { return Outcome::Rejected(NO_SUCH_DUTY) };
        let Some(owner) = &lease.owner else { return Outcome::Rejected(NO_OWNER) };
        lease.deposed = Some(owner.name.clone());
        lease.reserved_for = None;
        remove_owner(duty, lease)
    }

    /// Has an operator's command take effect where none of this id did before.
    fn apply_once(&mut self, id: u64, command: impl FnOnce(&mut LeaseTable) -> Outcome) -> Outcome {
        if self.admin_result(id).is_some() {
            return Outcome::Rejected(DONE_BEFORE);
        }
        let outcome = command(self);
        let rejection = match &outcome {
            Outcome::Rejected(reason) => Some((*reason).to_string()),
            _ => None,
        };
        self.record_admin_result(id, rejection);
        outcome
    }
}

fn remove_owner(duty: &str, lease: &mut Lease) -> Outcome {
    match lease.owner.take() {
        Some(from) => Outcome::Released { duty: duty.to_string(), from, epoch: lease.epoch },
        None => Outcome::Rejected(NO_OWNER),
    }
}

#[cfg(test)]
mod tests;
