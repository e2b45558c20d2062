//! The hut on sockets: ties the rooms (agreement, book, register, purse) to the disk, to the other huts, to the
//! gatekeepers of the road and to callers.

use std::collections::HashMap;
use std::path::Path;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;

use log::{info, warn};
use lynxstair::types::{Span, Time};
use lynxstair_cairn::{Boot, Cairn, Do, Node, Record};
use lynxstair_lines as lines;
use lynxstair_ridge::book::{Book, Change, Ruling};
use lynxstair_ridge::feed::Sent;
use lynxstair_ridge::purse::{Grant, Purse};
use lynxstair_ridge::register::Register;
use lynxstair_ridge::watch::{Answer, Contact, Watch};
use lynxstair_trailbook::configuration::Configuration;
use lynxstair_trailbook::settings::Settings;
use lynxstair_trailbook::values;
use lynxstair_trailbook::words::{Bytes, Down, Edge, Life, Standing, Up};
use lynxstair_wire::alarms::Alarms;
use lynxstair_wire::calls::{self, Call, Most, Reply};
use lynxstair_wire::clock::Clock;
use lynxstair_wire::conn::Conn;
use lynxstair_wire::coroutine::{go, go_then, prepare};
use may::sync::Blocker;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use crate::store::{Memory, Sqlite, Store};

/// How long a call of the operator may wait for the majority; after that the caller moves on anyway.
const PATIENCE: Span = Span::from_millis(850);
/// How often one that is to end looks whether it may.
const LOOKS: Span = Span::from_millis(20);
/// How often silent workers are looked for.
const SWEEP: Span = Span::from_millis(500);
/// How often the workers' lives are written, where they changed: known at once after a loss of power, they are served
/// before each has beaten again.
const KEEP: Span = Span::from_millis(1_000);
/// A gatekeeper that said nothing for so long is left out of the board's answers.
const ABSENT: Span = Span::from_millis(2_500);
/// How long clients may go by an answer of the board, in seconds; the operators' most where that is less.
const TTL_S: f64 = 3.0;
/// After its start a hut waits so long for gatekeepers before it answers for all of them.
const GATHERS: Span = Span::from_millis(700);
/// Huts are near each other: how long a line between them may take to open, and how long until it is tried again.
const OPENING: Span = Span::from_millis(200);
const AGAIN: Span = Span::from_millis(60);
/// What a caller may send, and how many callers there may be at once.
const CALLERS: Most = Most { body: 8 << 20, connections: 2000 };
const LOOKUPS: Most = Most { body: 1024, connections: 1500 };
/// No system has more huts than this.
const MOST_HUTS: usize = 16;
/// A line that holds so many unsent bytes leads nowhere.
const MOST_UNSENT: usize = 8 << 20;

/// A call that waits for the majority.
struct Waiting {
    blocker: Arc<Blocker>,
    settled: Mutex<Option<bool>>,
}

/// A gatekeeper that follows the feed here.
struct Follower {
    conn: Arc<Conn>,
    edge: Edge,
    ready: bool,
    heard_at: Time,
    /// What it was told last of how many gatekeepers there are.
    zones: Vec<(String, u32)>,
    sent: Sent,
}

/// What the rooms hold; one short lock.
struct Rooms {
    cairn: Cairn,
    /// As agreed on.
    book: Book,
    configuration: Option<Configuration>,
    watch: Watch,
    /// Since the lives were written last.
    lives_changed: bool,
    purse: Purse,
    waiting: HashMap<u64, Arc<Waiting>>,
    followers: HashMap<u64, Follower>,
    /// The huts that this one keeps a line to, and the lines that are open.
    huts: Vec<Node>,
    lines: HashMap<Node, Arc<Conn>>,
    last_follower: u64,
    /// When the book was agreed on here.
    book_at: Time,
}

/// What the disk's thread is to write.
enum Job {
    Book(u64, Record),
    Lives(Vec<u8>),
}

