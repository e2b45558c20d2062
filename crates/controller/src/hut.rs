//! The hut's life from start to end, and what its parts share.

use std::path::Path;
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;

use log::{info, warn};
use lynxstair::types::{Span, Time};
use lynxstair_config::settings::{Reload, Settings};
use lynxstair_consensus::{Boot, Cairn, Node};
use lynxstair_control_state::directory::Directory;
use lynxstair_net::alarms::Alarms;
use lynxstair_net::calls::{self, Call, Most};
use lynxstair_net::clock::Clock;
use lynxstair_net::coroutine::{go, prepare};
use lynxstair_protocol::messages::Life;
use may::sync::Blocker;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use crate::agreement::{Committed, Noted, Waiting};
use crate::aside::Aside;
use crate::disk::Disk;
use crate::feed::Feed;
use crate::lives::Lives;
use crate::peers::Peers;
use crate::store::{Memory, Not, Sqlite, Store};

/// What a caller may send, and how many callers there may be at once.
const CALLERS: Most = Most { body: 8 << 20, connections: 2000 };
const LOOKUPS: Most = Most { body: 1024, connections: 1500 };
/// How often the settings file is looked at.
const SETTINGS: Span = Span::from_millis(1_000);
/// How often one that is to end looks whether it may.
const LOOKS: Span = Span::from_millis(20);
/// A line that holds so many unsent bytes leads nowhere.
pub const MOST_UNSENT: usize = 8 << 20;

/// What the rooms hold, each part its own; one short lock over all, as a word often concerns several.
pub struct Rooms {
    pub me: Node,
    pub cairn: Cairn,
    pub committed: Committed,
    pub waiting: Waiting,
    pub lives: Lives,
    pub feed: Feed,
    pub peers: Peers,
    pub directory: Directory,
    pub noted: Noted,
    /// Until when the time's keeper sleeps, and how it is woken sooner.
    pub keeper: Option<(Time, Arc<Blocker>)>,
}

pub struct Hut {
    pub settings: Settings,
    pub me: Node,
    pub started_at: Time,
    pub alarms: Arc<Alarms>,
    rooms: Mutex<Rooms>,
    reload: Mutex<Reload>,
    pub disk: Disk,
    pub aside: Aside,
}

impl Hut {
    pub fn rooms(&self) -> MutexGuard<'_, Rooms> {
        self.rooms.lock().unwrap_or_else(|e| e.into_inner())
    }
}

/// Serves until it is told to end.
pub fn run(settings: Settings) -> Result<(), String> {
    prepare();
    let clock = Clock::start();
    let me = settings.control.ok_or("settings: bind.control: missing")?;
    let directory = settings.directory;
    let mut store: Box<dyn Store> = match &settings.data_dir {
        Some(folder) => {
            // A disk that refuses may come back, and hold the only copy: for as long as that takes. A process before this
            // one may be about to end: some seconds.
            let mut tries = 0..60;
            let wait = |not| {
                thread::sleep(std::time::Duration::from_millis(50));
                not == Not::Given || tries.next().is_some()
            };
            Box::new(Sqlite::open(Path::new(folder), wait)?)
        }
        None => Box::new(Memory::default()),
    };
    let found = store.load()?;
    let lives: Vec<Life> =
        ciborium::from_reader(&store.load_lives().unwrap_or_default()[..]).unwrap_or_default();
    // What can't be read any more was held once: this is no first start.
    let bootstrap = settings.bootstrap && !store.is_emptied();
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
        bootstrap,
        tolerated: settings.tolerated,
        catch_up: settings.bounds.catch_up,
    };
    let cairn = Cairn::start(now, boot);
    info!(node = settings.node, found = is_found, bootstrap = bootstrap; "the hut opens");
    let rooms = Rooms {
        me,
        cairn,
        committed: Committed::new(),
        waiting: Waiting::default(),
        lives: Lives::new(now, &lives, settings.beat_period),
        feed: Feed::new(&settings.bounds),
        peers: Peers::new(now),
        directory: Directory::default(),
        noted: Noted::default(),
        keeper: None,
    };
    let inner = calls::listen(settings.inner())?;
    let control = calls::listen(me)?;
    let board = directory.map(calls::listen).transpose()?;
    let reload = Mutex::new(Reload::from_environment());
    let hut = Arc::new(Hut {
        settings,
        me,
        started_at: now,
        alarms,
        rooms: Mutex::new(rooms),
        reload,
        disk: Disk::default(),
        aside: Aside::begin()?,
    });
    let writing = hut.clone();
    thread::Builder::new()
        .name("disk".to_string())
        .stack_size(256 << 10)
        .spawn(move || writing.write(store))
        .map_err(|e| format!("the disk's thread: {e}"))?;
    let h = hut.clone();
    go("alarms", move || h.alarms.run());
    let h = hut.clone();
    go("time", move || h.keep_time());
    let h = hut.clone();
    go("settings", move || h.keep_settings());
    {
        let mut rooms = hut.rooms();
        let members = rooms.members();
        hut.meet(now, &mut rooms, &members);
        hut.meet(now, &mut rooms, &hut.settings.seeds);
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
        hut.look_at_settings(true);
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

impl Hut {
    /// Looks at the settings file, which may change with a signal or without one, and is asked as well while this hut
    /// reaches no other: the seeds that it names are met. A file that can't be used changes nothing.
    fn look_at_settings(self: &Arc<Self>, is_told: bool) {
        let now = self.alarms.now();
        let is_alone = self.rooms().peers.huts.is_alone(now);
        let looked = self.reload.lock().unwrap_or_else(|e| e.into_inner()).look(is_told || is_alone);
        match looked {
            None => {}
            Some(Ok(seeds)) => {
                let mut rooms = self.rooms();
                if self.meet(now, &mut rooms, &seeds) || !is_alone || is_told {
                    let why = match (is_told, is_alone) {
                        (true, _) => "told to",
                        (_, true) => "no other hut was reached",
                        _ => "the file has changed",
                    };
                    info!(why = why, seeds = seeds.len(); "the settings are read again: seeds only");
                }
            }
            Some(Err(error)) => warn!(error = error; "the settings can't be read again: the old ones stay"),
        }
    }

    fn keep_settings(self: &Arc<Self>) {
        loop {
            self.look_at_settings(false);
            self.alarms.sleep_until(self.alarms.now() + SETTINGS);
        }
    }

    /// Told to end: leads no more, and gives its place to one that waits for it, if there is one. It serves on
    /// meanwhile.
    fn step_down(self: &Arc<Self>) {
        info!("told to end");
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
}

fn hash(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3))
}
