//! A hut's process: the rooms that the real one holds (agreement, book, watch over the workers) tied together as
//! `crates/controller` ties them, without its sockets. What it wants done comes out as values.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use lynxstair::types::{Span, Time};
use lynxstair_config::json;
use lynxstair_consensus::{Action, Consensus, ConsensusConfig, PersistentState};
use lynxstair_control_state::command::{Command as Read, Operation};
use lynxstair_control_state::config_store::{CommandOutcome, ConfigStore};
use lynxstair_control_state::delta_log::DeltaLog;
use lynxstair_control_state::failure_detector::{FailureDetector, QuorumRole};
use lynxstair_control_state::instance_registry::InstanceRegistry;
use lynxstair_control_state::subscription::Subscription;
use lynxstair_protocol::consensus::Message;
use lynxstair_protocol::messages::{Bytes, Instance, ToProxy};

use super::deliberate::Deliberate;
use super::histories::Version;

/// As in `crates/controller`: how long a call may wait for the majority.
const PATIENCE: Span = Span::from_millis(850);
/// A lease, where a deliberate fault answers by one.
const LEASE: Span = Span::from_millis(2_500);

/// What a caller asks of a hut.
#[derive(Clone, Debug)]
pub(crate) enum Ask {
    Operation(Operation),
    Read,
    Beat(Instance),
    Delete(String),
}

/// What it says.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Answer {
    Status(u16),
    Holds(Option<Version>),
    Elsewhere(SocketAddr),
}

/// What the process wants done.
pub(crate) enum Out {
    Save(u64, PersistentState),
    Say(SocketAddr, Message),
    /// To each other hut.
    Pass(Vec<Instance>),
    /// To each edge that follows, or to one.
    Tell(Option<usize>, ToProxy),
    Answer(u64, Answer),
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    /// Waits for its turn.
    Waits,
    /// Waits for word that this hut still leads.
    Reads(u64),
    Proposed(u64),
}

struct Order {
    call: u64,
    /// None: the book is read.
    change: Option<Read>,
    until: Time,
    step: Step,
    /// A majority has said that this hut still led after the order came.
    is_confirmed: bool,
}

pub(crate) struct Hut {
    me: SocketAddr,
    pub cairn: Consensus,
    pub book: ConfigStore,
    steps: DeltaLog,
    pub watch: FailureDetector,
    orders: Vec<Order>,
    /// The edges that follow here.
    followers: BTreeMap<usize, Subscription>,
    zones: Vec<(String, String)>,
    fault: Option<Deliberate>,
    out: Vec<Out>,
}

impl Hut {
    pub fn start(
        now: Time,
        boot: ConsensusConfig,
        lives: &[Instance],
        beat: Span,
        fault: Option<Deliberate>,
    ) -> Hut {
        let mut register = InstanceRegistry::default();
        register.restore(now, lives, beat);
        let me = boot.me;
        #[cfg_attr(not(feature = "deliberate-faults"), expect(unused_mut))]
        let mut cairn = Consensus::new(now, boot);
        #[cfg(feature = "deliberate-faults")]
        {
            cairn.fault = fault.and_then(Deliberate::in_room);
        }
        let mut hut = Hut {
            me,
            cairn,
            book: ConfigStore::default(),
            steps: DeltaLog::default(),
            watch: FailureDetector::new(now, register, beat),
            orders: Vec::new(),
            followers: BTreeMap::new(),
            zones: super::ZONES.iter().map(|z| (z.to_string(), "r".to_string())).collect(),
            fault,
            out: Vec::new(),
        };
        hut.act(now);
        hut
    }

    pub fn take(&mut self) -> Vec<Out> {
        std::mem::take(&mut self.out)
    }

    pub fn waits(&self) -> bool {
        !self.orders.is_empty()
    }

    // ---- what it is told ----

    pub fn tick(&mut self, now: Time) {
        self.cairn.tick(now);
        self.act(now);
    }

    pub fn saved(&mut self, now: Time, number: u64) {
        self.cairn.on_persisted(now, number);
        self.act(now);
    }

    pub fn hear(&mut self, now: Time, from: SocketAddr, message: Message) {
        self.cairn.handle_message(now, from, message);
        self.cairn.on_peer_seen(now, from);
        self.act(now);
    }

    /// Another hut says that it is there.
    pub fn here(&mut self, now: Time, from: SocketAddr) {
        self.cairn.on_peer_seen(now, from);
        self.act(now);
    }

