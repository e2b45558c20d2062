//! The record as the first landing wrote it, of 2026-12-02: one row, members without disks. Read once, after an update
//! of the programs: a hut that took it for nothing would count as emptied, and all of them together would lose the book.

use std::net::SocketAddr;

use lynxstair_consensus::Record;
use lynxstair_protocol::consensus::{LogId, Member, State};
use lynxstair_protocol::messages::Bytes;
use rusqlite::{Connection, OptionalExtension};
use serde::Deserialize;

#[derive(Deserialize)]
struct Old {
    term: u64,
    vote: Option<SocketAddr>,
    stamp: LogId,
    state: OldState,
    /// A number drawn when the disk was found emptied, until it was let in again.
    lost: Option<u64>,
}

#[derive(Deserialize)]
struct OldState {
    members: Vec<SocketAddr>,
    book: Bytes,
}

/// What the database holds in that shape; None where there is no such table, or nothing in it.
pub fn read(connection: &Connection) -> Result<Option<Record>, String> {
    let fail = |e: rusqlite::Error| e.to_string();
    let table = "SELECT count(*) FROM sqlite_master WHERE type = 'table' AND name = 'record'";
    if connection.query_row(table, [], |r| r.get::<_, i64>(0)).map_err(fail)? == 0 {
        return Ok(None);
    }
    let row = connection.query_row("SELECT held FROM record", [], |r| r.get::<_, Vec<u8>>(0));
    let Some(held) = row.optional().map_err(fail)? else { return Ok(None) };
    let old: Old = ciborium::from_reader(&held[..]).map_err(|e| e.to_string())?;
    // One that was emptied and not let in yet has no vote under the number that it drew; the others are the founders.
    let voters = old.state.members.into_iter().map(|node| Member { node, disk: 0 }).collect();
    Ok(Some(Record {
        disk: old.lost.unwrap_or(0),
        term: old.term,
        vote: old.vote,
        last: old.stamp,
        state: State { voters, outgoing: None, book: old.state.book },
    }))
}
