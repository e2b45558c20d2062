//! Replication: heartbeat rounds, what is stored on which disk, and what is committed by that.

use lynxstair::types::{Span, Time};
use lynxstair_protocol::consensus::{LogId, Member, Message, State};
use lynxstair_protocol::messages::Bytes;

use crate::reads::READ_GAP;
use crate::role::{Progress, Role};
use crate::{Cairn, Do, Node};

/// How often a leader speaks.
pub(crate) const ROUND: Span = Span::from_millis(100);
/// A leader that no majority answered for so long steps down; one whose disk owes a write for so long, too.
pub(crate) const UNHEARD: Span = Span::from_millis(800);
pub(crate) const DISK_OWES: Span = Span::from_millis(700);
/// A state that was sent is sent again where no word of it came for so many rounds.
const ROUNDS_UNTOLD: u64 = 10;
/// A leader waits so long for voters before what it acknowledges is on fewer disks than it should be.
const THIN: Span = Span::from_millis(3_000);
/// So many rounds are remembered by their beginning: some seconds.
const MOST_ROUNDS: usize = 64;

impl Cairn {
    /// Proposes the state that is to replace the committed one; its number, or None where it can't.
    pub fn propose(&mut self, now: Time, state: Vec<u8>) -> Option<u64> {
        if !self.leads() || self.is_open() || self.leaving.is_some() || self.is_thin(now) {
            return None;
        }
        let number = self.next_number();
        let last = self.write(now, State { book: Bytes(state.into()), ..self.record.state.clone() });
        if let Role::Leader(l) = &mut self.role {
            l.proposed = Some((number, last));
        }
        self.speak(now);
        Some(number)
    }

    /// Whether a majority is fewer disks than may be lost at once and one more, and voters may be on their way: so it is
    /// just after the founding, and while emptied disks are taken out and in. Not for long: those that are not there by
    /// then are lost already.
    fn is_thin(&mut self, now: Time) -> bool {
        let is_thin = self.majority() <= self.tolerated;
        let Role::Leader(l) = &mut self.role else { return false };
        l.thin_since = is_thin.then(|| l.thin_since.unwrap_or(now));
        l.thin_since.is_some_and(|since| now - since < THIN)
    }

    /// A leader's next state.
    pub(crate) fn write(&mut self, now: Time, state: State) -> LogId {
        let last = LogId { term: self.record.term, index: self.record.last.index + 1 };
        self.record.last = last;
        self.record.state = state;
        self.save(now, Vec::new());
        last
    }

    /// A leader whose time has come steps down, hands over, mends the voters, or begins a round.
    pub(crate) fn keep_leading(&mut self, now: Time) {
        let owes = self.waiting.front().is_some_and(|w| now - w.since > DISK_OWES);
        let Role::Leader(l) = &mut self.role else { return };
        l.checked_at = now;
        let pause = if l.round_wanted { READ_GAP } else { ROUND };
        let is_due = now >= l.said_at + pause;
        if now - l.sure_at > UNHEARD || owes {
            return self.follow(now, None);
        }
        self.is_thin(now);
        self.hand_over(now);
        self.change_voters(now);
        if is_due {
            self.speak(now);
        }
    }

    /// A leader begins a round: says to all what stands.
    pub(crate) fn speak(&mut self, now: Time) {
        let (term, last, committed) = (self.record.term, self.record.last, self.committed);
        let state = self.record.state.clone();
        let alone = self.others().is_empty();
        let Role::Leader(l) = &mut self.role else { return };
        l.round += 1;
        l.said_at = now;
        l.round_wanted = false;
        l.begun.push_back((l.round, now));
        if l.begun.len() > MOST_ROUNDS {
            l.begun.pop_front();
        }
        let stored: Vec<LogId> =
            l.contacts.keys().map(|n| l.disk_at(*n).map_or(LogId::default(), |(_, p)| p.stored)).collect();
        for ((to, contact), stored) in l.contacts.iter_mut().zip(stored) {
            // Sent once, and again where no word of it came.
            let untold = |(sent, round)| sent != last || l.round > round + ROUNDS_UNTOLD;
            let is_due = stored != last && contact.sent.is_none_or(untold);
            if is_due {
                contact.sent = Some((last, l.round));
            }
            let state = is_due.then(|| state.clone());
            let (echo, fresh) = match contact.clock {
                // What the other did between its answer and now is later than its answer.
                Some((clock, came)) if l.sure_at <= came => (clock, Some((came - l.sure_at).nanos())),
                Some((clock, _)) => (clock, Some(0)),
                None => (0, None),
            };
            let fresh = fresh.filter(|_| committed.term == term);
            let message = Message::Append { term, round: l.round, last, state, committed, echo, fresh };
            self.out.push(Do::Say(*to, message));
        }
        if alone {
            l.sure_at = now;
            l.sure_round = l.round;
            self.answer_reads();
        }
    }

