//! Elections: one leader a term, chosen by a majority of the voters stored last, only from those that stored as much
//! as each of that majority.

use lynxstair::types::Time;
use lynxstair_protocol::consensus::{LogId, Member, Message};

use crate::role::{Leading, Role, SILENT};
use crate::{Cairn, Do, Node};

impl Cairn {
    /// Asks for votes; by a pre-vote first, so that one who was cut off disturbs nobody.
    pub(crate) fn campaign(&mut self, now: Time, pre: bool) {
        let term = self.record.term + 1;
        let message = Message::RequestVote { term, last: self.record.last, pre };
        let asked: Vec<_> = self.others().into_iter().map(|m| (m.node, message.clone())).collect();
        if pre {
            self.stand_as(Role::PreCandidate { yes: Vec::new(), since: now });
            self.out.extend(asked.into_iter().map(|(to, message)| Do::Say(to, message)));
        } else {
            self.record.term = term;
            self.record.vote = Some(self.me);
            self.stand_as(Role::Candidate { yes: Vec::new(), since: now });
            // Its own vote is on the disk before it asks for others'.
            self.save(now, asked);
        }
        self.elected(now);
    }

    /// Whoever hears a leader has no use for another. Nothing is promised by the answer.
    pub(crate) fn pre_vote(&mut self, now: Time, from: Node, term: u64, last: LogId) {
        let hears = match &self.role {
            Role::Follower { leader: Some(_), heard_at } => now - *heard_at < SILENT,
            Role::Leader(l) => now - l.sure_at < SILENT,
            _ => false,
        };
        let granted = !hears && term > self.record.term && last >= self.record.last;
        // Whoever is behind learns the term from a refusal: asking in an old one, it would be refused for ever.
        let term = if granted { term } else { self.record.term };
        let reply = Message::VoteReply { term, granted, pre: true, disk: self.record.disk };
        self.out.push(Do::Say(from, reply));
    }

    pub(crate) fn vote(&mut self, now: Time, from: Node, term: u64, last: LogId) {
        let behind = term < self.record.term;
        let taken = term == self.record.term && self.record.vote.is_some_and(|v| v != from);
        let granted = !behind && !taken && last >= self.record.last;
        let reply = Message::VoteReply { term, granted, pre: false, disk: self.record.disk };
        if granted {
            if term > self.record.term {
                self.follow(now, None);
            }
            self.record.term = term;
            self.record.vote = Some(from);
            if let Role::Follower { heard_at, .. } = &mut self.role {
                *heard_at = now;
            }
            // A vote goes out only once it is on the disk, also one that is given again: it may still be on its way.
            return self.save(now, vec![(from, reply)]);
        }
        if term > self.record.term {
            self.enter(now, term, None);
        }
        self.out.push(Do::Say(from, reply));
    }

    pub(crate) fn vote_replied(&mut self, now: Time, from: Member, term: u64, granted: bool, pre: bool) {
        if !granted && term > self.record.term {
            return self.enter(now, term, None);
        }
        if !granted {
            return;
        }
        // A vote counts by the disk that gave it: an emptied one, or one that was removed, has none.
        #[cfg(not(feature = "deliberate-faults"))]
        let counts = self.record.state.voters.contains(&from);
        #[cfg(feature = "deliberate-faults")]
        let counts = self.record.state.voters.contains(&from) || self.has(crate::Fault::AnyVoteCounts);
        if !counts {
            return;
        }
        let own_term = self.record.term;
        match &mut self.role {
            Role::PreCandidate { yes, .. } if pre && term == own_term + 1 && !yes.contains(&from) => {
                yes.push(from);
                self.elected(now);
            }
            Role::Candidate { yes, .. } if !pre && term == own_term && !yes.contains(&from) => {
                yes.push(from);
                self.elected(now);
            }
            _ => {}
        }
    }

    fn elected(&mut self, now: Time) {
        let majority = self.majority();
        match &self.role {
            Role::PreCandidate { yes, .. } if yes.len() + 1 >= majority => self.campaign(now, false),
            Role::Candidate { yes, .. } if yes.len() + 1 >= majority => self.lead(now),
            _ => {}
        }
    }

    fn lead(&mut self, now: Time) {
        self.has_heard = true;
        self.stand_as(Role::Leader(Leading::begin(now, &self.others())));
        // What was stored last goes on, written anew in this term: only then does it count.
        let state = self.record.state.clone();
        self.write(now, state);
        self.speak(now);
    }

    /// A leader that is to end, or whose place another has taken, gives way to the voter that holds everything, once nothing of its own is open.
    pub(crate) fn hand_over(&mut self, now: Time) {
        let Role::Leader(l) = &self.role else { return };
        let is_outgoing = self.record.state.outgoing == Some(self.own());
        if self.leaving.is_none() && !is_outgoing || self.is_open() {
            return;
        }
        let voters = &self.record.state.voters;
        let fit = |m: &Member| {
            let progress = l.progress.get(m)?;
            let is_fit = progress.stored == self.record.last
                && progress.leaving_at.is_none()
                && now - progress.heard_at < SILENT;
            is_fit.then_some((progress.round, m.node))
        };
        let Some((_, to)) = voters.iter().filter_map(fit).max() else { return };
        self.out.push(Do::Say(to, Message::TimeoutNow { term: self.record.term }));
        self.follow(now, None);
    }
}
