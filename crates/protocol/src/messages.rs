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

impl InstanceState {
    /// Returns `true` if the instance takes no new requests by its own report, which is final.
    pub fn has_departed(self) -> bool {
        matches!(self, InstanceState::Draining | InstanceState::Deregistered)
    }
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

/// Block of a tenant at all proxies; in builds up to 2026-12-03 also the share of its quota that was allocated
/// to one proxy.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuotaShare {
    /// Name of the tenant.
    pub tenant: String,
    /// Fraction of the whole quota, from 0 to 1; NaN keeps the previous fraction. Not used any more.
    #[serde(rename = "part")]
    pub fraction: f32,
    /// Time for which the proxy rejects all requests of the tenant, in milliseconds, as all proxies
    /// together have used up the quota; 0 if it is not blocked.
    #[serde(rename = "closed_ms")]
    pub blocked_ms: u32,
    /// Time for which the minimum depth of the proxy's token bucket is lowered, in milliseconds. Not used any
    /// more.
    #[serde(rename = "tight_ms")]
    pub throttled_ms: u32,
}

/// Identifies the account of the quota tokens that one proxy process got from the leader. A later account of
/// the same proxy has a higher id, and its tokens replace all earlier ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct QuotaAccountId {
    /// Term of the leader that opened the account.
    pub term: u64,
    /// Number of the account in that term, from 1.
    pub number: u64,
}

/// Quota tokens of one tenant in an account. The counters never decrease, so that lost, repeated and
/// reordered messages do no harm. A proxy holds `granted - used - returned` tokens.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TokenCounts {
    /// Name of the tenant.
    #[serde(rename = "t")]
    pub tenant: String,
    /// Tokens granted in total; reported in snapshots only.
    #[serde(rename = "g", default, skip_serializing_if = "is_zero")]
    pub granted: u64,
    /// Tokens spent in total.
    #[serde(rename = "u", default, skip_serializing_if = "is_zero")]
    pub used: u64,
    /// Time since the last token was spent, in milliseconds; 0 if none was since the last report.
    #[serde(rename = "ago_ms", default, skip_serializing_if = "is_zero_u32")]
    pub age_ms: u32,
    /// Tokens that will not be spent, in total.
    #[serde(rename = "r", default, skip_serializing_if = "is_zero")]
    pub returned: u64,
    /// Requests admitted since the last report, with and without a granted token.
    #[serde(rename = "a", default, skip_serializing_if = "is_zero_u32")]
    pub admitted: u32,
    /// Requests rejected since the last report.
    #[serde(rename = "x", default, skip_serializing_if = "is_zero_u32")]
    pub rejected: u32,
}

/// Number of granted tokens of one tenant that a proxy spent some time ago.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SpentTokens {
    /// Name of the tenant.
    #[serde(rename = "t")]
    pub tenant: String,
    /// Number of tokens.
    #[serde(rename = "n")]
    pub count: u32,
    /// Time since the last of them was spent, in milliseconds.
    #[serde(rename = "ago_ms")]
    pub age_ms: u32,
}

/// The quota part of a proxy's heartbeat to the leader.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct QuotaReport {
    /// Term of the leader that the report is for. The proxy accepts no tokens of earlier leaders after it.
    pub term: u64,
    /// Account of the held tokens; `None` if it has none.
    pub account: Option<QuotaAccountId>,
    /// If it has none: the latest account that it gave up.
    pub given_up: QuotaAccountId,
    /// Time since the proxy process started, in milliseconds.
    pub uptime_ms: u64,
    /// All tenants in a snapshot, otherwise those with changes since the last report.
    pub counts: Vec<TokenCounts>,
    /// Granted tokens spent in the last window, of any account; `None` if the report is no snapshot.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub spent: Option<Vec<SpentTokens>>,
}

/// Quota tokens granted to a proxy, sent by the leader.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct QuotaGrants {
    /// Term of the leader.
    pub term: u64,
    /// Account that the tokens belong to and that is renewed; `None` if the proxy has not reported yet.
    pub account: Option<QuotaAccountId>,
    /// Tenants with new tokens; `granted` is the new total.
    pub tokens: Vec<TokenCounts>,
    /// Time after which the leader expects to grant tokens, in milliseconds; 0 if it does now.
    #[serde(rename = "wait_ms", default, skip_serializing_if = "is_zero_u32")]
    pub wait_ms: u32,
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

/// Heartbeat of a proxy. Usage and quota tokens are reported to the leader only.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProxyHeartbeat {
    /// Monotonic clock of the proxy, in nanoseconds; echoed in the acknowledgement.
    pub clock: u64,
    /// Revision of its configuration; 0 if it needs a snapshot.
    #[serde(rename = "have")]
    pub revision: u64,
    /// Readiness for client connections.
    pub readiness: Readiness,
    /// Highest number of the `QuotaShares` messages that it received on this connection. Not used any more.
    #[serde(rename = "got")]
    pub received_shares_number: u64,
    /// Revision of the proxy membership that it has held for at least the maximum age of a confirmation; 0
    /// for none.
    #[serde(rename = "membership", default, skip_serializing_if = "is_zero")]
    pub membership_revision: u64,
    /// Usage since the last report, of builds up to 2026-12-03; empty in later ones.
    #[serde(rename = "counts")]
    pub usage: Vec<TenantUsage>,
    /// Tenant and fraction of each share that it holds. Not used any more.
    #[serde(rename = "holds")]
    pub held_shares: Option<Vec<(String, f32)>>,
    /// Quota tokens; `None` if the receiver is not known to lead.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub quota: Option<QuotaReport>,
}

fn is_zero(number: &u64) -> bool {
    *number == 0
}

fn is_zero_u32(number: &u32) -> bool {
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
        /// `true` if the sender understands and sends `DeparturesStored`, unlike builds up to 2026-12-04.
        #[serde(rename = "confirms", default, skip_serializing_if = "std::ops::Not::not")]
        confirms_departures: bool,
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
    /// Ids of instances whose departure the sender has synced to its disk. Sent only to controllers that
    /// understand it.
    #[serde(rename = "Stored")]
    DeparturesStored(Vec<String>),
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
        /// Quota tokens; `None` if the sender does not lead.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        quota: Option<QuotaGrants>,
    },
    /// Blocked tenants, sent by the leader.
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
