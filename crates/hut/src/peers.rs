//! The other huts: a line to each, by which this one speaks, and what they say on theirs.

use std::collections::HashMap;
use std::sync::Arc;

use lynxstair::types::{Span, Time};
use lynxstair_cairn::Node;
use lynxstair_lines as lines;
use lynxstair_trailbook::words::{Down, Up, Vote};
use lynxstair_wire::conn::Conn;
use lynxstair_wire::coroutine::go;

use crate::hut::{Hut, MOST_UNSENT, Rooms};

/// Huts are near each other: how long a line between them may take to open, and how long until it is tried again.
const OPENING: Span = Span::from_millis(200);
const AGAIN: Span = Span::from_millis(60);
/// No system has more huts than this.
const MOST_HUTS: usize = 16;

#[derive(Default)]
pub struct Peers {
    /// The huts that this one keeps a line to, and the lines that are open.
    known: Vec<Node>,
    pub open: HashMap<Node, Arc<Conn>>,
}

impl Peers {
    /// To every other hut.
    pub fn tell(&self, word: &Up) {
        let frame = lines::frame(word);
        self.open.values().for_each(|conn| lines::write(conn, &frame, MOST_UNSENT));
    }
}

pub fn say<W: serde::Serialize>(conn: &Arc<Conn>, word: &W) {
    lines::write(conn, &lines::frame(word), MOST_UNSENT);
}

impl Hut {
    /// Keeps a line to each of these huts from now on; those who follow the feed are told of new ones.
    pub fn meet(self: &Arc<Self>, rooms: &mut Rooms, huts: &[Node]) {
        let mut is_news = false;
        for hut in huts {
            let known = &mut rooms.peers.known;
            if *hut != self.me && !known.contains(hut) && known.len() < MOST_HUTS {
                known.push(*hut);
                is_news = true;
                let (h, hut) = (self.clone(), *hut);
                go("a line", move || h.keep_line(hut));
            }
        }
        if is_news {
            rooms.feed.tell(&Down::Huts(self.all_huts(rooms)));
        }
    }

    pub fn all_huts(&self, rooms: &Rooms) -> Vec<Node> {
        rooms.peers.known.iter().copied().chain([self.me]).collect()
    }

    /// Keeps a line to another hut, by which this one speaks.
    fn keep_line(self: &Arc<Self>, peer: Node) {
        let to = Node::new(peer.ip(), self.settings.ports.0);
        loop {
            if let Some(conn) = lines::open(&self.alarms, to, OPENING) {
                {
                    let now = self.alarms.now();
                    let mut rooms = self.rooms();
                    say(&conn, &Up::Core { from: self.me });
                    say(&conn, &Up::Heard(rooms.lives.all(now)));
                    rooms.peers.open.insert(peer, conn.clone());
                }
                // Nothing comes back on it but its end.
                lines::read(&conn, |_: ()| false);
                conn.close();
                self.rooms().peers.open.remove(&peer);
            }
            self.alarms.sleep_until(self.alarms.now() + AGAIN);
        }
    }

    /// Another hut says something about the book.
    pub fn hear_vote(self: &Arc<Self>, now: Time, rooms: &mut Rooms, from: Node, vote: Vote) {
        rooms.cairn.hear(now, from, vote);
        rooms.cairn.knock(now, from);
        self.act(now, rooms);
    }
}
