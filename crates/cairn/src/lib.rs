//! Agreement of the core on the book: one state that replaces the one before, agreed on by a majority of the
//! core with it on their disks. A room without I/O, clock or thread: it is told the time and what was heard, and
//! hands back what to write and what to say. `crates/hut` calls it; it knows nothing of what the state means.
//!
//! The state is small, so a log of changes is not kept: each agreed state holds all before it, and the newest
//! stored one, by the term it was written in and then its number, is what a new leader goes on from.
//!
//! docs/design/agreement.md says why this is safe and what it assumes.
#![forbid(unsafe_code)]

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use lynxstair::rng::Rng;
use lynxstair::types::{Span, Time};
use lynxstair_trailbook::words::{Bytes, Stamp, State, Vote};
use serde::{Deserialize, Serialize};

/// How often a leader speaks, and how long nobody must have heard one before another is asked for.
const ROUND: Span = Span::from_millis(100);
const SILENT: Span = Span::from_millis(450);
/// At a start nobody has been heard yet, and all may have started at once: a shorter time will do.
const SILENT_AT_START: Span = Span::from_millis(150);
/// Drawn on top of that, so that two seldom ask at once.
const DRAWN: Span = Span::from_millis(400);
/// A leader that no majority answered for so long steps down; one whose disk owes a write for so long, too.
const UNHEARD: Span = Span::from_millis(800);
const DISK_OWES: Span = Span::from_millis(700);

/// More cores agree on nothing any better.
const MOST_MEMBERS: usize = 7;

pub type Node = SocketAddr;

/// What a core keeps on its disk, all of it in one write.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Record {
    pub term: u64,
    /// Who got this core's vote in the term.
    pub vote: Option<Node>,
    pub stamp: Stamp,
    /// What was stored last, and which cores agree on what follows: the founders at first.
    pub state: State,
    /// A number drawn when the disk was found emptied; until it is let in again it neither votes nor counts.
    pub lost: Option<u64>,
}

/// What to do, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Do {
    /// Write and sync; then say `saved` with the number, and only then what waits for it.
    Save(u64, Record),
    /// Say it now.
    Say(Node, Vote),
    /// This state is agreed on.
    Agreed(Stamp, Bytes),
    /// What was proposed by this number is agreed on (true), or nobody knows (false).
    Settled(u64, bool),
}

#[derive(Clone, Debug, PartialEq)]
enum Stand {
    Follows {
        leader: Option<Node>,
        heard_at: Time,
    },
    /// Asks whether asking is of use, or asks.
    Asks {
        real: bool,
        yes: Vec<Node>,
        since: Time,
    },
    Leads(Leading),
}

#[derive(Clone, Debug, PartialEq)]
struct Leading {
    round: u64,
    said_at: Time,
    /// When each of the last rounds began.
    begun: VecDeque<(u64, Time)>,
    peers: BTreeMap<Node, Peer>,
    /// A majority, this core with it, answered a round begun then.
    sure_at: Time,
    /// What is proposed, by whoever did so.
    proposed: Option<(u64, Stamp)>,
}

#[derive(Clone, Debug, Default, PartialEq)]
struct Peer {
    round: u64,
    stored: Stamp,
    /// The last state that was sent to it, and in which round.
    sent: Option<(Stamp, u64)>,
    lost: Option<(u64, Time)>,
    /// Its clock in its last answer, and when that came.
    clock: Option<(u64, Time)>,
}

/// A write that is not known to be on the disk, and the words that wait for it.
struct Write {
    number: u64,
    stamp: Stamp,
    since: Time,
    words: Vec<(Node, Vote)>,
}

/// What a core answers to a leader.
struct Back {
    term: u64,
    round: u64,
    stored: Stamp,
    lost: Option<u64>,
    clock: u64,
}

pub struct Cairn {
    me: Node,
    rng: Rng,
    record: Record,
    /// What of the record is known to be on the disk.
    saved: Stamp,
    saves: u64,
    waiting: VecDeque<Write>,
    agreed: Stamp,
    stand: Stand,
    patience: Span,
    /// For a follower: its own clock at which the leader was known to be the only one.
    sure_at: Option<Time>,
    proposals: u64,
    /// A leader was heard, or led here, since the start.
    has_heard: bool,
    /// It was let in again by this write; until that is on the disk it still counts as emptied.
    let_in: Option<u64>,
    was_lost: Option<u64>,
    out: Vec<Do>,
}

