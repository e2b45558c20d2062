//! The list of workers as discovery tells it: numbers for names, and what a message changes.

use std::collections::HashMap;
use std::fmt;
use std::net::{AddrParseError, SocketAddr};

use lynxstair::types::{CellId, KindId, ListUpdate, Span, Time, WorkerId, WorkerInfo, WorkerPhase, ZoneId};
use lynxstair_net::log_limited;
use lynxstair_settings::Names;
use serde::Deserialize;

/// A message of discovery: all workers, or those that changed. Keys that are not known are ignored.
#[derive(Deserialize, Default, Clone)]
#[serde(default)]
pub struct ListMessage {
    /// Rises with each change.
    pub revision: u64,
    /// Whether it names all workers.
    pub complete: bool,
    members: Vec<Member>,
}

/// A worker as discovery tells it.
#[derive(Deserialize, Default, Clone)]
#[serde(default)]
struct Member {
    id: String,
    host_port: Option<String>,
    locality: String,
    flavor: String,
    cell: u16,
    phase: String,
    size: Option<f32>,
    up_since_ms: u64,
}

/// Why an entry of the list is ignored.
enum MemberError {
    UnknownPhase(String),
    NoAddress,
    BadAddress(String, AddrParseError),
}

impl fmt::Display for MemberError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            MemberError::UnknownPhase(phase) => write!(f, "unknown phase {phase:?}"),
            MemberError::NoAddress => f.write_str("no address"),
            MemberError::BadAddress(address, source) => write!(f, "{address:?}: {source}"),
        }
    }
}

/// What becomes of a worker's address.
pub enum EndpointChange {
    /// The worker is there.
    Update {
        /// Which worker.
        worker: WorkerId,
        /// Where it takes requests.
        address: SocketAddr,
        /// It takes nothing new.
        is_draining: bool,
    },
    /// The worker is gone.
    Remove(WorkerId),
}

/// What a message of discovery changes.
pub struct WorkerListUpdate {
    /// What the entries replace.
    pub kind: ListUpdate,
    /// The entries, for the decisions.
    pub entries: Vec<WorkerInfo>,
    /// The addresses, for the connections, in the order of the message.
    pub endpoints: Vec<EndpointChange>,
}

/// The workers that discovery has told of.
pub struct WorkerList {
    names: Names,
    revision: u64,
    /// Workers by the names that discovery gives them; numbers are never used twice.
    ids: HashMap<String, WorkerId>,
    last_id: u64,
}

impl WorkerList {
    /// An empty list. `names`: of the settings.
    pub fn new(names: Names) -> Self {
        WorkerList { names, revision: 0, ids: HashMap::new(), last_id: 0 }
    }

    /// The revision of the last message.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Takes over a message; None where it tells nothing new. `is_cached`: it may be old.
    pub fn apply(&mut self, message: &ListMessage, is_cached: bool) -> Option<WorkerListUpdate> {
        // Two watches tell the same changes, the old one late: what is known is not taken back.
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
            let is_gone = |id: &String| !message.members.iter().any(|member| member.id == *id);
            let gone = self.ids.extract_if(|id, _| is_gone(id));
            update.endpoints.extend(gone.map(|(_, worker)| EndpointChange::Remove(worker)));
        }
        for member in &message.members {
            if let Err(error) = self.apply_member(member, &mut update) {
                log_limited!("list: {}: {error}", member.id);
            }
        }
        Some(update)
    }

    fn apply_member(&mut self, member: &Member, update: &mut WorkerListUpdate) -> Result<(), MemberError> {
        let phase = match member.phase.as_str() {
            "SERVING" => WorkerPhase::Ready,
            "DRAINING" => WorkerPhase::Draining,
            "DELETED" => WorkerPhase::Removed,
            other => return Err(MemberError::UnknownPhase(other.to_string())),
        };
        if phase == WorkerPhase::Removed {
            if let Some(worker) = self.ids.remove(&member.id) {
                update.endpoints.push(EndpointChange::Remove(worker));
                update.entries.push(self.entry(member, worker, phase));
            }
            return Ok(());
        }
        let address = member.host_port.as_deref().ok_or(MemberError::NoAddress)?;
        let address = address.parse().map_err(|e| MemberError::BadAddress(address.to_string(), e))?;
        let worker = self.number(&member.id);
        let is_draining = phase == WorkerPhase::Draining;
        update.endpoints.push(EndpointChange::Update { worker, address, is_draining });
        update.entries.push(self.entry(member, worker, phase));
        Ok(())
    }

    fn number(&mut self, id: &str) -> WorkerId {
        if let Some(known) = self.ids.get(id) {
            return *known;
        }
        self.last_id += 1;
        let worker = WorkerId(self.last_id);
        self.ids.insert(id.to_string(), worker);
        worker
    }

    fn entry(&self, member: &Member, worker: WorkerId, phase: WorkerPhase) -> WorkerInfo {
        // A name that the settings do not have stands for a place of its own.
        let number = |names: &[String], name: &str| {
            names.iter().position(|n| n == name).map_or(u16::MAX, |n| n as u16)
        };
        let started = Some(Span::from_millis(member.up_since_ms)).filter(|since| *since > Span::ZERO);
        WorkerInfo {
            worker,
            zone: ZoneId(number(&self.names.zones, &member.locality)),
            kind: KindId(number(&self.names.kinds, &member.flavor)),
            cell: CellId(member.cell),
            phase,
            weight: member.size.unwrap_or(1.0),
            started_at: started.map(|since| Time::from_nanos(since.nanos())),
        }
    }
}
