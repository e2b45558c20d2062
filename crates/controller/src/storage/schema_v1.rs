//! Reads the first database schema, which has one row and members without disk identities. Used at the
//! first start after an upgrade from it: if all controllers ignored the old table, the configuration would
//! be lost.

use std::net::SocketAddr;

use lynxstair_consensus::PersistentState;
use lynxstair_protocol::consensus::{LogId, Member, ReplicatedState};
use lynxstair_protocol::messages::Bytes;
use rusqlite::{Connection, OptionalExtension};
use serde::Deserialize;

use super::Corruption;

#[derive(Deserialize)]
struct StateV1 {
    term: u64,
    vote: Option<SocketAddr>,
    stamp: LogId,
    state: ReplicatedStateV1,
    /// Random number generated when the disk was found emptied; `None` once the node was readmitted.
    lost: Option<u64>,
}

#[derive(Deserialize)]
struct ReplicatedStateV1 {
    members: Vec<SocketAddr>,
    book: Bytes,
}

/// Reads the state in this schema. Returns `None` if the table does not exist or is empty.
pub(super) fn read(connection: &Connection) -> Result<Option<PersistentState>, Corruption> {
    let table = "SELECT count(*) FROM sqlite_master WHERE type = 'table' AND name = 'record'";
    let tables = connection.query_row(table, [], |row| row.get::<_, i64>(0)).map_err(Corruption::Database)?;
    if tables == 0 {
        return Ok(None);
    }
    let row = connection.query_row("SELECT held FROM record", [], |row| row.get::<_, Vec<u8>>(0));
    let Some(encoded) = row.optional().map_err(Corruption::Database)? else { return Ok(None) };
    let old: StateV1 =
        ciborium::from_reader(&encoded[..]).map_err(|e| Corruption::Undecodable(e.to_string()))?;
    // The voters are the founding members, with disk identity 0. A node whose disk was emptied and that is
    // not yet a member again keeps its random number as disk identity, and so has no vote.
    let voters = old.state.members.into_iter().map(|node| Member { node, disk: 0 }).collect();
    Ok(Some(PersistentState {
        disk: old.lost.unwrap_or(0),
        term: old.term,
        vote: old.vote,
        last: old.stamp,
        state: ReplicatedState { voters, outgoing_voter: None, config: old.state.book },
    }))
}