impl Cairn {
    /// `found` is what the disk held: nothing at a first start or after it was emptied, told apart by `bootstrap`.
    pub fn start(
        now: Time,
        me: Node,
        seeds: &[Node],
        seed: u64,
        found: Option<Record>,
        bootstrap: bool,
    ) -> Cairn {
        let mut rng = Rng::new(seed);
        let is_new = found.is_none();
        let record = found.unwrap_or_else(|| {
            let mut members = seeds.to_vec();
            members.sort();
            members.dedup();
            let drawn = u64::from(rng.draw()) << 32 | u64::from(rng.draw());
            let lost = (!bootstrap).then_some(drawn);
            Record { lost, state: State { members, ..State::default() }, ..Record::default() }
        });
        let mut cairn = Cairn {
            me,
            rng,
            saved: record.stamp,
            record,
            saves: 0,
            waiting: VecDeque::new(),
            agreed: Stamp::default(),
            stand: Stand::Follows { leader: None, heard_at: now },
            patience: SILENT,
            sure_at: None,
            proposals: 0,
            has_heard: false,
            let_in: None,
            was_lost: None,
            out: Vec::new(),
        };
        if is_new {
            cairn.save(now, Vec::new());
        }
        cairn.rest();
        cairn
    }

    // ---- what others ask of it ----

    pub fn members(&self) -> &[Node] {
        &self.record.state.members
    }

    pub fn leader(&self) -> Option<Node> {
        match &self.stand {
            Stand::Follows { leader, .. } => *leader,
            Stand::Asks { .. } => None,
            Stand::Leads(_) => Some(self.me),
        }
    }

    pub fn term(&self) -> u64 {
        self.record.term
    }

    /// The last state agreed on that is known here.
    pub fn agreed(&self) -> Stamp {
        self.agreed
    }

    /// When this core was last sure that nothing newer than `agreed` was agreed on by others.
    pub fn sure_at(&self) -> Option<Time> {
        match &self.stand {
            Stand::Leads(l) => (self.agreed.term == self.record.term).then_some(l.sure_at),
            _ => self.sure_at,
        }
    }

    /// Whether it may be asked to propose, and to read: it leads, what it began with is agreed on, nothing is open.
    pub fn leads(&self) -> bool {
        matches!(&self.stand, Stand::Leads(_)) && self.agreed.term == self.record.term
    }

    pub fn is_open(&self) -> bool {
        matches!(&self.stand, Stand::Leads(_)) && self.agreed < self.record.stamp
    }

    /// When `tick` has something to do.
    pub fn next_due(&self) -> Time {
        match &self.stand {
            Stand::Follows { heard_at, .. } => *heard_at + self.patience,
            Stand::Asks { since, .. } => *since + self.patience,
            Stand::Leads(l) => l.said_at + ROUND,
        }
    }

    /// What is to be done, in order.
    pub fn todo(&mut self) -> Vec<Do> {
        std::mem::take(&mut self.out)
    }

    // ---- what it is told ----

    /// Proposes the state that is to replace the agreed one; its number, or None where it can't.
    pub fn propose(&mut self, now: Time, state: Vec<u8>) -> Option<u64> {
        if !self.leads() || self.is_open() {
            return None;
        }
        self.proposals += 1;
        let stamp = Stamp { term: self.record.term, index: self.record.stamp.index + 1 };
        let members = self.record.state.members.clone();
        self.write(now, stamp, State { members, book: Bytes(Arc::new(state)) });
        let number = self.proposals;
        if let Stand::Leads(l) = &mut self.stand {
            l.proposed = Some((number, stamp));
        }
        self.speak(now);
        Some(number)
    }

    /// A core that is none of the members speaks: it is taken in, one at a time, while the leader has nothing else
    /// open. It counts from when that is written: each majority of before and after has a core in common.
    pub fn knock(&mut self, now: Time, node: Node) {
        let members = &self.record.state.members;
        if !self.leads() || self.is_open() || members.contains(&node) || members.len() >= MOST_MEMBERS {
            return;
        }
        let mut state = self.record.state.clone();
        state.members.push(node);
        state.members.sort();
        let stamp = Stamp { term: self.record.term, index: self.record.stamp.index + 1 };
        self.write(now, stamp, state);
        if let Stand::Leads(l) = &mut self.stand {
            l.peers.entry(node).or_default();
        }
        self.speak(now);
    }

