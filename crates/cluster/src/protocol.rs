//! The protocol of the control port: one line of JSON each way, then the connection ends.
//!
//! The names on the wire are older than those of the code; `serde(rename)` keeps them.

use std::net::SocketAddrV4;
use std::sync::Arc;

use lynxstair_export::{Batch, StreamId};
use lynxstair_leases::{DutyView, Epoch, VoterView};
use lynxstair_membership::{Name, View};
use serde::{Deserialize, Serialize};

/// Longest request, in bytes.
pub const MAX_REQUEST_BYTES: usize = 4_096;
/// Longest response, in bytes: 3,000 members take about a quarter of it.
pub const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// A request to a member.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "ask", deny_unknown_fields)]
pub enum Request {
    /// The member's view of the fleet.
    Status,
    /// The member tells others that it leaves, and takes part no more. It goes on serving.
    Leave,
    /// Shuts a member out until it is let in again.
    ShutOut {
        /// The member's name.
        name: Name,
        /// Why, for people.
        #[serde(rename = "why")]
        reason: String,
    },
    /// Lets a member in that is shut out.
    LetIn {
        /// The member's name.
        name: Name,
    },
    /// The owners of all duties, confirmed by a majority of the voters. Sent again with the same id while the
    /// response is [`Response::Pending`].
    Owners {
        /// Chosen by the operator.
        id: u64,
    },
    /// The member's own part in duties and among the voters; it asks nobody.
    #[serde(rename = "own")]
    LocalRoles,
    /// The first batch of usage after `stored_up_to`; those up to it are deleted. Without a stream and with 0 it
    /// only asks which stream the member keeps.
    #[serde(rename = "uses")]
    Usage {
        /// The stream.
        stream: Option<StreamId>,
        /// The last batch that the sink has; 0: none.
        #[serde(rename = "had")]
        stored_up_to: u64,
    },
    /// The owner of a duty gives it up to another member. Takes effect once for each id, as do the two below;
    /// sent again with the same id while the response is [`Response::Pending`].
    HandOver {
        /// Chosen by the operator.
        id: u64,
        /// The duty's name.
        duty: String,
        /// The member that is to have it.
        to: Name,
    },
    /// A duty is taken from its owner.
    Depose {
        /// Chosen by the operator.
        id: u64,
        /// The duty's name.
        duty: String,
    },
    /// Another member becomes a voter in the place of one.
    #[serde(rename = "replace")]
    ReplaceVoter {
        /// Chosen by the operator.
        id: u64,
        /// The voter that goes.
        old: Name,
        /// The member that takes its place.
        new: Name,
    },
}

/// A duty, as confirmed by a majority of the voters.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DutyStatus {
    /// The duty's name.
    pub duty: String,
    /// The owner's name; `None`: nobody owns it.
    pub owner: Option<String>,
    /// Of the owner, or of the last one.
    pub epoch: Epoch,
    /// Milliseconds since 1970 by the clock of the voter that granted it.
    pub since_unix_ms: u64,
    /// The voter that led when it was granted.
    pub granted_by: String,
    /// The member that the duty is being handed over to.
    #[serde(rename = "meant_for")]
    pub reserved_for: Option<String>,
    /// Length of the state that is stored with the duty.
    pub state_bytes: usize,
}

/// A voter, as confirmed by a majority of the voters.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VoterStatus {
    /// The member's name.
    pub name: String,
    /// Chosen by the operator.
    pub id: u64,
    /// Where it is reached.
    pub addr: SocketAddrV4,
}

/// Requests whose usage was to be recorded since the start; on the wire a pair of numbers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub struct UsageCounts {
    /// All of them.
    pub total: u64,
    /// How many of them are recorded nowhere, for want of room.
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

/// A member's response.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "answer")]
pub enum Response {
    /// To [`Request::Status`].
    Status {
        /// The fleet's name.
        fleet: Name,
        /// Version of the program.
        version: String,
        /// Members and links as this member sees them.
        view: Box<View>,
        /// Why the last record could not be written; `None`: all are on disk.
        #[serde(rename = "disk")]
        disk_error: Option<String>,
        /// Datagrams that were dropped unread, since too many came.
        #[serde(rename = "unread")]
        datagrams_dropped: u64,
        /// Datagrams that could not be sent.
        #[serde(rename = "unsent")]
        datagrams_unsent: u64,
    },
    /// The request has taken effect.
    Done,
    /// The request is refused.
    #[serde(rename = "no")]
    Refused {
        /// Why, for people.
        #[serde(rename = "why")]
        reason: String,
    },
    /// To [`Request::LocalRoles`].
    #[serde(rename = "own")]
    LocalRoles {
        /// Its voter.
        voter: VoterView,
        /// By duty.
        duties: Vec<DutyView>,
        /// Why the voter's last record could not be written; `None`: all are on disk.
        #[serde(rename = "disk")]
        disk_error: Option<String>,
        /// How much of its usage is recorded.
        #[serde(rename = "uses", default)]
        usage: UsageCounts,
    },
    /// To [`Request::Owners`].
    Owners {
        /// By duty.
        duties: Vec<DutyStatus>,
        /// All voters.
        voters: Vec<VoterStatus>,
        /// The voter that led.
        leader: String,
    },
    /// To [`Request::Usage`].
    #[serde(rename = "uses")]
    Usage {
        /// The stream.
        stream: StreamId,
        /// The batch, where one is sealed.
        batch: Option<Arc<Batch>>,
        /// Thousandths of a unit that the sink does not have yet, this batch included.
        #[serde(rename = "held_milli", default)]
        pending_milli_units: u64,
    },
    /// Not known yet: send the request again.
    #[serde(rename = "waits")]
    Pending,
    /// No majority was reached; why, as far as it is known.
    Unknown {
        /// Why, for people.
        #[serde(rename = "why")]
        reason: String,
    },
}
