//! The disk writer: a thread that nothing else waits for. It is handed the newest of what is to be stored; what a later one
//! replaces before its turn is never written, so a disk that hangs piles nothing up.

use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::Duration;

use log::{info, warn};
use lynxstair::types::{Span, Time};
use lynxstair_consensus::PersistentState;
use lynxstair_net::clock::Clock;

use crate::storage::{StorageError, Store};

/// The pause before a failed write is retried.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// How often a failure that lasts is logged.
const LOG_INTERVAL: Span = Span::from_millis(5_000);

/// What is to be written.
#[derive(Default)]
struct PendingWrites {
    state: Option<(u64, PersistentState)>,
    instances: Option<Vec<u8>>,
}

/// Hands writes to the disk writer.
#[derive(Default)]
pub struct DiskQueue {
    pending: Mutex<PendingWrites>,
    is_filled: Condvar,
}

impl DiskQueue {
    fn pending(&self) -> MutexGuard<'_, PendingWrites> {
        self.pending.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Has a state written, by the number that completes it. It replaces one whose write has not begun, as it holds all
    /// that came before.
    pub fn write_state(&self, number: u64, state: PersistentState) {
        self.pending().state = Some((number, state));
        self.is_filled.notify_one();
    }

    /// Has the encoded instances written.
    pub fn write_instances(&self, instances: Vec<u8>) {
        self.pending().instances = Some(instances);
        self.is_filled.notify_one();
    }

    /// Waits until there is something to write.
    fn take(&self) -> PendingWrites {
        let mut pending = self.pending();
        while pending.state.is_none() && pending.instances.is_none() {
            pending = self.is_filled.wait(pending).unwrap_or_else(|e| e.into_inner());
        }
        std::mem::take(&mut *pending)
    }
}

/// Since when the disk refuses writes, and when that was last logged.
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

/// Writes for as long as the process runs. `on_persisted` is told the number of each state that is synced.
pub fn run(queue: &Arc<DiskQueue>, mut store: Box<dyn Store>, clock: Clock, on_persisted: impl Fn(u64)) {
    let mut failures = FailureLog::default();
    loop {
        let PendingWrites { mut state, instances } = queue.take();
        // The consensus waits for the state, nobody for the instances.
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
