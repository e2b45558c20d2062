//! The control side as it runs: one socket for datagrams, one timer, one control port, a writer for the
//! records.

use std::io;
use std::net::{SocketAddrV4, UdpSocket};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use lynxstair::types::{Span, Time};
use lynxstair_leases::Epoch;
use lynxstair_membership::{Do, Incarnation, Name, Record, Room, Start};
use lynxstair_net::clock::Clock;
use lynxstair_net::coroutine::spawn;
use lynxstair_net::ticker::Ticker;
use lynxstair_record_log::{Error, RecordLog, Repair, WriteFault, Writer};
use may::coroutine::yield_now;
use may::io::{CoIo, WaitIo};
use nix::sys::prctl::set_pdeathsig;
use nix::sys::signal::Signal;
use nix::unistd::getppid;
use rand::TryRng;
use rand::rngs::SysRng;
use serde::Serialize;
use tracing::{error, info, warn};
use tracing_appender::non_blocking::WorkerGuard;

use crate::config::Config;
use crate::control::Control;
use crate::exporter::Exporter;
use crate::history::History;
use crate::kept::{Kept, written};
use crate::owners::Owners;
use crate::protocol::{Answer, Ask};
use crate::uses::Uses;

/// So many datagrams are read in one turn, before others on the coroutine thread have theirs.
const IN_ONE_TURN: usize = 16;
/// And no more than so many a second, with as many at once: what is over is read and thrown away.
const PER_SECOND: u64 = 4_000;
/// A record that could not be written is tried again after so long.
const AGAIN: Span = Span::from_millis(500);

/// What became of a record that somebody waits for.
type Done = (Incarnation, Result<(), Error>);

/// The control side of one gatekeeper.
pub struct Side {
    config: Config,
    clock: Clock,
    room: Mutex<Room>,
    socket: CoIo<UdpSocket>,
    ticker: Arc<Ticker>,
    control: Control,
    writer: Writer<Option<Incarnation>>,
    kept: Arc<Mutex<Kept>>,
    done: Arc<Mutex<Vec<Done>>>,
    disk: Mutex<Disk>,
    history: Option<History>,
    /// Where the fleet has voters.
    owners: Option<Owners>,
    /// Where use is exported.
    uses: Option<Arc<Uses>>,
    /// Datagrams that were thrown away unread, and sends that did not go.
    unread: AtomicU64,
    unsent: AtomicU64,
    _log: WorkerGuard,
}

#[derive(Default)]
struct Disk {
    /// Why records can't be written, while they can't.
    trouble: Option<String>,
    again: Option<(Time, Record)>,
}

pub(crate) fn lock<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().unwrap_or_else(|e| e.into_inner())
}

fn chance() -> Result<u64, String> {
    SysRng.try_next_u64().map_err(|e| format!("no chance to be had: {e}"))
}

