//! Client of the control plane: subscribes to every controller and applies the messages received.

use std::net::SocketAddr;
use std::sync::Arc;

use log::info;
use lynxstair::types::{Span, Time};
use lynxstair_config::settings_reload::ReloadTrigger;
use lynxstair_control_state::peer_set::ConnectionId;
use lynxstair_net::connection::Connection;
use lynxstair_net::coroutine::spawn;
use lynxstair_protocol::messages::{ToController, ToProxy};
use lynxstair_transport::{self as transport, ReconnectPolicy};

use crate::control_connections::{DueQuotaReport, HeartbeatContents, MAX_UNSENT_BYTES};
use crate::proxy::Proxy;
use crate::routing_state::HeartbeatAck;

/// Interval of heartbeats to controllers.
const HEARTBEAT_INTERVAL: Span = Span::from_millis(1_000);
/// Interval at which a proxy that has run out of quota tokens reports to the leader, between two heartbeats.
const EARLY_REPORT_INTERVAL: Span = Span::from_millis(250);
/// Time without a message after which a connection is closed, checked this long after each acknowledgement.
/// Controllers acknowledge every heartbeat.
const ACKNOWLEDGEMENT_TIMEOUT: Span = Span::from_millis(2_600);
/// The connect time-out allows for a controller in another region.
const RECONNECT_POLICY: ReconnectPolicy = ReconnectPolicy {
    connect_timeout: Span::from_millis(350),
    min_delay: Span::from_millis(150),
    max_delay: Span::from_millis(200),
};

/// Keeps a subscription to each of these controllers from now on, except those for which the peer set has no
/// room. Returns `true` if at least one was added.
pub fn add_controllers(proxy: &Arc<Proxy>, controllers: &[SocketAddr]) -> bool {
    let now = proxy.alarms.now();
    let mut connections = proxy.control();
    let mut has_new = false;
    for controller in controllers {
        let Some(connection) = connections.peer_set.add(now, *controller) else { continue };
        has_new = true;
        let (proxy, controller) = (proxy.clone(), *controller);
        spawn("control connection", move || keep_subscribed(&proxy, controller, connection));
    }
    has_new
}

/// Sends heartbeats, drops unreachable controllers and reloads the settings; never returns. Runs in its own
/// coroutine. `offset`: delay of the first heartbeat, so that proxies do not send at the same time.
pub fn run(proxy: &Arc<Proxy>, offset: Span) {
    let mut due = proxy.alarms.now() + offset;
    loop {
        send_early_reports(proxy, due);
        proxy.alarms.sleep_until(due);
        due = due + HEARTBEAT_INTERVAL;
        send_heartbeats(proxy);
        proxy.control().drop_unreachable(proxy.alarms.now());
        reload_settings(proxy, ReloadTrigger::Periodic);
    }
}

/// Sends quota reports while there are tenants without a token, until shortly before the heartbeat at `due`.
fn send_early_reports(proxy: &Proxy, due: Time) {
    let mut report_at = proxy.alarms.now() + EARLY_REPORT_INTERVAL;
    while report_at + EARLY_REPORT_INTERVAL <= due {
        proxy.alarms.sleep_until(report_at);
        report_at = report_at + EARLY_REPORT_INTERVAL;
        let wants_report = proxy.routing().buckets().wants_report();
        let leader = proxy.control().leader_connection().filter(|_| wants_report);
        if let Some(connection) = leader {
            send_report_on(proxy, &connection);
        }
    }
}

/// Checks the settings file and subscribes to the seeds that it names. An isolated proxy reads it even if
/// unchanged.
pub fn reload_settings(proxy: &Arc<Proxy>, trigger: ReloadTrigger) {
    let is_isolated = proxy.control().peer_set.poll_isolated(proxy.alarms.now());
    let mut reload = proxy.reload.lock().unwrap_or_else(|e| e.into_inner());
    reload.reload_seeds(trigger.or_isolated(is_isolated), |seeds| add_controllers(proxy, seeds));
}

/// Sends a heartbeat to every connected controller, with the quota report to the leader.
pub fn send_heartbeats(proxy: &Proxy) {
    let now = proxy.alarms.now();
    let mut connections = proxy.control();
    let due = connections.due_quota_report();
    let contents = heartbeat_contents(proxy, now, due);
    connections.send_heartbeats(now, &contents);
}

/// Sends a heartbeat with a quota report to the leader.
fn send_report_on(proxy: &Proxy, connection: &Arc<Connection>) {
    let now = proxy.alarms.now();
    let mut connections = proxy.control();
    let due = connections.due_quota_report_on(connection);
    let contents = heartbeat_contents(proxy, now, due);
    connections.send_heartbeat(now, connection, &contents);
}

