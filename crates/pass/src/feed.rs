//! The feed on sockets: one line to each hut, by which the book, the workers' lives and the purse's shares come, and
//! by which this gatekeeper says what it counted and whether clients may come.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

use log::info;
use lynxstair::types::{Span, Time};
use lynxstair_lines as lines;
use lynxstair_trailbook::words::{Down, Ping, Up};
use lynxstair_wire::conn::Conn;
use lynxstair_wire::coroutine::go;

use crate::road::Road;

/// How often it speaks, and what it takes a hut for that answered none of that for so long.
const PING: Span = Span::from_millis(1_000);
const SILENT: Span = Span::from_millis(2_600);
/// A hut may be a region away.
const OPENING: Span = Span::from_millis(350);
const AGAIN: Span = Span::from_millis(150);
const MOST_UNSENT: usize = 1 << 20;
/// No system has more huts than this.
const MOST_HUTS: usize = 16;

/// A line to one hut.
struct Line {
    hut: SocketAddr,
    conn: Arc<Conn>,
    /// It leads, as far as it has said; the number of the last shares that it told.
    leads: bool,
    got: u64,
    /// It was told which parts of quotas are held here.
    knows: bool,
}

#[derive(Default)]
struct Lines {
    /// The huts that are followed, by their control addresses.
    huts: Vec<SocketAddr>,
    open: Vec<Line>,
}

#[derive(Default)]
pub struct Feed {
    lines: Mutex<Lines>,
}

impl Feed {
    fn lines(&self) -> MutexGuard<'_, Lines> {
        self.lines.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Follows each of these huts from now on.
    pub fn meet(road: &Arc<Road>, huts: &[SocketAddr]) {
        let mut lines = road.feed.lines();
        for hut in huts {
            if !lines.huts.contains(hut) && lines.huts.len() < MOST_HUTS {
                lines.huts.push(*hut);
                let (r, hut) = (road.clone(), *hut);
                go("the feed", move || Feed::follow(&r, hut));
            }
        }
    }

    /// Keeps a line to one hut, for ever.
    fn follow(road: &Arc<Road>, hut: SocketAddr) {
        let inner = SocketAddr::new(hut.ip(), road.settings.ports.0);
        let mut is_first = true;
        loop {
            if let Some(conn) = lines::open(&road.alarms, inner, OPENING) {
                // Who begins needs to know all lives once; who was away from one hut, what that one heard.
                let lives = !is_first || !road.rooms().has_lives;
                is_first = false;
                let hello = Up::Hello { edge: road.edge.clone(), lives };
                lines::write(&conn, &lines::frame(&hello), MOST_UNSENT);
                road.feed.lines().open.push(Line {
                    hut,
                    conn: conn.clone(),
                    leads: false,
                    got: 0,
                    knows: false,
                });
                Feed::speak_to(road, Some(&conn));
                Feed::listen(road, &conn);
                conn.close();
                road.feed.lines().open.retain(|l| !Arc::ptr_eq(&l.conn, &conn));
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
            match word {
                Down::Book { index, state } => {
                    if road.rooms().take_book(now, index, &state.0) {
                        info!(number = index; "a book is in force");
                        // So that the hut knows, and its next answer counts.
                        Feed::speak_to(road, Some(conn));
                    }
                }
                Down::Lives { lives, .. } => road.rooms().take_lives(now, &lives),
                Down::Pong { clock, index, fresh, leads } => {
                    let sent_at = Time::from_nanos(clock);
                    road.rooms().take_pong(sent_at, index, fresh.map(Span::from_millis), leads);
                    Feed::heard(road, conn, |line| {
                        line.knows &= leads;
                        line.leads = leads;
                    });
                    road.alarms.nudge(now + SILENT, conn);
                }
                Down::Shares { number, shares } => {
                    road.rooms().buckets.hear(now, now, &shares);
                    Feed::heard(road, conn, |line| line.got = line.got.max(number));
                }
                Down::Zones(zones) => road.rooms().take_zones(now, &zones),
                Down::Huts(huts) => Feed::meet(road, &huts),
            }
            true
        });
    }

    fn heard(road: &Road, conn: &Arc<Conn>, what: impl FnOnce(&mut Line)) {
        if let Some(line) = road.feed.lines().open.iter_mut().find(|l| Arc::ptr_eq(&l.conn, conn)) {
            what(line);
        }
    }

    /// Speaks every second; from the start on at a time of its own, so that not all do so at once.
    pub fn speak(road: &Arc<Road>, offset: Span) {
        let mut at = road.alarms.now() + offset;
        loop {
            road.alarms.sleep_until(at);
            at = at + PING;
            Feed::speak_to(road, None);
        }
    }

    /// Speaks to one hut, or to all; what was counted goes to the one that leads.
    pub fn speak_to(road: &Road, only: Option<&Arc<Conn>>) {
        let now = road.alarms.now();
        let mut lines = road.feed.lines();
        let (have, ready, mut counts, held) = {
            let mut rooms = road.rooms();
            let leads = lines.open.iter().any(|l| l.leads) && only.is_none();
            let counts = if leads { rooms.buckets.counts() } else { Vec::new() };
            let held = lines.open.iter().any(|l| l.leads && !l.knows).then(|| rooms.buckets.holds(now));
            (rooms.mirror.number(), rooms.is_ready(now), counts, held)
        };
        // Of two that say that they lead, one has not heard yet that it does no more.
        lines.open.sort_by_key(|l| (!l.leads, l.hut));
        for line in lines.open.iter_mut().filter(|l| only.is_none_or(|c| Arc::ptr_eq(c, &l.conn))) {
            let counts = if line.leads { std::mem::take(&mut counts) } else { Vec::new() };
            let holds = if line.leads && !line.knows { held.clone() } else { None };
            line.knows |= holds.is_some();
            let ping = Ping { clock: now.nanos(), have, ready, got: line.got, counts, holds };
            lines::write(&line.conn, &lines::frame(&Up::Ping(ping)), MOST_UNSENT);
        }
    }
}