impl Side {
    /// Opens all it needs and begins. The caller has set `may` up.
    ///
    /// # Errors
    /// Where a socket, the records or a thread can't be had: what, and why.
    pub fn start(config: Config) -> Result<Arc<Self>, String> {
        if let Some(parent) = config.trial.ends_with_parent {
            end_with(parent)?;
        }
        let log = crate::log::begin(config.log);
        let clock = Clock::start();
        let (run, seed) = match config.seed {
            // The run still differs from start to start: it tells two processes of one name apart.
            Some(seed) => (chance()? as u32, seed),
            None => (chance()? as u32, chance()?),
        };
        let socket =
            UdpSocket::bind(config.bind).map_err(|e| format!("datagrams on {}: {e}", config.bind))?;
        socket.set_nonblocking(true).map_err(|e| format!("datagrams on {}: {e}", config.bind))?;
        let socket = CoIo::new(socket).map_err(|e| format!("datagrams on {}: {e}", config.bind))?;
        let control = Control::listen(config.control)?;
        let ticker = Arc::new(Ticker::new(clock, Span::from_millis(1)).map_err(|e| format!("timer: {e}"))?);

        let owner = format!("{}/{}", config.fleet, config.name);
        let opened =
            RecordLog::open(&config.data, &owner, failing(&config)).map_err(|e| format!("records: {e}"))?;
        for repair in &opened.repairs {
            match repair {
                Repair::TornEnd { number, bytes } => {
                    warn!(number, bytes, "fleet: a record that was not written whole is cut off");
                }
                Repair::Leftover => warn!("fleet: records that were being written anew are as before"),
            }
        }
        let held =
            Kept::read(&opened.records).map_err(|e| format!("records: {}: {e}", config.data.display()))?;
        let room = Room::begin(
            clock.now(),
            Start {
                fleet: config.fleet.clone(),
                name: config.name.clone(),
                hall: config.hall.clone(),
                addr: config.advertise,
                seeds: config.seeds.clone(),
                run,
                seed,
                last: held.last,
                known: held.known.clone(),
                notices: held.notices(),
                times: config.times,
                broken: config.trial.broken,
            },
        );
        let (kept, done) = (Arc::new(Mutex::new(held)), Arc::new(Mutex::new(Vec::new())));
        let waking = ticker.clone();
        let (to_keep, told) = (kept.clone(), done.clone());
        let writer = Writer::start(
            opened.log,
            Box::new(move |waits: Option<Incarnation>, what| {
                // Others are not waited for; that they failed shows in the status with the next that is.
                if let Some(incarnation) = waits {
                    lock(&told).push((incarnation, what));
                    waking.wake_now();
                } else if let Err(e) = what {
                    error!(%e, "fleet: a record was not written");
                }
            }),
            Box::new(move || lock(&to_keep).records()),
        )
        .map_err(|e| format!("the thread for records: {e}"))?;
        let history = match &config.history {
            Some(path) => Some(History::open(path, clock, config.name.clone(), run)?),
            None => None,
        };
        if config.trial.broken != Default::default() {
            warn!(broken = ?config.trial.broken, "fleet: parts are taken out for a trial; not for service");
        }
        let owners = Owners::open(&config, clock, ticker.clone(), (run, seed))?;
        let uses = match &config.sink {
            Some(_) => {
                let folder = config.data.join("uses");
                Some(Uses::start(&folder, config.name.as_str(), chance()?, failing(&config))?)
            }
            None => None,
        };
        let side = Arc::new(Side {
            uses,
            owners,
            clock,
            room: Mutex::new(room),
            socket,
            ticker,
            control,
            writer,
            kept,
            done,
            disk: Mutex::new(Disk::default()),
            history,
            unread: AtomicU64::new(0),
            unsent: AtomicU64::new(0),
            _log: log,
            config,
        });
        if let Some(sink) = side.config.sink {
            let stall = std::time::Duration::from_millis(side.config.trial.stall_ms);
            Exporter::start(side.clone(), sink, seed, stall)?;
        }
        let hearing = side.clone();
        spawn("the fleet's datagrams", move || hearing.hear());
        let timing = side.clone();
        spawn("the fleet's time", move || timing.keep_time());
        let asked = side.clone();
        spawn("the fleet's control port", move || asked.control.accept(&asked));
        Ok(side)
    }

    /// Tells the others that it goes. Nobody waits for it: the gatekeeper ends when its invocations are
    /// answered.
    pub fn leave(&self) {
        let now = self.clock.now();
        self.with_room(now, |room| room.leave(now));
        if let Some(owners) = &self.owners {
            owners.leave(self, now);
        }
        self.ticker.wake_now();
    }

    pub(crate) fn clock(&self) -> Clock {
        self.clock
    }

    pub(crate) fn ticker(&self) -> &Ticker {
        &self.ticker
    }

    pub(crate) fn control_port(&self) -> &Control {
        &self.control
    }

