//! The links among gatekeepers: a front for each, through which all others reach it, with the faults of each
//! direction of each pair. Datagrams and connections alike.
//!
//! Who sent a datagram is told by its address, which each process has of its own; it goes on from the
//! sender's own front, so that the receiver sees the address at which it would answer.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::io::{self, Read, Write};
use std::net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::ports::Place;

const LOOK: Duration = Duration::from_millis(50);
/// One that is put out of order comes later by up to so long.
const OUT_OF_ORDER: Duration = Duration::from_millis(60);

/// The faults of one direction between two.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Link {
    pub cut: bool,
    pub lose: f64,
    pub double: f64,
    pub reorder: f64,
    pub delay: Duration,
    pub jitter: Duration,
}

/// A datagram that waits: when, in what order, from whom to whom.
type Waiting = BinaryHeap<Reverse<(Instant, u64, usize, usize, Vec<u8>)>>;

struct Inside {
    place: Place,
    links: Mutex<Vec<Vec<Link>>>,
    fronts: Vec<UdpSocket>,
    by_ip: HashMap<IpAddr, usize>,
    chance: Mutex<Pcg64Mcg>,
    waiting: Mutex<Waiting>,
    more: Condvar,
    order: AtomicU64,
    stop: AtomicBool,
}

/// All links.
pub(crate) struct Relay {
    inside: Arc<Inside>,
    threads: Vec<JoinHandle<()>>,
}

fn locked<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().unwrap_or_else(|e| e.into_inner())
}

impl Relay {
    pub fn start(place: Place, gatekeepers: usize, seed: u64) -> io::Result<Self> {
        let fronts =
            (0..gatekeepers).map(|n| UdpSocket::bind(place.front(n))).collect::<io::Result<Vec<_>>>()?;
        for front in &fronts {
            front.set_read_timeout(Some(LOOK))?;
        }
        let inside = Arc::new(Inside {
            place,
            links: Mutex::new(vec![vec![Link::default(); gatekeepers]; gatekeepers]),
            fronts,
            by_ip: (0..gatekeepers).map(|n| (IpAddr::V4(*place.member(n).ip()), n)).collect(),
            chance: Mutex::new(Pcg64Mcg::seed_from_u64(seed)),
            waiting: Mutex::default(),
            more: Condvar::new(),
            order: AtomicU64::new(0),
            stop: AtomicBool::new(false),
        });
        let mut threads = Vec::new();
        for to in 0..gatekeepers {
            let hearing = inside.clone();
            threads.push(thread::spawn(move || hearing.datagrams(to)));
            let listener = TcpListener::bind(place.front(to))?;
            listener.set_nonblocking(true)?;
            let accepting = inside.clone();
            threads.push(thread::spawn(move || accepting.connections(&listener, to)));
        }
        let sending = inside.clone();
        threads.push(thread::spawn(move || sending.late_ones()));
        Ok(Relay { inside, threads })
    }

