//! List of workers from discovery: assigns identifiers to workers and translates messages into updates.

use std::collections::HashMap;
use std::fmt;
use std::net::{AddrParseError, SocketAddr};

use lynxstair::types::{CellId, KindId, ListUpdate, Span, Time, WorkerId, WorkerInfo, WorkerPhase, ZoneId};
use lynxstair_net::log_limited;
use lynxstair_settings::Names;
use serde::Deserialize;

/// Message from discovery: all workers or the changed ones. Unknown keys are ignored.
#[derive(Deserialize, Default, Clone)]
#[serde(default)]
pub struct ListMessage {
    /// Revision of the list; increases with each change.
    pub revision: u64,
    /// `true` if the message contains all workers.
    pub complete: bool,
    members: Vec<ListEntry>,
}

/// A worker in a message.
#[derive(Deserialize, Default, Clone)]
#[serde(default)]
struct ListEntry {
    id: String,
    host_port: Option<String>,
    locality: String,
    flavor: String,
    cell: u16,
    phase: String,
    size: Option<f32>,
    up_since_ms: u64,
}

/// Reason for ignoring an entry.
enum EntryError {
    UnknownPhase(String),
    NoAddress,
    BadAddress(String, AddrParseError),
}

impl fmt::Display for EntryError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            EntryError::UnknownPhase(phase) => write!(f, "unknown phase {phase:?}"),
            EntryError::NoAddress => f.write_str("no address"),
            EntryError::BadAddress(address, source) => write!(f, "{address:?}: {source}"),
        }
    }
}

/// Change of a worker's endpoint.
pub enum EndpointChange {
    /// The worker was added or updated.
    Update {
        /// Identifier of the worker.
        worker: WorkerId,
        /// Address for requests.
        address: SocketAddr,
        /// `true` if the worker accepts no new requests.
        is_draining: bool,
    },
    /// The worker was removed.
    Remove(WorkerId),
}

/// Update of the list of workers.
pub struct WorkerListUpdate {
    /// Scope of the update.
    pub kind: ListUpdate,
    /// Entries for the decision module.
    pub entries: Vec<WorkerInfo>,
    /// Changes for the connection pool: removals by a complete message, then the entries in order.
    pub endpoints: Vec<EndpointChange>,
}

/// Workers known from discovery.
pub struct WorkerList {
    names: Names,
    revision: u64,
    /// Identifiers of workers by their ids in messages. An identifier is never reused.
    ids: HashMap<String, WorkerId>,
    last_id: u64,
}

impl WorkerList {
    /// Creates an empty list. `names` are those of the settings.
    pub fn new(names: Names) -> Self {
        WorkerList { names, revision: 0, ids: HashMap::new(), last_id: 0 }
    }

    /// Revision of the last message applied.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Applies a message; returns `None` if it is outdated. `is_cached` marks a list that may be stale.
    pub fn apply(&mut self, message: &ListMessage, is_cached: bool) -> Option<WorkerListUpdate> {
        // While there are two watches, the previous one may send changes late. They must not undo newer ones.
        if !message.complete && message.revision > 0 && message.revision <= self.revision {
            return None;
        }
        self.revision = message.revision;
        let kind = match (is_cached, message.complete) {
            (true, _) => ListUpdate::Cached,
            (false, true) => ListUpdate::Full,
            (false, false) => ListUpdate::Delta,
        };
        let entries = Vec::with_capacity(message.members.len());
        let mut update = WorkerListUpdate { kind, entries, endpoints: Vec::new() };
        if message.complete {
            let is_removed = |id: &String| !message.members.iter().any(|entry| entry.id == *id);
            let removed = self.ids.extract_if(|id, _| is_removed(id));
            update.endpoints.extend(removed.map(|(_, worker)| EndpointChange::Remove(worker)));
        }
        for entry in &message.members {
            if let Err(error) = self.apply_entry(entry, &mut update) {
                log_limited!("worker list entry {} ignored: {error}", entry.id);
            }
        }
        Some(update)
    }

    fn apply_entry(&mut self, entry: &ListEntry, update: &mut WorkerListUpdate) -> Result<(), EntryError> {
        let phase = match entry.phase.as_str() {
            "SERVING" => WorkerPhase::Ready,
            "DRAINING" => WorkerPhase::Draining,
            "DELETED" => WorkerPhase::Removed,
            other => return Err(EntryError::UnknownPhase(other.to_string())),
        };
        if phase == WorkerPhase::Removed {
            if let Some(worker) = self.ids.remove(&entry.id) {
                update.endpoints.push(EndpointChange::Remove(worker));
                update.entries.push(self.worker_info(entry, worker, phase));
            }
            return Ok(());
        }
        let address = entry.host_port.as_deref().ok_or(EntryError::NoAddress)?;
        let address = address.parse().map_err(|e| EntryError::BadAddress(address.to_string(), e))?;
        let worker = self.worker_id(&entry.id);
        let is_draining = phase == WorkerPhase::Draining;
        update.endpoints.push(EndpointChange::Update { worker, address, is_draining });
        update.entries.push(self.worker_info(entry, worker, phase));
        Ok(())
    }

    fn worker_id(&mut self, id: &str) -> WorkerId {
        if let Some(known) = self.ids.get(id) {
            return *known;
        }
        self.last_id += 1;
        let worker = WorkerId(self.last_id);
        self.ids.insert(id.to_string(), worker);
        worker
    }

    fn worker_info(&self, entry: &ListEntry, worker: WorkerId, phase: WorkerPhase) -> WorkerInfo {
        // All names that are missing in the settings share an index that no other name has.
        let index = |names: &[String], name: &str| {
            names.iter().position(|n| n == name).map_or(u16::MAX, |n| n as u16)
        };
        let started = Some(Span::from_millis(entry.up_since_ms)).filter(|since| *since > Span::ZERO);
        WorkerInfo {
            worker,
            zone: ZoneId(index(&self.names.zones, &entry.locality)),
            kind: KindId(index(&self.names.kinds, &entry.flavor)),
            cell: CellId(entry.cell),
            phase,
            weight: entry.size.unwrap_or(1.0),
            started_at: started.map(|since| Time::from_nanos(since.nanos())),
        }
    }
}