    /// Answers an operator.
    pub(crate) fn answer(&self, ask: Ask) -> Answer {
        let now = self.clock.now();
        match ask {
            Ask::Status => Answer::Status {
                fleet: self.config.fleet.clone(),
                version: env!("CARGO_PKG_VERSION").to_string(),
                view: Box::new(lock(&self.room).view(now)),
                disk: lock(&self.disk).trouble.clone(),
                unread: self.unread.load(Ordering::Relaxed),
                unsent: self.unsent.load(Ordering::Relaxed),
            },
            Ask::Leave => {
                self.leave();
                Answer::Done
            }
            Ask::ShutOut { name, .. } if name == self.config.name => Answer::No {
                why: "a member can't shut out itself; ask another, or have it leave".to_string(),
            },
            Ask::ShutOut { name, why } => {
                self.with_room(now, |room| room.shut_out(now, &name, &why));
                Answer::Done
            }
            Ask::LetIn { name } => {
                self.with_room(now, |room| room.let_in(now, &name));
                Answer::Done
            }
            Ask::Uses { .. } => self.uses(&ask),
            ask => match &self.owners {
                Some(owners) => owners.answer(self, now, ask),
                None => {
                    Answer::No { why: "the fleet file names no voters: no duty has an owner".to_string() }
                }
            },
        }
    }

    /// Has the room do something, and does what comes of it. The lock is held for the room only.
    fn with_room(&self, now: Time, acts: impl FnOnce(&mut Room)) {
        let (todo, due) = {
            let mut room = lock(&self.room);
            acts(&mut room);
            (room.take(), room.next_due())
        };
        for one in todo {
            self.carry_out(now, one);
        }
        if let Some(due) = due {
            self.ticker.wake_by(due);
        }
    }

    fn carry_out(&self, now: Time, one: Do) {
        match one {
            Do::Send { to, datagram } => self.send(to, &datagram),
            Do::Write(record) => self.put(now, record),
            Do::Tell(event) => {
                crate::log::tell(&event);
                self.note(now, &event);
            }
        }
    }

    /// Where succeeded invocations are noted; none: use is not exported.
    pub fn uses_kept(&self) -> Option<Arc<Uses>> {
        self.uses.clone()
    }

    /// Whether an effect of a duty may begin now.
    pub(crate) fn may_begin(&self, duty: &str) -> Option<Epoch> {
        let now = self.clock.now();
        self.owners.as_ref().and_then(|o| o.may_begin(now, duty))
    }

    /// An effect was refused where it landed.
    pub(crate) fn refused(&self, duty: &str, seen: Epoch) {
        if let Some(owners) = &self.owners {
            owners.refused(self, self.clock.now(), duty, seen);
        }
    }

    /// All members that are there, as seen from here, and this one, which has no address.
    pub(crate) fn members(&self) -> Vec<(String, Option<SocketAddrV4>)> {
        let view = lock(&self.room).view(self.clock.now());
        let others = view.members.iter().filter(|m| m.state.is_there());
        let others = others.map(|m| (m.name.as_str().to_string(), Some(m.addr)));
        others.chain([(self.config.name.as_str().to_string(), None)]).collect()
    }

    pub(crate) fn source(&self) -> std::net::Ipv4Addr {
        *self.config.bind.ip()
    }

    /// The uses that are kept here.
    pub(crate) fn uses(&self, ask: &Ask) -> Answer {
        let (Some(uses), Ask::Uses { stream, had }) = (&self.uses, ask) else {
            return Answer::No { why: "no use is kept here".to_string() };
        };
        let ours = stream.as_ref() == Some(uses.stream());
        let batch = if ours { uses.after(*had) } else { None };
        Answer::Uses { stream: uses.stream().clone(), batch, held_milli: uses.held() }
    }

    pub(crate) fn note_now<E: Serialize>(&self, event: &E) {
        self.note(self.clock.now(), event);
    }

    /// Where another member is, as seen from here.
    pub(crate) fn address_of(&self, now: Time, name: &Name) -> Option<SocketAddrV4> {
        if *name == self.config.name {
            return Some(self.config.advertise);
        }
        let view = lock(&self.room).view(now);
        view.members.iter().find(|m| m.name == *name && m.state.is_there()).map(|m| m.addr)
    }

    /// Tells the history, where there is one.
    pub(crate) fn note<E: Serialize>(&self, now: Time, event: &E) {
        if let Some(history) = &self.history {
            history.tell(now, event);
        }
    }