pub struct Hut {
    settings: Settings,
    me: Node,
    started_at: Time,
    alarms: Arc<Alarms>,
    rooms: Mutex<Rooms>,
    disk: Sender<Job>,
}

/// Serves until it is told to end.
pub fn run(settings: Settings) -> Result<(), String> {
    prepare();
    let clock = Clock::start();
    let me = settings.control.ok_or("settings: bind.control: missing")?;
    let directory = settings.directory;
    let mut store: Box<dyn Store> = match &settings.data_dir {
        Some(folder) => Box::new(Sqlite::open(Path::new(folder))?),
        None => Box::new(Memory::default()),
    };
    let found = store.load()?;
    let lives: Vec<Life> = ciborium::from_reader(&store.load_lives()?[..]).unwrap_or_default();
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP]).map_err(|e| format!("signals: {e}"))?;
    let alarms = Arc::new(Alarms::new(clock)?);
    let now = alarms.now();
    let seed = now.nanos() ^ u64::from(me.port()) << 48 ^ hash(&settings.node);
    let is_found = found.is_some();
    let boot = Boot {
        me,
        seeds: &settings.seeds,
        seed,
        found,
        bootstrap: settings.bootstrap,
        tolerated: settings.tolerated,
        catch_up: settings.bounds.catch_up,
    };
    let cairn = Cairn::start(now, boot);
    info!(node = settings.node, found = is_found, bootstrap = settings.bootstrap; "the hut opens");
    let (disk, jobs) = channel();
    let mut register = Register::default();
    register.restore(now, &lives, settings.beat_period);
    let rooms = Rooms {
        cairn,
        book: Book::default(),
        configuration: None,
        watch: Watch::new(now, register, settings.beat_period),
        lives_changed: false,
        purse: Purse::new(Grant {
            window: settings.bounds.quota_window,
            requests: settings.bounds.quota_slack,
            over: settings.bounds.quota_overshoot,
        }),
        waiting: HashMap::new(),
        followers: HashMap::new(),
        huts: Vec::new(),
        lines: HashMap::new(),
        last_follower: 0,
        book_at: now,
    };
    let inner = calls::listen(settings.inner())?;
    let control = calls::listen(me)?;
    let board = directory.map(calls::listen).transpose()?;
    let hut = Arc::new(Hut { settings, me, started_at: now, alarms, rooms: Mutex::new(rooms), disk });
    let writing = hut.clone();
    thread::Builder::new()
        .name("disk".to_string())
        .stack_size(256 << 10)
        .spawn(move || writing.write(store, &jobs))
        .map_err(|e| format!("the disk's thread: {e}"))?;
    let h = hut.clone();
    go("alarms", move || h.alarms.run());
    let h = hut.clone();
    go("time", move || h.keep_time());
    {
        let mut rooms = hut.rooms();
        let members: Vec<Node> = rooms.cairn.voters().iter().map(|m| m.node).collect();
        hut.meet(&mut rooms, &members);
    }
    let h = hut.clone();
    go("the feed", move || calls::accept(&inner, |stream| h.admit(stream)));
    let h = hut.clone();
    let handler = Arc::new(move |call: &Call| h.control(call));
    let alarms = hut.alarms.clone();
    go("control", move || calls::serve(&control, &alarms, CALLERS, handler));
    if let Some(board) = board {
        let h = hut.clone();
        let handler = Arc::new(move |call: &Call| h.look_up(call));
        let alarms = hut.alarms.clone();
        go("the board", move || calls::serve(&board, &alarms, LOOKUPS, handler));
    }
    while signals.forever().next() == Some(SIGHUP) {
        info!("settings are read at the start only");
    }
    // The main thread only waits; whoever sleeps is a coroutine.
    let (ended, end) = channel();
    go("the end", move || {
        hut.step_down();
        let _ = ended.send(());
    });
    let _ = end.recv();
    info!("the hut closes");
    Ok(())
}

fn hash(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3))
}

