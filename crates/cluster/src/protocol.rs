//! Protocol of the control port: one JSON line each way per connection.
//!
//! Some names on the wire differ from those in the code; see the `serde(rename)` attributes.

use std::net::SocketAddrV4;
use std::sync::Arc;

use lynxstair_export::{Batch, StreamId};
use lynxstair_leases::{DutyView, Epoch, VoterView};
use lynxstair_membership::{Name, View};
use serde::{Deserialize, Serialize};

/// Maximum length of a request, in bytes.
pub const MAX_REQUEST_BYTES: usize = 4_096;
/// Maximum length of a response, in bytes.
pub const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// A request to a member.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "ask", deny_unknown_fields)]
pub enum Request {
    /// Returns the member's view of the fleet.
    Status,
    /// Makes the member leave the fleet. It continues to serve requests.
    Leave,
    /// Shuts a member out until it is let in again by [`Request::LetIn`].
    ShutOut {
        /// The member's name.
        name: Name,
        /// Human-readable reason.
        #[serde(rename = "why")]
        reason: String,
    },
    /// Lets a member that is shut out join again.
    LetIn {
        /// The member's name.
        name: Name,
    },
    /// Returns the owners of all duties, confirmed by a quorum of the voters. The client repeats the
    /// request with the same id while the response is [`Response::Pending`].
    Owners {
        /// Request id chosen by the client; identifies repeated requests.
        id: u64,
    },
    /// Returns the member's local state as voter and duty holder, without contacting the voters.
    #[serde(rename = "own")]
    LocalRoles,
    /// Fetches the first usage batch after `stored_up_to`. The member then deletes the batches up to
    /// `stored_up_to`. If `stream` is not the member's stream, nothing is deleted and the response has no
    /// batch.
    #[serde(rename = "uses")]
    Usage {
        /// The expected stream; `None` if not known yet.
        stream: Option<StreamId>,
        /// Number of the last batch that the sink has; 0 if it has none.
        #[serde(rename = "had")]
        stored_up_to: u64,
    },
    /// Transfers a duty from its owner to another member. Takes effect once per id, as do
    /// [`Request::Depose`] and [`Request::ReplaceVoter`]; repeated with the same id while the response is
    /// [`Response::Pending`].
    HandOver {
        /// Request id chosen by the client; identifies repeated requests.
        id: u64,
        /// The duty's name.
        duty: String,
        /// Name of the next owner.
        to: Name,
    },
    /// Revokes a duty from its owner.
    Depose {
        /// Request id chosen by the client; identifies repeated requests.
        id: u64,
        /// The duty's name.
        duty: String,
    },
    /// Replaces a voter by another member.
    #[serde(rename = "replace")]
    ReplaceVoter {
        /// Request id chosen by the client; identifies repeated requests.
        id: u64,
        /// Name of the voter to remove.
        old: Name,
        /// Name of the member to add as a voter.
        new: Name,
    },
}

/// Status of a duty, confirmed by a quorum of the voters.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DutyStatus {
    /// The duty's name.
    pub duty: String,
    /// Name of the owner; `None` if the duty has no owner.
    pub owner: Option<String>,
    /// Epoch of the current or last owner.
    pub epoch: Epoch,
    /// Time of the grant in Unix milliseconds, by the clock of the voter that granted it.
    pub since_unix_ms: u64,
    /// Name of the voter that was leader at the last grant.
    pub granted_by: String,
    /// Next owner in a hand-over that is not finished; `None` otherwise.
    #[serde(rename = "meant_for")]
    pub reserved_for: Option<String>,
    /// Length of the state stored with the duty, in bytes.
    pub state_bytes: usize,
}

/// A voter, confirmed by a quorum of the voters.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VoterStatus {
    /// The member's name.
    pub name: String,
    /// Random id of the voter; a voter that loses its records takes a new one.
    pub id: u64,
    /// Address that other members send to.
    pub addr: SocketAddrV4,
}

/// Counts of requests to record in the usage log since the start; serialized as a pair of numbers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub struct UsageCounts {
    /// Requests to record.
    pub total: u64,
    /// Requests whose usage was not recorded because the log or its memory buffer was full.
    pub unrecorded: u64,
}

impl From<(u64, u64)> for UsageCounts {
    fn from((total, unrecorded): (u64, u64)) -> Self {
        UsageCounts { total, unrecorded }
    }
}

impl From<UsageCounts> for (u64, u64) {
    fn from(counts: UsageCounts) -> Self {
        (counts.total, counts.unrecorded)
    }
}

/// A response of a member.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "answer")]
pub enum Response {
    /// Response to [`Request::Status`].
    Status {
        /// The fleet's name.
        fleet: Name,
        /// Version of the gatekeeper program.
        version: String,
        /// The member's view of the fleet.
        view: Box<View>,
        /// Error of the last incarnation write; `None` if it did not fail.
        #[serde(rename = "disk")]
        disk_error: Option<String>,
        /// Datagrams dropped by the rate limit.
        #[serde(rename = "unread")]
        datagrams_dropped: u64,
        /// Datagrams that failed to be sent.
        #[serde(rename = "unsent")]
        datagrams_unsent: u64,
    },
    /// The request took effect.
    Done,
    /// The request was refused.
    #[serde(rename = "no")]
    Refused {
        /// Human-readable reason.
        #[serde(rename = "why")]
        reason: String,
    },
    /// Response to [`Request::LocalRoles`].
    #[serde(rename = "own")]
    LocalRoles {
        /// The local voter.
        voter: VoterView,
        /// The duties that the member claims.
        duties: Vec<DutyView>,
        /// Error of the voter's last write; `None` if it succeeded.
        #[serde(rename = "disk")]
        disk_error: Option<String>,
        /// Counts of requests to record in the usage log.
        #[serde(rename = "uses", default)]
        usage: UsageCounts,
    },
    /// Response to [`Request::Owners`].
    Owners {
        /// All duties.
        duties: Vec<DutyStatus>,
        /// All voters.
        voters: Vec<VoterStatus>,
        /// Leader of the voters.
        leader: String,
    },
    /// Response to [`Request::Usage`].
    #[serde(rename = "uses")]
    Usage {
        /// The stream that the member keeps.
        stream: StreamId,
        /// The next batch; `None` if there is none or the request named another stream.
        batch: Option<Arc<Batch>>,
        /// Usage that is not at the sink yet, including this batch, in thousandths of a unit.
        #[serde(rename = "held_milli", default)]
        pending_milli_units: u64,
    },
    /// The voters have not replied yet; the client repeats the request.
    #[serde(rename = "waits")]
    Pending,
    /// The outcome is unknown, for instance because no quorum of the voters was reached.
    Unknown {
        /// Human-readable reason.
        #[serde(rename = "why")]
        reason: String,
    },
}
