//! The road: what a gatekeeper's parts share, and its life from start to end.

use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use log::info;
use lynxstair::types::Span;
use lynxstair_config::settings::Settings;
use lynxstair_net::alarms::Alarms;
use lynxstair_net::calls::{self, Call, Most, Reply};
use lynxstair_net::clock::Clock;
use lynxstair_net::conn::bound_buffers;
use lynxstair_net::coroutine::{go, prepare};
use lynxstair_protocol::messages::Edge;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use crate::clients::Clients;
use crate::feed::Feed;
use crate::rooms::Rooms;
use crate::workers::Workers;

/// Of the descriptors: some are kept back for lines and files, and what is left is split between clients and workers.
const RESERVE: usize = 300;
const CLIENTS_PART: f64 = 0.6;
/// How often slow upkeep is done.
const UPKEEP: Span = Span::from_millis(200);
/// After SIGTERM clients still come for a part of the grace, as they learn of it late; then what is at work is
/// answered, and the end comes before the platform's.
const OPEN_PART: f64 = 0.55;
const END_PART: f64 = 0.9;
const PROBES: Most = Most { body: 1024, connections: 64 };

/// Where a gatekeeper is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum Phase {
    Serving,
    /// Told to end: no client is sent here any more, but those that come are served.
    Leaving,
    /// Every connection ends with its last answer.
    Closing,
    /// The process ends: nothing more is read.
    Ended,
}

pub struct Road {
    pub settings: Settings,
    pub edge: Edge,
    pub alarms: Arc<Alarms>,
    rooms: Mutex<Rooms>,
    pub feed: Feed,
    pub clients: Clients,
    pub workers: Workers,
    phase: AtomicU8,
}

impl Road {
    pub fn rooms(&self) -> MutexGuard<'_, Rooms> {
        self.rooms.lock().unwrap_or_else(|e| e.into_inner())
    }

    pub fn is_closing(&self) -> bool {
        self.phase.load(Ordering::Relaxed) >= Phase::Closing as u8
    }

    pub fn has_ended(&self) -> bool {
        self.phase.load(Ordering::Relaxed) >= Phase::Ended as u8
    }

    /// Every change of phase goes through here.
    fn enter(&self, phase: Phase) {
        info!(phase = format!("{phase:?}"); "the road");
        self.phase.store(phase as u8, Ordering::Relaxed);
        if phase >= Phase::Leaving {
            self.rooms().is_leaving = true;
        }
        if phase >= Phase::Closing {
            self.clients.finish();
        }
    }

    fn keep_up(&self) {
        loop {
            let now = self.alarms.now();
            self.rooms().tick(now);
            self.workers.tick(now);
            self.alarms.sleep_until(now + UPKEEP);
        }
    }

    fn readiness(&self, call: &Call) -> Reply {
        match (call.method, &call.segments[..]) {
            ("GET", ["readiness"]) => {
                let ready = self.rooms().is_ready(self.alarms.now());
                Reply::new(if ready { 200 } else { 503 })
            }
            _ => Reply::new(404),
        }
    }

    /// From SIGTERM to the end.
    fn leave(self: &Arc<Self>) {
        let grace = self.settings.bounds.grace;
        let began = self.alarms.now();
        self.enter(Phase::Leaving);
        Feed::speak_to(self, None);
        self.alarms.sleep_until(began + grace.times(OPEN_PART));
        self.enter(Phase::Closing);
        let end = began + grace.times(END_PART);
        while self.clients.count() > 0 && self.alarms.now() < end {
            self.alarms.sleep_until(self.alarms.now() + Span::from_millis(20));
        }
        // No other coroutine runs between the last look and this: what comes now stays unread.
        self.enter(Phase::Ended);
        info!(connections = self.clients.count(); "the road ends");
    }
}

/// Serves until it is told to end.
pub fn run(settings: Settings) -> Result<(), String> {
    prepare();
    let clock = Clock::start();
    let front = settings.front.ok_or("settings: bind.front: missing")?;
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP]).map_err(|e| format!("signals: {e}"))?;
    let alarms = Arc::new(Alarms::new(clock)?);
    let life = alarms.now().nanos() ^ u64::from(std::process::id()) << 40;
    let seed = settings.node.bytes().fold(life, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3));
    bound_buffers((settings.limits.memory_mb << 20) as usize / 2);
    let sockets = settings.limits.max_fds.saturating_sub(RESERVE).max(32);
    let clients = (sockets as f64 * CLIENTS_PART) as usize;
    let edge = Edge {
        node: settings.node.clone(),
        zone: settings.zone.clone(),
        region: settings.region.clone(),
        front,
        life: seed,
    };
    let front = calls::listen(front)?;
    let readiness = settings.readiness.map(calls::listen).transpose()?;
    let road = Arc::new(Road {
        edge,
        rooms: Mutex::new(Rooms::new(&settings, seed)),
        feed: Feed::default(),
        clients: Clients::new(clients),
        workers: Workers::new(sockets - clients),
        phase: AtomicU8::new(Phase::Serving as u8),
        alarms,
        settings,
    });
    info!(node = road.settings.node; "the road opens");
    let r = road.clone();
    go("alarms", move || r.alarms.run());
    let r = road.clone();
    go("upkeep", move || r.keep_up());
    Feed::meet(&road, &road.settings.seeds);
    let r = road.clone();
    let offset = Span::from_millis(200 + seed % 800);
    go("pings", move || Feed::speak(&r, offset));
    if let Some(listener) = readiness {
        let r = road.clone();
        let handler = Arc::new(move |call: &Call| r.readiness(call));
        let alarms = road.alarms.clone();
        go("readiness", move || calls::serve(&listener, &alarms, PROBES, handler));
    }
    let r = road.clone();
    go("clients", move || Clients::serve(&r, &front));
    while signals.forever().next() == Some(SIGHUP) {
        Feed::look_at_settings(&road, true);
    }
    // The main thread only waits; what ends the road is a coroutine, as all that sleeps here is.
    let (ended, end) = std::sync::mpsc::channel();
    let r = road.clone();
    go("the end", move || {
        r.leave();
        let _ = ended.send(());
    });
    end.recv().map_err(|_| "the road's end was lost".to_string())
}