    /// What another hut heard of workers.
    pub fn hear_lives(&mut self, now: Time, from: SocketAddr, lives: &[Instance]) {
        let news = self.watch.apply_updates(now, lives);
        if !news.is_empty() && self.cairn.is_established_leader() {
            self.out.push(Out::Tell(None, ToProxy::Instances { instances: news, is_snapshot: false }));
        }
        self.cairn.on_peer_seen(now, from);
        self.act(now);
    }

    pub fn sweep(&mut self, now: Time) {
        self.stand(now);
        let lives = self.watch.detect_unresponsive(now);
        if !lives.is_empty() {
            self.out.push(Out::Pass(lives.clone()));
            self.out.push(Out::Tell(None, ToProxy::Instances { instances: lives, is_snapshot: false }));
        }
    }

    fn stand(&mut self, now: Time) {
        let contact = match (self.cairn.has_quorum_contact(now), self.cairn.is_established_leader()) {
            (false, _) => QuorumRole::Isolated,
            (true, false) => QuorumRole::Follower,
            (true, true) => QuorumRole::Leader,
        };
        self.watch.set_quorum_role(now, contact);
    }

    pub fn follow(&mut self, now: Time, edge: usize, lives: bool) {
        self.followers.insert(edge, Subscription::default());
        if lives {
            let all = self.watch.registry().snapshot(now);
            self.out.push(Out::Tell(Some(edge), ToProxy::Instances { instances: all, is_snapshot: true }));
        }
    }

    pub fn unfollow(&mut self, edge: usize) {
        self.followers.remove(&edge);
    }

    pub fn ping(&mut self, now: Time, edge: usize, clock: u64, have: u64) {
        let Some(sent) = self.followers.get_mut(&edge) else { return };
        let leads = self.cairn.is_established_leader() && self.cairn.has_quorum_contact(now);
        let index = self.book.revision;
        sent.on_heartbeat(now, have);
        if let Some(over) = sent.due_update(now, index, leads, self.book.encoded_len()) {
            let page = self.steps.encode_update(&self.book, over);
            sent.on_update_sent(now, page.len());
            self.out
                .push(Out::Tell(Some(edge), ToProxy::Config { revision: index, update: Bytes(page.into()) }));
        }
        let fresh = self.cairn.confirmed_at().map(|at| (now - at).nanos().div_ceil(1_000_000));
        self.out.push(Out::Tell(
            Some(edge),
            ToProxy::HeartbeatAck { clock, revision: index, confirmed_ms_ago: fresh, is_leader: leads },
        ));
    }

    // ---- callers ----

    pub fn call(&mut self, now: Time, call: u64, ask: Ask) {
        let answer = match &ask {
            Ask::Beat(life) => {
                self.stand(now);
                Some(self.watch.record_heartbeat(now, life))
            }
            Ask::Delete(id) => {
                self.stand(now);
                Some(self.watch.deregister(now, id))
            }
            Ask::Operation(_) | Ask::Read => None,
        };
        let Some(answer) = answer else {
            let change = match ask {
                Ask::Operation(change) => {
                    let mut order = Read::new(change);
                    order.parse();
                    Some(order)
                }
                _ => None,
            };
            let order = Order { call, change, until: now + PATIENCE, step: Step::Waits, is_confirmed: false };
            self.orders.push(order);
            return self.work(now);
        };
        if let Some(life) = answer.instance {
            self.out.push(Out::Pass(vec![life.clone()]));
            if answer.is_news {
                self.out
                    .push(Out::Tell(None, ToProxy::Instances { instances: vec![life], is_snapshot: false }));
            }
        }
        let is_promised = answer.is_acknowledged || self.fault == Some(Deliberate::CutOffBeats);
        self.out.push(Out::Answer(call, Answer::Status(if is_promised { 200 } else { 503 })));
    }

    /// Whoever asked has gone: taken late, an order would undo what came after it.
    pub fn hangs_up(&mut self, call: u64) {
        self.orders.retain(|o| o.call != call || o.step != Step::Waits);
    }

    /// Goes on with the orders that wait for their turn; lets go of those that waited for too long.
    pub fn work(&mut self, now: Time) {
        for mut order in std::mem::take(&mut self.orders) {
            let answer = match order.step {
                _ if now >= order.until => Some(Answer::Status(503)),
                Step::Waits => self.turn(now, &mut order),
                _ => None,
            };
            match answer {
                Some(answer) => self.out.push(Out::Answer(order.call, answer)),
                None => self.orders.push(order),
            }
        }
        self.act(now);
    }

