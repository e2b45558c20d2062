//! The connections to the other controllers that this one sends on.

use std::collections::HashMap;
use std::sync::Arc;

use log::info;
use lynxstair::types::Time;
use lynxstair_consensus::NodeAddress;
use lynxstair_control_state::peer_set::{PEER_TIMEOUT, PeerSet};
use lynxstair_net::connection::Connection;
use lynxstair_protocol::messages::ToController;
use lynxstair_transport as transport;

/// A connection with more unsent bytes than this is closed: its other end does not read.
pub const MAX_UNSENT_BYTES: usize = 8 << 20;

/// Sends one message on one connection.
pub fn send<M: serde::Serialize>(connection: &Connection, message: &M) {
    transport::write(connection, &transport::encode(message), MAX_UNSENT_BYTES);
}

/// Which controllers there are, and the connections that are open to them.
pub struct PeerConnections {
    /// The controllers that connections are kept to.
    pub peer_set: PeerSet,
    /// Each with when it was opened.
    open: HashMap<NodeAddress, (Arc<Connection>, Time)>,
}

impl PeerConnections {
    /// No peers yet.
    pub fn new(now: Time) -> PeerConnections {
        PeerConnections { peer_set: PeerSet::new(now), open: HashMap::new() }
    }

    /// Whether any connection is open.
    pub fn is_any_open(&self) -> bool {
        !self.open.is_empty()
    }

    /// A connection was opened.
    pub fn on_opened(&mut self, now: Time, peer: NodeAddress, connection: &Arc<Connection>) {
        self.open.insert(peer, (connection.clone(), now));
    }

    /// A connection has ended. Where its peer was dropped and added again meanwhile, another one is open by now.
    pub fn on_closed(&mut self, connection: &Arc<Connection>) {
        self.open.retain(|_, (open, _)| !Arc::ptr_eq(open, connection));
    }

    /// Sends to every controller that is connected.
    pub fn broadcast(&self, message: &ToController) {
        if self.open.is_empty() {
            return;
        }
        let frame = transport::encode(message);
        self.open.values().for_each(|(connection, _)| transport::write(connection, &frame, MAX_UNSENT_BYTES));
    }

    /// Sends to one of them, if it is connected.
    pub fn send(&self, to: NodeAddress, message: &ToController) {
        if let Some((connection, _)) = self.open.get(&to) {
            send(connection, message);
        }
    }

    /// Sends each its heartbeat.
    pub fn send_heartbeats(&self, now: Time, me: NodeAddress) {
        for (peer, (connection, _)) in &self.open {
            send(connection, &self.heartbeat(now, me, *peer));
        }
    }

    /// The heartbeat to one controller.
    pub fn heartbeat(&self, now: Time, me: NodeAddress, to: NodeAddress) -> ToController {
        ToController::PeerHeartbeat {
            from: me,
            hears_recipient: self.peer_set.has_recent_contact(now, to),
            known_peers: self.peer_set.reachable_peers(now),
        }
    }

    /// A controller says that it does not hear this one: the connection to it delivers nothing, unless it is new. It is
    /// closed, and its coroutine opens another.
    pub fn on_unheard_by(&self, now: Time, peer: NodeAddress) {
        if let Some((connection, since)) = self.open.get(&peer)
            && now - *since >= PEER_TIMEOUT
        {
            info!(controller = peer.to_string(); "connection delivers nothing, reopening");
            connection.close();
        }
    }
}
