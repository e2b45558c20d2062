//! Membership: who votes. A newcomer is a learner: it gets what is stored and counts for nothing. The leader makes
//! it a voter once it holds everything and there is a place for it; whoever it replaces leaves in a change of its
//! own. Each change concerns one disk and is committed before the next, so that majorities before and after have a
//! voter in common.
//!
//! Who is gone for good is not told. It is concluded: from SIGTERM, as far as the one that ends says so; from silence
//! while a learner that holds everything waits; from another disk that answers at a voter's address.

use lynxstair::types::{Span, Time};
use lynxstair_protocol::consensus::{Member, Message, State};
use lynxstair_protocol::messages::Bytes;

use crate::replication::ROUND;
use crate::role::{Contact, Leading, Progress, Role};
use crate::{Cairn, Do, Node};

/// No more learners are spoken to, and none that was not seen for so long.
pub const MOST_LEARNERS: usize = 8;
const LEARNER_UNSEEN: Span = Span::from_millis(5_000);
/// A voter that is silent for this part of the time in which a machine that came back still counts as lost is
/// replaced where a learner waits: its successor has to hold everything before that time is over.
pub(crate) const SILENT_PART: f64 = 0.5;
/// A learner is made a voter only if it was heard so lately.
const HEARD: Span = Span::from_millis(400);
/// What the one that ends said counts for so long: it repeats it each round.
const LEAVING_COUNTS: Span = Span::from_millis(1_000);
/// One that is to end waits no longer for its successor.
const LEAVE_PATIENCE: Span = Span::from_millis(1_500);
/// After handing over, or where nobody waits for its place, it stays so long at least, so that others lead by then.
const LEAVE_AT_LEAST: Span = Span::from_millis(250);

impl Cairn {
    /// A hut is here, as its line tells: where it is no voter, the leader speaks to it from now on.
    pub fn meet(&mut self, now: Time, node: Node) {
        if node == self.me {
            return;
        }
        let voters = &self.record.state.voters;
        let Role::Leader(l) = &mut self.role else { return };
        let learners = l.contacts.keys().filter(|n| !voters.iter().any(|m| m.node == **n)).count();
        match l.contacts.get_mut(&node) {
            Some(contact) => contact.seen_at = now,
            None if learners < MOST_LEARNERS => {
                l.contacts.insert(node, Contact::seen(now));
            }
            None => {}
        }
    }

    /// A line to another hut is open, perhaps anew: what was on an earlier one may be lost.
    pub fn reached(&mut self, node: Node) {
        if let Role::Leader(l) = &mut self.role
            && let Some(contact) = l.contacts.get_mut(&node)
        {
            contact.sent = None;
        }
    }

    /// Those that hold copies and have no vote, as far as this leader knows.
    pub fn learners(&self) -> Vec<Member> {
        let Role::Leader(l) = &self.role else { return Vec::new() };
        let voters = &self.record.state.voters;
        l.progress
            .keys()
            .filter(|m| !voters.contains(m) && l.disk_at(m.node).is_some_and(|(d, _)| d == *m))
            .copied()
            .collect()
    }

    /// A leader brings the voters one step nearer to what they should be, where nothing else is open.
    pub(crate) fn change_voters(&mut self, now: Time) {
        self.forget_learners(now);
        if !self.leads() || self.is_open() || self.leaving.is_some() {
            return;
        }
        let Role::Leader(l) = &self.role else { return };
        let state = &self.record.state;
        let mut next = State { book: Bytes::default(), ..state.clone() };
        let leave = |next: &mut State, gone: Member| {
            next.voters.retain(|m| *m != gone);
            next.outgoing = next.outgoing.filter(|m| *m != gone);
        };
        if let Some(emptied) = self.replaced(l) {
            // It holds nothing and has forgotten its votes: no majority may be formed with it.
            leave(&mut next, emptied);
        } else if let Some(gone) = state.outgoing {
            if gone == self.own() {
                // It hands over first: a leader that has no vote would count itself.
                return;
            }
            leave(&mut next, gone);
        } else if state.voters.len() > self.wanted {
            let Some(gone) = self.departed(now, l) else { return };
            leave(&mut next, gone);
        } else if let Some(learner) = self.caught_up(now, l) {
            let departed = self.departed(now, l);
            if state.voters.len() == self.wanted {
                if departed.is_none() {
                    return;
                }
                // So that the next leader need not find out anew: until it is gone, a majority is one of four.
                next.outgoing = departed;
            }
            next.voters.push(learner);
            next.voters.sort();
            #[cfg(feature = "deliberate-faults")]
            if self.has(crate::Fault::TwoAtOnce)
                && let Some(gone) = next.outgoing
            {
                leave(&mut next, gone);
            }
        } else {
            return;
        }
        next.book = state.book.clone();
        self.change_to(now, next);
    }

