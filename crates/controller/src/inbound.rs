//! Incoming connections of other controllers and of subscribing proxies.

use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use lynxstair::types::{Span, Time};
use lynxstair_consensus::NodeAddress;
use lynxstair_net::connection::Connection;
use lynxstair_net::coroutine::spawn_then;
use lynxstair_net::server;
use lynxstair_protocol::messages::{ProxyInfo, ToController, ToProxy};
use lynxstair_transport as transport;
use may::io::CoIo;

use crate::consensus_driver::perform_actions;
use crate::controller::Controller;
use crate::departures;
use crate::peer_connections::send;
use crate::peer_links::add_peers;
use crate::state::ControllerState;
use crate::subscribers::SubscriberId;

/// Longest frame, in bytes, from an end that has not identified itself as a controller or a proxy.
const MAX_UNIDENTIFIED_BYTES: usize = 64 << 10;
/// Time in which the other end must identify itself, as it does right after it has connected.
const IDENTIFICATION_TIMEOUT: Span = Span::from_millis(5_000);

/// Identity of the other end of a connection, from the messages received on it.
#[derive(Default)]
struct RemoteIdentity {
    /// Set by a heartbeat of a controller.
    controller: Option<NodeAddress>,
    /// Set by a subscription of a proxy.
    subscriber: Option<SubscriberId>,
}

impl RemoteIdentity {
    fn is_known(&self) -> bool {
        self.controller.is_some() || self.subscriber.is_some()
    }
}

/// Accepts connections, at most `max_open` at the same time; further ones are closed at once. Never returns.
pub fn accept_all(controller: &Arc<Controller>, listener: &CoIo<TcpListener>, max_open: usize) {
    let open = Arc::new(AtomicUsize::new(0));
    server::accept(listener, |stream| {
        if open.load(Ordering::Relaxed) < max_open {
            accept(controller, stream, &open);
        }
    });
}

/// Serves an accepted connection in a coroutine of its own. `open`: number of open connections.
fn accept(controller: &Arc<Controller>, stream: TcpStream, open: &Arc<AtomicUsize>) {
    let Ok(connection) = Connection::new_internal(stream, transport::MAX_BUFFER_LEN) else { return };
    let connection = Arc::new(connection);
    transport::limit_unacknowledged(&connection);
    connection.inbound().set_max_len(MAX_UNIDENTIFIED_BYTES);
    open.fetch_add(1, Ordering::Relaxed);
    let (controller, served, open) = (controller.clone(), connection.clone(), open.clone());
    spawn_then(
        "inbound connection",
        move || serve(&controller, &served),
        move |_| {
            connection.close();
            open.fetch_sub(1, Ordering::Relaxed);
        },
    );
}

fn serve(controller: &Arc<Controller>, connection: &Arc<Connection>) {
    let mut remote = RemoteIdentity::default();
    let identify_by = controller.alarms.now() + IDENTIFICATION_TIMEOUT;
    controller.alarms.wake_connection(identify_by, connection);
    transport::read_with_wakeups(connection, |message| {
        let Some(message) = message else {
            return remote.is_known() || controller.alarms.now() < identify_by;
        };
        let is_valid = handle_message(controller, connection, &mut remote, message);
        if remote.is_known() {
            connection.inbound().set_max_len(transport::MAX_BUFFER_LEN);
        }
        is_valid
    });
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
