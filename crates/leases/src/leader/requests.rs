//! Requests that the leader handles: claims, renewals and releases of duties, stores of state, commands of
//! operators, and reads of the table.

use std::net::SocketAddrV4;

use lynxstair::types::{Span, Time};
use raft::ReadState;

use super::{Caller, ConfirmedRead, LeaderState, MAX_PENDING};
use crate::identity::Epoch;
use crate::message::{AdminCommand, Message, Request, Response};
use crate::raft_node::RaftNode;
use crate::table::{Command, Lease, Outcome, Owner};
use crate::voter::Voter;

/// Time after which a read that no quorum has confirmed is dropped.
const READ_TIMEOUT: Span = Span::from_millis(3_000);
/// Time after which the caller of a pending command is removed and gets no response.
const COMMAND_TIMEOUT: Span = Span::from_millis(10_000);
/// Maximum number of members that are notified when a duty is released.
const MAX_NOTIFIED_MEMBERS: usize = 3;

/// Response to a caller that does not own the duty, with its owner and epoch.
fn denied(lease: Option<&Lease>) -> Response {
    let owner = lease.and_then(|lease| lease.owner.as_ref()).map(|owner| owner.name.clone());
    Response::Denied { epoch: lease.map_or(Epoch(0), |lease| lease.epoch), owner }
}

/// Response to an operator's command, rejected for the given reason or done.
fn admin_response(rejection: Option<&str>) -> Response {
    rejection.map_or(Response::Done, |reason| Response::Refused { reason: reason.to_string() })
}

impl Voter {
    /// Handles a request of a member. Does nothing if this voter is not the leader.
    pub(crate) fn handle_request(
        &mut self,
        now: Time,
        addr: SocketAddrV4,
        name: &str,
        number: u64,
        request: &Request,
    ) {
        let (Some(node), Some(leader)) = (self.node.as_ref(), self.leader.as_mut()) else { return };
        // Until a leader has applied an entry of its own term, it does not know which entries of earlier
        // terms are committed (Raft, section 8).
        let applied_term = node.raft.raft.raft_log.term(node.applied).unwrap_or(0);
        if applied_term != leader.term {
            let reason = "the new leader has not applied an entry of its term yet".to_string();
            return self.respond(addr, number, Response::Unavailable { reason });
        }
        if let Request::Claim { duty, .. } | Request::Renew { duty, .. } = request {
            leader.remember_caller(duty, name, addr);
        }
        let caller = Caller { addr, name: name.to_string(), number, received_at: now };
        match request {
            Request::Claim { duty, incarnation, highest_epoch } => {
                let to = Owner { name: name.to_string(), incarnation: *incarnation };
                self.handle_claim(now, caller, request, duty, to, *highest_epoch);
            }
            Request::Renew { duty, incarnation, epoch } => {
                self.handle_renewal(now, caller, request, duty, *incarnation, *epoch);
            }
            Request::Release { duty, epoch } => {
                let (duty, epoch, from) = (duty.clone(), *epoch, name.to_string());
                self.propose(now, caller, &Command::Release { duty, epoch, from });
            }
            Request::Store { duty, epoch, state } => {
                let (duty, epoch, state) = (duty.clone(), *epoch, state.clone());
                self.propose(now, caller, &Command::Store { duty, epoch, state });
            }
            Request::Admin { id, command } => self.handle_admin_command(now, caller, *id, command),
            Request::ReadTable => self.answer_after_quorum_read(now, caller, request),
        }
    }

    fn handle_claim(
        &mut self,
        now: Time,
        caller: Caller,
        request: &Request,
        duty: &str,
        to: Owner,
        highest_epoch: Epoch,
    ) {
        let (Some(node), Some(leader)) = (self.node.as_ref(), self.leader.as_mut()) else { return };
        let lease = node.table.duties.get(duty);
        if lease.is_some_and(|lease| lease.is_held_by(&to.name, to.incarnation)) {
            if leader.count_claim_by_owner(now, duty, &to.name) {
                self.answer_after_quorum_read(now, caller, request);
            }
            return;
        }
        let is_free = leader.may_grant(now, self.times.lease, lease, duty, &to.name);
        if leader.pending_grants.contains(duty) || !is_free {
            let response = denied(lease);
            return self.respond(caller.addr, caller.number, response);
        }
        let grant = Command::Grant {
            duty: duty.to_string(),
            to,
            expected_epoch: lease.map_or(Epoch(0), |lease| lease.epoch),
            highest_epoch,
            granted_at: now.nanos(),
            granted_by: self.info.name.clone(),
        };
        self.propose(now, caller, &grant);
    }

