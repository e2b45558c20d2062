//! What is said at the control port: one line of JSON each way, then the connection ends.

use std::sync::Arc;

use lynxstair_export::{Batch, Stream};
use lynxstair_leases::{DutySeen, Epoch, VoterView};
use lynxstair_membership::{Name, View};
use serde::{Deserialize, Serialize};

/// The longest question, in bytes.
pub const LONGEST_ASKED: usize = 4_096;
/// The longest answer, in bytes: 3,000 members take about a quarter of it.
pub const LONGEST_ANSWER: usize = 4 << 20;

/// What is asked.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "ask", deny_unknown_fields)]
pub enum Ask {
    Status,
    /// The member tells others that it goes, and takes part no more. It serves on.
    Leave,
    /// Takes a member out until it is let in again.
    ShutOut {
        name: Name,
        why: String,
    },
    LetIn {
        name: Name,
    },
    /// Who owns what, as a majority of the voters has it, and as this member has it. Asked again by the same id
    /// until it is no longer `Waits`.
    Owners {
        id: u64,
    },
    /// What this member itself is with each duty and among the voters; it asks nobody.
    Own,
    /// The first batch of uses after those that the sink had; what it had is let go of. None and nought: only
    /// whose records they are.
    Uses {
        stream: Option<Stream>,
        had: u64,
    },
    /// The same way of asking; nothing happens twice by one id.
    HandOver {
        id: u64,
        duty: String,
        to: Name,
    },
    Depose {
        id: u64,
        duty: String,
    },
    /// Another member is a voter in the place of one.
    Replace {
        id: u64,
        old: Name,
        new: Name,
    },
}

/// A duty, as a majority has it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DutyHeld {
    pub duty: String,
    pub owner: Option<String>,
    pub epoch: Epoch,
    /// Milliseconds since 1970 by the clock of the voter that granted it.
    pub since_unix_ms: u64,
    pub granted_by: String,
    pub meant_for: Option<String>,
    /// Bytes that are kept with it.
    pub state_bytes: usize,
}

/// A voter, as a majority has it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VoterHeld {
    pub name: String,
    pub id: u64,
    pub addr: std::net::SocketAddrV4,
}

/// What is answered.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "answer")]
pub enum Answer {
    Status {
        fleet: Name,
        /// Of the program.
        version: String,
        view: Box<View>,
        /// Records that could not be written, and why the last one could not; none: all are on disk.
        disk: Option<String>,
        /// Datagrams that were thrown away unread, since too many came; and those that could not be sent.
        unread: u64,
        unsent: u64,
    },
    Done,
    No {
        why: String,
    },
    Own {
        voter: VoterView,
        duties: Vec<DutySeen>,
        /// Why this voter's records can't be written, while they can't.
        disk: Option<String>,
        /// Succeeded invocations since the start whose use is to be exported, and how many of them are recorded
        /// nowhere, for want of room.
        #[serde(default)]
        uses: (u64, u64),
    },
    Owners {
        duties: Vec<DutyHeld>,
        voters: Vec<VoterHeld>,
        leader: String,
    },
    Uses {
        stream: Stream,
        batch: Option<Arc<Batch>>,
        /// Thousandths of a unit that the sink does not have yet, this batch included.
        #[serde(default)]
        held_milli: u64,
    },
    /// Not known yet: ask again.
    Waits,
    /// No majority was reached; why, as far as it is known.
    Unknown {
        why: String,
    },
}
