//! Messages between the system's processes. They carry durations and no wall-clock times: a clock value is
//! only meaningful to the process that sent it, and is echoed back to it.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::consensus::Message;

/// Opaque bytes, shared between the clones of a message.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Bytes(pub Arc<Vec<u8>>);

impl Serialize for Bytes {
    fn serialize<S: serde::Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_bytes(&self.0)
    }
}

impl<'de> Deserialize<'de> for Bytes {
    fn deserialize<D: serde::Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        struct BytesVisitor;
        impl serde::de::Visitor<'_> for BytesVisitor {
            type Value = Bytes;
            fn expecting(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
                f.write_str("bytes")
            }
            fn visit_bytes<E>(self, bytes: &[u8]) -> Result<Bytes, E> {
                Ok(Bytes(Arc::new(bytes.to_vec())))
            }
            fn visit_byte_buf<E>(self, bytes: Vec<u8>) -> Result<Bytes, E> {
                Ok(Bytes(Arc::new(bytes)))
            }
        }
        from.deserialize_byte_buf(BytesVisitor)
    }
}

/// State of a worker instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum InstanceState {
    /// Accepts requests.
    Ready,
    /// Completes its requests in flight and accepts no new ones.
    Draining,
    /// No heartbeat was received within the time-out.
    #[serde(rename = "Silent")]
    Unresponsive,
    /// Deregistered by the instance itself; final.
    #[serde(rename = "Gone")]
    Deregistered,
}

/// Worker instance as of its last heartbeat. Each start of a worker is a new instance with a new id.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Instance {
    /// Unique id, never reused.
    pub id: String,
    /// Name of its service.
    pub service: String,
    /// Address at which it accepts requests.
    pub address: SocketAddr,
    /// Zone in which it runs.
    pub zone: String,
    /// Number of requests that it can process concurrently.
    pub capacity: u32,
    /// Current state.
    #[serde(rename = "standing")]
    pub state: InstanceState,
    /// Remaining warm-up time when this message is sent, in milliseconds.
    #[serde(rename = "cold_ms")]
    pub warming_up_ms: u64,
    /// Sequence number of the instance's call to a controller; orders its heartbeats.
    #[serde(rename = "seq")]
    pub call_seq: u64,
    /// Age of its last heartbeat, in milliseconds.
    #[serde(rename = "heard_ms")]
    pub heartbeat_age_ms: u64,
    /// `true` if no heartbeat was received since an event after which the instance may be warming up again.
    #[serde(rename = "unconfirmed", default, skip_serializing_if = "std::ops::Not::not")]
    pub is_unconfirmed: bool,
}

/// Numbers of requests that one proxy admitted and rejected for a tenant since its last report.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TenantUsage {
    /// Name of the tenant.
    pub tenant: String,
    /// Requests that obtained a token.
    #[serde(rename = "passed")]
    pub admitted: u32,
    /// Requests rejected for lack of a token.
    #[serde(rename = "refused")]
    pub rejected: u32,
    /// Age of the counts in milliseconds; above 0 if no leader could be reached since.
    #[serde(rename = "ago_ms")]
    pub age_ms: u32,
}

/// Proxy process, as listed in the directory.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProxyInfo {
    /// Name of its machine.
    pub node: String,
    /// Zone in which it runs.
    pub zone: String,
    /// Region of the zone.
    pub region: String,
    /// Address to which clients connect.
    #[serde(rename = "front")]
    pub client_address: SocketAddr,
    /// Random number generated at each start, which distinguishes restarts of the proxy.
    #[serde(rename = "life")]
    pub incarnation: u64,
}

/// Share of a tenant's quota that is allocated to one proxy.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuotaShare {
    /// Name of the tenant.
    pub tenant: String,
    /// Fraction of the whole quota, from 0 to 1; NaN keeps the previous fraction.
    #[serde(rename = "part")]
    pub fraction: f32,
    /// Time for which the proxy rejects all requests of the tenant, in milliseconds, as all proxies
    /// together have used up the quota; 0 if it is not blocked.
    #[serde(rename = "closed_ms")]
    pub blocked_ms: u32,
    /// Time for which the minimum depth of the proxy's token bucket is lowered, in milliseconds; 0 if the
    /// tenant is not throttled.
    #[serde(rename = "tight_ms")]
    pub throttled_ms: u32,
}

/// Readiness of a proxy for client connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Readiness {
    /// Serves requests with a confirmed configuration.
    Ready,
    /// Serves requests with a configuration that is no longer confirmed.
    Stale,
    /// Can't serve requests until it has a confirmed configuration.
    Starting,
    /// Shuts down gracefully.
    #[serde(rename = "Leaving")]
    ShuttingDown,
    /// Its connection to the controller was closed or timed out.
    #[serde(rename = "Gone")]
    Disconnected,
}

/// Status of a proxy, as last received by one controller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProxyStatus {
    /// The proxy.
    #[serde(rename = "edge")]
    pub proxy: ProxyInfo,
    /// Readiness last reported.
    pub readiness: Readiness,
}

