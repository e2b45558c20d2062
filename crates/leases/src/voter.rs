//! One voter: from an empty folder to taking part, and what comes of its disk. The protocol itself is `raft`'s;
//! here is what it leaves open: who a voter is, how a record begins, when a voter must not vote, what is held
//! back until it is on disk, and that runs are repeatable.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddrV4;
use std::panic::{AssertUnwindSafe, catch_unwind};

use lynxstair::types::{Span, Time};
use protobuf::Message as _;
use raft::eraftpb::{ConfChangeV2, Entry, EntryType, Message as RaftMessage, MessageType, Snapshot};
use raft::{Config, RawNode, StateRole};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

use crate::book::{Book, Came, Command};
use crate::log::{Image, Log, Record};
use crate::office::{Change, Office};
use crate::times::{Broken, Times};
use crate::words::{
    Answer, Ask, Dropped, Envelope, Epoch, Founding, Message, Standing, VoterAt, VoterId, hash,
};

/// One that has no place among the voters yet says so this often.
const HELLO: Span = Span::from_millis(250);
/// A disk that failed is tried again after so long.
const TRY_AGAIN: Span = Span::from_millis(500);
/// So many ticks that were missed tell that the process stood still.
const STOOD: u64 = 4;

/// What is to be done for a voter or for one that asks them.
#[derive(Clone, Debug, PartialEq)]
pub enum Do {
    Send {
        to: SocketAddrV4,
        datagram: Vec<u8>,
    },
    /// To be put on disk, then told by `written` with the same number; in this order.
    Write {
        ticket: u64,
        record: Record,
    },
    Tell(Event),
}

/// What happened, for the log and the history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "event")]
pub enum Event {
    VoterPhase {
        from: Phase,
        to: Phase,
        why: String,
    },
    /// This voter leads, or no longer does.
    Leads {
        term: u64,
        leads: bool,
    },
    /// The record has it so; told by each voter when it learns of it.
    Granted {
        duty: String,
        owner: String,
        stand: u64,
        epoch: Epoch,
    },
    Released {
        duty: String,
        owner: String,
        epoch: Epoch,
    },
    Voters {
        names: Vec<String>,
    },
    /// A member began to own a duty, or ceased to.
    Owns {
        duty: String,
        epoch: Epoch,
    },
    OwnsNoMore {
        duty: String,
        epoch: Epoch,
        why: String,
    },
}

/// What a datagram held for the one that asks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ForHolder {
    Answer { number: u64, answer: Answer },
    Hint { duty: String },
}

/// A voter's phase.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// No voter.
    Idle,
    /// Its new identity is being written; nobody is told of it yet.
    Drawing,
    /// It has an identity and no record: it begins one with the others, or is taken in by them.
    Blank,
    /// It was taken in, and has nothing of the record yet: as good as blank.
    CatchingUp,
    Voting,
    /// Its disk fails, or its records can't be trusted: it takes no part.
    Aside,
}

impl Phase {
    /// It runs `raft`.
    fn takes_part(self) -> bool {
        matches!(self, Phase::CatchingUp | Phase::Voting)
    }

    fn may_follow(self, from: Phase) -> bool {
        match self {
            Phase::Idle => false,
            Phase::Drawing => from != Phase::Drawing,
            Phase::Blank => matches!(from, Phase::Drawing | Phase::Idle | Phase::Aside),
            Phase::CatchingUp => matches!(from, Phase::Blank | Phase::Idle | Phase::Aside),
            Phase::Voting => {
                matches!(from, Phase::Blank | Phase::CatchingUp | Phase::Idle | Phase::Aside)
            }
            Phase::Aside => from != Phase::Aside,
        }
    }
}

/// What a voter is started with.
#[derive(Clone, Debug)]
pub struct Start {
    pub fleet: String,
    pub name: String,
    pub addr: SocketAddrV4,
    /// The voters that the fleet file names.
    pub named: Vec<(String, SocketAddrV4)>,
    pub image: Image,
    /// The end of the records was missing, or they could not be read: what was lost may have been promised.
    pub lost: bool,
    pub seed: u64,
    pub times: Times,
    pub broken: Broken,
}

