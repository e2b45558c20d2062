//! The operator's orders on the book, and reading it. Only the leader answers them, and what it says of the book is
//! true at some moment of the call: a majority has answered a round that began after the call came (read index), or
//! has stored what is acknowledged.

use std::sync::Arc;

use log::info;
use lynxstair::types::{Span, Time};
use lynxstair_ridge::book::{Change, Ruling};
use lynxstair_wire::calls::{Call, Reply};

use crate::agreement::Answer;
use crate::control::{error, unsettled};
use crate::hut::{Hut, Rooms};

/// How long a call of the operator may wait for the majority; after that the caller moves on anyway.
const PATIENCE: Span = Span::from_millis(850);
/// While another change is open.
const LOOKS: Span = Span::from_millis(4);

impl Hut {
    /// Elsewhere: the hut that leads, as far as this one is in touch with it; else nobody knows who does.
    fn elsewhere(&self, now: Time, rooms: &Rooms, path: &str) -> Reply {
        let leader = rooms.cairn.leader().filter(|l| *l != self.me && rooms.cairn.is_in_touch(now));
        match leader {
            Some(leader) => {
                let headers = format!("Location: http://{leader}{path}\r\n");
                Reply { status: 307, headers, body: Vec::new() }
            }
            None => unsettled(),
        }
    }

    /// Until when the caller of what is read now waits: where this process stood still, the call may be old.
    fn patience(&self) -> Time {
        self.alarms.came_at(self.alarms.now()) + PATIENCE
    }

    /// Whether what is committed here is the newest, as a majority says that is asked now; else the answer to give.
    fn confirm(self: &Arc<Self>, until: Time, path: &str) -> Result<(), Reply> {
        let answer = Answer::awaited();
        let number = {
            let now = self.alarms.now();
            let mut rooms = self.rooms();
            let Some(number) = rooms.cairn.read(now) else { return Err(self.elsewhere(now, &rooms, path)) };
            rooms.waiting.insert(number, answer.clone());
            self.act(now, &mut rooms);
            number
        };
        let said = answer.wait(&self.alarms, until);
        self.rooms().waiting.remove(&number);
        if said == Some(true) { Ok(()) } else { Err(unsettled()) }
    }

    pub fn read_book(self: &Arc<Self>) -> Reply {
        if let Err(reply) = self.confirm(self.patience(), "/config") {
            return reply;
        }
        let rooms = self.rooms();
        match rooms.committed.book.text() {
            Some(text) => Reply::json(200, text.as_bytes()),
            None => error(404, "no configuration yet"),
        }
    }

    pub fn change(self: &Arc<Self>, call: &Call, path: &str, change: Change) -> Reply {
        let until = self.patience();
        let mut is_confirmed = false;
        let answer = Answer::awaited();
        let number = loop {
            let now = self.alarms.now();
            // Whoever has gone sends it again, elsewhere perhaps: taken late, it would undo what came after it.
            if now >= until || call.has_hung_up() {
                return unsettled();
            }
            {
                let mut rooms = self.rooms();
                if !rooms.cairn.leads() && rooms.cairn.leader() != Some(self.me) {
                    return self.elsewhere(now, &rooms, path);
                }
                // Cut off, or just woken: it will not be the leader for long.
                if rooms.cairn.leads() && !rooms.cairn.is_in_touch(now) {
                    return unsettled();
                }
                if rooms.cairn.leads() && !rooms.cairn.is_open() {
                    match rooms.committed.book.rule(&change, &self.settings.zones) {
                        Ruling::Take(book) => {
                            if let Some(number) = rooms.cairn.propose(now, book.written()) {
                                rooms.waiting.insert(number, answer.clone());
                                self.act(now, &mut rooms);
                                break number;
                            }
                        }
                        Ruling::Unclear => return unsettled(),
                        Ruling::Taken if is_confirmed => return Reply::json(200, "{}"),
                        Ruling::Refuse(status, why) if is_confirmed => {
                            info!(status = status, why = why; "a change is refused");
                            return error(status, &why);
                        }
                        Ruling::Taken | Ruling::Refuse(..) => {
                            drop(rooms);
                            if let Err(reply) = self.confirm(until, path) {
                                return reply;
                            }
                            // Ruled on again by the book as it is now.
                            is_confirmed = true;
                            continue;
                        }
                    }
                }
            }
            // Another change is open, or what the leader began with is not committed yet.
            self.alarms.sleep_until(now + LOOKS);
        };
        let settled = answer.wait(&self.alarms, until);
        self.rooms().waiting.remove(&number);
        match settled {
            Some(true) => Reply::json(200, "{}"),
            // It may still come into force, or not: the same bytes sent again find out.
            _ => unsettled(),
        }
    }
}
