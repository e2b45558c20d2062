//! Disk writer: a thread of its own that writes to the store, so that a slow disk blocks nothing else. A
//! pending write is replaced by a later one, so the queue does not grow if the disk hangs.

use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::Duration;

use log::{info, warn};
use lynxstair::types::{Span, Time};
use lynxstair_consensus::PersistentState;
use lynxstair_net::clock::Clock;

use crate::storage::{StorageError, Store};

/// Delay before a failed write is retried.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Minimum interval between log messages about a continuing failure.
const LOG_INTERVAL: Span = Span::from_millis(5_000);

/// Writes that have not started.
#[derive(Default)]
struct PendingWrites {
    /// Newest state, with the number of its write.
    state: Option<(u64, PersistentState)>,
    /// Encoded instances.
    instances: Option<Vec<u8>>,
}

/// Queue of the disk writer, with at most one write of each kind.
#[derive(Default)]
pub struct DiskQueue {
    pending: Mutex<PendingWrites>,
    not_empty: Condvar,
}

impl DiskQueue {
    fn pending(&self) -> MutexGuard<'_, PendingWrites> {
        self.pending.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Enqueues a state; `number` is reported once it is synced. Replaces a state whose write has not
    /// started, as the new one covers it.
    pub fn write_state(&self, number: u64, state: PersistentState) {
        self.pending().state = Some((number, state));
        self.not_empty.notify_one();
    }

    /// Enqueues the encoded instances. Replaces those whose write has not started.
    pub fn write_instances(&self, instances: Vec<u8>) {
        self.pending().instances = Some(instances);
        self.not_empty.notify_one();
    }

    /// Waits for pending writes and removes them from the queue.
    fn take(&self) -> PendingWrites {
        let mut pending = self.pending();
        while pending.state.is_none() && pending.instances.is_none() {
            pending = self.not_empty.wait(pending).unwrap_or_else(|e| e.into_inner());
        }
        std::mem::take(&mut *pending)
    }
}

/// Start of the current series of write failures, and the time of its last log message.
#[derive(Default)]
struct FailureLog(Option<(Time, Time)>);

impl FailureLog {
    fn on_failure(&mut self, now: Time, error: &StorageError) {
        let (since, logged_at) = self.0.unwrap_or((now, now));
        let is_due = self.0.is_none() || now - logged_at >= LOG_INTERVAL;
        if is_due {
            let for_s = (now - since).secs();
            warn!(error = error.to_string(), for_s = for_s; "state write failed");
        }
        self.0 = Some((since, if is_due { now } else { logged_at }));
    }

    fn on_success(&mut self, now: Time) {
        if let Some((since, _)) = self.0.take() {
            info!(for_s = (now - since).secs(); "state writes succeed again");
        }
    }
}

/// Runs the disk writer; never returns. Calls `on_persisted` with the number of each state that is synced.
pub fn run(queue: &Arc<DiskQueue>, mut store: Box<dyn Store>, clock: Clock, on_persisted: impl Fn(u64)) {
    let mut failures = FailureLog::default();
    loop {
        let PendingWrites { mut state, instances } = queue.take();
        // The state is written first, because the consensus waits for it.
        while let Some((number, unwritten)) = state.take() {
            match store.save(&unwritten) {
                Ok(()) => {
                    failures.on_success(clock.now());
                    on_persisted(number);
                }
                Err(error) => {
                    failures.on_failure(clock.now(), &error);
                    thread::sleep(RETRY_DELAY);
                    let newer = queue.pending().state.take();
                    state = newer.or(Some((number, unwritten)));
                }
            }
        }
        if let Some(Err(error)) = instances.map(|encoded| store.save_instances(&encoded)) {
            warn!(error = error.to_string(); "instance write failed");
        }
    }
}
