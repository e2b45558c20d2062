//! Replacing a voter: on an operator's command, or where a voter lost its records and bears another identity.

use std::net::SocketAddrV4;

use lynxstair::types::{Span, Time};
use protobuf::Message as _;
use raft::eraftpb::{ConfChangeSingle, ConfChangeType, ConfChangeV2};
use serde::{Deserialize, Serialize};

use super::Caller;
use crate::identity::{VoterId, VoterInfo, hash};
use crate::message::{Message, Response};
use crate::voter::Voter;

/// After so long a voter that lost its records is taken in again, and a change that did not come through is
/// proposed again.
const REJOIN_DELAY: Span = Span::from_millis(1_000);
/// How often a member that is to become a voter is invited.
const INVITE_INTERVAL: Span = Span::from_millis(250);
/// After so long without the operator asking again, a replacement is given up.
const REPLACEMENT_TIMEOUT: Span = Span::from_millis(10_000);

/// A change of voters, as it lies in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct VoterChange {
    /// Of the operator's command, or of the identity that joins.
    pub id: u64,
    pub old: VoterId,
    pub new: VoterInfo,
}

/// An operator's replacement that is under way.
pub(super) struct Replacement {
    id: u64,
    old: VoterInfo,
    new: String,
    addr: SocketAddrV4,
    caller: Option<Caller>,
    proposed_at: Option<Time>,
    invited_at: Time,
}

impl Voter {
    /// An operator replaces a voter by another member, which is invited until it says hello.
    pub(super) fn replace_voter(
        &mut self,
        now: Time,
        caller: Caller,
        id: u64,
        old: &str,
        new: &str,
        addr: SocketAddrV4,
    ) {
        let (Some(node), Some(leader)) = (self.node.as_ref(), self.leader.as_mut()) else { return };
        let voters = || node.table.voters.values();
        let Some(old_voter) = voters().find(|voter| voter.name == old).cloned() else {
            return self.refuse(&caller, format!("{old} is no voter"));
        };
        if old != new && voters().any(|voter| voter.name == new) {
            return self.refuse(&caller, format!("{new} is a voter already"));
        }
        if old_voter.id == self.info.id {
            // This voter would go on leading after it is replaced: another one leads first, and is asked again.
            let successor = node
                .table
                .voters
                .keys()
                .copied()
                .find(|id| *id != old_voter.id && node.is_recently_active(*id));
            if let Some(successor) = successor {
                self.with_raft(now, |node| node.raft.transfer_leader(successor.0));
            }
            return;
        }
        match leader.replacement.as_mut() {
            Some(other) if other.id != id => {
                let reason = format!("{} is being replaced: one at a time", other.old.name);
                return self.refuse(&caller, reason);
            }
            Some(same) => same.caller = Some(caller),
            None => {
                leader.replacement = Some(Replacement {
                    id,
                    old: old_voter,
                    new: new.to_string(),
                    addr,
                    caller: Some(caller),
                    proposed_at: None,
                    invited_at: now,
                });
            }
        }
        self.send(addr, &Message::Invite);
    }

    fn refuse(&mut self, caller: &Caller, reason: String) {
        self.respond(caller.addr, caller.number, Response::Refused { reason });
    }

    /// A member with an identity and no table said hello: it is to become a voter, or was one and lost its
    /// records.
    pub(crate) fn handle_voter_without_table(&mut self, now: Time, sender: VoterInfo) {
        let (Some(node), Some(leader)) = (self.node.as_ref(), self.leader.as_mut()) else { return };
        let is_awaited = |replacement: &&mut Replacement| {
            replacement.new == sender.name && replacement.old.id != sender.id
        };
        if let Some(replacement) = leader.replacement.as_mut().filter(is_awaited) {
            if replacement.proposed_at.is_none_or(|at| now - at >= REJOIN_DELAY) {
                replacement.proposed_at = Some(now);
                let change = VoterChange { id: replacement.id, old: replacement.old.id, new: sender };
                self.propose_voter_change(now, &change);
            }
            return;
        }
        let Some(old) = node.table.voters.values().find(|voter| voter.name == sender.name) else { return };
        if old.id == sender.id {
            return;
        }
        // Only once the former identity was silent for some time: two processes may bear one name for a moment.
        let (old, is_active) = (old.id, node.is_recently_active(old.id));
        let since = *leader.rejoining.entry(sender.name.clone()).or_insert(now);
        if is_active || now - since < REJOIN_DELAY {
            return;
        }
        leader.rejoining.insert(sender.name.clone(), now);
        let id = hash(&[b"taken in", &sender.id.0.to_be_bytes()]);
        self.propose_voter_change(now, &VoterChange { id, old, new: sender });
    }

    /// Removes the old voter and adds the new one at once, by joint consensus (Raft, section 6): at no time is
    /// there a majority that shares no voter with another one.
    fn propose_voter_change(&mut self, now: Time, change: &VoterChange) {
        let mut conf_change = ConfChangeV2::default();
        let steps = [(ConfChangeType::RemoveNode, change.old.0), (ConfChangeType::AddNode, change.new.id.0)];
        for (change_type, id) in steps {
            let mut single = ConfChangeSingle::default();
            single.set_change_type(change_type);
            single.node_id = id;
            conf_change.changes.push(single);
        }
        conf_change.context = postcard::to_allocvec(change).unwrap_or_default().into();
        debug_assert!(conf_change.write_to_bytes().is_ok());
        let (id, addr) = (change.new.id.0, change.new.addr);
        self.with_raft(now, |node| {
            node.learn_address(id, addr);
            // Refused while another change is under way; it is proposed again.
            let _ = node.raft.propose_conf_change(Vec::new(), conf_change);
        });
    }

    /// A change of voters is applied.
    pub(crate) fn on_voter_replaced(&mut self, id: u64) {
        let Some(leader) = self.leader.as_mut() else { return };
        if let Some(replacement) = leader.replacement.take_if(|replacement| replacement.id == id)
            && let Some(caller) = replacement.caller
        {
            self.respond(caller.addr, caller.number, Response::Done);
        }
    }

    /// Invites a member that is to become a voter, while an operator waits for it.
    pub(crate) fn tick_leader(&mut self, now: Time) {
        let Some(leader) = self.leader.as_mut() else { return };
        let is_waited_for = |replacement: &Replacement| {
            replacement.caller.as_ref().is_some_and(|caller| now - caller.since < REPLACEMENT_TIMEOUT)
        };
        leader.replacement.take_if(|replacement| !is_waited_for(replacement));
        let is_due = |replacement: &&mut Replacement| now - replacement.invited_at >= INVITE_INTERVAL;
        if let Some(replacement) = leader.replacement.as_mut().filter(is_due) {
            replacement.invited_at = now;
            let addr = replacement.addr;
            self.send(addr, &Message::Invite);
        }
    }
}