    fn handle_renewal(
        &mut self,
        now: Time,
        caller: Caller,
        request: &Request,
        duty: &str,
        incarnation: u64,
        epoch: Epoch,
    ) {
        let (Some(node), Some(leader)) = (self.node.as_ref(), self.leader.as_mut()) else { return };
        let lease = node.table.duties.get(duty);
        // During a hand-over the renewal is denied, on which the owner releases the duty at once.
        let may_renew = |lease: &Lease| {
            lease.epoch == epoch
                && lease.is_held_by(&caller.name, incarnation)
                && lease.reserved_for.is_none()
        };
        if lease.is_some_and(may_renew) {
            leader.unrenewed_claims.remove(duty);
            leader.penalties.remove(&caller.name);
            self.answer_after_quorum_read(now, caller, request);
        } else {
            let response = denied(lease);
            self.respond(caller.addr, caller.number, response);
        }
    }

    fn handle_admin_command(&mut self, now: Time, caller: Caller, id: u64, command: &AdminCommand) {
        let Some(node) = self.node.as_ref() else { return };
        if let Some(rejection) = node.table.admin_result(id) {
            let response = admin_response(rejection);
            return self.respond(caller.addr, caller.number, response);
        }
        match command.clone() {
            AdminCommand::HandOver { duty, to } => {
                self.propose(now, caller, &Command::HandOver { id, duty, to });
            }
            AdminCommand::Depose { duty } => self.propose(now, caller, &Command::Depose { id, duty }),
            AdminCommand::ReplaceVoter { old, new, addr } => {
                self.replace_voter(now, caller, id, &old, &new, addr);
            }
        }
    }

    /// Answers the request once a quorum has confirmed that this voter is still the leader, so that the
    /// response reflects the table at some time after the request was sent (Raft, section 8).
    fn answer_after_quorum_read(&mut self, now: Time, caller: Caller, request: &Request) {
        let Some(leader) = self.leader.as_mut() else { return };
        leader.pending_reads.retain(|_, (caller, _)| now - caller.received_at < READ_TIMEOUT);
        if leader.pending_reads.len() >= MAX_PENDING {
            return;
        }
        let key = leader.next_key();
        leader.pending_reads.insert(key, (caller, request.clone()));
        self.with_raft(now, |node| node.raft.read_index(key.to_be_bytes().to_vec()));
    }

    /// Proposes a command for replication. A command that `raft` rejects is dropped; the sender retries the
    /// request.
    fn propose(&mut self, now: Time, caller: Caller, command: &Command) {
        let Some(leader) = self.leader.as_mut() else { return };
        leader.pending_commands.retain(|_, caller| now - caller.received_at < COMMAND_TIMEOUT);
        if leader.pending_commands.len() >= MAX_PENDING {
            return;
        }
        let key = leader.next_key();
        leader.pending_commands.insert(key, caller);
        let granted_duty = match command {
            Command::Grant { duty, .. } => Some(duty.clone()),
            _ => None,
        };
        leader.pending_grants.extend(granted_duty.clone());
        let mut is_accepted = false;
        self.with_raft(now, |node| {
            is_accepted = node.raft.propose(key.to_be_bytes().to_vec(), command.encode()).is_ok();
        });
        if let (false, Some(duty), Some(leader)) = (is_accepted, granted_duty, self.leader.as_mut()) {
            leader.pending_grants.remove(&duty);
        }
    }