/// What of `raft` waits for the disk.
struct Waiting {
    ticket: u64,
    /// None: it only waits for those before it.
    record: Option<Record>,
    number: Option<u64>,
    held: Vec<RaftMessage>,
    since: Time,
}

/// While it takes part.
pub(crate) struct Node {
    pub raft: RawNode<Log>,
    pub book: Book,
    pub applied: u64,
    addrs: BTreeMap<u64, SocketAddrV4>,
    /// Which draw of the election timeout stands: role, term, and how often it stood for election.
    drawn_for: (StateRole, u64, u32),
    timeout: usize,
    stood_for: u32,
    leads: bool,
    /// The voters changed: `raft` lets no one in by a snapshot from before that.
    voters_changed: bool,
}

/// What an operator is shown of a voter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterView {
    pub id: VoterId,
    pub phase: Phase,
    pub why: String,
    pub for_ms: u64,
    pub term: u64,
    /// Whom it holds for the leader; none: nobody.
    pub leader: Option<String>,
    pub log_entries: u64,
    pub dropped: u64,
}

/// One voter, or one that may become one.
pub struct Voter {
    pub(crate) me: VoterAt,
    envelope: Envelope,
    named: Vec<(String, SocketAddrV4)>,
    pub(crate) times: Times,
    pub(crate) broken: Broken,
    seed: u64,
    chance: Pcg64Mcg,
    phase: Phase,
    phase_why: String,
    phase_since: Time,
    /// As it is on disk.
    image: Image,
    waiting: VecDeque<Waiting>,
    tickets: u64,
    trying: Option<u64>,
    try_at: Option<Time>,
    pub(crate) node: Option<Node>,
    pub(crate) office: Option<Office>,
    /// Its records can't be trusted: nothing is voted on them, whatever happens meanwhile.
    distrusted: Option<&'static str>,
    /// Those who said that they are blank, too.
    blank: BTreeMap<String, VoterAt>,
    next_tick: Time,
    next_hello: Time,
    /// How long the disk takes lately.
    slow: Span,
    dropped: u64,
    out: Vec<Do>,
}

fn silent() -> slog::Logger {
    slog::Logger::root(slog::Discard, slog::o!())
}

impl Voter {
    pub fn begin(now: Time, start: Start) -> Self {
        let Start { fleet, name, addr, named, image, lost, seed, times, broken } = start;
        let mut voter = Voter {
            me: VoterAt { id: image.id, name, addr },
            envelope: Envelope::of(&fleet),
            named,
            times,
            broken,
            seed,
            chance: Pcg64Mcg::seed_from_u64(seed),
            phase: Phase::Idle,
            phase_why: "no voter".to_string(),
            phase_since: now,
            image,
            waiting: VecDeque::new(),
            tickets: 0,
            trying: None,
            try_at: None,
            node: None,
            office: None,
            distrusted: None,
            blank: BTreeMap::new(),
            next_tick: now,
            next_hello: now,
            slow: Span::ZERO,
            dropped: 0,
            out: Vec::new(),
        };
        if lost && voter.image.id != VoterId(0) && !broken.votes_forgotten {
            voter.distrusted =
                Some("the end of its records is missing: what was lost may have been promised");
        }
        voter.take_up(now);
        voter
    }

    fn is_named(&self) -> bool {
        self.named.iter().any(|(name, _)| *name == self.me.name)
    }

    /// Goes on from what is on disk.
    fn take_up(&mut self, now: Time) {
        if let Some(why) = self.distrusted {
            self.draw(now, why);
        } else if self.image.id == VoterId(0) {
            if self.is_named() {
                self.draw(now, "its folder is empty");
            }
        } else if self.image.founding.is_some() {
            self.begin_voting(now, "its records are whole");
        } else {
            self.enter(now, Phase::Blank, "it has no record yet");
        }
    }