impl Rooms {
    /// How this hut stands to the majority now. Sure by an echo, both ways: what is said here reaches the leader.
    fn stand(&mut self, now: Time) {
        let in_touch = self.cairn.is_in_touch(now);
        let contact = match (in_touch, self.cairn.leads()) {
            (false, _) => Contact::Out,
            (true, false) => Contact::Follows,
            (true, true) => Contact::Leads,
        };
        self.watch.stand(now, contact);
    }
}

impl Hut {
    fn rooms(&self) -> MutexGuard<'_, Rooms> {
        self.rooms.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Told to end: leads no more, and gives its place to one that waits for it, if there is one. It serves on meanwhile.
    fn step_down(self: &Arc<Self>) {
        loop {
            let now = self.alarms.now();
            {
                let mut rooms = self.rooms();
                rooms.cairn.leave(now);
                self.act(now, &mut rooms);
                if rooms.cairn.may_end(now) {
                    return;
                }
            }
            self.alarms.sleep_until(now + LOOKS);
        }
    }

    // ---- agreement: time, disk, lines ----

    /// Keeps a line to each of these huts from now on; those who follow the feed are told of new ones.
    fn meet(self: &Arc<Self>, rooms: &mut Rooms, huts: &[Node]) {
        let mut is_news = false;
        for hut in huts {
            if *hut != self.me && !rooms.huts.contains(hut) && rooms.huts.len() < MOST_HUTS {
                rooms.huts.push(*hut);
                is_news = true;
                let (h, hut) = (self.clone(), *hut);
                go("a line", move || h.keep_line(hut));
            }
        }
        if is_news {
            tell(rooms, &Down::Huts(self.all_huts(rooms)));
        }
    }

    fn all_huts(&self, rooms: &Rooms) -> Vec<Node> {
        rooms.huts.iter().copied().chain([self.me]).collect()
    }

    fn keep_time(self: &Arc<Self>) {
        let mut sweep_at = self.alarms.now();
        let mut keep_at = sweep_at + KEEP;
        loop {
            let now = self.alarms.now();
            let due = {
                let mut rooms = self.rooms();
                rooms.cairn.tick(now);
                self.act(now, &mut rooms);
                if now >= sweep_at {
                    sweep_at = now + SWEEP;
                    rooms.stand(now);
                    let lives = rooms.watch.sweep(now);
                    if !lives.is_empty() {
                        info!(lives = lives.len(); "workers have fallen silent");
                        rooms.lives_changed = true;
                        let frame = lines::frame(&Up::Heard(lives.clone()));
                        rooms.lines.values().for_each(|conn| lines::write(conn, &frame, MOST_UNSENT));
                        tell(&rooms, &Down::Lives { lives, whole: false });
                    }
                }
                if now >= keep_at && rooms.lives_changed {
                    keep_at = now + KEEP;
                    rooms.lives_changed = false;
                    let mut held = Vec::new();
                    if ciborium::into_writer(&rooms.watch.register().all(now), &mut held).is_ok() {
                        let _ = self.disk.send(Job::Lives(held));
                    }
                }
                rooms.cairn.next_due().min(sweep_at)
            };
            self.alarms.sleep_until(due.max(now + Span::from_millis(5)));
        }
    }

    /// The disk's thread: nothing else waits for the disk.
    fn write(self: &Arc<Self>, mut store: Box<dyn Store>, jobs: &Receiver<Job>) {
        while let Ok(first) = jobs.recv() {
            // Only the newest of what piled up has to be on the disk, and the book goes first.
            let (mut book, mut lives) = (None, None);
            for job in std::iter::once(first).chain(jobs.try_iter()) {
                match job {
                    Job::Book(number, record) => book = Some((number, record)),
                    Job::Lives(held) => lives = Some(held),
                }
            }
            if let Some((number, record)) = book {
                while let Err(e) = store.save(&record) {
                    warn!(error = e; "the disk refuses the book");
                    thread::sleep(std::time::Duration::from_millis(50));
                }
                let now = self.alarms.now();
                let mut rooms = self.rooms();
                rooms.cairn.saved(now, number);
                self.act(now, &mut rooms);
            }
            if let Some(Err(e)) = lives.map(|held| store.save_lives(&held)) {
                warn!(error = e; "the disk refuses the workers' lives");
            }
        }
    }

