//! Replacement of a voter: by an operator's command, or when a voter returns with a new identity after it
//! lost its records.

use std::net::SocketAddrV4;

use lynxstair::types::{Span, Time};
use protobuf::Message as _;
use raft::eraftpb::{ConfChangeSingle, ConfChangeType, ConfChangeV2};
use serde::{Deserialize, Serialize};

use super::Caller;
use crate::identity::{VoterId, VoterInfo, hash};
use crate::message::{Message, Response};
use crate::voter::Voter;

/// Time before a voter with a new identity replaces its former one, and before a change of voters that did
/// not take effect is proposed again.
const REJOIN_DELAY: Span = Span::from_millis(1_000);
/// Interval between invitations to a member that is to become a voter.
const INVITE_INTERVAL: Span = Span::from_millis(250);
/// Time without a repetition of the operator's command after which a replacement is cancelled.
const REPLACEMENT_TIMEOUT: Span = Span::from_millis(10_000);

/// A change of voters, stored as context of the configuration change in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct VoterChange {
    /// Id of the operator's command, or a hash of the new voter's id.
    pub id: u64,
    pub old: VoterId,
    pub new: VoterInfo,
}

/// A replacement that an operator has requested and that is not finished.
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
    /// Starts the replacement of a voter by another member, which is invited repeatedly until it is a voter
    /// or the replacement is cancelled.
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
            // This voter is the leader and must not remove itself. It transfers the leadership; the retry
            // of the request reaches the new leader.
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
                let reason =
                    format!("{} is being replaced; only one voter can be replaced at a time", other.old.name);
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

    /// Handles a hello from a member without a table. If it is the target of a replacement, or has the name
    /// of a voter but a new identity, the change of voters is proposed.
    pub(crate) fn handle_voter_without_table(&mut self, now: Time, sender: VoterInfo) {
        let (Some(node), Some(leader)) = (self.node.as_ref(), self.leader.as_mut()) else { return };
        let is_target = |replacement: &&mut Replacement| {
            replacement.new == sender.name && replacement.old.id != sender.id
        };
        if let Some(replacement) = leader.replacement.as_mut().filter(is_target) {
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
        // Two processes can have the same name for a moment, so wait until the former identity is inactive.
        let (old, is_active) = (old.id, node.is_recently_active(old.id));
        let since = *leader.rejoining_since.entry(sender.name.clone()).or_insert(now);
        if is_active || now - since < REJOIN_DELAY {
            return;
        }
        leader.rejoining_since.insert(sender.name.clone(), now);
        let id = hash(&[b"taken in", &sender.id.0.to_be_bytes()]);
        self.propose_voter_change(now, &VoterChange { id, old, new: sender });
    }

    /// Proposes to remove the old voter and add the new one in one step, by joint consensus (Raft, section
    /// 6), so that any two quorums overlap at all times.
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
            // Rejected while another change is in progress; it is proposed again later.
            let _ = node.raft.propose_conf_change(Vec::new(), conf_change);
        });
    }

    /// Called when a change of voters has been applied. Responds to the operator that requested it.
    pub(crate) fn on_voter_replaced(&mut self, id: u64) {
        let Some(leader) = self.leader.as_mut() else { return };
        if let Some(replacement) = leader.replacement.take_if(|replacement| replacement.id == id)
            && let Some(caller) = replacement.caller
        {
            self.respond(caller.addr, caller.number, Response::Done);
        }
    }

    /// Repeats the invitation of a replacement, and cancels a replacement that no operator waits for any
    /// more.
    pub(crate) fn tick_leader(&mut self, now: Time) {
        let Some(leader) = self.leader.as_mut() else { return };
        let is_waited_for = |replacement: &Replacement| {
            replacement.caller.as_ref().is_some_and(|caller| now - caller.received_at < REPLACEMENT_TIMEOUT)
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
