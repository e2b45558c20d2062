//! How a committed configuration goes to a proxy: a snapshot once, then deltas. Its names go between processes.

use std::collections::BTreeSet;

use lynxstair_config::table::ConfigTable;
use lynxstair_protocol::digest;
use serde::{Deserialize, Serialize};

use crate::proxy_membership::ProxyMembership;

/// One committed configuration.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum ConfigUpdate {
    #[serde(rename = "Whole")]
    Snapshot {
        #[serde(rename = "sheet")]
        table: ConfigTable,
        evacuated: BTreeSet<String>,
        #[serde(default, skip_serializing_if = "Option::is_none")]
        membership: Option<ProxyMembership>,
    },
    /// What to change in the configuration of revision `from`.
    Delta {
        from: u64,
        generation: u64,
        #[serde(rename = "rest")]
        extra: Option<String>,
        #[serde(rename = "lists")]
        tables: [TableDelta; 3],
        evacuated: BTreeSet<String>,
        /// Of the resulting table.
        digest: [u8; digest::LENGTH],
        /// Where it changed.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        membership: Option<ProxyMembership>,
    },
}

/// What to change in a table: names of rows that are removed, and rows that are new or have other values.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct TableDelta {
    #[serde(rename = "gone")]
    pub removed: Vec<String>,
    #[serde(rename = "set")]
    pub changed: Vec<(String, String)>,
}