    /// Every change of phase goes through here.
    fn enter(&mut self, now: Time, to: Phase, why: &str) {
        let from = self.phase;
        if from == to || !to.may_follow(from) {
            return;
        }
        (self.phase, self.phase_since, self.phase_why) = (to, now, why.to_string());
        if !to.takes_part() {
            (self.node, self.office) = (None, None);
        }
        if matches!(to, Phase::Drawing | Phase::Aside) {
            self.waiting.clear();
        }
        self.tell(Event::VoterPhase { from, to, why: why.to_string() });
    }

    /// Another identity: whatever was promised under the last one, this one promised nothing.
    fn draw(&mut self, now: Time, why: &str) {
        self.enter(now, Phase::Drawing, why);
        let id = match self.broken.votes_forgotten {
            true => VoterId(hash(&[self.me.name.as_bytes()]) | 1),
            false => VoterId(self.chance.next_u64() | 1),
        };
        self.write(now, Record::Identity { id }, None, Vec::new());
    }

    fn begin_voting(&mut self, now: Time, why: &str) {
        let log = self.image.log.clone();
        let phase = if log.last() == 0 { Phase::CatchingUp } else { Phase::Voting };
        self.enter(now, phase, why);
        self.me.id = self.image.id;
        let applied = log.snapshot.get_metadata().index;
        let book = log.book();
        let config = Config {
            id: self.me.id.0,
            election_tick: self.times.election,
            heartbeat_tick: self.times.heartbeat,
            min_election_tick: self.times.election,
            // What is drawn by `raft` itself never stands: see `settle_timeout`.
            max_election_tick: 1 << 20,
            applied,
            check_quorum: true,
            pre_vote: true,
            max_size_per_msg: 600,
            max_inflight_msgs: 32,
            max_uncommitted_size: 64 << 10,
            ..Config::default()
        };
        let built = catch_unwind(AssertUnwindSafe(|| RawNode::new(&config, log, &silent())));
        let Ok(Ok(raft)) = built else {
            let why = "its records make no sense together";
            self.distrusted = Some(why);
            return self.draw(now, why);
        };
        let mut node = Node {
            raft,
            book,
            applied,
            addrs: BTreeMap::new(),
            drawn_for: (StateRole::Follower, u64::MAX, 0),
            timeout: self.times.election,
            stood_for: 0,
            leads: false,
            voters_changed: false,
        };
        node.learn_addrs();
        self.node = Some(node);
        self.next_tick = now + self.times.tick;
        self.run(now, |_| ());
    }

    pub(crate) fn tell(&mut self, event: Event) {
        self.out.push(Do::Tell(event));
    }

    pub(crate) fn say(&mut self, to: SocketAddrV4, message: &Message) {
        if let Some(datagram) = self.envelope.seal(message) {
            self.out.push(Do::Send { to, datagram });
        }
    }

    pub(crate) fn answer(&mut self, to: SocketAddrV4, number: u64, answer: Answer) {
        self.say(to, &Message::Answer { number, answer });
    }

    fn write(&mut self, now: Time, record: Record, number: Option<u64>, held: Vec<RaftMessage>) {
        self.tickets += 1;
        let ticket = self.tickets;
        self.waiting.push_back(Waiting { ticket, record: Some(record.clone()), number, held, since: now });
        self.out.push(Do::Write { ticket, record });
    }

    /// What is to be done.
    pub fn take(&mut self) -> Vec<Do> {
        std::mem::take(&mut self.out)
    }

    /// When it is to be woken; none: not before something is heard.
    pub fn next_due(&self) -> Option<Time> {
        match self.phase {
            Phase::Idle | Phase::Drawing => None,
            Phase::Blank => Some(self.next_hello),
            Phase::CatchingUp | Phase::Voting => Some(self.next_tick),
            Phase::Aside => self.try_at,
        }
    }