    /// One other voter that is gone, or is about to be.
    fn departed(&self, now: Time, l: &Leading) -> Option<Member> {
        let own = self.own();
        let others = self.record.state.voters.iter().copied().filter(|m| *m != own);
        let left = others.clone().find(|m| l.progress.get(m).is_some_and(|p| is_leaving(now, p)));
        let silent = |p: &Progress| now - p.heard_at > self.silent;
        left.or_else(|| others.clone().find(|m| l.progress.get(m).is_none_or(silent)))
    }

    fn change_to(&mut self, now: Time, state: State) {
        self.write(now, state);
        let others = self.others();
        if let Role::Leader(l) = &mut self.role {
            for member in others {
                l.contacts.entry(member.node).or_insert_with(|| Contact::seen(now));
                l.progress.entry(member).or_insert_with(|| Progress::unheard(now));
            }
        }
        self.count(now);
        self.speak(now);
    }

    /// A learner that holds everything and is heard.
    fn caught_up(&self, now: Time, l: &Leading) -> Option<Member> {
        let voters = &self.record.state.voters;
        let fit = |(m, p): &(&Member, &Progress)| {
            !voters.iter().any(|v| v.node == m.node)
                && l.disk_at(m.node).is_some_and(|(disk, _)| disk == *m)
                && p.stored == self.committed
                && now - p.heard_at < HEARD
                && !is_leaving(now, p)
        };
        l.progress.iter().find(fit).map(|(m, _)| *m)
    }

    /// A voter at whose address another disk answers: it was emptied.
    fn replaced(&self, l: &Leading) -> Option<Member> {
        let voters = self.record.state.voters.iter();
        voters.copied().find(|m| l.disk_at(m.node).is_some_and(|(disk, _)| disk != m))
    }

    fn forget_learners(&mut self, now: Time) {
        let voters = &self.record.state.voters;
        let Role::Leader(l) = &mut self.role else { return };
        let votes = |n: &Node| voters.iter().any(|m| m.node == *n);
        l.contacts.retain(|n, c| votes(n) || now - c.seen_at < LEARNER_UNSEEN);
        let contacts = &l.contacts;
        l.progress.retain(|m, _| contacts.contains_key(&m.node));
        // A disk that was there before another at the same address is let go of, unless it votes.
        let newest: Vec<Member> = contacts.keys().filter_map(|n| l.disk_at(*n).map(|(m, _)| *m)).collect();
        l.progress.retain(|m, _| voters.contains(m) || newest.contains(m));
    }

    // ---- one that is to end ----

    /// This process was told to end. A leader hands over; then it asks to be replaced, where somebody can.
    pub fn leave(&mut self, now: Time) {
        if self.leaving.is_none() {
            self.leaving = Some((now, now.saturating_sub(ROUND)));
            self.hand_over(now);
            self.say_leaving(now);
        }
    }

    /// Whether the process may end now: it does not lead, and is replaced, or waits no longer for that.
    pub fn may_end(&self, now: Time) -> bool {
        let Some((since, _)) = self.leaving else { return false };
        let leads = matches!(&self.role, Role::Leader(_)) && !self.others().is_empty();
        let is_out = self.committed == self.record.last && !self.is_voter() && !leads;
        is_out && now - since >= LEAVE_AT_LEAST || now - since >= LEAVE_PATIENCE
    }

    pub(crate) fn say_leaving(&mut self, now: Time) {
        let Role::Follower { leader, .. } = &self.role else { return };
        let (leader, Some((since, said_at))) = (*leader, self.leaving) else { return };
        if now - said_at >= ROUND {
            self.leaving = Some((since, now));
            let message = Message::Leaving { disk: self.record.disk };
            self.out.extend(leader.map(|leader| Do::Say(leader, message)));
        }
    }

    pub(crate) fn heard_leaving(&mut self, now: Time, from: Member) {
        let Role::Leader(l) = &mut self.role else { return };
        if let Some(progress) = l.progress.get_mut(&from) {
            progress.leaving_at = Some(now);
            self.change_voters(now);
        }
    }
}

fn is_leaving(now: Time, progress: &Progress) -> bool {
    progress.leaving_at.is_some_and(|at| now - at < LEAVING_COUNTS)
}