    fn turn(&mut self, now: Time, order: &mut Order) -> Option<Answer> {
        let leads = self.cairn.is_established_leader();
        if !leads && self.cairn.leader() != Some(self.me) {
            let leader = self.cairn.leader().filter(|_| self.cairn.has_quorum_contact(now));
            return Some(leader.map_or(Answer::Status(503), Answer::Elsewhere));
        }
        if leads && !self.cairn.has_quorum_contact(now) && self.fault != Some(Deliberate::LeaseRead) {
            return Some(Answer::Status(503));
        }
        if !leads || self.cairn.has_uncommitted() {
            return None;
        }
        let is_confirmed = order.is_confirmed || self.may_by_lease(now);
        let Some(change) = &order.change else {
            return if is_confirmed {
                Some(Answer::Holds(version(&self.book)))
            } else {
                self.confirm(now, order)
            };
        };
        match self.book.apply(change, &self.zones) {
            CommandOutcome::Accepted(book) => {
                let number = self.cairn.propose(now, book.encode())?;
                if self.fault == Some(Deliberate::EarlyAnswer) {
                    return Some(Answer::Status(200));
                }
                order.step = Step::Proposed(number);
                None
            }
            CommandOutcome::Unknown => Some(Answer::Status(503)),
            CommandOutcome::AlreadyApplied if is_confirmed => Some(Answer::Status(200)),
            CommandOutcome::Rejected(rejection) if is_confirmed => Some(Answer::Status(rejection.status())),
            CommandOutcome::AlreadyApplied | CommandOutcome::Rejected(_) => self.confirm(now, order),
        }
    }

    fn confirm(&mut self, now: Time, order: &mut Order) -> Option<Answer> {
        match self.cairn.request_read(now) {
            Some(number) => order.step = Step::Reads(number),
            None => return Some(Answer::Status(503)),
        }
        None
    }

    fn may_by_lease(&self, now: Time) -> bool {
        self.fault == Some(Deliberate::LeaseRead)
            && self.cairn.confirmed_at().is_some_and(|at| now - at < LEASE)
    }

    // ---- what the agreement wants ----

    fn act(&mut self, now: Time) {
        loop {
            let todo = self.cairn.take_actions();
            if todo.is_empty() {
                return;
            }
            for item in todo {
                match item {
                    Action::Persist(number, record) => self.out.push(Out::Save(number, record)),
                    Action::Send(to, message) => self.out.push(Out::Say(to, message)),
                    Action::Committed(_, state) => self.committed(now, &state),
                    Action::ProposalDone(number, is_committed) => self.settled(number, is_committed),
                    Action::ReadDone(number, may) => self.may_read(now, number, may),
                }
            }
        }
    }

    fn committed(&mut self, now: Time, state: &Bytes) {
        let Some(book) = self.book.decode_next(&state.0) else { return };
        if book.revision <= self.book.revision {
            return;
        }
        self.steps.record(&self.book, &book);
        self.book = book;
        if !self.cairn.is_established_leader() {
            return;
        }
        let index = self.book.revision;
        for (edge, sent) in &mut self.followers {
            if let Some(over) = sent.due_update(now, index, true, self.book.encoded_len()) {
                let page = self.steps.encode_update(&self.book, over);
                sent.on_update_sent(now, page.len());
                self.out.push(Out::Tell(
                    Some(*edge),
                    ToProxy::Config { revision: index, update: Bytes(page.into()) },
                ));
            }
        }
    }

    fn settled(&mut self, number: u64, is_committed: bool) {
        let Some(which) = self.orders.iter().position(|o| o.step == Step::Proposed(number)) else { return };
        let order = self.orders.remove(which);
        let status = if is_committed { 200 } else { 503 };
        self.out.push(Out::Answer(order.call, Answer::Status(status)));
    }

    fn may_read(&mut self, now: Time, number: u64, may: bool) {
        let Some(which) = self.orders.iter().position(|o| o.step == Step::Reads(number)) else { return };
        let mut order = self.orders.remove(which);
        (order.step, order.is_confirmed) = (Step::Waits, true);
        let answer = match &order.change {
            _ if !may => Some(Answer::Status(503)),
            None => Some(Answer::Holds(version(&self.book))),
            // Ruled on again by the book as it is now.
            Some(_) => self.turn(now, &mut order),
        };
        match answer {
            Some(answer) => self.out.push(Out::Answer(order.call, answer)),
            None => self.orders.push(order),
        }
    }
}

/// What a reader of the book sees: its number, and which change made it.
pub(crate) fn version(book: &ConfigStore) -> Option<Version> {
    let value = json::parse(book.to_json()?.as_bytes()).ok()?;
    let all = json::as_object(&value, "book").ok()?;
    let mark = json::get(all, "mark").and_then(|v| json::as_number(v, "mark").ok())?;
    Some((book.generation, mark as u32))
}