    /// A write is on the disk.
    pub fn saved(&mut self, now: Time, number: u64) {
        while let Some(write) = self.waiting.pop_front_if(|w| w.number <= number) {
            self.saved = self.saved.max(write.stamp);
            self.out.extend(write.words.into_iter().map(|(to, word)| Do::Say(to, word)));
        }
        if self.let_in.is_some_and(|n| n <= number) {
            (self.let_in, self.was_lost) = (None, None);
        }
        self.count(now);
    }

    /// The number drawn when the disk was emptied, for as long as this core neither votes nor counts.
    fn lost(&self) -> Option<u64> {
        self.record.lost.or(self.was_lost)
    }

    pub fn tick(&mut self, now: Time) {
        if now < self.next_due() {
            return;
        }
        match &self.stand {
            Stand::Leads(l) => {
                let owes = self.waiting.front().is_some_and(|w| now - w.since > DISK_OWES);
                if now - l.sure_at > UNHEARD || owes {
                    self.follow(now, None);
                } else {
                    self.speak(now);
                }
            }
            _ if self.lost().is_some() || !self.record.state.members.contains(&self.me) => {
                self.follow(now, None);
            }
            _ => self.ask(now, false),
        }
    }

    pub fn hear(&mut self, now: Time, from: Node, word: Vote) {
        match word {
            Vote::Ask { term, last, real: false } => {
                // Whoever hears a leader has no use for another.
                let hears = match &self.stand {
                    Stand::Follows { leader: Some(_), heard_at } => now - *heard_at < SILENT,
                    Stand::Leads(l) => now - l.sure_at < SILENT,
                    _ => false,
                };
                let granted =
                    !hears && self.lost().is_none() && term > self.record.term && last >= self.record.stamp;
                // Whoever is behind learns the term from a refusal: asking in an old one, it would be refused for ever.
                let term = if granted { term } else { self.record.term };
                self.out.push(Do::Say(from, Vote::Answer { term, granted, real: false }));
            }
            Vote::Ask { term, last, real: true } => self.vote(now, from, term, last),
            Vote::Answer { term, granted, real } => self.answered(now, from, term, granted, real),
            Vote::Put { term, .. } if term < self.record.term => {
                // An old leader learns from this that it is one.
                let word = self.got(now, 0);
                self.out.push(Do::Say(from, word));
            }
            Vote::Put { term, round, last, state, agreed, echo, fresh } => {
                self.put(now, from, (term, round), last, state, agreed);
                let told = fresh.filter(|_| self.agreed == agreed && self.record.term == term);
                if let Some(ago) = told.filter(|_| echo > 0) {
                    let at = Time::from_nanos(echo.saturating_sub(ago));
                    self.sure_at = self.sure_at.max(Some(at));
                }
            }
            Vote::Got { term, round, stored, lost, clock } => {
                if term > self.record.term {
                    self.enter(now, term, None);
                    return;
                }
                self.heard_back(now, from, &Back { term, round, stored, lost, clock });
            }
            Vote::LetIn { term, lost } => {
                if term == self.record.term && self.record.lost == Some(lost) {
                    self.record.lost = None;
                    // Whatever it voted for in this term, it now stands by the leader that let it in.
                    self.record.vote = Some(from);
                    self.was_lost = Some(lost);
                    self.save(now, Vec::new());
                    self.let_in = Some(self.saves);
                }
            }
        }
    }

    // ---- every change of its stand ----

    fn rest(&mut self) {
        let (silent, drawn) =
            if self.has_heard { (SILENT, DRAWN) } else { (SILENT_AT_START, DRAWN.times(0.6)) };
        self.patience = silent + drawn.times(self.rng.unit());
    }

    fn stand_as(&mut self, stand: Stand) {
        if let Stand::Leads(Leading { proposed: Some((number, _)), .. }) = &self.stand {
            self.out.push(Do::Settled(*number, false));
        }
        self.stand = stand;
        self.rest();
    }

    fn follow(&mut self, now: Time, leader: Option<Node>) {
        self.stand_as(Stand::Follows { leader, heard_at: now });
    }

    /// A later term: whoever leads it is not known yet.
    fn enter(&mut self, now: Time, term: u64, vote: Option<Node>) {
        self.record.term = term;
        self.record.vote = vote;
        self.follow(now, None);
        self.save(now, Vec::new());
    }