    pub fn phase(&self) -> Phase {
        self.phase
    }

    pub fn view(&self, now: Time) -> VoterView {
        let node = self.node.as_ref();
        let leader = node.and_then(|n| n.book.voters.get(&VoterId(n.raft.raft.leader_id)));
        VoterView {
            id: self.me.id,
            phase: self.phase,
            why: self.phase_why.clone(),
            for_ms: (now - self.phase_since).nanos() / 1_000_000,
            term: node.map_or(0, |n| n.raft.raft.term),
            leader: leader.map(|v| v.name.clone()),
            log_entries: node.map_or(0, |n| n.raft.store().entries.len() as u64),
            dropped: self.dropped,
        }
    }

    /// The record as this voter knows it, which may be less than a majority does.
    pub fn book(&self) -> Option<&Book> {
        self.node.as_ref().map(|n| &n.book)
    }

    pub fn leads(&self) -> bool {
        self.office.is_some()
    }

    /// What became of the disk. In the order in which it was to be written.
    pub fn written(&mut self, now: Time, ticket: u64, done: Result<(), &str>) {
        if self.trying == Some(ticket) {
            self.trying = None;
            match done {
                Ok(()) => {
                    self.try_at = None;
                    self.take_up(now);
                }
                Err(_) => self.try_at = Some(now + TRY_AGAIN),
            }
            return;
        }
        if !self.waiting.iter().any(|w| w.ticket == ticket && w.record.is_some()) {
            return;
        }
        if let Err(why) = done {
            self.enter(now, Phase::Aside, &format!("not on disk: {why}"));
            self.try_at = Some(now + TRY_AGAIN);
            return;
        }
        let mut held = Vec::new();
        let mut number = None;
        while let Some(first) = self.waiting.pop_front_if(|w| w.ticket <= ticket) {
            if let Some(record) = &first.record {
                self.slow = (now - first.since).max(self.slow.times(0.875));
                // What was written is what this program made itself.
                let _ = self.image.take_in(record);
                self.on_disk(now, record);
            }
            number = first.number.or(number);
            held.extend(first.held);
        }
        if self.node.is_some() {
            self.send_all(held);
            self.run(now, |node| {
                if let Some(number) = number {
                    node.raft.on_persist_ready(number);
                }
            });
        }
    }

    /// What a record changes once it is on disk, besides what `raft` waits for.
    fn on_disk(&mut self, now: Time, record: &Record) {
        match record {
            Record::Identity { id } => {
                self.me.id = *id;
                self.distrusted = None;
                self.blank.clear();
                self.enter(now, Phase::Blank, "it has an identity and no record");
                self.next_hello = now;
                if self.broken.votes_forgotten {
                    let named = self.named.iter();
                    let id = |name: &str| VoterId(hash(&[name.as_bytes()]) | 1);
                    let all = named.map(|(n, a)| VoterAt { id: id(n), name: n.clone(), addr: *a }).collect();
                    self.write(now, Record::Founded { voters: all }, None, Vec::new());
                }
            }
            Record::Founded { .. } => self.begin_voting(now, "all who are named begin together"),
            Record::TakenIn { .. } => self.begin_voting(now, "taken in by those who vote"),
            _ => {}
        }
    }

