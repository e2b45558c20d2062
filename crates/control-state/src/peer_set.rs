//! The set of controllers that a process keeps connections to: those in its settings and those that other
//! controllers report. Controllers that were unreachable for long are removed, so that connection attempts
//! to old addresses do not accumulate over many replacements.

use std::net::SocketAddr;

use indexmap::IndexMap;
use lynxstair::types::{Span, Time};

/// Maximum number of controllers in the set.
pub const MAX_PEERS: usize = 16;
/// A controller without contact for this long is removed, unless the caller retains it.
const PEER_RETENTION: Span = Span::from_millis(30_000);
/// If the set is full, a new controller can replace one without contact for this long.
const REPLACEABLE_AFTER: Span = Span::from_millis(3_000);
/// A process without a connection to any controller for this long reads its settings again.
const ISOLATION_TIMEOUT: Span = Span::from_millis(2_000);

/// Contact time-out of a controller, which sends a heartbeat every 500 ms. A connection on which the other
/// side has received nothing for this long is reopened.
pub const PEER_TIMEOUT: Span = Span::from_millis(1_500);

/// Identifies the coroutine that keeps the connection to a peer. A peer that is removed and added again gets
/// a new id, so that two coroutines never keep connections to the same peer.
pub type ConnectionId = u64;

#[derive(Debug)]
struct Peer {
    connection: ConnectionId,
    /// Time of the last contact, or of the addition.
    last_contact_at: Time,
    /// `false` if the peer was added and has not been reached yet.
    has_contact: bool,
}

/// The set of peer controllers.
#[derive(Debug)]
pub struct PeerSet {
    peers: IndexMap<SocketAddr, Peer>,
    last_connection: ConnectionId,
    /// Time at which a connection to any peer was last open, or `poll_isolated` last returned `true`.
    connected_at: Time,
}

impl PeerSet {
    /// Creates an empty set.
    pub fn new(now: Time) -> PeerSet {
        PeerSet { peers: IndexMap::new(), last_connection: 0, connected_at: now }
    }

    /// The addresses of all peers.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.peers.keys().copied()
    }

    /// Number of peers.
    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// Returns `true` if there are no peers.
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Adds a peer. Returns the id of the connection that is to be kept to it, or `None` if it is already
    /// known, or if the set is full and no peer can be replaced.
    pub fn add(&mut self, now: Time, peer: SocketAddr) -> Option<ConnectionId> {
        if self.peers.contains_key(&peer) {
            return None;
        }
        if self.peers.len() >= MAX_PEERS {
            let oldest = self.peers.iter().min_by_key(|(_, peer)| peer.last_contact_at);
            let (oldest, _) = oldest.filter(|(_, peer)| now - peer.last_contact_at > REPLACEABLE_AFTER)?;
            let oldest = *oldest;
            self.peers.shift_remove(&oldest);
        }
        self.last_connection += 1;
        let connection = self.last_connection;
        self.peers.insert(peer, Peer { connection, last_contact_at: now, has_contact: false });
        Some(connection)
    }

    /// Records contact with a peer.
    pub fn record_contact(&mut self, now: Time, peer: SocketAddr) {
        if let Some(peer) = self.peers.get_mut(&peer) {
            (peer.last_contact_at, peer.has_contact) = (now, true);
        }
    }

    /// Returns `true` if there was contact with the peer, or it was added, within [`PEER_TIMEOUT`].
    pub fn has_recent_contact(&self, now: Time, peer: SocketAddr) -> bool {
        self.peers.get(&peer).is_some_and(|peer| now - peer.last_contact_at < PEER_TIMEOUT)
    }

    /// Returns the peers with contact within [`PEER_TIMEOUT`], which may be reported to other processes.
    /// Others are left out so that controllers do not report a failed one to each other forever.
    pub fn reachable_peers(&self, now: Time) -> Vec<SocketAddr> {
        let is_reachable = |peer: &Peer| peer.has_contact && now - peer.last_contact_at < PEER_TIMEOUT;
        self.peers.iter().filter(|(_, peer)| is_reachable(peer)).map(|(address, _)| *address).collect()
    }

    /// Returns `true` if this connection is still the one to be kept to the peer.
    pub fn is_current(&self, peer: SocketAddr, connection: ConnectionId) -> bool {
        self.peers.get(&peer).is_some_and(|peer| peer.connection == connection)
    }

    /// Removes peers without contact for a long time, except those for which `is_retained` returns `true`.
    /// Returns the number of removed peers.
    pub fn remove_expired(&mut self, now: Time, is_retained: impl Fn(SocketAddr) -> bool) -> usize {
        let before = self.peers.len();
        self.peers
            .retain(|address, peer| now - peer.last_contact_at <= PEER_RETENTION || is_retained(*address));
        before - self.peers.len()
    }

    /// Records that a connection to any peer is open.
    pub fn on_connected(&mut self, now: Time) {
        self.connected_at = now;
    }

    /// Returns `true` if this process was isolated for long enough to read its settings again, and restarts
    /// the time-out.
    pub fn poll_isolated(&mut self, now: Time) -> bool {
        let is_isolated = now - self.connected_at > ISOLATION_TIMEOUT;
        if is_isolated {
            self.connected_at = now;
        }
        is_isolated
    }
}
