//! The feed on sockets: one line to each hut, by which the book, the workers' lives and the purse's shares come, and
//! by which this gatekeeper says what it counted and whether clients may come.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

use log::{info, warn};
use lynxstair::types::{Span, Time};
use lynxstair_config::settings::Reload;
use lynxstair_control_state::peer_set::Huts;
use lynxstair_net::conn::Conn;
use lynxstair_net::coroutine::go;
use lynxstair_protocol::messages::{Count, Down, Ping, Readiness, Up};
use lynxstair_transport as lines;

use crate::road::Road;
use crate::rooms::Rooms;

/// How often it speaks, and what it takes a hut for that answered none of that for so long.
const PING: Span = Span::from_millis(1_000);
const SILENT: Span = Span::from_millis(2_600);
/// A hut may be a region away.
const OPENING: Span = Span::from_millis(350);
const AGAIN: Span = Span::from_millis(150);
const AGAIN_AT_MOST: Span = Span::from_millis(200);
const MOST_UNSENT: usize = 1 << 20;

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

struct Lines {
    /// Those that are followed, by their control addresses, and which of them the leader named last.
    huts: Huts,
    named: Vec<SocketAddr>,
    open: Vec<Line>,
    /// What was counted, and when, and not told yet: no hut that leads is in reach.
    untold: VecDeque<(Time, Vec<Count>)>,
}

impl Lines {
    /// What was counted since the last time goes behind what is not told yet, as far back as a window of the quotas.
    fn keep(&mut self, now: Time, counts: Vec<Count>, window: Span) {
        self.untold.push_back((now, counts));
        self.untold.retain(|(at, _)| now - *at < window);
    }

    /// All that is not told yet, each with its age.
    fn counts(&mut self, now: Time) -> Vec<Count> {
        let aged = |(at, counts): (Time, Vec<Count>)| {
            let ago_ms = ((now - at).nanos() / 1_000_000) as u32;
            counts.into_iter().map(move |count| Count { ago_ms, ..count })
        };
        self.untold.drain(..).flat_map(aged).collect()
    }
}

pub struct Feed {
    lines: Mutex<Lines>,
    reload: Mutex<Reload>,
}

impl Default for Feed {
    fn default() -> Feed {
        let huts = Huts::new(Time::default());
        let lines = Lines { huts, named: Vec::new(), open: Vec::new(), untold: VecDeque::new() };
        Feed { lines: Mutex::new(lines), reload: Mutex::new(Reload::from_environment()) }
    }
}

impl Feed {
    fn lines(&self) -> MutexGuard<'_, Lines> {
        self.lines.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Follows each of these huts from now on.
    pub fn meet(road: &Arc<Road>, huts: &[SocketAddr]) {
        let now = road.alarms.now();
        let mut lines = road.feed.lines();
        for hut in huts {
            if let Some(keeper) = lines.huts.meet(now, *hut) {
                let (r, hut) = (road.clone(), *hut);
                go("the feed", move || Feed::follow(&r, hut, keeper));
            }
        }
    }

    /// Lets go of huts that can't be reached for long, while another is, unless the leader names them.
    fn keep_up(&self, now: Time) {
        let mut lines = self.lines();
        let Lines { huts, named, open, .. } = &mut *lines;
        if open.is_empty() {
            return;
        }
        huts.reached(now);
        open.iter().for_each(|line| huts.heard(now, line.hut));
        huts.let_go(now, |hut| named.contains(&hut));
    }

