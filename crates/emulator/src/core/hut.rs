//! A hut's process: the rooms that the real one holds (agreement, book, watch over the workers) tied together as
//! `crates/hut` ties them, without its sockets. What it wants done comes out as values.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use lynxstair::types::{Span, Time};
use lynxstair_cairn::{Boot, Cairn, Do, Record};
use lynxstair_ridge::book::{Book, Change, Ruling};
use lynxstair_ridge::feed::Sent;
use lynxstair_ridge::register::Register;
use lynxstair_ridge::watch::{Contact, Watch};
use lynxstair_trailbook::agreement::Message;
use lynxstair_trailbook::values;
use lynxstair_trailbook::words::{Bytes, Down, Life};

use super::deliberate::Deliberate;
use super::histories::Version;

/// As in `crates/hut`: how long a call may wait for the majority.
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
    ask: Ask,
    until: Time,
    step: Step,
}

pub(crate) struct Hut {
    me: SocketAddr,
    pub cairn: Cairn,
    pub book: Book,
    book_at: Time,
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
            book_at: now,
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
        let leads = self.cairn.leads();
        let index = self.book.number;
        if sent.due(have, index, leads, now - self.book_at) {
            let state = Bytes(self.book.for_the_road().into());
            self.out.push(Out::Tell(Some(edge), Down::Book { index, state }));
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
            self.orders.push(Order { call, ask, until: now + PATIENCE, step: Step::Waits });
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

    /// Goes on with the orders that wait for their turn; lets go of those that waited for too long.
    pub fn work(&mut self, now: Time) {
        let leader = self.cairn.leader();
        let is_elsewhere = !self.cairn.leads() && leader != Some(self.me);
        for mut order in std::mem::take(&mut self.orders) {
            let answer = if now >= order.until {
                Some(Answer::Status(503))
            } else if order.step == Step::Waits && is_elsewhere {
                Some(leader.map_or(Answer::Status(503), Answer::Elsewhere))
            } else if order.step == Step::Waits && self.may_by_lease(now) {
                self.rule(now, &mut order)
            } else {
                if order.step == Step::Waits
                    && !self.cairn.is_open()
                    && let Some(number) = self.cairn.read(now)
                {
                    order.step = Step::Reads(number);
                }
                None
            };
            match answer {
                Some(answer) => self.out.push(Out::Answer(order.call, answer)),
                None => self.orders.push(order),
            }
        }
        self.act(now);
    }

    fn may_by_lease(&self, now: Time) -> bool {
        self.fault == Some(Deliberate::LeaseRead)
            && self.cairn.leads()
            && !self.cairn.is_open()
            && self.cairn.sure_at().is_some_and(|at| now - at < LEASE)
    }

    /// What becomes of an order by the committed book; None: it waits on.
    fn rule(&mut self, now: Time, order: &mut Order) -> Option<Answer> {
        let change = match &order.ask {
            Ask::Change(change) => change,
            _ => return Some(Answer::Holds(version(&self.book))),
        };
        match self.book.rule(change, &self.zones) {
            Ruling::Taken => Some(Answer::Status(200)),
            Ruling::Refuse(status, _) => Some(Answer::Status(status)),
            Ruling::Take(book) => {
                order.step = match self.cairn.propose(now, book.written()) {
                    Some(_) if self.fault == Some(Deliberate::EarlyAnswer) => {
                        return Some(Answer::Status(200));
                    }
                    Some(number) => Step::Proposed(number),
                    None => Step::Waits,
                };
                None
            }
        }
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
        let Some(book) = Book::read(&state.0) else { return };
        if book.number <= self.book.number {
            return;
        }
        self.book = book;
        self.book_at = now;
        if self.cairn.leads() {
            let state = Bytes(self.book.for_the_road().into());
            let index = self.book.number;
            self.out.push(Out::Tell(None, Down::Book { index, state }));
            self.followers.values_mut().for_each(|f| f.all(index));
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
        order.step = Step::Waits;
        let answer = if may { self.rule(now, &mut order) } else { Some(Answer::Status(503)) };
        match answer {
            Some(answer) => self.out.push(Out::Answer(order.call, answer)),
            None => self.orders.push(order),
        }
    }
}

/// What a reader of the book sees: its number, and which change made it.
pub(crate) fn version(book: &Book) -> Option<Version> {
    if book.text.is_empty() {
        return None;
    }
    let value = values::read(book.text.as_bytes()).ok()?;
    let all = values::object(&value, "book").ok()?;
    let mark = values::at(all, "mark").and_then(|v| values::number(v, "mark").ok())?;
    Some((book.generation, mark as u32))
}
