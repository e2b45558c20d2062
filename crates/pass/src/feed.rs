//! The feed on sockets: one line to each hut, by which the book, the workers' lives and the purse's shares come, and
//! by which this gatekeeper says what it counted and whether clients may come.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

use log::info;
use lynxstair::types::{Span, Time};
use lynxstair_lines as lines;
use lynxstair_trailbook::words::{Down, Up};
use lynxstair_wire::conn::Conn;

use crate::road::Road;

/// How often it speaks, and what it takes a hut for that answered none of that for so long.
const PING: Span = Span::from_millis(1_000);
const SILENT: Span = Span::from_millis(2_600);
const AGAIN: Span = Span::from_millis(200);
const MOST_UNSENT: usize = 1 << 20;

#[derive(Default)]
pub struct Feed {
    open: Mutex<Vec<Arc<Conn>>>,
}

impl Feed {
    fn open(&self) -> MutexGuard<'_, Vec<Arc<Conn>>> {
        self.open.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Keeps a line to one hut, for ever.
    pub fn follow(road: &Arc<Road>, hut: SocketAddr) {
        loop {
            if let Some(conn) = lines::open(&road.alarms, hut) {
                road.feed.open().push(conn.clone());
                lines::write(&conn, &lines::frame(&Up::Hello { edge: road.edge.clone() }), MOST_UNSENT);
                say(road, std::slice::from_ref(&conn), Vec::new());
                Feed::listen(road, &conn);
                conn.close();
                road.feed.open().retain(|c| !Arc::ptr_eq(c, &conn));
                info!(hut = hut.to_string(); "a line of the feed has ended");
            }
            road.alarms.sleep_until(road.alarms.now() + AGAIN);
        }
    }

    fn listen(road: &Arc<Road>, conn: &Arc<Conn>) {
        let mut heard_at = road.alarms.now();
        road.alarms.nudge(heard_at + SILENT, conn);
        let is_silent = |heard_at: Time| road.alarms.now() - heard_at >= SILENT;
        lines::read_while(conn, |word: Option<Down>| {
            let now = road.alarms.now();
            let Some(word) = word else { return !is_silent(heard_at) };
            heard_at = now;
            let mut rooms = road.rooms();
            match word {
                Down::Book { index, state } => {
                    if rooms.take_book(now, index, &state.0) {
                        info!(number = index; "a book is in force");
                        drop(rooms);
                        // So that the hut knows, and its next answer counts.
                        say(road, std::slice::from_ref(conn), Vec::new());
                    }
                }
                Down::Lives { lives, .. } => rooms.take_lives(now, &lives),
                Down::Pong { clock, index, fresh, edges, shares } => {
                    let sent_at = Time::from_nanos(clock);
                    let fresh = fresh.map(Span::from_millis);
                    rooms.take_pong(now, sent_at, (index, fresh), &edges, &shares);
                    drop(rooms);
                    road.alarms.nudge(now + SILENT, conn);
                }
            }
            true
        });
    }

    /// Speaks every second; from the start on at a time of its own, so that not all do so at once.
    pub fn speak(road: &Arc<Road>, offset: Span) {
        let mut at = road.alarms.now() + offset;
        loop {
            road.alarms.sleep_until(at);
            at = at + PING;
            Feed::speak_now(road);
        }
    }

    pub fn speak_now(road: &Arc<Road>) {
        let open = road.feed.open().clone();
        let counts = road.rooms().buckets.counts();
        say(road, &open, counts);
    }
}

fn say(road: &Arc<Road>, to: &[Arc<Conn>], counts: Vec<lynxstair_trailbook::words::Count>) {
    let now = road.alarms.now();
    let (have, ready, holds) = {
        let rooms = road.rooms();
        (rooms.mirror.number(), rooms.is_ready(now), rooms.buckets.holds(now))
    };
    let frame = lines::frame(&Up::Ping { clock: now.nanos(), have, ready, counts, holds });
    to.iter().for_each(|conn| lines::write(conn, &frame, MOST_UNSENT));
}