/// Sends a heartbeat on one connection. It has a quota report only if the leader needs a snapshot, because
/// others follow each second.
fn send_heartbeat_on(proxy: &Proxy, connection: &Arc<Connection>) {
    let now = proxy.alarms.now();
    let mut connections = proxy.control();
    let due = connections.due_quota_report_on(connection).filter(|due| due.is_snapshot);
    let contents = heartbeat_contents(proxy, now, due);
    connections.send_heartbeat(now, connection, &contents);
}

fn heartbeat_contents(proxy: &Proxy, now: Time, due: Option<DueQuotaReport>) -> HeartbeatContents {
    let mut routing = proxy.routing();
    HeartbeatContents {
        revision: routing.delta_base(),
        readiness: routing.readiness(now),
        membership_revision: routing.reported_membership(now),
        quota: due.and_then(|due| routing.buckets().report(now, due.term, due.is_snapshot)),
    }
}

/// Keeps a subscription to one controller for as long as it is in the peer set.
fn keep_subscribed(proxy: &Arc<Proxy>, controller: SocketAddr, connection: ConnectionId) {
    let address = SocketAddr::new(controller.ip(), proxy.settings.ports.0);
    let mut is_first = true;
    let is_wanted = || proxy.control().peer_set.is_current(controller, connection);
    transport::keep_connected(&proxy.alarms, address, RECONNECT_POLICY, is_wanted, |connection| {
        // A starting proxy needs one snapshot of all instances. After a reconnect it needs one from this
        // controller, because it may have missed reports.
        let wants_instances = !is_first || !proxy.routing().has_instances();
        is_first = false;
        subscribe(proxy, connection, wants_instances);
        proxy.control().on_opened(controller, connection);
        send_heartbeat_on(proxy, connection);
        serve(proxy, connection);
        proxy.control().on_closed(connection);
        info!(controller = controller.to_string(); "control connection closed");
    });
    info!(controller = controller.to_string(); "controller dropped");
}

fn subscribe(proxy: &Proxy, connection: &Arc<Connection>, wants_instances: bool) {
    let message = ToController::Subscribe { proxy: proxy.info.clone(), wants_instances };
    transport::write(connection, &transport::encode(&message), MAX_UNSENT_BYTES);
}

/// Handles messages on a connection until it ends or is found without one for `ACKNOWLEDGEMENT_TIMEOUT`.
fn serve(proxy: &Arc<Proxy>, connection: &Arc<Connection>) {
    let mut last_received_at = proxy.alarms.now();
    proxy.alarms.wake_connection(last_received_at + ACKNOWLEDGEMENT_TIMEOUT, connection);
    transport::read_with_wakeups(connection, |message: Option<ToProxy>| {
        let now = proxy.alarms.now();
        let Some(message) = message else { return now - last_received_at < ACKNOWLEDGEMENT_TIMEOUT };
        last_received_at = now;
        handle_message(proxy, connection, now, message);
        true
    });
}

fn handle_message(proxy: &Arc<Proxy>, connection: &Arc<Connection>, now: Time, message: ToProxy) {
    match message {
        ToProxy::Config { revision, update } => {
            if proxy.routing().apply_config(now, revision, &update.0) {
                info!(revision = revision; "configuration applied");
            }
            // Reports the held revision, whether the update was applied or not, so that the controller can
            // send a fitting update and its next acknowledgement can renew the lease.
            send_heartbeat_on(proxy, connection);
        }
        ToProxy::Instances { instances, is_snapshot } => {
            proxy.routing().apply_instances(now, &instances, is_snapshot);
        }
        ToProxy::HeartbeatAck { clock, revision, confirmed_ms_ago, is_leader, knows_instances, quota } => {
            let sent_at = Time::from_nanos(clock);
            let confirmed_ago = confirmed_ms_ago.map(Span::from_millis);
            let ack = HeartbeatAck { sent_at, revision, confirmed_ago, is_leader, knows_instances };
            let wants_instances = proxy.routing().on_heartbeat_ack(now, &ack);
            if wants_instances {
                subscribe(proxy, connection, true);
                send_heartbeat_on(proxy, connection);
            }
            if let Some(grants) = &quota {
                proxy.routing().apply_quota_grants(now, sent_at, grants);
            }
            if proxy.control().on_heartbeat_ack(connection, quota.map(|grants| grants.term)) {
                send_heartbeat_on(proxy, connection);
            }
            proxy.alarms.wake_connection(now + ACKNOWLEDGEMENT_TIMEOUT, connection);
        }
        ToProxy::QuotaShares { shares, .. } => proxy.routing().apply_quota_blocks(now, &shares),
        ToProxy::ProxyCounts(counts) => proxy.routing().apply_proxy_counts(now, &counts),
        ToProxy::Controllers { controllers, is_complete } => {
            add_controllers(proxy, &controllers);
            if is_complete {
                proxy.control().set_leader_controllers(controllers);
            }
        }
    }
}
