//! Background thread that writes records, so that callers do not block on the disk.

use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread::{self, JoinHandle};

use crate::error::Error;
use crate::record_log::RecordLog;

/// Maximum number of records in the queue.
const MAX_QUEUED_RECORDS: usize = 256;
/// File length above which the file is rewritten.
const REWRITE_THRESHOLD_BYTES: u64 = 1 << 20;

/// Callback for the result of an append, with the context passed to [`Writer::append`]. Runs on the
/// writer's thread.
pub type OnWritten<T> = Box<dyn Fn(T, Result<(), Error>) + Send>;

/// Returns the records to keep when a long file is rewritten. Runs on the writer's thread.
pub type RetainedRecords = Box<dyn Fn() -> Vec<Vec<u8>> + Send>;

enum Task<T> {
    Append { context: T, content: Vec<u8> },
    Finish,
}

/// Appends records in order on its own thread.
pub struct Writer<T> {
    tasks: SyncSender<Task<T>>,
    thread: Option<JoinHandle<()>>,
}

impl<T: Send + 'static> Writer<T> {
    /// Starts the thread that writes to `log`. A file longer than 1 MiB is rewritten with the records that
    /// `retained` returns.
    ///
    /// # Errors
    /// If the thread can't be started.
    pub fn start(
        log: RecordLog,
        on_written: OnWritten<T>,
        retained: RetainedRecords,
    ) -> std::io::Result<Self> {
        let (tasks, queue) = sync_channel(MAX_QUEUED_RECORDS);
        let thread = thread::Builder::new().name("ledger".to_string());
        let thread = thread.spawn(move || run(log, &queue, &on_written, &retained))?;
        Ok(Writer { tasks, thread: Some(thread) })
    }

    /// Queues a record. Returns `false`, without a later callback, if the queue is full or the thread has
    /// ended.
    pub fn append(&self, context: T, content: Vec<u8>) -> bool {
        match self.tasks.try_send(Task::Append { context, content }) {
            Ok(()) => true,
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => false,
        }
    }

    /// Writes all queued records and ends the thread.
    pub fn finish(mut self) {
        let _ = self.tasks.send(Task::Finish);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn run<T>(
    mut log: RecordLog,
    queue: &Receiver<Task<T>>,
    on_written: &OnWritten<T>,
    retained: &RetainedRecords,
) {
    while let Ok(Task::Append { context, content }) = queue.recv() {
        let result = log.append(&content).map(drop);
        if result.is_ok() && log.len() > REWRITE_THRESHOLD_BYTES {
            // The record is already on disk; if the rewrite fails, appends go on to the long file.
            let _ = log.rewrite(&retained());
        }
        on_written(context, result);
    }
}
