//! Connections of a proxy to controllers, and the heartbeats sent on them.

use std::net::SocketAddr;
use std::sync::Arc;

use lynxstair::types::Time;
use lynxstair_control_state::peer_set::PeerSet;
use lynxstair_net::connection::Connection;
use lynxstair_protocol::messages::{ProxyHeartbeat, QuotaReport, Readiness, ToController};
use lynxstair_transport as transport;

/// A connection with more unsent bytes is closed because its controller does not read.
pub const MAX_UNSENT_BYTES: usize = 1 << 20;

/// A connection to one controller.
struct ControlConnection {
    controller: SocketAddr,
    connection: Arc<Connection>,
    /// Term of the controller for which it grants quota tokens; `None` if it does not lead.
    quota_term: Option<u64>,
    /// `true` if a snapshot of the quota tokens was sent to the controller in this term.
    has_sent_snapshot: bool,
}

/// A quota report that is due to the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DueQuotaReport {
    /// Term of the leader.
    pub term: u64,
    /// `true` if this leader has not received a snapshot on its connection yet.
    pub is_snapshot: bool,
}

/// State of the proxy that is reported in heartbeats.
pub struct HeartbeatContents {
    /// Configuration revision that deltas may build on; 0 if a snapshot is needed.
    pub revision: u64,
    /// Readiness for client connections.
    pub readiness: Readiness,
    /// Revision of the proxy membership; see `RoutingState::reported_membership`.
    pub membership_revision: u64,
    /// Report to the leader whose term it has; `None` if none is due.
    pub quota: Option<QuotaReport>,
}

/// All connections to controllers.
pub struct ControlConnections {
    /// Controllers to keep connections to.
    pub peer_set: PeerSet,
    /// All controllers according to the last complete list of the leader.
    leader_controllers: Vec<SocketAddr>,
    open: Vec<ControlConnection>,
}

impl Default for ControlConnections {
    fn default() -> ControlConnections {
        ControlConnections {
            peer_set: PeerSet::new(Time::default()),
            leader_controllers: Vec::new(),
            open: Vec::new(),
        }
    }
}

impl ControlConnections {
    /// Registers an opened connection.
    pub fn on_opened(&mut self, controller: SocketAddr, connection: &Arc<Connection>) {
        self.open.push(ControlConnection {
            controller,
            connection: connection.clone(),
            quota_term: None,
            has_sent_snapshot: false,
        });
    }

    /// Removes a closed connection.
    pub fn on_closed(&mut self, connection: &Arc<Connection>) {
        self.open.retain(|open| !Arc::ptr_eq(&open.connection, connection));
    }

    fn find(&mut self, connection: &Arc<Connection>) -> Option<&mut ControlConnection> {
        self.open.iter_mut().find(|open| Arc::ptr_eq(&open.connection, connection))
    }

    /// Records for which term the controller that acknowledged a heartbeat grants quota tokens. Returns `true`
    /// if it has begun to lead, so that it needs a report at once.
    pub fn on_heartbeat_ack(&mut self, connection: &Arc<Connection>, quota_term: Option<u64>) -> bool {
        let Some(connection) = self.find(connection) else { return false };
        let is_new = connection.quota_term != quota_term;
        connection.has_sent_snapshot &= !is_new;
        connection.quota_term = quota_term;
        is_new && quota_term.is_some()
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

    /// Returns the quota report that is due to the leader: the controller with the highest term, because two
    /// may claim to lead while a leadership change is in progress.
    pub fn due_quota_report(&self) -> Option<DueQuotaReport> {
        let due = |open: &ControlConnection| {
            Some(DueQuotaReport { term: open.quota_term?, is_snapshot: !open.has_sent_snapshot })
        };
        self.open.iter().filter_map(due).max_by_key(|report| report.term)
    }

    /// Returns the connection to the leader.
    pub fn leader_connection(&self) -> Option<Arc<Connection>> {
        let leader = self.open.iter().max_by_key(|open| open.quota_term)?;
        leader.quota_term.map(|_| leader.connection.clone())
    }

    /// Returns the quota report that is due on this connection.
    pub fn due_quota_report_on(&self, connection: &Arc<Connection>) -> Option<DueQuotaReport> {
        let open = self.open.iter().find(|open| Arc::ptr_eq(&open.connection, connection))?;
        self.due_quota_report().filter(|due| Some(due.term) == open.quota_term)
    }

    /// Sends a heartbeat on one connection.
    pub fn send_heartbeat(&mut self, now: Time, connection: &Arc<Connection>, contents: &HeartbeatContents) {
        if let Some(connection) = self.find(connection) {
            connection.send_heartbeat(now, contents);
        }
    }

    /// Sends a heartbeat to every controller.
    pub fn send_heartbeats(&mut self, now: Time, contents: &HeartbeatContents) {
        for connection in &mut self.open {
            connection.send_heartbeat(now, contents);
        }
    }
}

impl ControlConnection {
    fn send_heartbeat(&mut self, now: Time, contents: &HeartbeatContents) {
        let quota = contents.quota.clone().filter(|report| Some(report.term) == self.quota_term);
        self.has_sent_snapshot |= quota.as_ref().is_some_and(|report| report.spent.is_some());
        let heartbeat = ToController::Heartbeat(ProxyHeartbeat {
            clock: now.nanos(),
            revision: contents.revision,
            readiness: contents.readiness,
            membership_revision: contents.membership_revision,
            received_shares_number: 0,
            usage: Vec::new(),
            held_shares: None,
            quota,
        });
        transport::write(&self.connection, &transport::encode(&heartbeat), MAX_UNSENT_BYTES);
    }
}
