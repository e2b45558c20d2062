//! Messages between the system's processes. Times are spans, never times of day: what one process knows of another's
//! clock it has from an echo of its own.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::consensus::Message;

/// Opaque bytes, shared between the copies of a message.
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

/// The state of a worker instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum InstanceState {
    /// Takes requests.
    Ready,
    /// Finishes what it has and takes nothing new.
    Draining,
    /// Its heartbeats have been missing for too long.
    #[serde(rename = "Silent")]
    Unresponsive,
    /// It has said that it ends; final.
    #[serde(rename = "Gone")]
    Deregistered,
}

/// A worker instance as of its last heartbeat. Another start of the same worker is another instance with another id.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Instance {
    /// Unique over all instances there ever were.
    pub id: String,
    /// The service that it belongs to.
    pub service: String,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// The zone that it runs in.
    pub zone: String,
    /// How many requests it can work on at once.
    pub capacity: u32,
    /// Its state.
    #[serde(rename = "standing")]
    pub state: InstanceState,
    /// For how much longer it is warming up, in milliseconds, as of when this message is sent.
    #[serde(rename = "cold_ms")]
    pub warming_up_ms: u64,
    /// Rises with each call of the instance; orders its heartbeats.
    #[serde(rename = "seq")]
    pub call_seq: u64,
    /// The age of its last heartbeat, in milliseconds.
    #[serde(rename = "heard_ms")]
    pub heartbeat_age_ms: u64,
    /// It has sent no heartbeat since something after which it may be cold and not have been able to say so.
    #[serde(rename = "unconfirmed", default, skip_serializing_if = "std::ops::Not::not")]
    pub is_unconfirmed: bool,
}

/// What one proxy admitted and rejected for a tenant since it last reported.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TenantUsage {
    /// The tenant's name.
    pub tenant: String,
    /// Requests that got a token.
    #[serde(rename = "passed")]
    pub admitted: u32,
    /// Requests rejected for want of a token.
    #[serde(rename = "refused")]
    pub rejected: u32,
    /// How long ago it was counted, in milliseconds: above 0 where no leading controller was reachable since.
    #[serde(rename = "ago_ms")]
    pub age_ms: u32,
}

/// One start of a proxy, as the directory needs it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProxyInfo {
    /// The name of its machine.
    pub node: String,
    /// The zone that it runs in.
    pub zone: String,
    /// The zone's region.
    pub region: String,
    /// Where clients connect.
    #[serde(rename = "front")]
    pub client_address: SocketAddr,
    /// Drawn at its start: tells one start from another.
    #[serde(rename = "life")]
    pub incarnation: u64,
}

/// The share of one tenant's quota that one proxy may spend.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuotaShare {
    /// The tenant's name.
    pub tenant: String,
    /// From 0 to 1 of the whole quota; NaN where the share before stays.
    #[serde(rename = "part")]
    pub fraction: f32,
    /// The quota is used up by all proxies together: reject everything for this long, in milliseconds.
    #[serde(rename = "closed_ms")]
    pub blocked_ms: u32,
    /// Save up no burst for this long, in milliseconds.
    #[serde(rename = "tight_ms")]
    pub throttled_ms: u32,
}

/// Whether clients may connect to a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Readiness {
    /// It serves.
    Ready,
    /// Its configuration is not confirmed any more; it serves on by what it has.
    Stale,
    /// It can't serve yet, or not before its configuration is confirmed again.
    Starting,
    /// It shuts down gracefully.
    #[serde(rename = "Leaving")]
    ShuttingDown,
    /// Its connection has ended, or is silent.
    #[serde(rename = "Gone")]
    Disconnected,
}

/// How a proxy was last heard by one controller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProxyStatus {
    /// Which proxy.
    #[serde(rename = "edge")]
    pub proxy: ProxyInfo,
    /// What it last said.
    pub readiness: Readiness,
}

/// A proxy's heartbeat. To the leader it also reports usage and, where that one has just begun to lead, which shares of
/// quotas it holds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProxyHeartbeat {
    /// The proxy's own steady clock, in nanoseconds; comes back in the acknowledgement.
    pub clock: u64,
    /// The revision of the configuration that it has, 0 where it needs a snapshot.
    #[serde(rename = "have")]
    pub revision: u64,
    /// Whether clients may connect.
    pub readiness: Readiness,
    /// The number of the quota shares that it received last.
    #[serde(rename = "got")]
    pub received_shares_number: u64,
    /// The revision of the proxy membership that it has held for as long as a confirmation of one may be old; 0 for none.
    #[serde(rename = "membership", default, skip_serializing_if = "is_zero")]
    pub membership_revision: u64,
    /// Usage since the last report.
    #[serde(rename = "counts")]
    pub usage: Vec<TenantUsage>,
    /// Tenant and fraction of each share that it holds, where the leader does not know them yet.
    #[serde(rename = "holds")]
    pub held_shares: Option<Vec<(String, f32)>>,
}