    /// Looks at the settings file, which may change with a signal or without one, and is asked as well while no hut
    /// is in reach: the seeds that it names are followed. A file that can't be used changes nothing.
    pub fn look_at_settings(road: &Arc<Road>, is_told: bool) {
        let now = road.alarms.now();
        let (is_alone, known) = {
            let mut lines = road.feed.lines();
            (lines.huts.is_alone(now), lines.huts.len())
        };
        let looked = road.feed.reload.lock().unwrap_or_else(|e| e.into_inner()).look(is_told || is_alone);
        match looked {
            None => {}
            Some(Ok(seeds)) => {
                Feed::meet(road, &seeds);
                let is_news = road.feed.lines().huts.len() > known;
                if is_news || !is_alone || is_told {
                    let why = match (is_told, is_alone) {
                        (true, _) => "told to",
                        (_, true) => "no hut was reached",
                        _ => "the file has changed",
                    };
                    info!(why = why, seeds = seeds.len(); "the settings are read again: seeds only");
                }
            }
            Some(Err(error)) => warn!(error = error; "the settings can't be read again: the old ones stay"),
        }
    }

    /// Keeps a line to one hut, for as long as it is followed.
    fn follow(road: &Arc<Road>, hut: SocketAddr, keeper: u64) {
        let inner = SocketAddr::new(hut.ip(), road.settings.ports.0);
        let mut is_first = true;
        let mut again = AGAIN;
        while road.feed.lines().huts.is_kept(hut, keeper) {
            if let Some(conn) = lines::open(&road.alarms, inner, OPENING) {
                again = AGAIN;
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
            } else {
                again = again.times(1.25).min(AGAIN_AT_MOST);
            }
            road.alarms.sleep_until(road.alarms.now() + again);
        }
        info!(hut = hut.to_string(); "a hut is followed no more");
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
                    }
                    // So that the hut knows what is here, whether it fitted or not, and its next answer counts.
                    Feed::speak_to(road, Some(conn));
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
                Down::Huts { huts, whole } => {
                    Feed::meet(road, &huts);
                    if whole {
                        road.feed.lines().named = huts;
                    }
                }
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
            road.feed.keep_up(road.alarms.now());
            Feed::look_at_settings(road, false);
        }
    }

    /// Speaks to one hut, or to all; what was counted goes to the one that leads.
    pub fn speak_to(road: &Road, only: Option<&Arc<Conn>>) {
        let now = road.alarms.now();
        let mut lines = road.feed.lines();
        let (have, readiness, counts, held) = {
            let mut rooms = road.rooms();
            let counts = if only.is_none() { rooms.buckets.counts() } else { Vec::new() };
            let held = lines.open.iter().any(|l| l.leads && !l.knows).then(|| rooms.buckets.holds(now));
            (rooms.mirror.have(), readiness(road, &rooms, now), counts, held)
        };
        let mut counts = if only.is_none() {
            lines.keep(now, counts, road.settings.bounds.quota_window);
            if lines.open.iter().any(|l| l.leads) { lines.counts(now) } else { Vec::new() }
        } else {
            Vec::new()
        };
        // Of two that say that they lead, one has not heard yet that it does no more.
        lines.open.sort_by_key(|l| (!l.leads, l.hut));
        for line in lines.open.iter_mut().filter(|l| only.is_none_or(|c| Arc::ptr_eq(c, &l.conn))) {
            let counts = if line.leads { std::mem::take(&mut counts) } else { Vec::new() };
            let holds = if line.leads && !line.knows { held.clone() } else { None };
            line.knows |= holds.is_some();
            let ping = Ping { clock: now.nanos(), have, readiness, got: line.got, counts, holds };
            lines::write(&line.conn, &lines::frame(&Up::Ping(ping)), MOST_UNSENT);
        }
    }
}

/// Whether clients may come, as the directory is told.
fn readiness(road: &Road, rooms: &Rooms, now: Time) -> Readiness {
    let bounds = &road.settings.bounds;
    let can_serve = rooms.has_lives && rooms.mirror.version().is_some();
    if rooms.is_leaving {
        Readiness::Leaving
    } else if rooms.is_ready(now) {
        Readiness::Ready
    } else if can_serve && rooms.trust.holds(now, bounds.revoke_final.then_some(bounds.revoke)) {
        Readiness::Stale
    } else {
        Readiness::Starting
    }
}
