//! Membership state on disk: replayed from its records at start-up and used to compact the file.

use std::collections::BTreeMap;

use lynxstair_membership::{Incarnation, KnownMember, Notice, Record};

/// Error for a record of an unknown kind, for instance one written by a newer version.
#[derive(Debug, thiserror::Error)]
#[error("record {number} is of an unknown kind: {source}")]
pub struct UnknownRecord {
    number: usize,
    source: serde_json::Error,
}

/// Membership state that is kept on disk.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct MembershipRecords {
    pub last_incarnation: Option<Incarnation>,
    pub known_members: Vec<KnownMember>,
    /// Latest notice about each member, by name.
    notices: BTreeMap<String, Notice>,
}

impl MembershipRecords {
    /// Replays the records of a file in order.
    ///
    /// # Errors
    /// If a record can't be decoded.
    pub fn decode(records: &[Vec<u8>]) -> Result<Self, UnknownRecord> {
        let mut state = MembershipRecords::default();
        for (number, bytes) in (1..).zip(records) {
            let record = serde_json::from_slice(bytes).map_err(|source| UnknownRecord { number, source })?;
            state.apply(record);
        }
        Ok(state)
    }

    /// Applies one record.
    pub fn apply(&mut self, record: Record) {
        match record {
            Record::IncarnationStarted { incarnation } => {
                self.last_incarnation = self.last_incarnation.max(Some(incarnation));
            }
            Record::Members { known } => self.known_members = known,
            Record::Notice { notice } => {
                self.notices.insert(notice.name().as_str().to_string(), notice);
            }
        }
    }

    pub fn notices(&self) -> Vec<Notice> {
        self.notices.values().cloned().collect()
    }

    /// Returns the smallest list of records that replays to this state.
    pub fn encode(&self) -> Vec<Vec<u8>> {
        let started = self.last_incarnation.map(|incarnation| Record::IncarnationStarted { incarnation });
        let known = Record::Members { known: self.known_members.clone() };
        let notices = self.notices().into_iter().map(|notice| Record::Notice { notice });
        started.into_iter().chain([known]).chain(notices).map(|record| encode(&record)).collect()
    }
}

/// Encodes a record as JSON.
pub(crate) fn encode(record: &Record) -> Vec<u8> {
    serde_json::to_vec(record).expect("a record is plain data")
}

#[cfg(test)]
mod tests;
