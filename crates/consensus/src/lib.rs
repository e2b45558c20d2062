//! Agreement of the core on the book: one state that replaces the one before, committed once it is on the disks of
//! a majority of the voters. A room without I/O, clock or thread: it is told the time and what was heard, and hands
//! back what to write and what to say. `crates/controller` calls it; it knows nothing of what the state means.
//!
//! Each state holds all before it, so there is no log of entries to replay: the newest stored one, by the term it
//! was written in and then its index, is what a new leader goes on from, and is the snapshot that a member that was
//! away gets.
//!
//! - `election`: terms, pre-votes, votes, the leader that hands over.
//! - `replication`: heartbeat rounds, what is stored where, what is committed.
//! - `reads`: read index, and who is in touch with a majority.
//! - `membership`: learners, voters, who leaves and when.
//!
//! docs/design/agreement.md says why this is safe and what it assumes.
#![forbid(unsafe_code)]

mod election;
mod membership;
mod reads;
mod replication;
mod role;

use std::collections::VecDeque;
use std::net::SocketAddr;

use lynxstair::rng::Rng;
use lynxstair::types::{Span, Time};
use lynxstair_protocol::consensus::{LogId, Member, Message, State};
use lynxstair_protocol::messages::Bytes;
use serde::{Deserialize, Serialize};

pub use membership::MOST_LEARNERS;
pub use reads::CONTACT;
use role::Role;

pub type Node = SocketAddr;

/// What a hut keeps on its disk, all of it in one write.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Drawn when this disk was first written, 0 for a founder's: an emptied disk comes back as another.
    pub disk: u64,
    pub term: u64,
    /// Who got this disk's vote in the term.
    pub vote: Option<Node>,
    /// What was stored last, and where it stands in the order of all states.
    pub last: LogId,
    pub state: State,
}

/// What a hut is told at its start.
#[derive(Clone, Debug)]
pub struct Boot<'a> {
    pub me: Node,
    pub seeds: &'a [Node],
    /// Of chance.
    pub seed: u64,
    /// What the disk held: nothing at a first start or after it was emptied, told apart by `bootstrap`.
    pub found: Option<Record>,
    pub bootstrap: bool,
    /// How many disks may be lost at once.
    pub tolerated: usize,
    /// How long after its return a machine still counts as lost.
    pub catch_up: Span,
}

/// What to do, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Do {
    /// Write and sync; then say `saved` with the number, and only then what waits for it.
    Save(u64, Record),
    /// Say it now.
    Say(Node, Message),
    /// This state is committed.
    Committed(LogId, Bytes),
    /// What was proposed by this number is committed (true), or nobody knows (false).
    Settled(u64, bool),
    /// The read by this number may be answered by what is committed here now (true), or this hut can't tell (false).
    Read(u64, bool),
}

/// A write that is not known to be on the disk, and the messages that wait for it.
#[derive(Clone, Debug)]
struct Write {
    number: u64,
    last: LogId,
    since: Time,
    messages: Vec<(Node, Message)>,
}

#[derive(Clone, Debug)]
pub struct Cairn {
    me: Node,
    /// Chance, by its seed and how often it was asked for: so that the room can be copied.
    seed: u64,
    drawn: u64,
    /// How many voters there are to be, how many disks hold what is committed, and when a silent one is taken for
    /// gone where another waits for its place.
    wanted: usize,
    tolerated: usize,
    silent: Span,
    record: Record,
    /// What of the record is known to be on the disk.
    saved: LogId,
    saves: u64,
    waiting: VecDeque<Write>,
    committed: LogId,
    role: Role,
    patience: Span,
    /// For a follower, by its own clock: the leader was known to be the only one, and this book the newest, then.
    sure_at: Option<Time>,
    /// And the leader, in touch with a majority, had heard this hut then.
    touch_at: Option<Time>,
    numbers: u64,
    /// A leader was heard, or led here, since the start.
    has_heard: bool,
    /// Since when this hut is to end, and when it last said so to the leader.
    leaving: Option<(Time, Time)>,
    out: Vec<Do>,
    #[cfg(feature = "deliberate-faults")]
    pub fault: Option<Fault>,
}

/// Faults that tests put into the room, to see that their judges find them. Not in any program.
#[cfg(feature = "deliberate-faults")]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A learner counts towards what is committed.
    LearnerCounts,
    /// A voter is exchanged for another in one change, its predecessor not committed first.
    TwoAtOnce,
    /// Votes count whoever gives them, removed members and emptied disks too.
    AnyVoteCounts,
}

impl Cairn {
    pub fn start(now: Time, boot: Boot) -> Cairn {
        let mut rng = Rng::new(boot.seed);
        let is_new = boot.found.is_none();
        let record = boot.found.unwrap_or_else(|| {
            let mut voters: Vec<Member> = boot.seeds.iter().map(|s| Member { node: *s, disk: 0 }).collect();
            voters.sort();
            voters.dedup();
            let drawn = u64::from(rng.draw()) << 32 | u64::from(rng.draw()) | 1;
            let disk = if boot.bootstrap { 0 } else { drawn };
            Record { disk, state: State { voters, ..State::default() }, ..Record::default() }
        });
        let mut cairn = Cairn {
            me: boot.me,
            seed: boot.seed,
            drawn: 0,
            wanted: 2 * boot.tolerated + 1,
            tolerated: boot.tolerated,
            silent: boot.catch_up.times(membership::SILENT_PART),
            saved: record.last,
            record,
            saves: 0,
            waiting: VecDeque::new(),
            committed: LogId::default(),
            role: Role::Follower { leader: None, heard_at: now },
            patience: Span::ZERO,
            sure_at: None,
            touch_at: None,
            numbers: 0,
            has_heard: false,
            leaving: None,
            out: Vec::new(),
            #[cfg(feature = "deliberate-faults")]
            fault: None,
        };
        if is_new {
            cairn.save(now, Vec::new());
        }
        cairn.rest();
        cairn
    }

