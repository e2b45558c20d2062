//! What the records of a member come to: read at the start, and written anew when the file grows long.

use std::collections::BTreeMap;

use lynxstair_membership::{Incarnation, Known, Notice, Record};

/// All that is kept.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Kept {
    pub last: Option<Incarnation>,
    pub known: Vec<Known>,
    /// The last of each member; only what lasts is written.
    notices: BTreeMap<String, Notice>,
}

impl Kept {
    /// # Errors
    /// Where a record can't be understood: written by a newer program.
    pub fn read(records: &[Vec<u8>]) -> Result<Self, String> {
        let mut kept = Kept::default();
        for (number, recorded) in (1..).zip(records) {
            let record = serde_json::from_slice(recorded)
                .map_err(|e| format!("record {number} is of a kind this program does not know: {e}"))?;
            kept.take_in(record);
        }
        Ok(kept)
    }

    pub fn take_in(&mut self, record: Record) {
        match record {
            Record::Began { incarnation } => self.last = self.last.max(Some(incarnation)),
            Record::Members { known } => self.known = known,
            Record::Notice { notice } => {
                self.notices.insert(notice.name().as_str().to_string(), notice);
            }
        }
    }

    pub fn notices(&self) -> Vec<Notice> {
        self.notices.values().cloned().collect()
    }

    /// The records that come to the same.
    pub fn records(&self) -> Vec<Vec<u8>> {
        let began = self.last.map(|incarnation| Record::Began { incarnation });
        let known = Record::Members { known: self.known.clone() };
        let notices = self.notices().into_iter().map(|notice| Record::Notice { notice });
        began.into_iter().chain([known]).chain(notices).map(|r| written(&r)).collect()
    }
}

pub(crate) fn written(record: &Record) -> Vec<u8> {
    serde_json::to_vec(record).expect("plain data")
}

#[cfg(test)]
mod tests;
