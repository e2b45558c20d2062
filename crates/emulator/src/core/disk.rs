//! A controller's disk, and the thread of its process that writes to it: of what piled up only the newest is written, and
//! only what was synced outlives a loss of power for sure.

use lynxstair::types::{Span, Time};
use lynxstair_consensus::PersistentState;
use lynxstair_protocol::messages::Instance;

/// A write that the disk refused is tried again after so long.
const REFUSED: Span = Span::from_millis(50);

#[derive(Debug)]
pub(crate) struct Disk {
    kept: Option<PersistentState>,
    pub instances: Vec<Instance>,
    queued: Option<(u64, PersistentState)>,
    writing: Option<(u64, PersistentState)>,
    /// How long a write takes.
    pub sync: Span,
    /// Nothing comes back from it before then.
    pub hangs_until: Time,
    /// It takes nothing before then.
    pub full_until: Time,
}

impl Disk {
    pub fn empty() -> Disk {
        Disk {
            kept: None,
            instances: Vec::new(),
            queued: None,
            writing: None,
            sync: Span::from_millis(1),
            hangs_until: Time::default(),
            full_until: Time::default(),
        }
    }

    pub fn found(&self) -> Option<PersistentState> {
        self.kept.clone()
    }

    /// CallInput to write; whether the thread has to be woken for it.
    pub fn save(&mut self, number: u64, record: PersistentState) -> bool {
        self.queued = Some((number, record));
        self.writing.is_none()
    }

    /// Begins the next write, if there is one: when it ends.
    pub fn begin(&mut self, now: Time) -> Option<Time> {
        if self.writing.is_none() {
            self.writing = self.queued.take();
        }
        self.writing.as_ref()?;
        if now < self.full_until {
            return Some(now + REFUSED);
        }
        Some((now + self.sync).max(self.hangs_until))
    }

    /// The end of a write: its number where it is synced. `votes_kept` is false where a vote is only said to be.
    pub fn end(&mut self, now: Time, votes_kept: bool) -> Option<u64> {
        if now < self.full_until || now < self.hangs_until {
            return None;
        }
        let (number, record) = self.writing.take()?;
        let is_vote = self.kept.as_ref().is_some_and(|k| k.last == record.last && k.term != record.term);
        if votes_kept || !is_vote {
            self.kept = Some(record);
        }
        Some(number)
    }

    /// The process is gone, or the power: what was being written may have come to lie on the disk, or not.
    pub fn cut_short(&mut self, reached: bool) {
        if let Some((_, record)) = self.writing.take().filter(|_| reached) {
            self.kept = Some(record);
        }
        self.queued = None;
    }

    pub fn wipe(&mut self) {
        (self.kept, self.queued, self.writing) = (None, None, None);
        self.instances.clear();
    }
}