fn is_zero(number: &u64) -> bool {
    *number == 0
}

/// To a controller, from a proxy or from another controller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ToController {
    /// A proxy subscribes to configuration, instances and quota shares.
    #[serde(rename = "Hello")]
    Subscribe {
        /// Who subscribes.
        #[serde(rename = "edge")]
        proxy: ProxyInfo,
        /// It needs a snapshot of all instances.
        #[serde(rename = "lives")]
        wants_instances: bool,
    },
    /// Every second, and when something changed.
    #[serde(rename = "Ping")]
    Heartbeat(ProxyHeartbeat),
    /// Opens a connection between controllers, and is repeated as a heartbeat. A connection that was cut may stay open
    /// and deliver nothing: only the other end can tell.
    #[serde(rename = "Core")]
    PeerHeartbeat {
        /// The sender's control address.
        from: SocketAddr,
        /// The sender has heard the recipient a moment ago.
        #[serde(rename = "hears")]
        hears_recipient: bool,
        /// Controllers that the sender heard a moment ago: a newcomer may not have been told of the leader.
        #[serde(rename = "others")]
        known_peers: Vec<SocketAddr>,
    },
    /// Proxies that are connected to the sender.
    #[serde(rename = "Sightings")]
    ProxyStatuses {
        /// All of them in a snapshot, else what changed.
        #[serde(rename = "sightings")]
        statuses: Vec<ProxyStatus>,
        /// Replaces all that the sender said before.
        #[serde(rename = "whole")]
        is_snapshot: bool,
        /// The sender has been up long enough for every proxy to have connected to it.
        #[serde(rename = "has_gathered")]
        is_complete: bool,
    },
    /// A message of the consensus protocol.
    #[serde(rename = "Agreement")]
    Consensus(Message),
    /// Instances that sent a heartbeat to, or were found unresponsive by, the sender.
    #[serde(rename = "Heard")]
    InstanceUpdates(Vec<Instance>),
}

/// To a proxy, from a controller that it subscribes to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ToProxy {
    /// A committed configuration.
    #[serde(rename = "Book")]
    Config {
        /// Rises with each accepted command.
        #[serde(rename = "index")]
        revision: u64,
        /// Snapshot or delta (`lynxstair_control_state::config_update`).
        #[serde(rename = "state")]
        update: Bytes,
    },
    /// Worker instances.
    #[serde(rename = "Lives")]
    Instances {
        /// All that are known in a snapshot, else what changed.
        #[serde(rename = "lives")]
        instances: Vec<Instance>,
        /// Whether it is a snapshot.
        #[serde(rename = "whole")]
        is_snapshot: bool,
    },
    /// Acknowledges a heartbeat.
    #[serde(rename = "Pong")]
    HeartbeatAck {
        /// As it came in the heartbeat.
        clock: u64,
        /// The newest revision committed as far as the sender knows.
        #[serde(rename = "index")]
        revision: u64,
        /// How many milliseconds before the heartbeat arrived it was certain that no newer revision was committed; None
        /// where the sender does not know.
        #[serde(rename = "fresh")]
        confirmed_ms_ago: Option<u64>,
        /// The sender leads, in contact with a quorum.
        #[serde(rename = "leads")]
        is_leader: bool,
        /// No instance that the sender knows as ready is unconfirmed.
        #[serde(rename = "knows_lives", default, skip_serializing_if = "std::ops::Not::not")]
        knows_instances: bool,
    },
    /// From the leader: quota shares that changed.
    #[serde(rename = "Shares")]
    QuotaShares {
        /// Comes back in the next heartbeat; 0 where none is expected.
        number: u64,
        /// The shares.
        shares: Vec<QuotaShare>,
    },
    /// From the leader: how many proxies there are in each zone.
    #[serde(rename = "Zones")]
    ProxyCounts(Vec<(String, u32)>),
    /// The control addresses of controllers.
    #[serde(rename = "Huts")]
    Controllers {
        /// The addresses.
        #[serde(rename = "huts")]
        controllers: Vec<SocketAddr>,
        /// These are all, as the leader says.
        #[serde(rename = "whole")]
        is_complete: bool,
    },
}
