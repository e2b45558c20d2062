//! The agreement on time and lines: the room decides, this does what it asks for.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};

use log::{info, warn};
use lynxstair::types::{Span, Time};
use lynxstair_consensus::{Do, Node};
use lynxstair_control_state::config_feed::Steps;
use lynxstair_control_state::config_store::Book;
use lynxstair_net::alarms::Alarms;
use lynxstair_protocol::consensus::Member;
use lynxstair_protocol::messages::Up;
use may::sync::Blocker;

use crate::aside::MOST_AT_ONCE;
use crate::hut::{Hut, Rooms};

/// How often slow upkeep is done.
const UPKEEP: Span = Span::from_millis(500);

/// The time's keeper looks no more often than this by itself.
const STEP: Span = Span::from_millis(2);

/// The book as committed, as far as it is known here.
pub struct Committed {
    pub book: Book,
    /// What was committed last could not be read here: nothing is said of the book, nor changed in it.
    pub is_unreadable: bool,
    /// How the book came to be what it is, for the road.
    pub steps: Steps,
}

impl Committed {
    pub fn new() -> Committed {
        Committed { book: Book::default(), is_unreadable: false, steps: Steps::default() }
    }

    /// Whether it is newer than what stood.
    fn take(&mut self, book: Book) -> bool {
        self.is_unreadable = false;
        if book.number <= self.book.number {
            return false;
        }
        self.steps.note(&self.book, &book);
        self.book = book;
        true
    }
}

/// A call that waits for the majority.
pub struct Answer {
    blocker: Arc<Blocker>,
    said: Mutex<Option<bool>>,
}

impl Answer {
    /// For the coroutine that calls this.
    pub fn awaited() -> Arc<Answer> {
        Arc::new(Answer { blocker: Blocker::current(), said: Mutex::new(None) })
    }

    fn say(&self, yes: bool) {
        *self.said.lock().unwrap_or_else(|e| e.into_inner()) = Some(yes);
        self.blocker.unpark();
    }

    /// What the majority says; None where it says nothing until then.
    pub fn wait(&self, alarms: &Alarms, until: Time) -> Option<bool> {
        alarms.wake(until, &self.blocker);
        let said = || *self.said.lock().unwrap_or_else(|e| e.into_inner());
        while said().is_none() && alarms.now() < until {
            let _ = self.blocker.park(None);
        }
        said()
    }
}

/// Calls that wait, by the number of what they proposed or asked.
pub type Waiting = HashMap<u64, Arc<Answer>>;

/// How this hut stands in the agreement, as logged last.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Noted {
    role: &'static str,
    term: u64,
    leader: Option<Node>,
    voters: Vec<Member>,
    outgoing: Option<Member>,
    learners: Vec<Member>,
    in_touch: bool,
}

impl Rooms {
    /// What it is called in logs and in the status.
    pub fn role(&self) -> &'static str {
        match (self.cairn.leader(), self.cairn.is_voter()) {
            (Some(leader), _) if leader == self.me => "leader",
            (_, false) => "learner",
            (Some(_), _) => "follower",
            (None, _) => "candidate",
        }
    }

    /// The voters, and whoever else the agreement speaks to.
    pub fn members(&self) -> Vec<Node> {
        let outgoing = self.cairn.outgoing();
        let learners = self.cairn.learners();
        self.cairn.voters().iter().chain(&outgoing).chain(&learners).map(|m| m.node).collect()
    }

    /// Logs what changed in how this hut stands.
    fn note(&mut self, now: Time) {
        let cairn = &self.cairn;
        let new = Noted {
            role: self.role(),
            term: cairn.term(),
            leader: cairn.leader(),
            voters: cairn.voters().to_vec(),
            outgoing: cairn.outgoing(),
            learners: cairn.learners(),
            in_touch: cairn.is_in_touch(now),
        };
        let old = std::mem::replace(&mut self.noted, new);
        let new = &self.noted;
        let names = |all: &[Member]| {
            let names: Vec<String> = all.iter().map(|m| format!("{}/{:x}", m.node, m.disk)).collect();
            names.join(" ")
        };
        if (old.role, old.term, old.leader) != (new.role, new.term, new.leader) {
            let leader = new.leader.map_or("none".to_string(), |l| l.to_string());
            info!(role = new.role, term = new.term, leader = leader; "role");
        }
        if (&old.voters, old.outgoing) != (&new.voters, new.outgoing) {
            let outgoing = new.outgoing.map_or("none".to_string(), |m| names(&[m]));
            info!(voters = names(&new.voters), outgoing = outgoing, term = new.term; "voters");
        }
        if old.learners != new.learners {
            info!(learners = names(&new.learners), term = new.term; "learners");
        }
        if old.in_touch != new.in_touch {
            info!(in_touch = new.in_touch, term = new.term; "touch with a majority");
        }
    }
}

impl Hut {
    /// Calls the rooms when something is due there; for a coroutine of its own.
    pub fn keep_time(self: &Arc<Self>) {
        let mut upkeep_at = self.alarms.now();
        loop {
            let blocker = Blocker::current();
            let now = self.alarms.now();
            let due = {
                let mut rooms = self.rooms();
                rooms.cairn.tick(now);
                self.act(now, &mut rooms);
                if now >= upkeep_at {
                    upkeep_at = now + UPKEEP;
                    self.sweep_lives(now, &mut rooms);
                    self.keep_peers(now, &mut rooms);
                    let Rooms { directory, peers, .. } = &mut *rooms;
                    self.tell_sightings(now, directory, peers);
                    rooms.note(now);
                }
                let due = rooms.cairn.next_due().min(upkeep_at).max(now + STEP);
                rooms.keeper = Some((due, blocker.clone()));
                due
            };
            self.alarms.wake(due, &blocker);
            let _ = blocker.park(None);
        }
    }

    /// What was done since may be due sooner than the time's keeper sleeps.
    fn wake_keeper(&self, rooms: &mut Rooms) {
        let due = rooms.cairn.next_due();
        if let Some((at, blocker)) = &mut rooms.keeper
            && due < *at
        {
            *at = due;
            self.alarms.wake(due, blocker);
        }
    }

    /// Does what the agreement asks for.
    pub fn act(self: &Arc<Self>, now: Time, rooms: &mut Rooms) {
        loop {
            let todo = rooms.cairn.todo();
            if todo.is_empty() {
                let members = rooms.members();
                self.meet(now, rooms, &members);
                self.wake_keeper(rooms);
                return rooms.note(now);
            }
            for item in todo {
                match item {
                    Do::Save(number, record) => {
                        self.disk.keep_book(number, record);
                    }
                    Do::Say(to, word) => {
                        rooms.peers.say(to, &Up::Agreement(word));
                    }
                    Do::Committed(at, state) => {
                        let Some(book) = rooms.committed.book.after(&state.0) else {
                            warn!(index = at.index; "a book that can't be read");
                            rooms.committed.is_unreadable = true;
                            continue;
                        };
                        let (number, generation) = (book.number, book.generation);
                        if rooms.committed.take(book) {
                            info!(number = number, generation = generation, term = at.term; "committed");
                            rooms.tell_book(now);
                            let book = &rooms.committed.book;
                            if !book.is_read() && book.bytes() > MOST_AT_ONCE {
                                // Who leads next is to find it read.
                                let book = book.clone();
                                self.aside.go(move || drop(book.configuration().cloned()));
                            }
                        }
                    }
                    Do::Settled(number, is_sure) | Do::Read(number, is_sure) => {
                        if let Some(answer) = rooms.waiting.remove(&number) {
                            answer.say(is_sure);
                        }
                    }
                }
            }
        }
    }
}
