//! Configuration updates from a controller to a proxy: a snapshot first, then deltas. The serialized names
//! are part of the protocol.

use std::collections::BTreeSet;

use lynxstair_config::table::ConfigTable;
use lynxstair_protocol::digest;
use serde::{Deserialize, Serialize};

use crate::proxy_membership::ProxyMembership;

/// An update to a committed revision.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum ConfigUpdate {
    /// The whole state.
    #[serde(rename = "Whole")]
    Snapshot {
        #[serde(rename = "sheet")]
        table: ConfigTable,
        evacuated: BTreeSet<String>,
        #[serde(default, skip_serializing_if = "Option::is_none")]
        membership: Option<ProxyMembership>,
    },
    /// The changes since revision `from`.
    Delta {
        from: u64,
        generation: u64,
        #[serde(rename = "rest")]
        extra: Option<String>,
        #[serde(rename = "lists")]
        tables: [TableDelta; 3],
        evacuated: BTreeSet<String>,
        /// Digest of the resulting table.
        digest: [u8; digest::LENGTH],
        /// The new membership if it changed.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        membership: Option<ProxyMembership>,
    },
}

/// The changes of one table: names of removed rows, and names and values of new or changed rows.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct TableDelta {
    #[serde(rename = "gone")]
    pub removed: Vec<String>,
    #[serde(rename = "set")]
    pub changed: Vec<(String, String)>,
}