    fn ask(&mut self, now: Time, real: bool) {
        let term = self.record.term + 1;
        let last = self.record.stamp;
        let others: Vec<Node> = self.others().collect();
        let ask = |term| move |to| (to, Vote::Ask { term, last, real });
        if real {
            self.record.term = term;
            self.record.vote = Some(self.me);
            self.stand_as(Stand::Asks { real, yes: Vec::new(), since: now });
            self.save(now, others.into_iter().map(ask(term)).collect());
        } else {
            self.stand_as(Stand::Asks { real, yes: Vec::new(), since: now });
            self.out.extend(others.into_iter().map(ask(term)).map(|(to, word)| Do::Say(to, word)));
        }
        self.elected(now);
    }

    fn lead(&mut self, now: Time) {
        self.has_heard = true;
        let peers = self.others().map(|n| (n, Peer::default())).collect();
        let leading =
            Leading { round: 0, said_at: now, begun: VecDeque::new(), peers, sure_at: now, proposed: None };
        self.stand_as(Stand::Leads(leading));
        // What was stored last goes on, written anew in this term: only then does it count.
        let stamp = Stamp { term: self.record.term, index: self.record.stamp.index + 1 };
        let state = self.record.state.clone();
        self.write(now, stamp, state);
        self.speak(now);
    }

    // ---- votes ----

    fn others(&self) -> impl Iterator<Item = Node> {
        let me = self.me;
        self.record.state.members.clone().into_iter().filter(move |n| *n != me)
    }

    fn majority(&self) -> usize {
        self.record.state.members.len() / 2 + 1
    }

    fn vote(&mut self, now: Time, from: Node, term: u64, last: Stamp) {
        let behind = term < self.record.term;
        let taken = term == self.record.term && self.record.vote.is_some_and(|v| v != from);
        let granted = !behind && !taken && self.lost().is_none() && last >= self.record.stamp;
        let answer = Vote::Answer { term, granted, real: true };
        if granted {
            let is_new = term > self.record.term || self.record.vote.is_none();
            if term > self.record.term {
                self.follow(now, None);
            }
            self.record.term = term;
            self.record.vote = Some(from);
            if let Stand::Follows { heard_at, .. } = &mut self.stand {
                *heard_at = now;
            }
            return if is_new {
                self.save(now, vec![(from, answer)])
            } else {
                self.out.push(Do::Say(from, answer))
            };
        }
        if term > self.record.term {
            self.enter(now, term, None);
        }
        self.out.push(Do::Say(from, answer));
    }

    fn answered(&mut self, now: Time, from: Node, term: u64, granted: bool, real: bool) {
        if !granted && term > self.record.term {
            return self.enter(now, term, None);
        }
        let wanted = if real { self.record.term } else { self.record.term + 1 };
        let Stand::Asks { real: asks, yes, .. } = &mut self.stand else { return };
        if *asks == real && granted && term == wanted && !yes.contains(&from) {
            yes.push(from);
            self.elected(now);
        }
    }

    fn elected(&mut self, now: Time) {
        let majority = self.majority();
        let Stand::Asks { real, yes, .. } = &self.stand else { return };
        if yes.len() + 1 < majority {
            return;
        }
        if *real { self.lead(now) } else { self.ask(now, true) }
    }

    // ---- the state ----

    fn write(&mut self, now: Time, stamp: Stamp, state: State) {
        self.record.stamp = stamp;
        self.record.state = state;
        self.save(now, Vec::new());
    }

    /// Writes the record; the words wait for it.
    fn save(&mut self, now: Time, words: Vec<(Node, Vote)>) {
        self.saves += 1;
        let stamp = self.record.stamp;
        self.waiting.push_back(Write { number: self.saves, stamp, since: now, words });
        self.out.push(Do::Save(self.saves, self.record.clone()));
    }

    fn got(&self, now: Time, round: u64) -> Vote {
        Vote::Got { term: self.record.term, round, stored: self.saved, lost: self.lost(), clock: now.nanos() }
    }

    fn put(
        &mut self,
        now: Time,
        from: Node,
        (term, round): (u64, u64),
        last: Stamp,
        state: Option<State>,
        agreed: Stamp,
    ) {
        if term > self.record.term {
            self.enter(now, term, None);
        }
        self.has_heard = true;
        match &mut self.stand {
            Stand::Follows { leader, heard_at } => {
                *leader = Some(from);
                *heard_at = now;
            }
            _ => self.follow(now, Some(from)),
        }
        if let Some(state) = state
            && last > self.record.stamp
        {
            self.record.stamp = last;
            self.record.state = state;
            let word = Vote::Got { term, round, stored: last, lost: self.lost(), clock: now.nanos() };
            self.save(now, vec![(from, word)]);
        }
        // Heard at once, whatever the disk does; what is stored follows when it is.
        let word = self.got(now, round);
        self.out.push(Do::Say(from, word));
        if agreed > self.agreed && agreed == self.record.stamp {
            self.agree(agreed);
        }
    }