/// Heartbeat of a proxy. Usage and held quota shares are sent to the leader only.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProxyHeartbeat {
    /// Monotonic clock of the proxy, in nanoseconds; echoed in the acknowledgement.
    pub clock: u64,
    /// Revision of its configuration; 0 if it needs a snapshot.
    #[serde(rename = "have")]
    pub revision: u64,
    /// Readiness for client connections.
    pub readiness: Readiness,
    /// Highest number of the `QuotaShares` messages that it received on this connection.
    #[serde(rename = "got")]
    pub received_shares_number: u64,
    /// Revision of the proxy membership that it has held for at least the maximum age of a confirmation; 0
    /// for none.
    #[serde(rename = "membership", default, skip_serializing_if = "is_zero")]
    pub membership_revision: u64,
    /// Usage since the last report.
    #[serde(rename = "counts")]
    pub usage: Vec<TenantUsage>,
    /// Tenant and fraction of each share that it holds; `None` if already sent to this leader.
    #[serde(rename = "holds")]
    pub held_shares: Option<Vec<(String, f32)>>,
}

fn is_zero(number: &u64) -> bool {
    *number == 0
}

/// Message to a controller, from a proxy or from another controller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ToController {
    /// Subscription of a proxy to configuration, instances and quota shares.
    #[serde(rename = "Hello")]
    Subscribe {
        /// The subscribing proxy.
        #[serde(rename = "edge")]
        proxy: ProxyInfo,
        /// `true` to request a snapshot of all instances.
        #[serde(rename = "lives")]
        wants_instances: bool,
    },
    /// Periodic heartbeat of a proxy, also sent early after a change.
    #[serde(rename = "Ping")]
    Heartbeat(ProxyHeartbeat),
    /// First message on a connection between controllers, repeated as a heartbeat. A partitioned connection
    /// can stay open without delivering anything, which only the recipient can detect.
    #[serde(rename = "Core")]
    PeerHeartbeat {
        /// Control address of the sender.
        from: SocketAddr,
        /// `true` if the sender has recently received a heartbeat of the recipient.
        #[serde(rename = "hears")]
        hears_recipient: bool,
        /// Controllers from which the sender has recently received a heartbeat, so that a new controller
        /// finds the leader.
        #[serde(rename = "others")]
        known_peers: Vec<SocketAddr>,
    },
    /// Status of the proxies that are connected to the sender.
    #[serde(rename = "Sightings")]
    ProxyStatuses {
        /// All proxies in a snapshot, otherwise the changed ones.
        #[serde(rename = "sightings")]
        statuses: Vec<ProxyStatus>,
        /// `true` if the statuses replace all earlier ones from this sender.
        #[serde(rename = "whole")]
        is_snapshot: bool,
        /// `true` if the sender has been running long enough for every proxy to have connected to it.
        #[serde(rename = "has_gathered")]
        is_complete: bool,
    },
    /// Message of the consensus protocol.
    #[serde(rename = "Agreement")]
    Consensus(Message),
    /// Instances whose heartbeat or deregistration the sender received, or which it detected as
    /// unresponsive. At the start of a connection, all instances known to the sender.
    #[serde(rename = "Heard")]
    InstanceUpdates(Vec<Instance>),
}

/// Message from a controller to a subscribed proxy.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ToProxy {
    /// Committed configuration.
    #[serde(rename = "Book")]
    Config {
        /// Revision, incremented by each accepted command and each change of the proxy membership.
        #[serde(rename = "index")]
        revision: u64,
        /// Encoded snapshot or delta (`lynxstair_control_state::config_update`).
        #[serde(rename = "state")]
        update: Bytes,
    },
    /// Worker instances.
    #[serde(rename = "Lives")]
    Instances {
        /// All known instances in a snapshot, otherwise the changed ones.
        #[serde(rename = "lives")]
        instances: Vec<Instance>,
        /// `true` if the instances are a snapshot.
        #[serde(rename = "whole")]
        is_snapshot: bool,
    },
    /// Acknowledgement of a heartbeat.
    #[serde(rename = "Pong")]
    HeartbeatAck {
        /// Clock of the proxy from the heartbeat, in nanoseconds.
        clock: u64,
        /// Newest revision that the sender knows to be committed.
        #[serde(rename = "index")]
        revision: u64,
        /// Time since this revision was last confirmed to be the newest committed one, in milliseconds.
        /// `None` if the sender has no such confirmation.
        #[serde(rename = "fresh")]
        confirmed_ms_ago: Option<u64>,
        /// `true` if the sender leads and has quorum contact.
        #[serde(rename = "leads")]
        is_leader: bool,
        /// `true` if the sender leads and has no unconfirmed ready instance.
        #[serde(rename = "knows_lives", default, skip_serializing_if = "std::ops::Not::not")]
        knows_instances: bool,
    },
    /// Changed quota shares, sent by the leader.
    #[serde(rename = "Shares")]
    QuotaShares {
        /// Number that the proxy returns in its heartbeats; 0 if no acknowledgement is expected.
        number: u64,
        /// Changed shares.
        shares: Vec<QuotaShare>,
    },
    /// Number of proxies in each zone, sent by the leader.
    #[serde(rename = "Zones")]
    ProxyCounts(Vec<(String, u32)>),
    /// Known controllers.
    #[serde(rename = "Huts")]
    Controllers {
        /// Control addresses.
        #[serde(rename = "huts")]
        controllers: Vec<SocketAddr>,
        /// `true` if the list is complete, which only a leader can claim.
        #[serde(rename = "whole")]
        is_complete: bool,
    },
}
