//! Disk writer: a thread of its own that writes to the store, so that a slow disk blocks nothing else. A
//! pending write is replaced by a later one, so the queue does not grow if the disk hangs.

use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::Duration;

use log::{info, warn};
use lynxstair::types::{Span, Time};
use lynxstair_consensus::PersistentState;
use lynxstair_net::clock::Clock;

use crate::storage::{DepartureChanges, StorageError, Store};

/// Delay before a failed write is retried.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Minimum interval between log messages about a continuing failure.
const LOG_INTERVAL: Span = Span::from_millis(5_000);

/// Writes that have not started.
#[derive(Default)]
struct PendingWrites {
    /// Newest state, with the number of its write.
    state: Option<(u64, PersistentState)>,
    /// Departures of instances.
    departures: DepartureChanges,
    /// Encoded instances.
    instances: Option<Vec<u8>>,
}

impl PendingWrites {
    fn is_empty(&self) -> bool {
        self.state.is_none() && self.departures.is_empty() && self.instances.is_none()
    }
}

/// A completed write, synced to disk.
pub enum Written {
    /// The state with this number.
    State(u64),
    /// The departures of the instances with these ids.
    Departures(Vec<String>),
}

/// Queue of the disk writer, with at most one write of each kind. All departures that are reported during a
/// write are written together by the next one.
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

    /// Enqueues changes of the stored departures.
    pub fn write_departures(&self, changes: DepartureChanges) {
        if !changes.is_empty() {
            self.pending().departures.append(changes);
            self.not_empty.notify_one();
        }
    }

    /// Enqueues the encoded instances. Replaces those whose write has not started.
    pub fn write_instances(&self, instances: Vec<u8>) {
        self.pending().instances = Some(instances);
        self.not_empty.notify_one();
    }

    /// Enqueues changes whose write has failed, before those enqueued since.
    fn retry_departures(&self, mut failed: DepartureChanges) {
        let mut pending = self.pending();
        failed.append(std::mem::take(&mut pending.departures));
        pending.departures = failed;
    }

    /// Waits for pending writes and removes them from the queue.
    fn take(&self) -> PendingWrites {
        let mut pending = self.pending();
        while pending.is_empty() {
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

/// Runs the disk writer; never returns. Calls `on_written` for each state and all departures that are synced.
pub fn run(queue: &Arc<DiskQueue>, store: Box<dyn Store>, clock: Clock, on_written: impl Fn(Written)) {
    let mut writer = DiskWriter { queue, store, clock, failures: FailureLog::default() };
    loop {
        let PendingWrites { state, departures, instances } = queue.take();
        // The state is written first, because the consensus waits for it.
        if let Some((number, state)) = state {
            on_written(Written::State(writer.write_state(number, state)));
        }
        if !departures.is_empty()
            && let Some(ids) = writer.write_departures(departures)
        {
            on_written(Written::Departures(ids));
        }
        if let Some(encoded) = instances {
            writer.write_instances(&encoded);
        }
    }
}

/// The store and the log of its failures.
struct DiskWriter<'a> {
    queue: &'a DiskQueue,
    store: Box<dyn Store>,
    clock: Clock,
    failures: FailureLog,
}

impl DiskWriter<'_> {
    /// Writes a state, or one that replaces it if the write fails. Retries until a write succeeds, and returns
    /// its number.
    fn write_state(&mut self, mut number: u64, mut state: PersistentState) -> u64 {
        while let Err(error) = self.store.save(&state) {
            self.failures.on_failure(self.clock.now(), &error);
            thread::sleep(RETRY_DELAY);
            if let Some(newer) = self.queue.pending().state.take() {
                (number, state) = newer;
            }
        }
        self.failures.on_success(self.clock.now());
        number
    }

    /// Writes departures and returns the ids of the added ones. After a failure they are enqueued again.
    fn write_departures(&mut self, departures: DepartureChanges) -> Option<Vec<String>> {
        if let Err(error) = self.store.save_departures(&departures) {
            self.failures.on_failure(self.clock.now(), &error);
            self.queue.retry_departures(departures);
            thread::sleep(RETRY_DELAY);
            return None;
        }
        self.failures.on_success(self.clock.now());
        Some(departures.added.into_iter().map(|instance| instance.id).collect())
    }

    fn write_instances(&mut self, encoded: &[u8]) {
        if let Err(error) = self.store.save_instances(encoded) {
            warn!(error = error.to_string(); "instance write failed");
        }
    }
}
