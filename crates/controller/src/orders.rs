//! The operator's orders on the book, and reading it. Only the leader answers them, and what it says of the book is
//! true at some moment of the call: a majority has answered a round that began after the call came (read index), or
//! has stored what is acknowledged.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

use log::info;
use lynxstair::types::{Span, Time};
use lynxstair_control_state::config_store::{Change, Order, Ruling};
use lynxstair_net::calls::{Call, Reply};
use may::sync::Blocker;

use crate::agreement::Answer;
use crate::aside::{Aside, MOST_AT_ONCE};
use crate::control::{error, unsettled};
use crate::hut::{Hut, Rooms};

/// How long a call of the operator may wait for the majority; after that the caller moves on anyway.
const PATIENCE: Span = Span::from_millis(850);
/// While another change is open.
const LOOKS: Span = Span::from_millis(4);

/// Of so many bytes large orders wait to be read, or one of more: the values of a text take twenty times its room.
const MOST_READ: usize = 2 << 20;
static READING: AtomicUsize = AtomicUsize::new(0);

/// Reads an order, a large one aside; None where too much is being read.
fn read(aside: &Aside, mut order: Order) -> Option<Order> {
    let bytes = order.bytes();
    if bytes <= MOST_AT_ONCE {
        order.read();
        return Some(order);
    }
    let before = READING.fetch_add(bytes, Ordering::Relaxed);
    if before > 0 && before + bytes > MOST_READ {
        READING.fetch_sub(bytes, Ordering::Relaxed);
        return None;
    }
    let reader = Arc::new(Reader { blocker: Blocker::current(), read: Mutex::new(None) });
    let end = End(reader.clone());
    aside.go(move || {
        order.read();
        end.0.say(Some(order));
    });
    let mut read = None;
    while read.is_none() {
        let _ = reader.blocker.park(None);
        read = reader.read.lock().unwrap_or_else(|e| e.into_inner()).take();
    }
    READING.fetch_sub(bytes, Ordering::Relaxed);
    read.flatten()
}

/// Who waits for a thread that reads, and what that has read: an order, or none where it ended otherwise.
struct Reader {
    blocker: Arc<Blocker>,
    read: Mutex<Option<Option<Order>>>,
}

impl Reader {
    fn say(&self, order: Option<Order>) {
        self.read.lock().unwrap_or_else(|e| e.into_inner()).get_or_insert(order);
        self.blocker.unpark();
    }
}

/// However the thread ends, nobody waits for it any more.
struct End(Arc<Reader>);

impl Drop for End {
    fn drop(&mut self) {
        self.0.say(None);
    }
}

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
        if rooms.committed.is_unreadable {
            return unsettled();
        }
        match rooms.committed.book.text() {
            Some(text) => Reply::json(200, text.as_bytes()),
            None => error(404, "no configuration yet"),
        }
    }

    pub fn change(self: &Arc<Self>, call: &Call, path: &str, change: Change) -> Reply {
        let until = self.patience();
        let mut is_confirmed = false;
        let answer = Answer::awaited();
        let mut order = Order::new(change);
        // One that was taken needs no reading; any other is read while nobody waits for the rooms.
        if !self.rooms().committed.book.has_taken(&order) {
            let Some(read) = read(&self.aside, order) else { return unsettled() };
            order = read;
        }
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
                if rooms.committed.is_unreadable {
                    return unsettled();
                }
                if rooms.cairn.leads() && !rooms.cairn.is_open() {
                    match rooms.committed.book.rule(&order, &self.settings.zones) {
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
