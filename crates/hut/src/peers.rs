//! The other huts: a line to each, by which this one speaks, and who of them is here.

use std::collections::HashMap;
use std::sync::Arc;

use indexmap::IndexMap;
use log::info;
use lynxstair::types::{Span, Time};
use lynxstair_cairn::Node;
use lynxstair_lines as lines;
use lynxstair_trailbook::words::{Down, Up};
use lynxstair_wire::conn::Conn;
use lynxstair_wire::coroutine::go;

use crate::hut::{Hut, MOST_UNSENT, Rooms};

/// Huts are near each other: how long a line between them may take to open, and how long until it is tried again: at
/// first, and more and more up to the longest where nobody is there.
const OPENING: Span = Span::from_millis(200);
const AGAIN: Span = Span::from_millis(60);
const AGAIN_AT_MOST: Span = Span::from_millis(300);
/// No system has more huts than this.
const MOST_HUTS: usize = 16;
/// A hut that neither votes nor was heard for so long is let go of.
const UNHEARD: Span = Span::from_millis(30_000);
/// A hut that reached no other for so long looks whether the settings name others.
const ALONE: Span = Span::from_millis(2_000);

/// A hut that this one keeps a line to.
struct Peer {
    /// Which of the coroutines that kept a line to it does so now.
    keeper: u64,
    /// When it was named, or spoke.
    heard_at: Time,
}

pub struct Peers {
    known: IndexMap<Node, Peer>,
    /// The lines that are open.
    open: HashMap<Node, Arc<Conn>>,
    keepers: u64,
    /// When this hut last had a line to another.
    reached_at: Time,
    /// The last list of all huts that the road was told, as of one who leads.
    told: Vec<Node>,
}

impl Peers {
    pub fn new(now: Time) -> Peers {
        let (known, open) = (IndexMap::new(), HashMap::new());
        Peers { known, open, keepers: 0, reached_at: now, told: Vec::new() }
    }

    /// To every other hut.
    pub fn tell(&self, word: &Up) {
        if self.open.is_empty() {
            return;
        }
        let frame = lines::frame(word);
        self.open.values().for_each(|conn| lines::write(conn, &frame, MOST_UNSENT));
    }

    /// To one of them, if its line is open.
    pub fn say(&self, to: Node, word: &Up) {
        if let Some(conn) = self.open.get(&to) {
            say(conn, word);
        }
    }

    /// Whether one more may be known; where there are too many, the one that was not heard for longest gives way.
    fn has_room(&mut self) -> bool {
        if self.known.len() < MOST_HUTS {
            return true;
        }
        let closed = self.known.iter().filter(|(node, _)| !self.open.contains_key(*node));
        let Some(oldest) = closed.min_by_key(|(_, peer)| peer.heard_at).map(|(node, _)| *node) else {
            return false;
        };
        self.known.shift_remove(&oldest);
        true
    }

    /// Whether it is time to look who else there may be.
    pub fn is_alone(&self, now: Time) -> bool {
        self.open.is_empty() && now - self.reached_at > ALONE
    }

    /// It was looked.
    pub fn looked(&mut self, now: Time) {
        self.reached_at = now;
    }

    fn is_keeper(&self, peer: Node, keeper: u64) -> bool {
        self.known.get(&peer).is_some_and(|p| p.keeper == keeper)
    }
}

pub fn say<W: serde::Serialize>(conn: &Arc<Conn>, word: &W) {
    lines::write(conn, &lines::frame(word), MOST_UNSENT);
}

impl Rooms {
    /// Another hut spoke, or opened a line.
    pub fn heard_hut(&mut self, now: Time, hut: Node) {
        if let Some(peer) = self.peers.known.get_mut(&hut) {
            peer.heard_at = now;
        }
        self.directory.hear_hut(now, hut);
        self.cairn.meet(now, hut);
    }
}

impl Hut {
    /// Keeps a line to each of these huts from now on; whether one of them was not known.
    pub fn meet(self: &Arc<Self>, now: Time, rooms: &mut Rooms, huts: &[Node]) -> bool {
        let mut is_news = false;
        for hut in huts {
            let peers = &mut rooms.peers;
            if *hut == self.me || peers.known.contains_key(hut) || !peers.has_room() {
                continue;
            }
            is_news = true;
            peers.keepers += 1;
            let (h, hut, keeper) = (self.clone(), *hut, peers.keepers);
            peers.known.insert(hut, Peer { keeper, heard_at: now });
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
        rooms.peers.tell(&Up::Core { from: self.me });
        if !rooms.peers.open.is_empty() {
            rooms.peers.reached_at = now;
        }
        let members: Vec<Node> = rooms.members();
        if rooms.cairn.is_in_touch(now) {
            let gone = |n: &Node, p: &Peer| !members.contains(n) && now - p.heard_at > UNHEARD;
            let before = rooms.peers.known.len();
            rooms.peers.known.retain(|node, peer| !gone(node, peer));
            if rooms.peers.known.len() < before {
                info!(huts = rooms.peers.known.len(); "huts that are gone are let go of");
            }
        }
        self.meet(now, rooms, &members);
        self.tell_huts(now, rooms);
    }

    /// The word by which the road learns of huts: all, as the leader says, else those that are known here.
    pub fn huts(&self, now: Time, rooms: &Rooms) -> Down {
        let huts = rooms.peers.known.keys().copied().chain([self.me]).collect();
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
        while self.rooms().peers.is_keeper(peer, keeper) {
            if let Some(conn) = lines::open(&self.alarms, to, OPENING) {
                again = AGAIN;
                {
                    let now = self.alarms.now();
                    let mut rooms = self.rooms();
                    say(&conn, &Up::Core { from: self.me });
                    say(&conn, &Up::Heard(rooms.lives.all(now)));
                    say(&conn, &self.sightings(now, &rooms));
                    rooms.peers.open.insert(peer, conn.clone());
                    rooms.cairn.reached(peer);
                }
                // Nothing comes back on it but its end.
                lines::read(&conn, |_: ()| false);
                conn.close();
                self.rooms().peers.open.remove(&peer);
            } else {
                again = again.times(1.25).min(AGAIN_AT_MOST);
            }
            self.alarms.sleep_until(self.alarms.now() + again);
        }
    }
}