    /// The links are so from now on; by sender, then receiver.
    pub fn set(&self, links: Vec<Vec<Link>>) {
        *locked(&self.inside.links) = links;
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.inside.stop.store(true, Ordering::SeqCst);
        self.inside.more.notify_all();
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

impl Inside {
    fn stops(&self) -> bool {
        self.stop.load(Ordering::SeqCst)
    }

    fn datagrams(&self, to: usize) {
        let mut buffer = [0; 65_536];
        while !self.stops() {
            let Ok((len, from)) = self.fronts[to].recv_from(&mut buffer) else { continue };
            // From none of the gatekeepers: it is put through as it came, as from a stranger on the network.
            let Some(from) = self.by_ip.get(&from.ip()).copied() else { continue };
            for after in self.fate(from, to) {
                if after.is_zero() {
                    self.send(from, to, &buffer[..len]);
                } else {
                    let order = self.order.fetch_add(1, Ordering::SeqCst);
                    let one = (Instant::now() + after, order, from, to, buffer[..len].to_vec());
                    locked(&self.waiting).push(Reverse(one));
                    self.more.notify_one();
                }
            }
        }
    }

    /// After how long it goes on: not at all, once or twice.
    fn fate(&self, from: usize, to: usize) -> Vec<Duration> {
        let link = locked(&self.links)[from][to];
        if link.cut {
            return Vec::new();
        }
        if link == Link::default() {
            return vec![Duration::ZERO];
        }
        let mut chance = locked(&self.chance);
        let copies = if chance.random_bool(link.double.clamp(0.0, 1.0)) { 2 } else { 1 };
        let mut fate = Vec::new();
        for _ in 0..copies {
            if chance.random_bool(link.lose.clamp(0.0, 1.0)) {
                continue;
            }
            let mut after = link.delay + link.jitter.mul_f64(chance.random());
            if chance.random_bool(link.reorder.clamp(0.0, 1.0)) {
                after += OUT_OF_ORDER.mul_f64(chance.random());
            }
            fate.push(after);
        }
        fate
    }

    fn send(&self, from: usize, to: usize, datagram: &[u8]) {
        // Nobody there: lost, as on any network.
        let _ = self.fronts[from].send_to(datagram, self.place.member(to));
    }

    fn late_ones(&self) {
        let mut waiting = locked(&self.waiting);
        while !self.stops() {
            let now = Instant::now();
            let next = waiting.peek().map(|Reverse(one)| one.0);
            match next {
                Some(at) if at <= now => {
                    if let Some(Reverse((_, _, from, to, datagram))) = waiting.pop() {
                        // What was cut meanwhile does not arrive.
                        if !locked(&self.links)[from][to].cut {
                            self.send(from, to, &datagram);
                        }
                    }
                }
                next => {
                    let wait = next.map_or(LOOK, |at| (at - now).min(LOOK));
                    let woken = self.more.wait_timeout(waiting, wait);
                    waiting = woken.unwrap_or_else(|e| e.into_inner()).0;
                }
            }
        }
    }

    fn connections(self: &Arc<Self>, listener: &TcpListener, to: usize) {
        while !self.stops() {
            match listener.accept() {
                Ok((stream, from)) => {
                    let (inside, from) = (self.clone(), self.by_ip.get(&from.ip()).copied());
                    thread::spawn(move || inside.connection(&stream, from, to));
                }
                Err(_) => thread::sleep(Duration::from_millis(5)),
            }
        }
    }

    /// One connection; from an operator where it comes from no gatekeeper. While its direction is cut nothing
    /// goes.
    fn connection(self: &Arc<Self>, stream: &TcpStream, from: Option<usize>, to: usize) {
        let member: SocketAddr = self.place.member(to).into();
        let Ok(other) = TcpStream::connect_timeout(&member, Duration::from_millis(500)) else { return };
        let (Ok(there), Ok(back)) = (stream.try_clone(), other.try_clone()) else { return };
        let (inside, forth) = (self.clone(), from.map(|f| (f, to)));
        let one = thread::spawn(move || inside.pipe(&there, &back, forth));
        self.pipe(&other, stream, from.map(|f| (to, f)));
        let _ = one.join();
    }

    fn pipe(&self, mut from: &TcpStream, mut to: &TcpStream, link: Option<(usize, usize)>) {
        let _ = from.set_nonblocking(false);
        let _ = from.set_read_timeout(Some(LOOK));
        let mut buffer = [0; 16_384];
        while !self.stops() {
            let cut = link.is_some_and(|(a, b)| locked(&self.links)[a][b].cut);
            if cut {
                thread::sleep(LOOK);
                continue;
            }
            match from.read(&mut buffer) {
                Ok(0) => break,
                Ok(n) => {
                    if to.write_all(&buffer[..n]).is_err() {
                        break;
                    }
                }
                Err(e) if goes_on(&e) => {}
                Err(_) => break,
            }
        }
        let _ = to.shutdown(Shutdown::Write);
    }
}

/// Nothing came for a while, or the machine stood still.
fn goes_on(e: &io::Error) -> bool {
    matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut | io::ErrorKind::Interrupted)
}