    /// Takes reads that a quorum has confirmed, and answers those whose index is applied.
    pub(crate) fn on_reads_confirmed(&mut self, now: Time, node: &mut RaftNode, reads: Vec<ReadState>) {
        let Some(leader) = self.leader.as_mut() else { return };
        for read in reads {
            let Ok(key) = read.request_ctx.as_slice().try_into().map(u64::from_be_bytes) else { continue };
            if let Some((caller, request)) = leader.pending_reads.remove(&key) {
                leader.confirmed_reads.push(ConfirmedRead { index: read.index, caller, request });
            }
        }
        let applied = node.applied;
        let is_applied = |read: &ConfirmedRead| read.index <= applied;
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut leader.confirmed_reads).into_iter().partition(is_applied);
        leader.confirmed_reads = later;
        for read in due {
            if let Some(response) = self.answer_read(now, node, &read.caller, &read.request) {
                self.respond(read.caller.addr, read.caller.number, response);
            }
        }
    }

    /// Returns the response to a confirmed read, or `None` if it is not answered. The sender then retries.
    fn answer_read(
        &mut self,
        now: Time,
        node: &RaftNode,
        caller: &Caller,
        request: &Request,
    ) -> Option<Response> {
        let (Request::Claim { duty, incarnation, .. } | Request::Renew { duty, incarnation, .. }) = request
        else {
            return Some(self.table_response(node));
        };
        let leader = self.leader.as_mut()?;
        // A grant of the duty is pending, so the lease of the current owner must not be extended.
        if leader.pending_grants.contains(duty) {
            return None;
        }
        match node.table.duties.get(duty) {
            Some(lease) if lease.is_held_by(&caller.name, *incarnation) => {
                // The owner counts its lease from when it sent the request, so it expires there first.
                leader.lease_expirations.insert(duty.clone(), now + self.times.lease);
                Some(Response::Granted { epoch: lease.epoch, state: lease.state.clone() })
            }
            lease => Some(denied(lease)),
        }
    }

    fn table_response(&self, node: &RaftNode) -> Response {
        Response::Table {
            duties: node.table.duties.iter().map(|(duty, lease)| (duty.clone(), lease.clone())).collect(),
            voters: node.table.voters.values().cloned().collect(),
            leader: self.info.name.clone(),
        }
    }

    /// Called when a command has been applied. Notifies members of a changed duty and responds to the
    /// caller.
    pub(crate) fn on_command_applied(
        &mut self,
        now: Time,
        node: &RaftNode,
        context: &[u8],
        command: &Command,
        outcome: &Outcome,
    ) {
        let Some(leader) = self.leader.as_mut() else { return };
        if let Command::Grant { duty, .. } = command {
            leader.pending_grants.remove(duty);
        }
        match outcome {
            Outcome::Granted { duty, .. } => {
                leader.lease_expirations.insert(duty.clone(), now + self.times.lease);
                leader.unrenewed_claims.remove(duty);
            }
            Outcome::Released { duty, .. } => {
                leader.released_at.insert(duty.clone(), now);
            }
            Outcome::Updated | Outcome::Rejected(_) => {}
        }
        let notified = leader.members_to_notify(node, command, outcome);
        let key = context.try_into().map(u64::from_be_bytes).unwrap_or_default();
        let caller = leader.pending_commands.remove(&key);
        for (addr, duty) in notified {
            self.send(addr, &Message::DutyChanged { duty });
        }
        if let Some(caller) = caller {
            let response = command_response(node, command, outcome);
            self.respond(caller.addr, caller.number, response);
        }
    }
}

impl LeaderState {
    /// Returns the members to notify of a changed duty: those that may claim a released duty, or the owner
    /// that has to hand it over.
    fn members_to_notify(
        &self,
        node: &RaftNode,
        command: &Command,
        outcome: &Outcome,
    ) -> Vec<(SocketAddrV4, String)> {
        let mut notified = Vec::new();
        if let Outcome::Released { duty, from, .. } = outcome {
            let reserved_for = node.table.duties.get(duty).and_then(|lease| lease.reserved_for.as_deref());
            let may_claim = |(of, name): &(String, String)| {
                of == duty && *name != from.name && reserved_for.is_none_or(|reserved| reserved == name)
            };
            let addrs = self.known_callers.iter().filter(|(key, _)| may_claim(key)).map(|(_, addr)| *addr);
            notified.extend(addrs.take(MAX_NOTIFIED_MEMBERS).map(|addr| (addr, duty.clone())));
        }
        if let Command::HandOver { duty, .. } = command {
            let owner = node.table.duties.get(duty).and_then(|lease| lease.owner.as_ref());
            let key = owner.map(|owner| (duty.clone(), owner.name.clone()));
            let addr = key.and_then(|key| self.known_callers.get(&key));
            notified.extend(addr.map(|addr| (*addr, duty.clone())));
        }
        notified
    }
}

fn command_response(node: &RaftNode, command: &Command, outcome: &Outcome) -> Response {
    match (command, outcome) {
        (Command::Grant { duty, .. }, Outcome::Granted { epoch, .. }) => {
            let lease = node.table.duties.get(duty);
            let state = lease.map(|lease| lease.state.clone()).unwrap_or_default();
            Response::Granted { epoch: *epoch, state }
        }
        (Command::Grant { duty, .. }, _) => denied(node.table.duties.get(duty)),
        // Rejected if the duty is already released, for example by the same request.
        (Command::Release { .. }, _) => Response::Done,
        // A repeated command is rejected; the table has the result of the first one.
        (Command::HandOver { id, .. } | Command::Depose { id, .. }, _) => {
            admin_response(node.table.admin_result(*id).flatten())
        }
        (Command::Store { .. }, Outcome::Rejected(reason)) => {
            Response::Refused { reason: (*reason).to_string() }
        }
        (Command::Store { .. }, _) => Response::Done,
    }
}