    fn agree(&mut self, stamp: Stamp) {
        self.agreed = stamp;
        self.out.push(Do::Agreed(stamp, self.record.state.book.clone()));
    }

    /// A leader says to all what stands.
    fn speak(&mut self, now: Time) {
        let (term, last, agreed) = (self.record.term, self.record.stamp, self.agreed);
        let state = self.record.state.clone();
        let Stand::Leads(l) = &mut self.stand else { return };
        l.round += 1;
        l.said_at = now;
        l.begun.push_back((l.round, now));
        if l.begun.len() > 64 {
            l.begun.pop_front();
        }
        for (to, peer) in &mut l.peers {
            // Sent once, and again where no word of it came for three rounds.
            let is_due = peer.stored != last && peer.sent.is_none_or(|(s, r)| s != last || l.round > r + 3);
            if is_due {
                peer.sent = Some((last, l.round));
            }
            let state = is_due.then(|| state.clone());
            let (echo, fresh) = match peer.clock {
                // What the other did between its answer and now is later than its answer.
                Some((clock, came)) if l.sure_at <= came => (clock, Some((came - l.sure_at).nanos())),
                Some((clock, _)) => (clock, Some(0)),
                None => (0, None),
            };
            let fresh = fresh.filter(|_| agreed.term == term);
            let word = Vote::Put { term, round: l.round, last, state, agreed, echo, fresh };
            self.out.push(Do::Say(*to, word));
        }
        if self.record.state.members.len() == 1 {
            l.sure_at = now;
        }
    }

    fn heard_back(&mut self, now: Time, from: Node, back: &Back) {
        let Back { term, round, stored, lost, clock } = *back;
        let majority = self.majority();
        let (agreed, own_term) = (self.agreed, self.record.term);
        let Stand::Leads(l) = &mut self.stand else { return };
        if term != own_term {
            return;
        }
        let Some(peer) = l.peers.get_mut(&from) else { return };
        peer.round = peer.round.max(round);
        peer.clock = Some((clock, now));
        if lost.is_some() && peer.lost.map(|(n, _)| n) != lost {
            // Its disk was emptied since: what it said before counts no more.
            peer.stored = Stamp::default();
            peer.sent = None;
            peer.lost = lost.map(|n| (n, now));
        } else if lost.is_none() {
            peer.lost = None;
        }
        if stored != peer.stored {
            peer.stored = stored;
        }
        // The newest round that a majority answered, emptied disks left out.
        let mut rounds: Vec<u64> = l.peers.values().filter(|p| p.lost.is_none()).map(|p| p.round).collect();
        rounds.sort_unstable_by(|a, b| b.cmp(a));
        if majority >= 2
            && let Some(sure) = rounds.get(majority - 2)
            && let Some((_, at)) = l.begun.iter().find(|(r, _)| r == sure)
        {
            l.sure_at = l.sure_at.max(*at);
        }
        // An emptied disk is let in once it holds all that is agreed on, and a majority without it answered a
        // round begun after it had said that it was emptied: none of them can then lead by its forgotten vote.
        let sure_at = l.sure_at;
        let peer = &l.peers[&from];
        if let Some((number, since)) = peer.lost
            && agreed.term == own_term
            && peer.stored >= agreed
            && sure_at > since
        {
            self.out.push(Do::Say(from, Vote::LetIn { term: own_term, lost: number }));
        }
        self.count(now);
    }

    /// Whether what a leader wrote last is now on the disks of a majority.
    fn count(&mut self, now: Time) {
        let (stamp, majority) = (self.record.stamp, self.majority());
        let own = usize::from(self.saved >= stamp);
        let Stand::Leads(l) = &mut self.stand else { return };
        if stamp.term != self.record.term || self.agreed >= stamp {
            return;
        }
        let peers = l.peers.values().filter(|p| p.lost.is_none() && p.stored == stamp).count();
        if own + peers < majority {
            return;
        }
        let settled = l.proposed.take_if(|(_, s)| *s == stamp);
        self.agree(stamp);
        if let Some((number, _)) = settled {
            self.out.push(Do::Settled(number, true));
        }
        // Told at once.
        self.speak(now);
    }
}
