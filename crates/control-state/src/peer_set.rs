//! The controllers that a process keeps connections to: those that its settings name, and those that it was told of since.
//! A controller that is long gone is dropped, so that connection attempts to dead addresses do not pile up over many
//! replacements.

use std::net::SocketAddr;

use indexmap::IndexMap;
use lynxstair::types::{Span, Time};

/// The most controllers that are kept.
pub const MAX_PEERS: usize = 16;
/// A controller that has not been heard for this long is dropped, unless something else vouches for it.
const PEER_RETENTION: Span = Span::from_millis(30_000);
/// If the set is full, a controller that has not been heard for this long is replaced by a new one.
const REPLACEABLE_AFTER: Span = Span::from_millis(3_000);
/// A process that has had no connection to any controller for this long checks whether the settings name others.
const ISOLATION_TIMEOUT: Span = Span::from_millis(2_000);

/// Controllers send a heartbeat every half second. One that was silent for this long counts as unheard, and a connection
/// that has been open for this long without its other end hearing anything is reopened.
pub const PEER_TIMEOUT: Span = Span::from_millis(1_500);

/// The right to keep the connection to a peer. A peer that was dropped and added again has another one, so that two
/// coroutines never keep connections to the same peer.
pub type ConnectionId = u64;

#[derive(Debug)]
struct Peer {
    connection: ConnectionId,
    /// When it was added, or heard last.
    heard_at: Time,
    /// It was heard, not only named.
    has_spoken: bool,
}

/// The set of peers.
#[derive(Debug)]
pub struct PeerSet {
    peers: IndexMap<SocketAddr, Peer>,
    last_connection: ConnectionId,
    /// When a connection to any of them was last open, or the settings were looked at for want of one.
    connected_at: Time,
}

impl PeerSet {
    /// An empty set.
    pub fn new(now: Time) -> PeerSet {
        PeerSet { peers: IndexMap::new(), last_connection: 0, connected_at: now }
    }

    /// The addresses of all peers.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.peers.keys().copied()
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Adds a peer. Where it was not known, returns the id of the connection that is to be kept to it from now on.
    pub fn add(&mut self, now: Time, peer: SocketAddr) -> Option<ConnectionId> {
        if self.peers.contains_key(&peer) {
            return None;
        }
        if self.peers.len() >= MAX_PEERS {
            let oldest = self.peers.iter().min_by_key(|(_, peer)| peer.heard_at);
            let (oldest, _) = oldest.filter(|(_, peer)| now - peer.heard_at > REPLACEABLE_AFTER)?;
            let oldest = *oldest;
            self.peers.shift_remove(&oldest);
        }
        self.last_connection += 1;
        let connection = self.last_connection;
        self.peers.insert(peer, Peer { connection, heard_at: now, has_spoken: false });
        Some(connection)
    }

    /// A peer was heard.
    pub fn record_contact(&mut self, now: Time, peer: SocketAddr) {
        if let Some(peer) = self.peers.get_mut(&peer) {
            (peer.heard_at, peer.has_spoken) = (now, true);
        }
    }

    /// Whether a peer was heard, or added, a moment ago.
    pub fn has_recent_contact(&self, now: Time, peer: SocketAddr) -> bool {
        self.peers.get(&peer).is_some_and(|peer| now - peer.heard_at < PEER_TIMEOUT)
    }

    /// The peers that were heard a moment ago, to be named to others: a dead one is not named to each other for ever.
    pub fn reachable_peers(&self, now: Time) -> Vec<SocketAddr> {
        let is_heard = |peer: &Peer| peer.has_spoken && now - peer.heard_at < PEER_TIMEOUT;
        self.peers.iter().filter(|(_, peer)| is_heard(peer)).map(|(address, _)| *address).collect()
    }

    /// Whether this connection is still the one to be kept to the peer.
    pub fn is_current(&self, peer: SocketAddr, connection: ConnectionId) -> bool {
        self.peers.get(&peer).is_some_and(|peer| peer.connection == connection)
    }

    /// Drops peers that were not heard for long, but for those that something else vouches for. Returns how many.
    pub fn remove_expired(&mut self, now: Time, is_vouched_for: impl Fn(SocketAddr) -> bool) -> usize {
        let before = self.peers.len();
        self.peers.retain(|address, peer| now - peer.heard_at <= PEER_RETENTION || is_vouched_for(*address));
        before - self.peers.len()
    }

    /// A connection to one of them is open.
    pub fn on_connected(&mut self, now: Time) {
        self.connected_at = now;
    }

    /// Whether this process has been isolated for long enough to check the settings; if so, the time starts anew.
    pub fn poll_isolated(&mut self, now: Time) -> bool {
        let is_isolated = now - self.connected_at > ISOLATION_TIMEOUT;
        if is_isolated {
            self.connected_at = now;
        }
        is_isolated
    }
}
