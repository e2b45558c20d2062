//! The operator's orders on the book, and reading it: the leader's, in touch with a majority.

use std::sync::Arc;

use log::info;
use lynxstair::types::{Span, Time};
use lynxstair_ridge::book::{Change, Ruling};
use lynxstair_wire::calls::Reply;

use crate::agreement::Answer;
use crate::control::{error, unsettled};
use crate::hut::{Hut, Rooms};

/// How long a call of the operator may wait for the majority; after that the caller moves on anyway.
const PATIENCE: Span = Span::from_millis(850);
/// A leader that a majority answered within this long answers for the newest book.
const SURE: Span = Span::from_millis(400);

impl Hut {
    /// Elsewhere: the hut that leads, or nobody knows who does.
    fn elsewhere(&self, rooms: &Rooms, path: &str) -> Reply {
        match rooms.cairn.leader().filter(|l| *l != self.me) {
            Some(leader) => {
                let headers = format!("Location: http://{leader}{path}\r\n");
                Reply { status: 307, headers, body: Vec::new() }
            }
            None => unsettled(),
        }
    }

    /// Whether this hut may answer for the book now.
    fn is_sure(&self, now: Time, rooms: &Rooms) -> bool {
        rooms.cairn.leads() && rooms.cairn.sure_at().is_some_and(|at| now - at < SURE)
    }

    pub fn read_book(&self) -> Reply {
        let rooms = self.rooms();
        if !rooms.cairn.leads() {
            return self.elsewhere(&rooms, "/config");
        }
        if !self.is_sure(self.alarms.now(), &rooms) {
            return unsettled();
        }
        if rooms.committed.book.text.is_empty() {
            return error(404, "no configuration yet");
        }
        Reply::json(200, rooms.committed.book.text.as_bytes())
    }

    pub fn change(self: &Arc<Self>, path: &str, change: Change) -> Reply {
        let until = self.alarms.now() + PATIENCE;
        let waiting = Answer::awaited();
        let number = loop {
            let now = self.alarms.now();
            if now >= until {
                return unsettled();
            }
            {
                let mut rooms = self.rooms();
                if !rooms.cairn.leads() && rooms.cairn.leader() != Some(self.me) {
                    return self.elsewhere(&rooms, path);
                }
                if self.is_sure(now, &rooms) && !rooms.cairn.is_open() {
                    match rooms.committed.book.rule(&change, &self.settings.zones) {
                        Ruling::Taken => return Reply::json(200, "{}"),
                        Ruling::Refuse(status, why) => {
                            info!(status = status, why = why; "a change is refused");
                            return error(status, &why);
                        }
                        Ruling::Take(book) => {
                            if let Some(number) = rooms.cairn.propose(now, book.written()) {
                                rooms.waiting.proposed.insert(number, waiting.clone());
                                self.act(now, &mut rooms);
                                break number;
                            }
                        }
                    }
                }
            }
            // Another change is open, or the majority has not answered yet.
            self.alarms.sleep_until(now + Span::from_millis(4));
        };
        let settled = waiting.wait(&self.alarms, until);
        self.rooms().waiting.proposed.remove(&number);
        match settled {
            Some(true) => Reply::json(200, "{}"),
            // It may still come into force, or not: the same bytes sent again find out.
            _ => unsettled(),
        }
    }
}
