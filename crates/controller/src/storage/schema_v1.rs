//! The schema of the first landing, of 2026-12-02: one row, members without disk identities. Read once, after an update of
//! the programs: a controller that took it for nothing would count as emptied, and all of them together would lose the
//! configuration.

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
    /// A number drawn when the disk was found emptied, until it was let in again.
    lost: Option<u64>,
}

#[derive(Deserialize)]
struct ReplicatedStateV1 {
    members: Vec<SocketAddr>,
    book: Bytes,
}

/// What the database holds in that schema; None where there is no such table, or nothing in it.
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
    // One that was emptied and not let in yet has no vote under the number that it drew; the others are the founders.
    let voters = old.state.members.into_iter().map(|node| Member { node, disk: 0 }).collect();
    Ok(Some(PersistentState {
        disk: old.lost.unwrap_or(0),
        term: old.term,
        vote: old.vote,
        last: old.stamp,
        state: ReplicatedState { voters, outgoing_voter: None, config: old.state.book },
    }))
}
