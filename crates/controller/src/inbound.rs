//! Incoming connections of other controllers and of subscribing proxies.

use std::net::TcpStream;
use std::sync::Arc;

use lynxstair::types::Time;
use lynxstair_consensus::NodeAddress;
use lynxstair_net::connection::Connection;
use lynxstair_net::coroutine::spawn_then;
use lynxstair_protocol::messages::{ProxyInfo, ToController, ToProxy};
use lynxstair_transport as transport;

use crate::consensus_driver::perform_actions;
use crate::controller::Controller;
use crate::departures;
use crate::peer_connections::send;
use crate::peer_links::add_peers;
use crate::state::ControllerState;
use crate::subscribers::SubscriberId;

/// Identity of the other end of a connection, from the messages received on it.
#[derive(Default)]
struct RemoteIdentity {
    /// Set by a heartbeat of a controller.
    controller: Option<NodeAddress>,
    /// Set by a subscription of a proxy.
    subscriber: Option<SubscriberId>,
}

/// Serves an accepted connection in a coroutine of its own.
pub fn accept(controller: &Arc<Controller>, stream: TcpStream) {
    let Ok(connection) = Connection::new(stream, transport::MAX_BUFFER_LEN) else { return };
    let connection = Arc::new(connection);
    transport::limit_unacknowledged(&connection);
    let (controller, served) = (controller.clone(), connection.clone());
    spawn_then("inbound connection", move || serve(&controller, &served), move |_| connection.close());
}

fn serve(controller: &Arc<Controller>, connection: &Arc<Connection>) {
    let mut remote = RemoteIdentity::default();
    transport::read(connection, |message| handle_message(controller, connection, &mut remote, message));
    if let Some(subscriber) = remote.subscriber {
        controller.state().on_subscriber_disconnected(subscriber);
    }
}

/// Handles one message. Returns `false` if the connection is to be closed.
fn handle_message(
    controller: &Arc<Controller>,
    connection: &Arc<Connection>,
    remote: &mut RemoteIdentity,
    message: ToController,
) -> bool {
    let now = controller.alarms.now();
    // After a pause of this process, the message may be old. Messages whose freshness is checked by clock
    // echoes do not need the receive time.
    let received_at = controller.alarms.received_at(now);
    let mut state = controller.state();
    match (message, remote.controller, remote.subscriber) {
        (ToController::PeerHeartbeat { from, hears_recipient, known_peers, confirms_departures }, ..) => {
            if remote.controller.replace(from).is_none() {
                // The sender may have restarted, and without its disk.
                state.departures.forget_confirmations(from);
            }
            if state.peers.on_heartbeat(from, confirms_departures) {
                departures::confirm_all(controller, &state, from);
            }
            add_peers(controller, now, &mut state, &[from]);
            add_peers(controller, now, &mut state, &known_peers);
            state.on_peer_heartbeat(now, from);
            if !hears_recipient {
                state.peers.on_heartbeats_lost(now, from);
            }
        }
        (ToController::Consensus(message), Some(from), _) => {
            state.consensus.handle_message(now, from, message);
            perform_actions(controller, now, &mut state);
        }
        (ToController::InstanceUpdates(instances), Some(from), _) => {
            state.on_instance_updates(received_at, &instances);
            departures::on_reported(controller, now, &mut state, Some(from), &instances);
        }
        (ToController::DeparturesStored(ids), Some(from), _) => {
            departures::on_stored_by(controller, &mut state, from, &ids);
        }
        (ToController::ProxyStatuses { statuses, is_snapshot, is_complete }, Some(from), _) => {
            state.directory.apply_remote(received_at, from, statuses, is_snapshot, is_complete);
        }
        (ToController::Subscribe { proxy, wants_instances }, ..) => {
            remote.subscriber = Some(subscribe(now, &mut state, connection, proxy, wants_instances));
        }
        (ToController::Heartbeat(heartbeat), _, Some(subscriber)) => {
            return state.on_subscriber_heartbeat(now, received_at, subscriber, &heartbeat);
        }
        // The other end has not identified itself.
        _ => return false,
    }
    true
}

fn subscribe(
    now: Time,
    state: &mut ControllerState,
    connection: &Arc<Connection>,
    proxy: ProxyInfo,
    wants_instances: bool,
) -> SubscriberId {
    send(connection, &state.controllers_message(now));
    // Without a snapshot from here, the proxy may hold instances of a controller that did not know of a
    // departure yet.
    let instances =
        if wants_instances { state.instances.snapshot(now) } else { state.instances.departed(now) };
    if wants_instances || !instances.is_empty() {
        send(connection, &ToProxy::Instances { instances, is_snapshot: wants_instances });
    }
    state.subscribers.subscribe(connection, proxy)
}
