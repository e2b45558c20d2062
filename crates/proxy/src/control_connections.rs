//! The connections of a proxy to controllers, and what each end knows of the other.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;

use lynxstair::types::{Span, Time};
use lynxstair_control_state::peer_set::PeerSet;
use lynxstair_net::connection::Connection;
use lynxstair_protocol::messages::{ProxyHeartbeat, Readiness, TenantUsage, ToController};
use lynxstair_transport as transport;

/// A connection with more unsent bytes than this is closed: its other end does not read.
pub const MAX_UNSENT_BYTES: usize = 1 << 20;

/// A connection to one controller.
struct ControlConnection {
    controller: SocketAddr,
    connection: Arc<Connection>,
    /// It leads, as far as it has said.
    is_leader: bool,
    /// The number of the last quota shares that it sent.
    received_shares: u64,
    /// It was told which shares of quotas are held here.
    knows_held_shares: bool,
}

/// What of the proxy goes into heartbeats.
pub struct HeartbeatContents {
    /// The revision that deltas may build on.
    pub revision: u64,
    /// Whether clients may connect.
    pub readiness: Readiness,
    /// The revision of the proxy membership that is held, as a controller is told.
    pub membership: u64,
    /// Usage since the last heartbeat to all.
    pub usage: Vec<TenantUsage>,
    /// Shares of quotas that are held, where a leader needs to be told.
    pub held_shares: Option<Vec<(String, f32)>>,
}

/// All connections to controllers.
pub struct ControlConnections {
    /// The controllers that connections are kept to.
    pub peer_set: PeerSet,
    /// All controllers that there are, as the leader said last.
    named_by_leader: Vec<SocketAddr>,
    open: Vec<ControlConnection>,
    unreported: UnreportedUsage,
}

/// Usage that no leading controller was told of yet, with when it was counted.
#[derive(Default)]
struct UnreportedUsage(VecDeque<(Time, Vec<TenantUsage>)>);

impl UnreportedUsage {
    /// Adds what was counted; what is older than a window of the quotas is dropped.
    fn add(&mut self, now: Time, usage: Vec<TenantUsage>, window: Span) {
        self.0.push_back((now, usage));
        self.0.retain(|(at, _)| now - *at < window);
    }

    /// All of it, each with its age.
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
            named_by_leader: Vec::new(),
            open: Vec::new(),
            unreported: UnreportedUsage::default(),
        }
    }
}

impl ControlConnections {
    /// A connection was opened.
    pub fn on_opened(&mut self, controller: SocketAddr, connection: &Arc<Connection>) {
        self.open.push(ControlConnection {
            controller,
            connection: connection.clone(),
            is_leader: false,
            received_shares: 0,
            knows_held_shares: false,
        });
    }

    /// A connection has ended.
    pub fn on_closed(&mut self, connection: &Arc<Connection>) {
        self.open.retain(|open| !Arc::ptr_eq(&open.connection, connection));
    }

    fn find(&mut self, connection: &Arc<Connection>) -> Option<&mut ControlConnection> {
        self.open.iter_mut().find(|open| Arc::ptr_eq(&open.connection, connection))
    }

    /// A controller has acknowledged a heartbeat.
    pub fn on_heartbeat_ack(&mut self, connection: &Arc<Connection>, is_leader: bool) {
        if let Some(connection) = self.find(connection) {
            connection.knows_held_shares &= is_leader;
            connection.is_leader = is_leader;
        }
    }

    /// A controller has sent quota shares.
    pub fn on_shares_received(&mut self, connection: &Arc<Connection>, number: u64) {
        if let Some(connection) = self.find(connection) {
            connection.received_shares = connection.received_shares.max(number);
        }
    }

    /// The leader says which controllers there are.
    pub fn set_named_by_leader(&mut self, controllers: Vec<SocketAddr>) {
        self.named_by_leader = controllers;
    }

    /// Drops controllers that could not be reached for long, while another is, unless the leader names them.
    pub fn drop_unreachable(&mut self, now: Time) {
        if self.open.is_empty() {
            return;
        }
        self.peer_set.on_connected(now);
        self.open.iter().for_each(|connection| self.peer_set.record_contact(now, connection.controller));
        let named = &self.named_by_leader;
        self.peer_set.remove_expired(now, |controller| named.contains(&controller));
    }

    /// Whether a leader does not know yet which shares of quotas are held here.
    pub fn needs_held_shares(&self) -> bool {
        self.open.iter().any(|connection| connection.is_leader && !connection.knows_held_shares)
    }

    /// Sends a heartbeat on one connection.
    pub fn send_heartbeat(&mut self, now: Time, connection: &Arc<Connection>, contents: &HeartbeatContents) {
        if let Some(connection) = self.find(connection) {
            connection.send_heartbeat(now, contents, Vec::new());
        }
    }

    /// Sends a heartbeat to every controller; usage goes to the one that leads, or waits for one.
    pub fn send_heartbeats(&mut self, now: Time, contents: &mut HeartbeatContents, window: Span) {
        self.unreported.add(now, std::mem::take(&mut contents.usage), window);
        let has_leader = self.open.iter().any(|connection| connection.is_leader);
        let mut usage = if has_leader { self.unreported.take(now) } else { Vec::new() };
        // Of two that say that they lead, one has not heard yet that it does no more.
        self.open.sort_by_key(|connection| (!connection.is_leader, connection.controller));
        for connection in &mut self.open {
            let usage = if connection.is_leader { std::mem::take(&mut usage) } else { Vec::new() };
            connection.send_heartbeat(now, contents, usage);
        }
    }
}

impl ControlConnection {
    fn send_heartbeat(&mut self, now: Time, contents: &HeartbeatContents, usage: Vec<TenantUsage>) {
        let tells_shares = self.is_leader && !self.knows_held_shares;
        self.knows_held_shares |= tells_shares;
        let heartbeat = ToController::Heartbeat(ProxyHeartbeat {
            clock: now.nanos(),
            revision: contents.revision,
            readiness: contents.readiness,
            membership_revision: contents.membership,
            received_shares_number: self.received_shares,
            usage,
            held_shares: if tells_shares { contents.held_shares.clone() } else { None },
        });
        transport::write(&self.connection, &transport::encode(&heartbeat), MAX_UNSENT_BYTES);
    }
}
