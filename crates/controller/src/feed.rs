//! The gatekeepers of the road that follow the feed here: what they are told, and the purse of the quotas.

use std::collections::HashMap;
use std::sync::Arc;

use log::info;
use lynxstair::types::{Span, Time};
use lynxstair_config::settings::Bounds;
use lynxstair_control_state::config_feed::Sent;
use lynxstair_control_state::quota_allocator::{Grant, Purse};
use lynxstair_net::conn::Conn;
use lynxstair_protocol::messages::{Bytes, Down, Edge, Ping, Readiness};
use lynxstair_transport as lines;

use crate::agreement::Committed;
use crate::hut::{Hut, MOST_UNSENT, Rooms};
use crate::peers::say;

/// So long after its start a hut has been found by all gatekeepers that there are.
const FOUND: Span = Span::from_millis(2_000);

/// A gatekeeper that follows the feed here.
struct Follower {
    conn: Arc<Conn>,
    edge: Edge,
    /// What it was told last of how many gatekeepers there are.
    zones: Vec<(String, u32)>,
    sent: Sent,
}

pub struct Feed {
    followers: HashMap<u64, Follower>,
    last_follower: u64,
    purse: Purse,
    /// How many huts they were told of.
    pub told_huts: usize,
}

impl Feed {
    pub fn new(bounds: &Bounds) -> Feed {
        let purse = Purse::new(Grant {
            window: bounds.quota_window,
            requests: bounds.quota_slack,
            over: bounds.quota_overshoot,
        });
        Feed { followers: HashMap::new(), last_follower: 0, purse, told_huts: 0 }
    }

    /// To every gatekeeper that follows the feed here.
    pub fn tell(&self, word: &Down) {
        if self.followers.is_empty() {
            return;
        }
        let frame = lines::frame(word);
        self.followers.values().for_each(|f| lines::write(&f.conn, &frame, MOST_UNSENT));
    }
}

impl Rooms {
    /// A gatekeeper's line has ended.
    pub fn let_go(&mut self, number: u64) {
        if let Some(follower) = self.feed.followers.remove(&number) {
            self.directory.end(&follower.edge.node, follower.edge.life);
        }
    }

    /// A book was committed: the leader tells every gatekeeper that follows the feed here and has none on its way.
    pub fn tell_book(&mut self, now: Time) {
        let Rooms { cairn, committed, feed, .. } = self;
        if !cairn.leads() {
            return;
        }
        if let Some(configuration) = committed.book.configuration() {
            feed.purse.keep(&configuration.tenants);
        }
        let Committed { book, steps, .. } = committed;
        let mut frames: HashMap<u64, Vec<u8>> = HashMap::new();
        for f in feed.followers.values_mut() {
            let Some(over) = f.sent.due(now, book.number, true, book.bytes()) else { continue };
            let frame = frames.entry(over).or_insert_with(|| {
                let state = Bytes(Arc::new(steps.page(book, over)));
                lines::frame(&Down::Book { index: book.number, state })
            });
            f.sent.flies(now, book.number, frame.len());
            lines::write(&f.conn, frame, MOST_UNSENT);
        }
    }
}

impl Hut {
    /// A gatekeeper begins to follow; its number here.
    pub fn welcome(&self, now: Time, rooms: &mut Rooms, conn: &Arc<Conn>, edge: Edge, lives: bool) -> u64 {
        say(conn, &self.huts(now, rooms));
        if lives {
            say(conn, &Down::Lives { lives: rooms.lives.all(now), whole: true });
        }
        let feed = &mut rooms.feed;
        feed.followers.retain(|_, f| f.edge.node != edge.node);
        feed.last_follower += 1;
        let new = Follower { conn: conn.clone(), edge, zones: Vec::new(), sent: Sent::default() };
        feed.followers.insert(feed.last_follower, new);
        feed.last_follower
    }

    /// A gatekeeper says how it is; false where it is none that follows. What the leader alone says (parts of quotas, how
    /// many gatekeepers there are) it says only while it is in touch: else another may lead by now.
    pub fn hear_ping(&self, (now, came): (Time, Time), rooms: &mut Rooms, number: u64, ping: &Ping) -> bool {
        let leads = rooms.leads(now);
        let Rooms { cairn, committed, feed, directory, peers, .. } = rooms;
        let Some(f) = feed.followers.get_mut(&number) else { return false };
        if directory.hear(came, &f.edge, ping.readiness) && ping.readiness == Readiness::Leaving {
            self.tell_sightings(now, directory, peers);
        }
        let Committed { book, steps, .. } = committed;
        f.sent.hear(now, ping.have);
        if let Some(over) = f.sent.due(now, book.number, leads, book.bytes()) {
            let page = steps.page(book, over);
            f.sent.flies(now, book.number, page.len());
            say(&f.conn, &Down::Book { index: book.number, state: Bytes(Arc::new(page)) });
        }
        let fresh = cairn.sure_at().map(|at| (now - at).nanos().div_ceil(1_000_000));
        say(&f.conn, &Down::Pong { clock: ping.clock, index: book.number, fresh, leads });
        let purse = &mut feed.purse;
        let node = &f.edge.node;
        // Out of touch for a moment, a leader forgets nothing that it was told.
        purse.meet(now, node, &f.edge.zone, cairn.leads());
        let Some(c) = book.configuration().filter(|_| leads) else { return true };
        if let Some(holds) = &ping.holds {
            purse.holds(node, holds);
        }
        let closed = purse.hear(now, node, &f.edge.zone, (&ping.counts, ping.got), &c.tenants);
        // One that has just begun has not been found by all of them, and each would take a larger part than is its own.
        let zones = purse.gatekeepers();
        if zones != f.zones && now - self.started_at >= FOUND {
            say(&f.conn, &Down::Zones(zones.clone()));
            f.zones = zones;
        }
        if let Some((number, shares)) = purse.shares(now, node, &c.tenants) {
            say(&f.conn, &Down::Shares { number, shares });
        }
        if !closed.is_empty() {
            info!(tenants = closed.len(); "quotas are reached: closed everywhere");
            feed.tell(&Down::Shares { number: 0, shares: closed });
        }
        true
    }
}