    /// Time went by.
    pub fn tick(&mut self, now: Time) {
        match self.phase {
            Phase::Idle | Phase::Drawing => {}
            Phase::Blank if now >= self.next_hello => {
                self.next_hello = now + HELLO;
                let hello = Message::Hello { me: self.me.clone(), standing: Standing::Blank, asks: true };
                let others: Vec<_> = self.named.iter().filter(|(n, _)| *n != self.me.name).cloned().collect();
                others.iter().for_each(|(_, addr)| self.say(*addr, &hello));
                if others.is_empty() {
                    self.found(now);
                }
            }
            Phase::Aside if self.try_at.is_some_and(|at| at <= now) => {
                self.try_at = None;
                self.tickets += 1;
                self.trying = Some(self.tickets);
                self.out.push(Do::Write { ticket: self.tickets, record: Record::Try });
            }
            Phase::CatchingUp | Phase::Voting if now >= self.next_tick => {
                let missed = (now - self.next_tick).nanos() / self.times.tick.nanos().max(1);
                self.next_tick = now + self.times.tick;
                // One that stood still doubts itself first: it hears whoever leads before it stands for
                // election.
                // The same while its own disk has not answered: a vote of its own would wait there, too.
                let disk_waits = self.waiting.front().is_some_and(|w| now - w.since > self.times.tick);
                let stood = missed >= STOOD || disk_waits;
                self.run(now, |node| {
                    if stood && node.raft.raft.state != StateRole::Leader {
                        node.raft.raft.election_elapsed = 0;
                    }
                    node.raft.tick();
                    if node.raft.raft.election_elapsed == 0 && node.raft.raft.state != StateRole::Leader {
                        node.stood_for += 1;
                    }
                });
                self.keep_office(now);
            }
            _ => {}
        }
    }

    /// A datagram came.
    /// What is for the side that asks is handed back.
    ///
    /// # Errors
    /// Why it was dropped.
    pub fn heard(
        &mut self,
        now: Time,
        from: SocketAddrV4,
        datagram: &[u8],
    ) -> Result<Option<ForHolder>, Dropped> {
        let message = self.envelope.open(datagram).inspect_err(|_| self.dropped += 1)?;
        match message {
            Message::Answer { number, answer } => return Ok(Some(ForHolder::Answer { number, answer })),
            Message::Hint { duty } => return Ok(Some(ForHolder::Hint { duty })),
            Message::Ask { from: who, number, ask } => self.asked(now, from, &who, number, &ask),
            Message::Raft { founding, body } => self.heard_raft(now, from, founding, &body),
            Message::Hello { me, standing, asks } => self.heard_hello(now, me, standing, asks),
            Message::Summon => {
                if self.phase == Phase::Idle {
                    self.draw(now, "summoned to be a voter");
                } else if self.phase == Phase::Blank {
                    let me = self.me.clone();
                    self.say(from, &Message::Hello { me, standing: Standing::Blank, asks: false });
                }
            }
        }
        Ok(None)
    }

    fn asked(&mut self, now: Time, from: SocketAddrV4, who: &str, number: u64, ask: &Ask) {
        if self.office.is_some() {
            return self.answer_ask(now, from, who, number, ask);
        }
        let answer = match (self.phase, &self.node) {
            (Phase::Voting, Some(node)) => {
                let leader = node.book.voters.get(&VoterId(node.raft.raft.leader_id)).map(|v| v.addr);
                Answer::Elsewhere { leader, voters: node.book.voters.values().cloned().collect() }
            }
            (Phase::Idle, _) => return,
            _ => Answer::Aside { why: self.phase_why.clone() },
        };
        self.answer(from, number, answer);
    }

    fn heard_hello(&mut self, now: Time, other: VoterAt, standing: Standing, asks: bool) {
        if other.name == self.me.name || self.phase == Phase::Idle || self.phase == Phase::Drawing {
            return;
        }
        if asks && self.phase != Phase::Aside {
            let mine = self.image.founding.map_or(Standing::Blank, Standing::Of);
            let me = self.me.clone();
            self.say(other.addr, &Message::Hello { me, standing: mine, asks: false });
        }
        match (self.phase, standing) {
            (Phase::Blank, Standing::Blank)
                if self.named.iter().any(|(n, a)| *n == other.name && *a == other.addr) =>
            {
                self.blank.insert(other.name.clone(), other);
                self.found(now);
            }
            (Phase::Blank, Standing::Of(_)) => {
                // They have a record: this one is taken in, and begins none.
                self.blank.remove(&other.name);
            }
            (Phase::Voting, Standing::Blank) => self.stranger(now, other),
            _ => {}
        }
    }

