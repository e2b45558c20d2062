//! Relay between gatekeepers that injects link faults into datagrams and connections, per sender and
//! receiver.
//!
//! Each gatekeeper has a relay address at which all others reach it. The sender of a datagram is identified
//! by its source address. A datagram is forwarded from the relay address of its sender, so that replies pass
//! the relay too.

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

use crate::ports::TrialAddresses;

const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Greatest extra delay of a reordered datagram.
const MAX_REORDER_DELAY: Duration = Duration::from_millis(60);

/// Faults of a link from one gatekeeper to another, in one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Link {
    pub is_cut: bool,
    pub loss_probability: f64,
    pub duplicate_probability: f64,
    pub reorder_probability: f64,
    pub delay: Duration,
    pub jitter: Duration,
}

/// Delayed datagrams by due time: time, order of arrival, sender, receiver, payload.
type DelayedDatagrams = BinaryHeap<Reverse<(Instant, u64, usize, usize, Vec<u8>)>>;

struct RelayState {
    addresses: TrialAddresses,
    links: Mutex<Vec<Vec<Link>>>,
    sockets: Vec<UdpSocket>,
    gatekeeper_by_ip: HashMap<IpAddr, usize>,
    rng: Mutex<Pcg64Mcg>,
    delayed: Mutex<DelayedDatagrams>,
    wake_up: Condvar,
    order: AtomicU64,
    stop: AtomicBool,
}

/// Relay for all links of a trial.
pub(crate) struct Relay {
    state: Arc<RelayState>,
    threads: Vec<JoinHandle<()>>,
}

fn lock<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().unwrap_or_else(|e| e.into_inner())
}

impl Relay {
    pub fn start(addresses: TrialAddresses, gatekeepers: usize, seed: u64) -> io::Result<Self> {
        let sockets = (0..gatekeepers)
            .map(|n| UdpSocket::bind(addresses.relay_addr(n)))
            .collect::<io::Result<Vec<_>>>()?;
        for socket in &sockets {
            socket.set_read_timeout(Some(POLL_INTERVAL))?;
        }
        let state = Arc::new(RelayState {
            addresses,
            links: Mutex::new(vec![vec![Link::default(); gatekeepers]; gatekeepers]),
            sockets,
            gatekeeper_by_ip: (0..gatekeepers)
                .map(|n| (IpAddr::V4(*addresses.control_addr(n).ip()), n))
                .collect(),
            rng: Mutex::new(Pcg64Mcg::seed_from_u64(seed)),
            delayed: Mutex::default(),
            wake_up: Condvar::new(),
            order: AtomicU64::new(0),
            stop: AtomicBool::new(false),
        });
        let mut threads = Vec::new();
        for to in 0..gatekeepers {
            let receiver = state.clone();
            threads.push(thread::spawn(move || receiver.relay_datagrams(to)));
            let listener = TcpListener::bind(addresses.relay_addr(to))?;
            listener.set_nonblocking(true)?;
            let accepting = state.clone();
            threads.push(thread::spawn(move || accepting.accept_connections(&listener, to)));
        }
        let sending = state.clone();
        threads.push(thread::spawn(move || sending.send_delayed()));
        Ok(Relay { state, threads })
    }

