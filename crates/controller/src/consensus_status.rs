//! Consensus status of this controller, for log messages and the status API.

use log::info;
use lynxstair::types::Time;
use lynxstair_consensus::{Consensus, NodeAddress};
use lynxstair_protocol::consensus::Member;

/// Returns the role of a node: `leader`, `follower`, `candidate` (a voter that knows no leader) or
/// `learner`.
pub fn role_name(consensus: &Consensus, me: NodeAddress) -> &'static str {
    match (consensus.leader(), consensus.is_voter()) {
        (Some(leader), _) if leader == me => "leader",
        (_, false) => "learner",
        (Some(_), _) => "follower",
        (None, _) => "candidate",
    }
}

/// Status that was logged last.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoggedStatus {
    role: &'static str,
    term: u64,
    leader: Option<NodeAddress>,
    voters: Vec<Member>,
    outgoing: Option<Member>,
    learners: Vec<Member>,
    has_quorum_contact: bool,
}

impl LoggedStatus {
    /// Logs the changes since the last call.
    pub fn update(&mut self, now: Time, consensus: &Consensus, me: NodeAddress) {
        let new = LoggedStatus {
            role: role_name(consensus, me),
            term: consensus.term(),
            leader: consensus.leader(),
            voters: consensus.voters().to_vec(),
            outgoing: consensus.outgoing_voter(),
            learners: consensus.learners(),
            has_quorum_contact: consensus.has_quorum_contact(now),
        };
        let old = std::mem::replace(self, new);
        self.log_changes(&old);
    }

    fn log_changes(&self, old: &LoggedStatus) {
        if (old.role, old.term, old.leader) != (self.role, self.term, self.leader) {
            let leader = self.leader.map_or("none".to_string(), |leader| leader.to_string());
            info!(role = self.role, term = self.term, leader = leader; "role changed");
        }
        if (&old.voters, old.outgoing) != (&self.voters, self.outgoing) {
            let outgoing = self.outgoing.map_or("none".to_string(), |member| names(&[member]));
            info!(voters = names(&self.voters), outgoing = outgoing, term = self.term; "voters changed");
        }
        if old.learners != self.learners {
            info!(learners = names(&self.learners), term = self.term; "learners changed");
        }
        if old.has_quorum_contact != self.has_quorum_contact {
            info!(has_quorum_contact = self.has_quorum_contact, term = self.term; "quorum contact changed");
        }
    }
}

fn names(members: &[Member]) -> String {
    let names: Vec<String> = members.iter().map(|m| format!("{}/{:x}", m.node, m.disk)).collect();
    names.join(" ")
}
