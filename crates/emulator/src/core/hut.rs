//! A hut's process: the rooms that the real one holds (agreement, book, watch over the workers) tied together as
//! `crates/controller` ties them, without its sockets. What it wants done comes out as values.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use lynxstair::types::{Span, Time};
use lynxstair_config::json;
use lynxstair_consensus::{Boot, Cairn, Do, Record};
use lynxstair_control_state::config_feed::{Sent, Steps};
use lynxstair_control_state::config_store::{Book, Change, Order as Read, Ruling};
use lynxstair_control_state::failure_detector::{Contact, Watch};
use lynxstair_control_state::instance_registry::Register;
use lynxstair_protocol::consensus::Message;
use lynxstair_protocol::messages::{Bytes, Down, Life};

use super::deliberate::Deliberate;
use super::histories::Version;

/// As in `crates/controller`: how long a call may wait for the majority.
const PATIENCE: Span = Span::from_millis(850);
/// A lease, where a deliberate fault answers by one.
const LEASE: Span = Span::from_millis(2_500);

/// What a caller asks of a hut.
#[derive(Clone, Debug)]
pub(crate) enum Ask {
    Change(Change),
    Read,
    Beat(Life),
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
    Save(u64, Record),
    Say(SocketAddr, Message),
    /// To each other hut.
    Pass(Vec<Life>),
    /// To each edge that follows, or to one.
    Tell(Option<usize>, Down),
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
    pub cairn: Cairn,
    pub book: Book,
    steps: Steps,
    pub watch: Watch,
    orders: Vec<Order>,
    /// The edges that follow here.
    followers: BTreeMap<usize, Sent>,
    zones: Vec<(String, String)>,
    fault: Option<Deliberate>,
    out: Vec<Out>,
}

