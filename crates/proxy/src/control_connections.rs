//! Connections of a proxy to controllers, and the heartbeats sent on them.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;

use lynxstair::types::{Span, Time};
use lynxstair_control_state::peer_set::PeerSet;
use lynxstair_net::connection::Connection;
use lynxstair_protocol::messages::{ProxyHeartbeat, Readiness, TenantUsage, ToController};
use lynxstair_transport as transport;

/// A connection with more unsent bytes is closed because its controller does not read.
pub const MAX_UNSENT_BYTES: usize = 1 << 20;

/// A connection to one controller.
struct ControlConnection {
    controller: SocketAddr,
    connection: Arc<Connection>,
    /// `true` if its controller sent the last acknowledgement as the leader.
    is_leader: bool,
    /// Highest number of the `QuotaShares` messages received on this connection.
    last_shares_number: u64,
    /// `true` if the held quota shares were sent to the controller since it became the leader.
    has_sent_held_shares: bool,
}

/// State of the proxy that is reported in heartbeats.
pub struct HeartbeatContents {
    /// Configuration revision that deltas may build on; 0 if a snapshot is needed.
    pub revision: u64,
    /// Readiness for client connections.
    pub readiness: Readiness,
    /// Revision of the proxy membership; see `RoutingState::reported_membership`.
    pub membership_revision: u64,
    /// Quota usage since the last heartbeat to all controllers; empty for a heartbeat on one connection.
    pub usage: Vec<TenantUsage>,
    /// Held quota shares by tenant; `None` if no leader needs them.
    pub held_shares: Option<Vec<(String, f32)>>,
}

/// All connections to controllers.
pub struct ControlConnections {
    /// Controllers to keep connections to.
    pub peer_set: PeerSet,
    /// All controllers according to the last complete list of the leader.
    leader_controllers: Vec<SocketAddr>,
    open: Vec<ControlConnection>,
    unreported: UnreportedUsage,
}

/// Quota usage not yet reported to a leader, with the time at which it was counted.
#[derive(Default)]
struct UnreportedUsage(VecDeque<(Time, Vec<TenantUsage>)>);

impl UnreportedUsage {
    /// Adds usage and drops entries older than the quota window.
    fn add(&mut self, now: Time, usage: Vec<TenantUsage>, window: Span) {
        self.0.push_back((now, usage));
        self.0.retain(|(at, _)| now - *at < window);
    }

    /// Removes and returns all usage, with the age of each entry.
    fn take(&mut self, now: Time) -> Vec<TenantUsage> {
        let with_age = |(at, usage): (Time, Vec<TenantUsage>)| {
            let age_ms = ((now - at).nanos() / 1_000_000) as u32;
            usage.into_iter().map(move |usage| TenantUsage { age_ms, ..usage })
        };
        self.0.drain(..).flat_map(with_age).collect()
    }
}

impl Default for ControlConnections {
    fn default() -> ControlConnections {
        ControlConnections {
            peer_set: PeerSet::new(Time::default()),
            leader_controllers: Vec::new(),
            open: Vec::new(),
            unreported: UnreportedUsage::default(),
        }
    }
}

impl ControlConnections {
    /// Registers an opened connection.
    pub fn on_opened(&mut self, controller: SocketAddr, connection: &Arc<Connection>) {
        self.open.push(ControlConnection {
            controller,
            connection: connection.clone(),
            is_leader: false,
            last_shares_number: 0,
            has_sent_held_shares: false,
        });
    }

    /// Removes a closed connection.
    pub fn on_closed(&mut self, connection: &Arc<Connection>) {
        self.open.retain(|open| !Arc::ptr_eq(&open.connection, connection));
    }

    fn find(&mut self, connection: &Arc<Connection>) -> Option<&mut ControlConnection> {
        self.open.iter_mut().find(|open| Arc::ptr_eq(&open.connection, connection))
    }

    /// Records whether the controller that acknowledged a heartbeat is the leader.
    pub fn on_heartbeat_ack(&mut self, connection: &Arc<Connection>, is_leader: bool) {
        if let Some(connection) = self.find(connection) {
            connection.has_sent_held_shares &= is_leader;
            connection.is_leader = is_leader;
        }
    }

    /// Records the number of a received `QuotaShares` message.
    pub fn on_shares_received(&mut self, connection: &Arc<Connection>, number: u64) {
        if let Some(connection) = self.find(connection) {
            connection.last_shares_number = connection.last_shares_number.max(number);
        }
    }

    /// Sets the list of all controllers received from the leader.
    pub fn set_leader_controllers(&mut self, controllers: Vec<SocketAddr>) {
        self.leader_controllers = controllers;
    }

    /// Drops controllers without a connection for a long time, unless the leader lists them. Does nothing
    /// while no controller is connected.
    pub fn drop_unreachable(&mut self, now: Time) {
        if self.open.is_empty() {
            return;
        }
        self.peer_set.on_connected(now);
        self.open.iter().for_each(|connection| self.peer_set.record_contact(now, connection.controller));
        let listed = &self.leader_controllers;
        self.peer_set.remove_expired(now, |controller| listed.contains(&controller));
    }

    /// Returns `true` if the held quota shares must still be sent to a leader.
    pub fn needs_held_shares(&self) -> bool {
        self.open.iter().any(|connection| connection.is_leader && !connection.has_sent_held_shares)
    }

    /// Sends a heartbeat without usage on one connection.
    pub fn send_heartbeat(&mut self, now: Time, connection: &Arc<Connection>, contents: &HeartbeatContents) {
        if let Some(connection) = self.find(connection) {
            connection.send_heartbeat(now, contents, Vec::new());
        }
    }

    /// Sends a heartbeat to every controller. Usage is sent only to the leader; while there is none, it is
    /// kept for up to `window`.
    pub fn send_heartbeats(&mut self, now: Time, contents: &mut HeartbeatContents, window: Span) {
        self.unreported.add(now, std::mem::take(&mut contents.usage), window);
        let has_leader = self.open.iter().any(|connection| connection.is_leader);
        let mut usage = if has_leader { self.unreported.take(now) } else { Vec::new() };
        // While a leadership change is in progress, two controllers may claim to lead; only the first gets
        // the usage.
        self.open.sort_by_key(|connection| (!connection.is_leader, connection.controller));
        for connection in &mut self.open {
            let usage = if connection.is_leader { std::mem::take(&mut usage) } else { Vec::new() };
            connection.send_heartbeat(now, contents, usage);
        }
    }
}

impl ControlConnection {
    fn send_heartbeat(&mut self, now: Time, contents: &HeartbeatContents, usage: Vec<TenantUsage>) {
        let sends_held_shares = self.is_leader && !self.has_sent_held_shares;
        self.has_sent_held_shares |= sends_held_shares;
        let heartbeat = ToController::Heartbeat(ProxyHeartbeat {
            clock: now.nanos(),
            revision: contents.revision,
            readiness: contents.readiness,
            membership_revision: contents.membership_revision,
            received_shares_number: self.last_shares_number,
            usage,
            held_shares: if sends_held_shares { contents.held_shares.clone() } else { None },
        });
        transport::write(&self.connection, &transport::encode(&heartbeat), MAX_UNSENT_BYTES);
    }
}