    pub(crate) fn append(
        &mut self,
        now: Time,
        from: Node,
        (term, round): (u64, u64),
        last: LogId,
        state: Option<State>,
        committed: LogId,
    ) {
        if term > self.record.term {
            self.enter(now, term, None);
        }
        self.has_heard = true;
        match &mut self.role {
            Role::Follower { leader, heard_at } => {
                *leader = Some(from);
                *heard_at = now;
            }
            _ => self.follow(now, Some(from)),
        }
        if let Some(state) = state
            && last > self.record.last
        {
            self.record.last = last;
            self.record.state = state;
            let (disk, clock) = (self.record.disk, now.nanos());
            let reply = Message::AppendReply { term, round, stored: last, disk, clock };
            self.save(now, vec![(from, reply)]);
        }
        // Heard at once, whatever the disk does; what is stored is said when it is.
        let reply = self.append_reply(now, round);
        self.out.push(Do::Say(from, reply));
        if committed > self.committed && committed == self.record.last {
            self.commit(committed);
        }
    }

    pub(crate) fn append_reply(&self, now: Time, round: u64) -> Message {
        let (disk, clock) = (self.record.disk, now.nanos());
        Message::AppendReply { term: self.record.term, round, stored: self.saved, disk, clock }
    }

    /// An answer of this term came back.
    pub(crate) fn append_replied(&mut self, now: Time, from: Member, round: u64, stored: LogId, clock: u64) {
        let (majority, others) = (self.majority(), self.others());
        let Role::Leader(l) = &mut self.role else { return };
        let Some(contact) = l.contacts.get_mut(&from.node) else { return };
        contact.seen_at = now;
        contact.clock = Some((clock, now));
        let is_new = !l.progress.contains_key(&from);
        let progress = l.progress.entry(from).or_insert_with(|| Progress::unheard(now));
        progress.round = progress.round.max(round);
        progress.heard_at = now;
        // What a disk has stored it keeps: an answer that came late takes nothing back.
        progress.stored = progress.stored.max(stored);
        if is_new {
            // Another disk than the one that was sent something.
            contact.sent = None;
        }
        // The newest round that a majority answered, by the disks that vote.
        let mut rounds: Vec<u64> = others.iter().filter_map(|m| l.progress.get(m)).map(|p| p.round).collect();
        rounds.sort_unstable_by(|a, b| b.cmp(a));
        if majority >= 2
            && let Some(sure) = rounds.get(majority - 2)
        {
            l.sure_round = l.sure_round.max(*sure);
            if let Some((_, at)) = l.begun.iter().find(|(r, _)| r == sure) {
                l.sure_at = l.sure_at.max(*at);
            }
        }
        self.answer_reads();
        self.count(now);
        self.change_voters(now);
    }

    /// Whether what a leader wrote last is now on the disks of a majority of the voters.
    pub(crate) fn count(&mut self, now: Time) {
        let last = self.record.last;
        let voters = &self.record.state.voters;
        let needed = self.majority();
        let own = usize::from(self.saved >= last);
        let Role::Leader(l) = &mut self.role else { return };
        if last.term != self.record.term || self.committed >= last {
            return;
        }
        let holds = |m: &Member| l.progress.get(m).is_some_and(|p| p.stored == last);
        let stored = own + voters.iter().filter(|m| holds(m)).count();
        #[cfg(feature = "deliberate-faults")]
        let stored = match self.fault {
            Some(crate::Fault::LearnerCounts) => own + l.progress.keys().filter(|m| holds(m)).count(),
            _ => stored,
        };
        if stored < needed {
            return;
        }
        let settled = l.proposed.take_if(|(_, at)| *at == last);
        self.commit(last);
        if let Some((number, _)) = settled {
            self.out.push(Do::Settled(number, true));
        }
        self.change_voters(now);
        // Told at once.
        self.speak(now);
    }

    fn commit(&mut self, at: LogId) {
        self.committed = at;
        self.out.push(Do::Committed(at, self.record.state.book.clone()));
    }
}