impl Hut {
    pub fn start(now: Time, boot: Boot, lives: &[Life], beat: Span, fault: Option<Deliberate>) -> Hut {
        let mut register = Register::default();
        register.restore(now, lives, beat);
        let me = boot.me;
        #[cfg_attr(not(feature = "deliberate-faults"), expect(unused_mut))]
        let mut cairn = Cairn::start(now, boot);
        #[cfg(feature = "deliberate-faults")]
        {
            cairn.fault = fault.and_then(Deliberate::in_room);
        }
        let mut hut = Hut {
            me,
            cairn,
            book: Book::default(),
            steps: Steps::default(),
            watch: Watch::new(now, register, beat),
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
        self.cairn.saved(now, number);
        self.act(now);
    }

    pub fn hear(&mut self, now: Time, from: SocketAddr, message: Message) {
        self.cairn.hear(now, from, message);
        self.cairn.meet(now, from);
        self.act(now);
    }

    /// Another hut says that it is there.
    pub fn here(&mut self, now: Time, from: SocketAddr) {
        self.cairn.meet(now, from);
        self.act(now);
    }

    /// What another hut heard of workers.
    pub fn hear_lives(&mut self, now: Time, from: SocketAddr, lives: &[Life]) {
        let news = self.watch.hear(now, lives);
        if !news.is_empty() && self.cairn.leads() {
            self.out.push(Out::Tell(None, Down::Lives { lives: news, whole: false }));
        }
        self.cairn.meet(now, from);
        self.act(now);
    }

    pub fn sweep(&mut self, now: Time) {
        self.stand(now);
        let lives = self.watch.sweep(now);
        if !lives.is_empty() {
            self.out.push(Out::Pass(lives.clone()));
            self.out.push(Out::Tell(None, Down::Lives { lives, whole: false }));
        }
    }

    fn stand(&mut self, now: Time) {
        let contact = match (self.cairn.is_in_touch(now), self.cairn.leads()) {
            (false, _) => Contact::Out,
            (true, false) => Contact::Follows,
            (true, true) => Contact::Leads,
        };
        self.watch.stand(now, contact);
    }

    pub fn follow(&mut self, now: Time, edge: usize, lives: bool) {
        self.followers.insert(edge, Sent::default());
        if lives {
            let all = self.watch.register().all(now);
            self.out.push(Out::Tell(Some(edge), Down::Lives { lives: all, whole: true }));
        }
    }

    pub fn unfollow(&mut self, edge: usize) {
        self.followers.remove(&edge);
    }

    pub fn ping(&mut self, now: Time, edge: usize, clock: u64, have: u64) {
        let Some(sent) = self.followers.get_mut(&edge) else { return };
        let leads = self.cairn.leads() && self.cairn.is_in_touch(now);
        let index = self.book.number;
        sent.hear(now, have);
        if let Some(over) = sent.due(now, index, leads, self.book.bytes()) {
            let page = self.steps.page(&self.book, over);
            sent.flies(now, index, page.len());
            self.out.push(Out::Tell(Some(edge), Down::Book { index, state: Bytes(page.into()) }));
        }
        let fresh = self.cairn.sure_at().map(|at| (now - at).nanos().div_ceil(1_000_000));
        self.out.push(Out::Tell(Some(edge), Down::Pong { clock, index, fresh, leads }));
    }

    // ---- callers ----

    pub fn call(&mut self, now: Time, call: u64, ask: Ask) {
        let answer = match &ask {
            Ask::Beat(life) => {
                self.stand(now);
                Some(self.watch.beat(now, life))
            }
            Ask::Delete(id) => {
                self.stand(now);
                Some(self.watch.leave(now, id))
            }
            Ask::Change(_) | Ask::Read => None,
        };
        let Some(answer) = answer else {
            let change = match ask {
                Ask::Change(change) => {
                    let mut order = Read::new(change);
                    order.read();
                    Some(order)
                }
                _ => None,
            };
            let order = Order { call, change, until: now + PATIENCE, step: Step::Waits, is_confirmed: false };
            self.orders.push(order);
            return self.work(now);
        };
        if let Some(life) = answer.life {
            self.out.push(Out::Pass(vec![life.clone()]));
            if answer.is_news {
                self.out.push(Out::Tell(None, Down::Lives { lives: vec![life], whole: false }));
            }
        }
        let is_promised = answer.is_promised || self.fault == Some(Deliberate::CutOffBeats);
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
        let leads = self.cairn.leads();
        if !leads && self.cairn.leader() != Some(self.me) {
            let leader = self.cairn.leader().filter(|_| self.cairn.is_in_touch(now));
            return Some(leader.map_or(Answer::Status(503), Answer::Elsewhere));
        }
        if leads && !self.cairn.is_in_touch(now) && self.fault != Some(Deliberate::LeaseRead) {
            return Some(Answer::Status(503));
        }
        if !leads || self.cairn.is_open() {
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
        match self.book.rule(change, &self.zones) {
            Ruling::Take(book) => {
                let number = self.cairn.propose(now, book.written())?;
                if self.fault == Some(Deliberate::EarlyAnswer) {
                    return Some(Answer::Status(200));
                }
                order.step = Step::Proposed(number);
                None
            }
            Ruling::Unclear => Some(Answer::Status(503)),
            Ruling::Taken if is_confirmed => Some(Answer::Status(200)),
            Ruling::Refuse(status, _) if is_confirmed => Some(Answer::Status(status)),
            Ruling::Taken | Ruling::Refuse(..) => self.confirm(now, order),
        }
    }

    fn confirm(&mut self, now: Time, order: &mut Order) -> Option<Answer> {
        match self.cairn.read(now) {
            Some(number) => order.step = Step::Reads(number),
            None => return Some(Answer::Status(503)),
        }
        None
    }

    fn may_by_lease(&self, now: Time) -> bool {
        self.fault == Some(Deliberate::LeaseRead) && self.cairn.sure_at().is_some_and(|at| now - at < LEASE)
    }

    // ---- what the agreement wants ----

    fn act(&mut self, now: Time) {
        loop {
            let todo = self.cairn.todo();
            if todo.is_empty() {
                return;
            }
            for item in todo {
                match item {
                    Do::Save(number, record) => self.out.push(Out::Save(number, record)),
                    Do::Say(to, message) => self.out.push(Out::Say(to, message)),
                    Do::Committed(_, state) => self.committed(now, &state),
                    Do::Settled(number, is_committed) => self.settled(number, is_committed),
                    Do::Read(number, may) => self.may_read(now, number, may),
                }
            }
        }
    }

    fn committed(&mut self, now: Time, state: &Bytes) {
        let Some(book) = self.book.after(&state.0) else { return };
        if book.number <= self.book.number {
            return;
        }
        self.steps.note(&self.book, &book);
        self.book = book;
        if !self.cairn.leads() {
            return;
        }
        let index = self.book.number;
        for (edge, sent) in &mut self.followers {
            if let Some(over) = sent.due(now, index, true, self.book.bytes()) {
                let page = self.steps.page(&self.book, over);
                sent.flies(now, index, page.len());
                self.out.push(Out::Tell(Some(*edge), Down::Book { index, state: Bytes(page.into()) }));
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
pub(crate) fn version(book: &Book) -> Option<Version> {
    let value = json::read(book.text()?.as_bytes()).ok()?;
    let all = json::object(&value, "book").ok()?;
    let mark = json::at(all, "mark").and_then(|v| json::number(v, "mark").ok())?;
    Some((book.generation, mark as u32))
}