    /// All who are named have nothing recorded: they begin. Any two who begin so from different identities are
    /// of different foundings, and no founding has a majority of those who are in another.
    fn found(&mut self, now: Time) {
        let others = self.named.iter().filter(|(n, _)| *n != self.me.name);
        let all: Option<Vec<VoterAt>> = others.map(|(n, _)| self.blank.get(n).cloned()).collect();
        let Some(mut voters) = all.filter(|_| self.is_named() && self.waiting.is_empty()) else { return };
        voters.push(self.me.clone());
        voters.sort();
        self.write(now, Record::Founded { voters }, None, Vec::new());
    }

    fn heard_raft(&mut self, now: Time, from: SocketAddrV4, founding: Founding, body: &[u8]) {
        let Ok(message) = RaftMessage::parse_from_bytes(body) else {
            self.dropped += 1;
            return;
        };
        if message.to != self.me.id.0 || self.me.id == VoterId(0) {
            return;
        }
        match self.phase {
            Phase::Blank if self.waiting.is_empty() => {
                self.write(now, Record::TakenIn { founding }, None, Vec::new());
            }
            Phase::CatchingUp | Phase::Voting if self.image.founding == Some(founding) => {
                if self.is_forgotten(&message) {
                    let why = "others hold more of its promises than its records do";
                    self.distrusted = Some(why);
                    return self.draw(now, why);
                }
                self.run(now, |node| {
                    if !node.book.voters.contains_key(&VoterId(message.from)) && node.addrs.len() < 64 {
                        node.addrs.insert(message.from, from);
                    }
                    // What is of no use to `raft` now is dropped there.
                    let _ = node.raft.step(message);
                });
            }
            _ => {}
        }
    }

    /// A leader counts on what this voter once said it had, and has no more: its disk is of an earlier time.
    fn is_forgotten(&self, message: &RaftMessage) -> bool {
        let Some(node) = &self.node else { return false };
        !self.broken.votes_forgotten
            && message.get_msg_type() == MessageType::MsgHeartbeat
            && message.term >= node.raft.raft.term
            && message.commit > node.raft.raft.raft_log.last_index()
    }

    /// Has `raft` do something, and does what comes of it. What it can't go on from ends in stepping aside.
    pub(crate) fn run(&mut self, now: Time, acts: impl FnOnce(&mut Node)) {
        let Some(mut node) = self.node.take() else { return };
        let ran = catch_unwind(AssertUnwindSafe(|| {
            acts(&mut node);
            self.settle_timeout(&mut node);
            self.pump(now, &mut node);
        }));
        if ran.is_err() {
            self.enter(now, Phase::Aside, "it can't go on from what it heard; begins again from its records");
            self.try_at = Some(now + TRY_AGAIN);
            return;
        }
        if self.phase == Phase::CatchingUp && node.applied > 0 && node.raft.raft.raft_log.persisted > 0 {
            self.enter(now, Phase::Voting, "it has the record");
        }
        self.node = Some(node);
        self.look_at_office(now);
    }

    /// `raft` draws its election timeout from a global source. What stands here instead hangs on the seed, the
    /// term, and how often this voter stood for election; and on how slow its disk is: one that needs two
    /// seconds to write its own vote must not give the election up before.
    fn settle_timeout(&self, node: &mut Node) {
        let key = (node.raft.raft.state, node.raft.raft.term, node.stood_for);
        if node.drawn_for != key {
            node.drawn_for = key;
            let parts = [self.seed, self.me.id.0, key.1, u64::from(key.2)].map(u64::to_be_bytes);
            let drawn = hash(&parts.each_ref().map(|p| p.as_slice())) >> 11;
            let spread = drawn % self.times.election as u64;
            let disk = self.slow.times(3.0).nanos() / self.times.tick.nanos().max(1);
            node.timeout = self.times.election + spread as usize + disk.min(10_000) as usize;
        }
        node.raft.raft.set_randomized_election_timeout(node.timeout);
    }

