//! What the records of a member amount to: read at the start, and written anew when the file grows long.

use std::collections::BTreeMap;

use lynxstair_membership::{Incarnation, KnownMember, Notice, Record};

/// A record that this program does not know; a newer one wrote it.
#[derive(Debug, thiserror::Error)]
#[error("record {number} is of a kind this program does not know: {source}")]
pub struct UnknownRecord {
    number: usize,
    source: serde_json::Error,
}

/// Everything that membership keeps on disk.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct MembershipRecords {
    pub last_incarnation: Option<Incarnation>,
    pub known_members: Vec<KnownMember>,
    /// The last notice of each member.
    notices: BTreeMap<String, Notice>,
}

impl MembershipRecords {
    /// Decodes the records of a file, in their order.
    pub fn decode(records: &[Vec<u8>]) -> Result<Self, UnknownRecord> {
        let mut all = MembershipRecords::default();
        for (number, bytes) in (1..).zip(records) {
            let record = serde_json::from_slice(bytes).map_err(|source| UnknownRecord { number, source })?;
            all.apply(record);
        }
        Ok(all)
    }

    /// Takes in one more record.
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

    /// The fewest records that amount to the same.
    pub fn encode(&self) -> Vec<Vec<u8>> {
        let began = self.last_incarnation.map(|incarnation| Record::IncarnationStarted { incarnation });
        let known = Record::Members { known: self.known_members.clone() };
        let notices = self.notices().into_iter().map(|notice| Record::Notice { notice });
        began.into_iter().chain([known]).chain(notices).map(|record| encode(&record)).collect()
    }
}

/// A record as it is stored.
pub(crate) fn encode(record: &Record) -> Vec<u8> {
    serde_json::to_vec(record).expect("a record is plain data")
}

#[cfg(test)]
mod tests;
