//! The replicated state machine: the owner, epoch and stored state of each duty, the voters, and the
//! results of recent commands of operators. [`LeaseTable::apply`] applies each committed command.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::identity::{Epoch, VoterId, VoterInfo};
use crate::message::{MAX_NAME_BYTES, MAX_STATE_BYTES};

const MAX_DUTIES: usize = 8;
/// Maximum number of remembered command results. A repeated command whose result is remembered has no
/// effect.
const MAX_ADMIN_RESULTS: usize = 64;

/// Reasons for which a command is rejected.
const NO_SUCH_DUTY: &str = "no such duty";
const STALE_EPOCH: &str = "the epoch has changed";
const NOT_OWNER: &str = "not its owner";
const NO_OWNER: &str = "nobody owns it";
const DONE_BEFORE: &str = "already applied";

/// The owner of a duty: one incarnation of a member.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Owner {
    /// Name of the member.
    pub name: String,
    /// Identifies the run of its process; changes with each start.
    pub incarnation: u64,
}

/// Ownership of a duty and the state stored with it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Epoch of the current owner, or of the last one if there is none.
    pub epoch: Epoch,
    /// Current owner; `None` if the duty has none.
    pub owner: Option<Owner>,
    /// Time of the last grant by the leader's clock, in nanoseconds since 1970. Only displayed.
    pub granted_at: u64,
    /// Name of the voter that was leader at the last grant.
    pub granted_by: String,
    /// Opaque state stored by the owner, at most [`MAX_STATE_BYTES`]. The next owner receives it.
    pub state: Vec<u8>,
    /// Target of a hand-over in progress. The owner's renewals are denied.
    pub reserved_for: Option<String>,
    /// Member that an operator deposed. It can't claim the duty again until a lease duration has passed.
    #[serde(rename = "deposed")]
    pub deposed_member: Option<String>,
}

impl Lease {
    /// Returns `true` if this incarnation of the member owns the duty.
    pub(crate) fn is_held_by(&self, name: &str, incarnation: u64) -> bool {
        self.owner.as_ref().is_some_and(|owner| owner.name == name && owner.incarnation == incarnation)
    }
}

/// A replicated command. A change of leader or a repeated request can put the same command into the log
/// twice. So it carries the epoch that it expects, or the id of an operator's command, and is rejected if the
/// epoch has changed or a command with this id has been applied.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    Grant {
        duty: String,
        to: Owner,
        /// Epoch of the duty when the leader proposed the command.
        expected_epoch: Epoch,
        /// Highest epoch of the duty known to the claimant.
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
    /// Encodes the command as data of a log entry.
    pub(crate) fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }
}

/// Result of applying a command.
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
    /// The command changed nothing, for this reason.
    Rejected(&'static str),
}

/// State of all duties and the set of voters, the same on each voter at the same log index.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseTable {
    /// Leases by duty.
    pub duties: BTreeMap<String, Lease>,
    /// Voters by id.
    pub voters: BTreeMap<VoterId, VoterInfo>,
    /// Ids of operators' commands, oldest first, with the reason if the command was rejected.
    admin_results: VecDeque<(u64, Option<String>)>,
}

impl LeaseTable {
    /// Creates the initial table of voters that bootstrap a cluster.
    pub(crate) fn bootstrap(voters: &[VoterInfo]) -> Self {
        let voters = voters.iter().map(|voter| (voter.id, voter.clone())).collect();
        LeaseTable { voters, ..LeaseTable::default() }
    }

    /// Returns the result of an operator's command: `None` if it is not known, `Some(None)` if the command
    /// took effect, and the reason if it was rejected.
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

    /// Applies a committed command. With `without_epochs`, which only trials set, a grant does not increase
    /// the epoch.
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
                    deposed_member: None,
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
        lease.deposed_member = None;
        Outcome::Updated
    }

    fn depose(&mut self, duty: &str) -> Outcome {
        let Some(lease) = self.duties.get_mut(duty) else { return Outcome::Rejected(NO_SUCH_DUTY) };
        let Some(owner) = &lease.owner else { return Outcome::Rejected(NO_OWNER) };
        lease.deposed_member = Some(owner.name.clone());
        lease.reserved_for = None;
        remove_owner(duty, lease)
    }

    /// Applies an operator's command unless the result of a command with this id is already recorded.
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