    fn send_all(&mut self, messages: Vec<RaftMessage>) {
        let Some(mut node) = self.node.take() else { return };
        self.send_for(&mut node, messages);
        self.node = Some(node);
    }

    fn send_for(&mut self, node: &mut Node, messages: Vec<RaftMessage>) {
        let Some(founding) = self.image.founding else { return };
        for message in messages {
            if message.get_msg_type() == MessageType::MsgSnapshot {
                // Whether it came shows in the answer to the next message.
                node.raft.report_snapshot(message.to, raft::SnapshotStatus::Finish);
            }
            let addr = node.book.voters.get(&VoterId(message.to)).map(|v| v.addr);
            let addr = addr.or_else(|| node.addrs.get(&message.to).copied());
            if let (Some(to), Ok(body)) = (addr, message.write_to_bytes()) {
                self.say(to, &Message::Raft { founding, body });
            }
        }
    }

    fn pump(&mut self, now: Time, node: &mut Node) {
        while node.raft.has_ready() {
            let mut ready = node.raft.ready();
            let number = ready.number();
            let reads = ready.take_read_states();
            let messages = ready.take_messages();
            self.send_for(node, messages);

            let hard = ready.hs().map(|h| h.write_to_bytes().unwrap_or_default());
            let mut record = None;
            if !ready.snapshot().is_empty() {
                let bytes = ready.snapshot().write_to_bytes().unwrap_or_default();
                record = Some(Record::Snapshot { bytes, hard: hard.clone() });
                let snapshot = ready.snapshot().clone();
                node.applied = snapshot.get_metadata().index;
                node.raft.mut_store().put_snapshot(snapshot);
                node.book = node.raft.store().book();
                node.learn_addrs();
            }
            let entries = ready.take_entries();
            if !entries.is_empty() || ready.must_sync() && record.is_none() {
                let bytes = entries.iter().map(|e| e.write_to_bytes().unwrap_or_default()).collect();
                if let Some(snapshot) = record.take() {
                    self.write(now, snapshot, None, Vec::new());
                }
                record = Some(Record::Log { hard, entries: bytes });
            }
            for entry in entries {
                node.raft.mut_store().put(entry);
            }
            if let Some(hard) = ready.hs() {
                node.raft.mut_store().hard = hard.clone();
            }
            // That a leader is heard promises nothing that is still on its way to the disk, but for the term.
            let on_disk = self.image.log.hard.term;
            let heard =
                |m: &RaftMessage| m.get_msg_type() == MessageType::MsgHeartbeatResponse && m.term == on_disk;
            let (at_once, mut held) = ready.take_persisted_messages().into_iter().partition(heard);
            self.send_for(node, at_once);
            let committed = ready.take_committed_entries();
            node.raft.advance_append_async(ready);
            if self.broken.no_waiting_for_disk {
                self.send_for(node, std::mem::take(&mut held));
                node.raft.on_persist_ready(number);
            }
            match record {
                Some(record) => self.write(now, record, Some(number), held),
                None => match self.waiting.back().map(|w| w.ticket) {
                    Some(ticket) => {
                        let (number, since) = (Some(number), now);
                        self.waiting.push_back(Waiting { ticket, record: None, number, held, since });
                    }
                    None => {
                        node.raft.on_persist_ready(number);
                        self.send_for(node, held);
                    }
                },
            }
            for entry in committed {
                self.apply(now, node, &entry);
            }
            self.heard_reads(now, node, reads);
            self.settle_timeout(node);
            node.advance();
        }
        node.advance();
        self.compact(now, node);
    }

