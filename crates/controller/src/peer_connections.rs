//! Outgoing connections to the other controllers.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use log::info;
use lynxstair::types::Time;
use lynxstair_consensus::NodeAddress;
use lynxstair_control_state::peer_set::{PEER_TIMEOUT, PeerSet};
use lynxstair_net::connection::Connection;
use lynxstair_protocol::messages::ToController;
use lynxstair_transport as transport;

/// Maximum number of unsent bytes of a connection. It is closed above that, as the other end is not
/// reading.
pub const MAX_UNSENT_BYTES: usize = 8 << 20;

/// Sends a message on a connection without blocking.
pub fn send<M: serde::Serialize>(connection: &Connection, message: &M) {
    transport::write(connection, &transport::encode(message), MAX_UNSENT_BYTES);
}

/// Known controllers and the open connections to them.
pub struct PeerConnections {
    /// Controllers to keep connections to.
    pub peer_set: PeerSet,
    open: HashMap<NodeAddress, OpenConnection>,
}

/// An open connection to a controller.
struct OpenConnection {
    connection: Arc<Connection>,
    opened_at: Time,
    /// Whether the controller confirms departures, from its last heartbeat; `None` if it has sent none since the
    /// connection was opened, as another build may run there than before.
    confirms_departures: Option<bool>,
}

impl PeerConnections {
    /// Creates an empty set of peers.
    pub fn new(now: Time) -> PeerConnections {
        PeerConnections { peer_set: PeerSet::new(now), open: HashMap::new() }
    }

    /// Returns `true` if any connection is open.
    pub fn is_any_open(&self) -> bool {
        !self.open.is_empty()
    }

    /// Records that a connection was opened.
    pub fn on_opened(&mut self, now: Time, peer: NodeAddress, connection: &Arc<Connection>) {
        let connection = connection.clone();
        self.open.insert(peer, OpenConnection { connection, opened_at: now, confirms_departures: None });
    }

    /// Removes a connection that has ended. If the peer was removed and added again in the meantime, its
    /// new connection is kept.
    pub fn on_closed(&mut self, connection: &Arc<Connection>) {
        self.open.retain(|_, open| !Arc::ptr_eq(&open.connection, connection));
    }

    /// Records whether a controller confirms departures. Returns `true` if that was unknown since the
    /// connection to it was opened.
    pub fn on_heartbeat(&mut self, peer: NodeAddress, confirms_departures: bool) -> bool {
        let open = self.open.get_mut(&peer);
        open.is_some_and(|open| open.confirms_departures.replace(confirms_departures).is_none())
    }

    /// Returns the connected controllers that run a build without confirmations of departures.
    pub fn without_confirmations(&self) -> HashSet<NodeAddress> {
        let without = self.open.iter().filter(|(_, open)| open.confirms_departures == Some(false));
        without.map(|(peer, _)| *peer).collect()
    }

    /// Sends a confirmation of departures to a controller, if its build understands it.
    pub fn send_confirmation(&self, to: NodeAddress, message: &ToController) {
        if let Some(open) = self.open.get(&to).filter(|open| open.confirms_departures == Some(true)) {
            send(&open.connection, message);
        }
    }

    /// Sends a confirmation of departures to all connected controllers that understand it.
    pub fn broadcast_confirmation(&self, message: &ToController) {
        self.open.keys().for_each(|peer| self.send_confirmation(*peer, message));
    }

    /// Sends a message to all connected controllers.
    pub fn broadcast(&self, message: &ToController) {
        if self.open.is_empty() {
            return;
        }
        let frame = transport::encode(message);
        self.open.values().for_each(|open| transport::write(&open.connection, &frame, MAX_UNSENT_BYTES));
    }

    /// Sends a message to a controller if it is connected.
    pub fn send(&self, to: NodeAddress, message: &ToController) {
        if let Some(open) = self.open.get(&to) {
            send(&open.connection, message);
        }
    }

    /// Sends a heartbeat to all connected controllers.
    pub fn send_heartbeats(&self, now: Time, me: NodeAddress) {
        for (peer, open) in &self.open {
            send(&open.connection, &self.heartbeat(now, me, *peer));
        }
    }

    /// Returns the heartbeat message for a controller.
    pub fn heartbeat(&self, now: Time, me: NodeAddress, to: NodeAddress) -> ToController {
        ToController::PeerHeartbeat {
            from: me,
            hears_recipient: self.peer_set.has_recent_contact(now, to),
            known_peers: self.peer_set.reachable_peers(now),
            confirms_departures: true,
        }
    }

    /// Handles the report of a peer that it receives no heartbeats of this controller: the connection to it
    /// delivers nothing, unless it is new. Closes the connection, so that its coroutine opens another one.
    pub fn on_heartbeats_lost(&self, now: Time, peer: NodeAddress) {
        if let Some(open) = self.open.get(&peer)
            && now - open.opened_at >= PEER_TIMEOUT
        {
            info!(controller = peer.to_string(); "connection delivers nothing, reopening");
            open.connection.close();
        }
    }
}