    /// Replaces the state of all links, indexed by sender, then receiver.
    pub fn set_links(&self, links: Vec<Vec<Link>>) {
        *lock(&self.state.links) = links;
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.state.stop.store(true, Ordering::SeqCst);
        self.state.wake_up.notify_all();
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

impl RelayState {
    fn is_stopping(&self) -> bool {
        self.stop.load(Ordering::SeqCst)
    }

    fn relay_datagrams(&self, to: usize) {
        let mut buffer = [0; 65_536];
        while !self.is_stopping() {
            let Ok((len, from)) = self.sockets[to].recv_from(&mut buffer) else { continue };
            // Drops datagrams that come from no gatekeeper.
            let Some(from) = self.gatekeeper_by_ip.get(&from.ip()).copied() else { continue };
            for after in self.delays_of_copies(from, to) {
                if after.is_zero() {
                    self.send(from, to, &buffer[..len]);
                } else {
                    let order = self.order.fetch_add(1, Ordering::SeqCst);
                    let datagram = (Instant::now() + after, order, from, to, buffer[..len].to_vec());
                    lock(&self.delayed).push(Reverse(datagram));
                    self.wake_up.notify_one();
                }
            }
        }
    }

    /// Draws the delay of each copy of a datagram to forward: none, one or two copies.
    fn delays_of_copies(&self, from: usize, to: usize) -> Vec<Duration> {
        let link = lock(&self.links)[from][to];
        if link.is_cut {
            return Vec::new();
        }
        if link == Link::default() {
            return vec![Duration::ZERO];
        }
        let mut rng = lock(&self.rng);
        let copies = if rng.random_bool(link.duplicate_probability.clamp(0.0, 1.0)) { 2 } else { 1 };
        let mut delays_of_copies = Vec::new();
        for _ in 0..copies {
            if rng.random_bool(link.loss_probability.clamp(0.0, 1.0)) {
                continue;
            }
            let mut after = link.delay + link.jitter.mul_f64(rng.random());
            if rng.random_bool(link.reorder_probability.clamp(0.0, 1.0)) {
                after += MAX_REORDER_DELAY.mul_f64(rng.random());
            }
            delays_of_copies.push(after);
        }
        delays_of_copies
    }

    fn send(&self, from: usize, to: usize, datagram: &[u8]) {
        // A datagram that cannot be sent is lost.
        let _ = self.sockets[from].send_to(datagram, self.addresses.control_addr(to));
    }

    fn send_delayed(&self) {
        let mut delayed = lock(&self.delayed);
        while !self.is_stopping() {
            let now = Instant::now();
            let next = delayed.peek().map(|Reverse(datagram)| datagram.0);
            match next {
                Some(at) if at <= now => {
                    if let Some(Reverse((_, _, from, to, datagram))) = delayed.pop() {
                        // The link may have been cut meanwhile.
                        if !lock(&self.links)[from][to].is_cut {
                            self.send(from, to, &datagram);
                        }
                    }
                }
                next => {
                    let wait = next.map_or(POLL_INTERVAL, |at| (at - now).min(POLL_INTERVAL));
                    let woken = self.wake_up.wait_timeout(delayed, wait);
                    delayed = woken.unwrap_or_else(|e| e.into_inner()).0;
                }
            }
        }
    }

    fn accept_connections(self: &Arc<Self>, listener: &TcpListener, to: usize) {
        while !self.is_stopping() {
            match listener.accept() {
                Ok((stream, from)) => {
                    let (state, from) = (self.clone(), self.gatekeeper_by_ip.get(&from.ip()).copied());
                    thread::spawn(move || state.relay_connection(&stream, from, to));
                }
                Err(_) => thread::sleep(Duration::from_millis(5)),
            }
        }
    }

    /// Relays one connection. No data passes in a direction while its link is cut. A connection that comes
    /// from no gatekeeper (`from` is `None`) is never cut.
    fn relay_connection(self: &Arc<Self>, stream: &TcpStream, from: Option<usize>, to: usize) {
        let control_addr: SocketAddr = self.addresses.control_addr(to).into();
        let Ok(upstream) = TcpStream::connect_timeout(&control_addr, Duration::from_millis(500)) else {
            return;
        };
        let (Ok(client), Ok(server)) = (stream.try_clone(), upstream.try_clone()) else { return };
        let (state, forward_link) = (self.clone(), from.map(|f| (f, to)));
        let forward = thread::spawn(move || state.pipe(&client, &server, forward_link));
        self.pipe(&upstream, stream, from.map(|f| (to, f)));
        let _ = forward.join();
    }

    fn pipe(&self, mut from: &TcpStream, mut to: &TcpStream, link: Option<(usize, usize)>) {
        let _ = from.set_nonblocking(false);
        let _ = from.set_read_timeout(Some(POLL_INTERVAL));
        let mut buffer = [0; 16_384];
        while !self.is_stopping() {
            let is_cut = link.is_some_and(|(a, b)| lock(&self.links)[a][b].is_cut);
            if is_cut {
                thread::sleep(POLL_INTERVAL);
                continue;
            }
            match from.read(&mut buffer) {
                Ok(0) => break,
                Ok(n) => {
                    if to.write_all(&buffer[..n]).is_err() {
                        break;
                    }
                }
                Err(e) if is_retryable(&e) => {}
                Err(_) => break,
            }
        }
        let _ = to.shutdown(Shutdown::Write);
    }
}

/// Returns `true` for a read time-out or an interrupted read.
fn is_retryable(e: &io::Error) -> bool {
    matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut | io::ErrorKind::Interrupted)
}