    fn apply(&mut self, now: Time, node: &mut Node, entry: &Entry) {
        node.applied = entry.index;
        match entry.get_entry_type() {
            EntryType::EntryNormal if entry.data.is_empty() => {}
            EntryType::EntryNormal => {
                let Ok(command) = postcard::from_bytes::<Command>(&entry.data) else { return };
                let came = node.book.apply(&command, self.broken.no_epochs);
                match &came {
                    Came::Granted { duty, to, epoch } => self.tell(Event::Granted {
                        duty: duty.clone(),
                        owner: to.name.clone(),
                        stand: to.stand,
                        epoch: *epoch,
                    }),
                    Came::Released { duty, from, epoch } => self.tell(Event::Released {
                        duty: duty.clone(),
                        owner: from.name.clone(),
                        epoch: *epoch,
                    }),
                    _ => {}
                }
                self.applied(now, node, &entry.context, &command, &came);
            }
            _ => {
                let Ok(change) = ConfChangeV2::parse_from_bytes(&entry.data) else { return };
                if node.raft.apply_conf_change(&change).is_err() {
                    return;
                }
                node.voters_changed = true;
                if let Ok(change) = postcard::from_bytes::<Change>(&change.context) {
                    node.book.voters.remove(&change.old);
                    node.book.note_done(change.id, None);
                    node.book.voters.insert(change.new.id, change.new);
                    node.learn_addrs();
                    let names = node.book.voters.values().map(|v| v.name.clone()).collect();
                    self.tell(Event::Voters { names });
                    self.replaced(change.id);
                }
            }
        }
    }

    /// Puts what is applied together into a snapshot, once the log has grown long.
    fn compact(&mut self, now: Time, node: &mut Node) {
        if !node.voters_changed && (node.raft.store().entries.len() as u64) <= self.times.log_entries {
            return;
        }
        let Ok(term) = node.raft.raft.raft_log.term(node.applied) else { return };
        let conf = node.raft.raft.prs().conf().to_conf_state();
        // In the middle of a change of voters the next entry ends it.
        if !conf.voters_outgoing.is_empty() {
            return;
        }
        node.voters_changed = false;
        let data = postcard::to_allocvec(&node.book).unwrap_or_default().into();
        let mut snapshot = Snapshot { data, ..Snapshot::default() };
        let metadata = snapshot.mut_metadata();
        (metadata.index, metadata.term) = (node.applied, term);
        metadata.set_conf_state(conf);
        let bytes = snapshot.write_to_bytes().unwrap_or_default();
        node.raft.mut_store().put_snapshot(snapshot);
        let hard = node.raft.store().hard.write_to_bytes().ok();
        self.write(now, Record::Snapshot { bytes, hard }, None, Vec::new());
    }

    /// Notices that it began to lead, or ceased to.
    fn look_at_office(&mut self, now: Time) {
        let Some(node) = self.node.as_mut() else { return };
        let (leads, term) = (node.raft.raft.state == StateRole::Leader, node.raft.raft.term);
        let was = std::mem::replace(&mut node.leads, leads);
        let same = self.office.as_ref().is_some_and(|o| o.term == term);
        if leads && !same {
            self.office = Some(Office::taken(now, term));
            self.tell(Event::Leads { term, leads });
        } else if !leads && was {
            self.office = None;
            self.tell(Event::Leads { term, leads });
        }
    }
}

impl Node {
    /// Tells `raft` what is applied; of a snapshot only once that is on disk.
    fn advance(&mut self) {
        let log = &self.raft.raft.raft_log;
        if log.applied < self.applied && self.applied <= log.persisted.min(log.committed) {
            self.raft.advance_apply_to(self.applied);
        }
    }

    fn learn_addrs(&mut self) {
        for voter in self.book.voters.values() {
            if self.addrs.len() < 64 || self.addrs.contains_key(&voter.id.0) {
                self.addrs.insert(voter.id.0, voter.addr);
            }
        }
    }

    pub(crate) fn know(&mut self, id: u64, addr: SocketAddrV4) {
        self.addrs.insert(id, addr);
    }

    /// Whether the voter of this identity was heard lately; only a leader knows.
    pub(crate) fn hears(&self, id: VoterId) -> bool {
        self.raft.raft.prs().get(id.0).is_some_and(|p| p.recent_active)
    }
}