    /// Does what the agreement asks for.
    fn act(self: &Arc<Self>, now: Time, rooms: &mut Rooms) {
        loop {
            let todo = rooms.cairn.todo();
            if todo.is_empty() {
                let members: Vec<Node> = rooms.cairn.voters().iter().map(|m| m.node).collect();
                return self.meet(rooms, &members);
            }
            for item in todo {
                match item {
                    Do::Save(number, record) => {
                        let _ = self.disk.send(Job::Book(number, record));
                    }
                    Do::Say(to, word) => {
                        if let Some(conn) = rooms.lines.get(&to) {
                            say(conn, &Up::Agreement(word));
                        }
                    }
                    Do::Committed(at, state) => {
                        let Some(book) = Book::read(&state.0) else {
                            warn!(index = at.index; "a book that can't be read");
                            continue;
                        };
                        if book.number > rooms.book.number {
                            info!(number = book.number, generation = book.generation, term = at.term; "committed");
                            rooms.configuration = book.configuration();
                            rooms.book = book;
                            rooms.book_at = now;
                            if let Some(configuration) = &rooms.configuration {
                                rooms.purse.keep(&configuration.tenants);
                            }
                            if rooms.cairn.leads() {
                                let state = Bytes(Arc::new(rooms.book.for_the_road()));
                                let index = rooms.book.number;
                                tell(rooms, &Down::Book { index, state });
                                rooms.followers.values_mut().for_each(|f| f.sent.all(index));
                            }
                        }
                    }
                    Do::Settled(number, is_sure) | Do::Read(number, is_sure) => {
                        if let Some(waiting) = rooms.waiting.remove(&number) {
                            *waiting.settled.lock().unwrap_or_else(|e| e.into_inner()) = Some(is_sure);
                            waiting.blocker.unpark();
                        }
                    }
                }
            }
        }
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
                    say(&conn, &Up::Heard(rooms.watch.register().all(now)));
                    rooms.lines.insert(peer, conn.clone());
                    rooms.cairn.reached(peer);
                }
                // Nothing comes back on it but its end.
                lines::read(&conn, |_: ()| false);
                conn.close();
                self.rooms().lines.remove(&peer);
            }
            self.alarms.sleep_until(self.alarms.now() + AGAIN);
        }
    }

    // ---- those who come by the inner port ----

    fn admit(self: &Arc<Self>, stream: std::net::TcpStream) {
        let Ok(conn) = Conn::new(stream, lines::MOST) else { return };
        let conn = Arc::new(conn);
        lines::limit(&conn);
        let (h, c) = (self.clone(), conn.clone());
        go_then("an inner line", move || h.listen_to(&c), move |_| conn.close());
    }

    fn listen_to(self: &Arc<Self>, conn: &Arc<Conn>) {
        let mut core = None;
        let mut follower = None;
        lines::read(conn, |word: Up| {
            let now = self.alarms.now();
            let mut rooms = self.rooms();
            match word {
                Up::Core { from } => {
                    core = Some(from);
                    self.meet(&mut rooms, &[from]);
                }
                Up::Agreement(message) => {
                    let Some(from) = core else { return false };
                    rooms.cairn.hear(now, from, message);
                    rooms.cairn.meet(now, from);
                    self.act(now, &mut rooms);
                }
                Up::Heard(lives) => {
                    let news = rooms.watch.hear(now, &lives);
                    rooms.lives_changed |= !news.is_empty();
                    // The hut that heard it tells the road; the leader does so too, for those that it can't reach.
                    if !news.is_empty() && rooms.cairn.leader() == Some(self.me) {
                        tell(&rooms, &Down::Lives { lives: news, whole: false });
                    }
                    if let Some(from) = core {
                        rooms.cairn.meet(now, from);
                        self.act(now, &mut rooms);
                    }
                }
                Up::Hello { edge, lives } => {
                    rooms.followers.retain(|_, f| f.edge.node != edge.node);
                    rooms.last_follower += 1;
                    let number = rooms.last_follower;
                    follower = Some(number);
                    say(conn, &Down::Huts(self.all_huts(&rooms)));
                    if lives {
                        say(conn, &Down::Lives { lives: rooms.watch.register().all(now), whole: true });
                    }
                    let zones = Vec::new();
                    let new = Follower {
                        conn: conn.clone(),
                        edge,
                        ready: false,
                        heard_at: now,
                        zones,
                        sent: Sent::default(),
                    };
                    rooms.followers.insert(number, new);
                }
                Up::Ping { clock, have, ready, got, counts, holds } => {
                    let Rooms { followers, purse, configuration, cairn, book, book_at, .. } = &mut *rooms;
                    let Some(f) = follower.and_then(|n| followers.get_mut(&n)) else { return false };
                    f.ready = ready;
                    f.heard_at = now;
                    if f.sent.due(have, book.number, cairn.leads(), now - *book_at) {
                        let state = Bytes(Arc::new(book.for_the_road()));
                        say(conn, &Down::Book { index: book.number, state });
                    }
                    let leads = cairn.leads();
                    let fresh = cairn.sure_at().map(|at| (now - at).nanos().div_ceil(1_000_000));
                    say(conn, &Down::Pong { clock, index: book.number, fresh, leads });
                    let node = &f.edge.node;
                    purse.meet(now, node, &f.edge.zone, leads);
                    let Some(c) = configuration.as_ref().filter(|_| leads) else { return true };
                    if let Some(holds) = holds {
                        purse.holds(node, &holds);
                    }
                    let closed = purse.hear(now, node, &f.edge.zone, (&counts, got), &c.tenants);
                    let zones = purse.gatekeepers();
                    if zones != f.zones {
                        say(conn, &Down::Zones(zones.clone()));
                        f.zones = zones;
                    }
                    if let Some((number, shares)) = purse.shares(now, node, &c.tenants) {
                        say(conn, &Down::Shares { number, shares });
                    }
                    if !closed.is_empty() {
                        info!(tenants = closed.len(); "quotas are reached: closed everywhere");
                        tell(&rooms, &Down::Shares { number: 0, shares: closed });
                    }
                }
            }
            true
        });
        conn.close();
        if let Some(number) = follower {
            self.rooms().followers.remove(&number);
        }
    }

    // ---- callers ----

    fn control(self: &Arc<Self>, call: &Call) -> Reply {
        match (call.method, &call.segments[..]) {
            ("PUT", ["instances", id]) => self.beat(id, call.body),
            ("DELETE", ["instances", id]) => self.leave(id),
            ("GET", ["config"]) => self.read_book(),
            ("PUT", ["config"]) => self.change("/config", Change::Put(call.body.to_vec())),
            ("PATCH", ["config"]) => self.change("/config", Change::Patch(call.body.to_vec())),
            ("POST", ["evacuation", zone]) => {
                self.change(&format!("/evacuation/{zone}"), Change::Evacuate(zone.to_string()))
            }
            ("DELETE", ["evacuation", zone]) => {
                self.change(&format!("/evacuation/{zone}"), Change::Return(zone.to_string()))
            }
            ("GET", ["status"]) => self.status(),
            (_, ["instances", _] | ["config"] | ["evacuation", _] | ["status"]) => Reply::new(405),
            _ => Reply::new(404),
        }
    }

    fn beat(&self, id: &str, body: &[u8]) -> Reply {
        let life = match read_life(id, body) {
            Ok(life) => life,
            Err(fault) => return error(400, &fault.to_string()),
        };
        let now = self.alarms.now();
        let mut rooms = self.rooms();
        rooms.stand(now);
        let answer = rooms.watch.beat(now, &life);
        answered(&mut rooms, answer)
    }

    fn leave(&self, id: &str) -> Reply {
        let now = self.alarms.now();
        let mut rooms = self.rooms();
        rooms.stand(now);
        let answer = rooms.watch.leave(now, id);
        answered(&mut rooms, answer)
    }

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

    /// Whether this hut may answer for the book: it leads, and a majority has answered a round of it that began after
    /// the call came. Without that a leader that was cut off or stood still would answer by an old book.
    fn confirm(self: &Arc<Self>, until: Time) -> bool {
        let now = self.alarms.now();
        let waiting = Arc::new(Waiting { blocker: Blocker::current(), settled: Mutex::new(None) });
        let number = {
            let mut rooms = self.rooms();
            let Some(number) = rooms.cairn.read(now) else { return false };
            rooms.waiting.insert(number, waiting.clone());
            self.act(now, &mut rooms);
            number
        };
        self.wait(number, &waiting, until) == Some(true)
    }

    /// Waits until what this number stands for is settled; None where nobody knows by then.
    fn wait(&self, number: u64, waiting: &Arc<Waiting>, until: Time) -> Option<bool> {
        self.alarms.wake(until, &waiting.blocker);
        let settled = || *waiting.settled.lock().unwrap_or_else(|e| e.into_inner());
        while settled().is_none() && self.alarms.now() < until {
            let _ = waiting.blocker.park(None);
        }
        self.rooms().waiting.remove(&number);
        settled()
    }

    fn read_book(self: &Arc<Self>) -> Reply {
        let until = self.alarms.now() + PATIENCE;
        let is_sure = self.confirm(until);
        let rooms = self.rooms();
        if !is_sure {
            return self.elsewhere(&rooms, "/config");
        }
        if rooms.book.text.is_empty() {
            return error(404, "no configuration yet");
        }
        Reply::json(200, rooms.book.text.as_bytes())
    }

    fn change(self: &Arc<Self>, path: &str, change: Change) -> Reply {
        let until = self.alarms.now() + PATIENCE;
        if !self.confirm(until) {
            return self.elsewhere(&self.rooms(), path);
        }
        let waiting = Arc::new(Waiting { blocker: Blocker::current(), settled: Mutex::new(None) });
        let number = loop {
            let now = self.alarms.now();
            if now >= until {
                return unsettled();
            }
            {
                let mut rooms = self.rooms();
                if !rooms.cairn.leads() {
                    return self.elsewhere(&rooms, path);
                }
                if !rooms.cairn.is_open() {
                    match rooms.book.rule(&change, &self.settings.zones) {
                        Ruling::Taken => return Reply::json(200, "{}"),
                        Ruling::Refuse(status, why) => {
                            info!(status = status, why = why; "a change is refused");
                            return error(status, &why);
                        }
                        Ruling::Take(book) => {
                            if let Some(number) = rooms.cairn.propose(now, book.written()) {
                                rooms.waiting.insert(number, waiting.clone());
                                self.act(now, &mut rooms);
                                break number;
                            }
                        }
                    }
                }
            }
            // Another change is open.
            self.alarms.sleep_until(now + Span::from_millis(4));
        };
        match self.wait(number, &waiting, until) {
            Some(true) => Reply::json(200, "{}"),
            // It may still come into force, or not: the same bytes sent again find out.
            _ => unsettled(),
        }
    }

    fn status(&self) -> Reply {
        let now = self.alarms.now();
        let rooms = self.rooms();
        let leader = rooms.cairn.leader().map_or("null".to_string(), |l| format!("\"{l}\""));
        let workers =
            rooms.watch.register().lives().values().filter(|k| k.standing == Standing::Ready).count();
        let edges = rooms.followers.values().filter(|f| f.ready && now - f.heard_at < ABSENT).count();
        let sure = rooms.cairn.sure_at().map_or("null".to_string(), |at| format!("{:.3}", (now - at).secs()));
        Reply::json(
            200,
            format!(
                r#"{{"node":"{}","leader":{leader},"term":{},"number":{},"generation":"{:08x}","sure-s":{sure},"workers":{workers},"gatekeepers":{edges}}}"#,
                self.settings.node,
                rooms.cairn.term(),
                rooms.book.number,
                rooms.book.generation
            ),
        )
    }

    /// The board: the gatekeepers that clients may come to, those of their region first.
    fn look_up(&self, call: &Call) -> Reply {
        if (call.method, &call.segments[..]) != ("GET", &["resolve"]) {
            return Reply::new(404);
        }
        let now = self.alarms.now();
        if now - self.started_at < GATHERS {
            return unsettled();
        }
        let rooms = self.rooms();
        let ready: Vec<&Edge> = rooms
            .followers
            .values()
            .filter(|f| f.ready && now - f.heard_at < ABSENT)
            .map(|f| &f.edge)
            .collect();
        let region = call.asked("region").unwrap_or("");
        let mut near: Vec<&Edge> = ready.iter().copied().filter(|e| e.region == region).collect();
        if near.is_empty() {
            near = ready;
        }
        if near.is_empty() {
            return unsettled();
        }
        near.truncate(64);
        let addresses: Vec<String> = near.iter().map(|e| format!("\"{}\"", e.front)).collect();
        let ttl = TTL_S.min(self.settings.bounds.ttl_max.secs());
        Reply::json(200, format!(r#"{{"addresses":[{}],"ttl-s":{ttl}}}"#, addresses.join(",")))
    }
}

/// To every gatekeeper that follows the feed here.
fn tell(rooms: &Rooms, word: &Down) {
    if rooms.followers.is_empty() {
        return;
    }
    let frame = lines::frame(word);
    rooms.followers.values().for_each(|f| lines::write(&f.conn, &frame, MOST_UNSENT));
}

/// What a worker said here goes to the other huts, and where it is news to the road; and what the worker gets.
fn answered(rooms: &mut Rooms, answer: Answer) -> Reply {
    rooms.lives_changed |= answer.is_news;
    if let Some(life) = answer.life {
        let frame = lines::frame(&Up::Heard(vec![life.clone()]));
        rooms.lines.values().for_each(|conn| lines::write(conn, &frame, MOST_UNSENT));
        if answer.is_news {
            tell(rooms, &Down::Lives { lives: vec![life], whole: false });
        }
    }
    if answer.is_promised { Reply::json(200, "{}") } else { error(503, "out of touch with the other huts") }
}

fn say<W: serde::Serialize>(conn: &Arc<Conn>, word: &W) {
    lines::write(conn, &lines::frame(word), MOST_UNSENT);
}

fn error(status: u16, why: &str) -> Reply {
    let why = values::Value::String(why.to_string()).stringify().unwrap_or_default();
    Reply::json(status, format!(r#"{{"error":{why}}}"#))
}

fn unsettled() -> Reply {
    let mut reply = error(503, "no majority answers for the book");
    reply.headers.push_str("Retry-After: 0.2\r\n");
    reply
}

fn read_life(id: &str, body: &[u8]) -> Result<Life, values::Fault> {
    let value = values::read(body)?;
    let all = values::object(&value, "body")?;
    let text = |key: &str| values::needed(all, key, "").and_then(|v| values::text(v, key));
    let number = |key: &str| values::at(all, key).map_or(Ok(0.0), |v| values::number(v, key));
    let Ok(address) = text("address")?.parse() else { return values::fault("address", "not an address") };
    let standing = match text("state")? {
        "draining" => Standing::Draining,
        _ => Standing::Ready,
    };
    Ok(Life {
        id: id.to_string(),
        service: text("service")?.to_string(),
        address,
        zone: text("zone")?.to_string(),
        capacity: number("capacity")?.clamp(1.0, 1e6) as u32,
        standing,
        cold_ms: (number("cold-left-s")?.clamp(0.0, 600.0) * 1000.0) as u64,
        seq: number("call-seq")?.max(0.0) as u64,
        heard_ms: 0,
    })
}
