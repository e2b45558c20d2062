//! The other huts: a line to each, by which this one speaks, and who of them is here.

use std::collections::HashMap;
use std::sync::Arc;

use log::info;
use lynxstair::types::{Span, Time};
use lynxstair_consensus::Node;
use lynxstair_control_state::peer_set::{DEAF, Huts};
use lynxstair_net::conn::Conn;
use lynxstair_net::coroutine::go;
use lynxstair_protocol::messages::{Down, Up};
use lynxstair_transport as lines;

use crate::hut::{Hut, MOST_UNSENT, Rooms};

/// Huts are near each other: how long a line between them may take to open, and how long until it is tried again: at
/// first, and more and more up to the longest where nobody is there.
const OPENING: Span = Span::from_millis(200);
const AGAIN: Span = Span::from_millis(60);
const AGAIN_AT_MOST: Span = Span::from_millis(300);

pub struct Peers {
    pub huts: Huts,
    /// The lines that are open, each since when.
    open: HashMap<Node, (Arc<Conn>, Time)>,
    /// The last list of all huts that the road was told, as of one who leads.
    told: Vec<Node>,
}

impl Peers {
    pub fn new(now: Time) -> Peers {
        Peers { huts: Huts::new(now), open: HashMap::new(), told: Vec::new() }
    }

    /// To every other hut.
    pub fn tell(&self, word: &Up) {
        if self.open.is_empty() {
            return;
        }
        let frame = lines::frame(word);
        self.open.values().for_each(|(conn, _)| lines::write(conn, &frame, MOST_UNSENT));
    }

    /// To one of them, if its line is open.
    pub fn say(&self, to: Node, word: &Up) {
        if let Some((conn, _)) = self.open.get(&to) {
            say(conn, word);
        }
    }

    /// To each its own: that this hut is there, and whether it hears the other.
    fn show(&self, now: Time, me: Node) {
        for (peer, (conn, _)) in &self.open {
            say(conn, &self.here(now, me, *peer));
        }
    }

    /// The word that this hut is there.
    fn here(&self, now: Time, me: Node, to: Node) -> Up {
        Up::Core { from: me, hears: self.huts.hears(now, to), others: self.huts.heard_lately(now) }
    }

    /// A hut says that it does not hear this one: the line to it brings nothing, unless it is new. Its keeper opens
    /// another.
    pub fn is_not_heard_by(&self, now: Time, peer: Node) {
        if let Some((conn, since)) = self.open.get(&peer)
            && now - *since >= DEAF
        {
            info!(hut = peer.to_string(); "a line brings nothing and is opened anew");
            conn.close();
        }
    }
}

pub fn say<W: serde::Serialize>(conn: &Arc<Conn>, word: &W) {
    lines::write(conn, &lines::frame(word), MOST_UNSENT);
}

impl Rooms {
    /// Another hut spoke, or opened a line.
    pub fn heard_hut(&mut self, now: Time, hut: Node) {
        self.peers.huts.heard(now, hut);
        self.directory.hear_hut(now, hut);
        self.cairn.meet(now, hut);
    }
}

impl Hut {
    /// Keeps a line to each of these huts from now on; whether one of them was not known.
    pub fn meet(self: &Arc<Self>, now: Time, rooms: &mut Rooms, huts: &[Node]) -> bool {
        let mut is_news = false;
        for hut in huts.iter().filter(|hut| **hut != self.me) {
            let Some(keeper) = rooms.peers.huts.meet(now, *hut) else { continue };
            is_news = true;
            let (h, hut) = (self.clone(), *hut);
            go("a line", move || h.keep_line(hut, keeper));
        }
        if is_news {
            self.tell_huts(now, rooms);
        }
        is_news
    }

    /// Those that are here say so again; who is long gone is let go of. While no majority is in touch nobody is: who
    /// is gone is then not known.
    pub fn keep_peers(self: &Arc<Self>, now: Time, rooms: &mut Rooms) {
        rooms.peers.show(now, self.me);
        if !rooms.peers.open.is_empty() {
            rooms.peers.huts.reached(now);
        }
        let members: Vec<Node> = rooms.members();
        if rooms.cairn.is_in_touch(now) && rooms.peers.huts.let_go(now, |hut| members.contains(&hut)) > 0 {
            info!(huts = rooms.peers.huts.len(); "huts that are gone are let go of");
        }
        self.meet(now, rooms, &members);
        self.tell_huts(now, rooms);
    }

    /// The word by which the road learns of huts: all, as the leader says, else those that are known here.
    pub fn huts(&self, now: Time, rooms: &Rooms) -> Down {
        let huts = rooms.peers.huts.all().chain([self.me]).collect();
        Down::Huts { huts, whole: rooms.leads(now) }
    }

    /// Those who follow the feed are told where it is news.
    fn tell_huts(&self, now: Time, rooms: &mut Rooms) {
        let word = self.huts(now, rooms);
        let Down::Huts { huts, whole } = &word else { return };
        if !whole {
            rooms.peers.told.clear();
        }
        if *whole && rooms.peers.told != *huts || !whole && huts.len() > rooms.feed.told_huts {
            rooms.feed.told_huts = huts.len();
            if *whole {
                rooms.peers.told = huts.clone();
            }
            rooms.feed.tell(&word);
        }
    }

    /// Keeps a line to another hut, by which this one speaks, for as long as it is known.
    fn keep_line(self: &Arc<Self>, peer: Node, keeper: u64) {
        let to = Node::new(peer.ip(), self.settings.ports.0);
        let mut again = AGAIN;
        while self.rooms().peers.huts.is_kept(peer, keeper) {
            if let Some(conn) = lines::open(&self.alarms, to, OPENING) {
                again = AGAIN;
                {
                    let now = self.alarms.now();
                    let mut rooms = self.rooms();
                    say(&conn, &rooms.peers.here(now, self.me, peer));
                    say(&conn, &Up::Heard(rooms.lives.all(now)));
                    say(&conn, &self.sightings(now, &rooms));
                    rooms.peers.open.insert(peer, (conn.clone(), now));
                    rooms.cairn.reached(peer);
                }
                // Nothing comes back on it but its end.
                lines::read(&conn, |_: ()| false);
                conn.close();
                // Where it was let go of and met again meanwhile, another line stands by now.
                self.rooms().peers.open.retain(|_, (open, _)| !Arc::ptr_eq(open, &conn));
            } else {
                again = again.times(1.25).min(AGAIN_AT_MOST);
            }
            self.alarms.sleep_until(self.alarms.now() + again);
        }
    }
}
