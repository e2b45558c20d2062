//! What is said at the control port: one line of JSON each way, then the connection ends.

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
}