    /// What does not go at once does not go: the next question will.
    pub(crate) fn send(&self, to: SocketAddrV4, datagram: &[u8]) {
        if self.socket.inner().send_to(datagram, to).is_err() {
            self.unsent.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn put(&self, now: Time, record: Record) {
        let waits = match &record {
            Record::Began { incarnation } => Some(*incarnation),
            _ => None,
        };
        lock(&self.kept).take_in(record.clone());
        if !self.writer.append(waits, written(&record)) && waits.is_some() {
            self.try_again(now, record, "too many records wait for the disk".to_string());
        }
    }

    fn try_again(&self, now: Time, record: Record, why: String) {
        error!(%why, "fleet: not on disk; this member tells nobody of itself until it is");
        let mut disk = lock(&self.disk);
        disk.trouble = Some(why);
        disk.again = Some((now + AGAIN, record));
        self.ticker.wake_by(now + AGAIN);
    }

    /// What the writer told.
    fn take_done(&self, now: Time) {
        for (incarnation, what) in std::mem::take(&mut *lock(&self.done)) {
            match what {
                Ok(()) => {
                    if lock(&self.disk).trouble.take().is_some() {
                        info!("fleet: records are written again");
                    }
                    self.with_room(now, |room| room.written(now, incarnation));
                }
                Err(e) => self.try_again(now, Record::Began { incarnation }, e.to_string()),
            }
        }
        let due = lock(&self.disk).again.take_if(|(at, _)| *at <= now);
        if let Some((_, record)) = due {
            self.put(now, record);
        }
        if let Some((at, _)) = &lock(&self.disk).again {
            self.ticker.wake_by(*at);
        }
    }

    fn keep_time(&self) {
        loop {
            let now = self.clock.now();
            self.take_done(now);
            self.with_room(now, |room| room.tick(now));
            if let Some(owners) = &self.owners {
                owners.tick(self, now);
            }
            self.control.tick(now);
            self.ticker.wake_by(now + self.control.wakes_after());
            self.ticker.wait();
        }
    }

    fn hear(&self) {
        // On the heap: a coroutine's stack is small.
        let mut buffer = vec![0; lynxstair_leases::LARGEST + 1];
        let mut allowed = PER_SECOND;
        let mut filled_at = self.clock.now();
        let mut in_turn = 0;
        loop {
            match self.socket.inner().recv_from(&mut buffer) {
                Ok((len, from)) => {
                    let now = self.clock.now();
                    let earned = (now - filled_at).nanos() * PER_SECOND / 1_000_000_000;
                    if earned > 0 {
                        allowed = (allowed + earned).min(PER_SECOND);
                        filled_at = now;
                    }
                    let std::net::SocketAddr::V4(from) = from else { continue };
                    if allowed == 0 {
                        self.unread.fetch_add(1, Ordering::Relaxed);
                    } else {
                        allowed -= 1;
                        match &self.owners {
                            Some(owners) if buffer[0] == lynxstair_leases::FIRST && len > 0 => {
                                owners.heard(self, now, from, &buffer[..len]);
                            }
                            _ => self.with_room(now, |room| room.heard(now, from, &buffer[..len])),
                        }
                    }
                    in_turn += 1;
                    if in_turn >= IN_ONE_TURN {
                        in_turn = 0;
                        yield_now();
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    in_turn = 0;
                    self.socket.wait_io();
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => {
                    warn!(%e, "fleet: datagrams");
                    yield_now();
                }
            }
        }
    }
}

/// For trials: nothing is left running where the one that started this is killed.
fn end_with(parent: i32) -> Result<(), String> {
    set_pdeathsig(Signal::SIGKILL).map_err(|e| format!("trial.ends_with_parent: {e}"))?;
    // Where it ended before that was said, somebody else is the parent already.
    if getppid().as_raw() != parent {
        return Err("trial.ends_with_parent: the one that started this has ended".to_string());
    }
    Ok(())
}

/// A disk that fails while a file is there.
pub(crate) fn failing(config: &Config) -> Option<WriteFault> {
    let path = config.trial.disk_full_while.clone()?;
    Some(Arc::new(move || match path.exists() {
        true => Err(io::ErrorKind::StorageFull.into()),
        false => Ok(()),
    }))
}