    // ---- what others ask of it ----

    /// Who votes, as stored here last.
    pub fn voters(&self) -> &[Member] {
        &self.record.state.voters
    }

    /// The voter that is about to leave, as its successor votes already.
    pub fn outgoing(&self) -> Option<Member> {
        self.record.state.outgoing
    }

    pub fn is_voter(&self) -> bool {
        self.record.state.voters.contains(&self.own())
    }

    pub fn leader(&self) -> Option<Node> {
        match &self.role {
            Role::Follower { leader, .. } => *leader,
            Role::PreCandidate { .. } | Role::Candidate { .. } => None,
            Role::Leader(_) => Some(self.me),
        }
    }

    pub fn term(&self) -> u64 {
        self.record.term
    }

    /// The last committed state that is known here.
    pub fn committed(&self) -> LogId {
        self.committed
    }

    /// Whether it may be asked to propose, and to read: it leads, and what it began with is committed.
    pub fn leads(&self) -> bool {
        matches!(&self.role, Role::Leader(_)) && self.committed.term == self.record.term
    }

    /// Whether what it wrote last is not committed yet.
    pub fn is_open(&self) -> bool {
        matches!(&self.role, Role::Leader(_)) && self.committed < self.record.last
    }

    /// When `tick` has something to do.
    pub fn next_due(&self) -> Time {
        match &self.role {
            Role::Follower { heard_at, .. } => {
                let silent = *heard_at + self.patience;
                self.leaving.map_or(silent, |(_, said_at)| silent.min(said_at + replication::ROUND))
            }
            Role::PreCandidate { since, .. } | Role::Candidate { since, .. } => *since + self.patience,
            Role::Leader(l) => {
                let pause = if l.round_wanted { reads::READ_GAP } else { replication::ROUND };
                (l.said_at + pause).min(l.checked_at + replication::ROUND)
            }
        }
    }

    /// What is to be done, in order.
    pub fn todo(&mut self) -> Vec<Do> {
        std::mem::take(&mut self.out)
    }

    // ---- what it is told ----

    pub fn tick(&mut self, now: Time) {
        if now < self.next_due() {
            return;
        }
        match &self.role {
            Role::Leader(_) => self.keep_leading(now),
            Role::Follower { heard_at, .. } if now < *heard_at + self.patience => self.say_leaving(now),
            _ if self.leaving.is_some() || !self.is_voter() => {
                self.follow(now, None);
                self.say_leaving(now);
            }
            _ => self.campaign(now, true),
        }
    }

    pub fn hear(&mut self, now: Time, from: Node, message: Message) {
        match message {
            Message::RequestVote { term, last, pre: true } => self.pre_vote(now, from, term, last),
            Message::RequestVote { term, last, pre: false } => self.vote(now, from, term, last),
            Message::VoteReply { term, granted, pre, disk } => {
                self.vote_replied(now, Member { node: from, disk }, term, granted, pre);
            }
            Message::Append { term, .. } if term < self.record.term => {
                // An old leader learns from this that it is one.
                let message = self.append_reply(now, 0);
                self.out.push(Do::Say(from, message));
            }
            Message::Append { term, round, last, state, committed, echo, fresh } => {
                self.append(now, from, (term, round), last, state, committed);
                if let Some(ago) = fresh.filter(|_| echo > 0) {
                    self.told_fresh(Time::from_nanos(echo.saturating_sub(ago)), committed);
                }
            }
            Message::AppendReply { term, round, stored, disk, clock } => {
                if term > self.record.term {
                    return self.enter(now, term, None);
                }
                if term == self.record.term {
                    self.append_replied(now, Member { node: from, disk }, round, stored, clock);
                }
            }
            Message::TimeoutNow { term } => {
                if term == self.record.term && self.is_voter() && self.leaving.is_none() {
                    self.campaign(now, false);
                }
            }
            Message::Leaving { disk } => self.heard_leaving(now, Member { node: from, disk }),
        }
    }

    /// A write is on the disk.
    pub fn saved(&mut self, now: Time, number: u64) {
        while let Some(write) = self.waiting.pop_front_if(|w| w.number <= number) {
            self.saved = self.saved.max(write.last);
            self.out.extend(write.messages.into_iter().map(|(to, message)| Do::Say(to, message)));
        }
        self.count(now);
    }

    // ---- what its parts share ----

    /// From 0 to 1.
    fn draw(&mut self) -> f64 {
        self.drawn += 1;
        Rng::new(self.seed ^ self.drawn.wrapping_mul(0x9e37_79b9_7f4a_7c15)).unit()
    }

    fn own(&self) -> Member {
        Member { node: self.me, disk: self.record.disk }
    }

    fn others(&self) -> Vec<Member> {
        let own = self.own();
        self.record.state.voters.iter().copied().filter(|m| *m != own).collect()
    }

    fn majority(&self) -> usize {
        self.record.state.voters.len() / 2 + 1
    }

    fn next_number(&mut self) -> u64 {
        self.numbers += 1;
        self.numbers
    }

    /// Writes the record; the messages wait for it.
    fn save(&mut self, now: Time, messages: Vec<(Node, Message)>) {
        self.saves += 1;
        let last = self.record.last;
        self.waiting.push_back(Write { number: self.saves, last, since: now, messages });
        self.out.push(Do::Save(self.saves, self.record.clone()));
    }

    #[cfg(feature = "deliberate-faults")]
    fn has(&self, fault: Fault) -> bool {
        self.fault == Some(fault)
    }
}
