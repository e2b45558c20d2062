//! Disk of a controller with its writer thread. Of the queued states only the newest is written; a write
//! in progress may be lost when the process stops.

use lynxstair::types::{Span, Time};
use lynxstair_consensus::PersistentState;
use lynxstair_protocol::messages::Instance;

/// Delay of a retry while the disk is full.
const FULL_DISK_RETRY_DELAY: Span = Span::from_millis(50);

#[derive(Debug)]
pub(crate) struct Disk {
    /// Newest state on the disk.
    synced: Option<PersistentState>,
    /// Last saved reports on worker instances.
    pub instances: Vec<Instance>,
    queued: Option<(u64, PersistentState)>,
    writing: Option<(u64, PersistentState)>,
    /// Duration of a write, including the sync.
    pub write_duration: Span,
    /// No write completes before then.
    pub hangs_until: Time,
    /// Writes fail before then.
    pub full_until: Time,
}

impl Disk {
    pub fn empty() -> Disk {
        Disk {
            synced: None,
            instances: Vec::new(),
            queued: None,
            writing: None,
            write_duration: Span::from_millis(1),
            hangs_until: Time::default(),
            full_until: Time::default(),
        }
    }

    pub fn load(&self) -> Option<PersistentState> {
        self.synced.clone()
    }

    /// Queues a write in place of the one queued before. Returns `true` if no write is in progress.
    pub fn queue_write(&mut self, number: u64, state: PersistentState) -> bool {
        self.queued = Some((number, state));
        self.writing.is_none()
    }

    /// Begins the next write, or retries the current one. Returns the time at which it ends, or is retried
    /// if the disk is full. `None` if there is nothing to write.
    pub fn begin_write(&mut self, now: Time) -> Option<Time> {
        if self.writing.is_none() {
            self.writing = self.queued.take();
        }
        self.writing.as_ref()?;
        if now < self.full_until {
            return Some(now + FULL_DISK_RETRY_DELAY);
        }
        Some((now + self.write_duration).max(self.hangs_until))
    }

    /// Ends a write and returns its number if it was synced. Without `keeps_votes`, a change of the term
    /// alone is reported as synced but not stored.
    pub fn finish_write(&mut self, now: Time, keeps_votes: bool) -> Option<u64> {
        if now < self.full_until || now < self.hangs_until {
            return None;
        }
        let (number, state) = self.writing.take()?;
        let is_vote =
            self.synced.as_ref().is_some_and(|synced| synced.last == state.last && synced.term != state.term);
        if keeps_votes || !is_vote {
            self.synced = Some(state);
        }
        Some(number)
    }

    /// Drops the queued write after the end of the process or a loss of power. `is_completed` decides
    /// whether the write in progress reached the disk.
    pub fn abort_writes(&mut self, is_completed: bool) {
        if let Some((_, state)) = self.writing.take().filter(|_| is_completed) {
            self.synced = Some(state);
        }
        self.queued = None;
    }

    pub fn wipe(&mut self) {
        (self.synced, self.queued, self.writing) = (None, None, None);
        self.instances.clear();
    }
}
