//! Keeps an outgoing connection to each other controller. Messages flow in one direction only: the other
//! controller opens a connection of its own.

use std::sync::Arc;

use log::info;
use lynxstair::types::{Span, Time};
use lynxstair_consensus::NodeAddress;
use lynxstair_control_state::peer_set::ConnectionId;
use lynxstair_net::connection::Connection;
use lynxstair_net::coroutine::spawn;
use lynxstair_protocol::messages::ToController;
use lynxstair_transport::{self as transport, ReconnectPolicy};

use crate::controller::Controller;
use crate::peer_connections::send;
use crate::state::ControllerState;

/// Short delays, as the round-trip time between controllers is short.
const RECONNECT_POLICY: ReconnectPolicy = ReconnectPolicy {
    connect_timeout: Span::from_millis(200),
    min_delay: Span::from_millis(60),
    max_delay: Span::from_millis(300),
};

/// Adds controllers to keep connections to. Returns `true` if any of them was new.
pub fn add_peers(
    controller: &Arc<Controller>,
    now: Time,
    state: &mut ControllerState,
    peers: &[NodeAddress],
) -> bool {
    let mut has_new = false;
    for peer in peers.iter().filter(|peer| **peer != controller.me) {
        let Some(connection) = state.peers.peer_set.add(now, *peer) else { continue };
        has_new = true;
        let (controller, peer) = (controller.clone(), *peer);
        spawn("peer connection", move || keep_connection(&controller, peer, connection));
    }
    if has_new {
        state.announce_controllers(now);
    }
    has_new
}

/// Sends heartbeats, and removes controllers that have been unreachable for a long time. Without quorum
/// contact none is removed, since this controller may be the one that is partitioned.
pub fn maintain(controller: &Arc<Controller>, now: Time, state: &mut ControllerState) {
    state.peers.send_heartbeats(now, controller.me);
    if state.peers.is_any_open() {
        state.peers.peer_set.on_connected(now);
    }
    let members = state.members();
    let peers = &mut state.peers.peer_set;
    if state.consensus.has_quorum_contact(now)
        && peers.remove_expired(now, |peer| members.contains(&peer)) > 0
    {
        info!(peers = peers.len(); "unreachable controllers dropped");
    }
    add_peers(controller, now, state, &members);
    state.announce_controllers(now);
}

fn keep_connection(controller: &Controller, peer: NodeAddress, connection: ConnectionId) {
    let to = NodeAddress::new(peer.ip(), controller.settings.ports.0);
    let is_wanted = || controller.state().peers.peer_set.is_current(peer, connection);
    transport::keep_connected(&controller.alarms, to, RECONNECT_POLICY, is_wanted, |connection| {
        on_opened(controller, peer, connection);
        // The peer sends nothing on this connection: the read returns when the connection ends.
        transport::read(connection, |_: ()| false);
        controller.state().peers.on_closed(connection);
    });
}

/// Sends the current state on a new connection, as the peer may have missed earlier updates.
fn on_opened(controller: &Controller, peer: NodeAddress, connection: &Arc<Connection>) {
    let now = controller.alarms.now();
    let mut state = controller.state();
    send(connection, &state.peers.heartbeat(now, controller.me, peer));
    send(connection, &ToController::InstanceUpdates(state.instances.snapshot(now)));
    send(connection, &state.proxy_snapshot(now));
    state.peers.on_opened(now, peer, connection);
    state.consensus.on_peer_connected(peer);
}
