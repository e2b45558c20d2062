//! A thread that waits for the disk, so that nobody else does.

use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread::{self, JoinHandle};

use crate::error::Error;
use crate::record_log::RecordLog;

/// How many records may wait to be written.
const MAX_WAITING: usize = 256;
/// A file longer than this is rewritten, in bytes.
const REWRITE_LEN: u64 = 1 << 20;

/// Is told what became of a record, by what the caller knows it by; on the writer's thread.
pub type OnWritten<T> = Box<dyn Fn(T, Result<(), Error>) + Send>;

/// What a file that grew long is to hold instead.
pub type RetainedRecords = Box<dyn Fn() -> Vec<Vec<u8>> + Send>;

enum Task<T> {
    Append { context: T, content: Vec<u8> },
    End,
}

/// Writes records in the order they were given, on a thread of its own.
pub struct Writer<T> {
    tasks: SyncSender<Task<T>>,
    thread: Option<JoinHandle<()>>,
}

impl<T: Send + 'static> Writer<T> {
    /// Takes the log over. `retained` says what a file that grew over 1 MiB is to hold instead.
    ///
    /// # Errors
    /// Where no thread can be had.
    pub fn start(
        log: RecordLog,
        on_written: OnWritten<T>,
        retained: RetainedRecords,
    ) -> std::io::Result<Self> {
        let (tasks, queue) = sync_channel(MAX_WAITING);
        let thread = thread::Builder::new().name("ledger".to_string());
        let thread = thread.spawn(move || run(log, &queue, &on_written, &retained))?;
        Ok(Writer { tasks, thread: Some(thread) })
    }

    /// Has a record appended. False, and nothing is reported of it, where too many wait already.
    pub fn append(&self, context: T, content: Vec<u8>) -> bool {
        match self.tasks.try_send(Task::Append { context, content }) {
            Ok(()) => true,
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => false,
        }
    }

    /// Writes what waits, and ends.
    pub fn finish(mut self) {
        let _ = self.tasks.send(Task::End);
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
        if result.is_ok() && log.len() > REWRITE_LEN {
            // The record is in the file already; where the disk has no room the long file goes on.
            let _ = log.rewrite(&retained());
        }
        on_written(context, result);
    }
}
