//! A thread that waits for the disk, so that nobody else does.

use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread::{self, JoinHandle};

use crate::file::{Error, Ledger};

/// So many records may wait to be written.
const WAITING: usize = 256;
/// A file longer than so many bytes is written anew.
const LONG: u64 = 1 << 20;

/// What became of a record, told on the writer's thread.
pub type Written<T> = Box<dyn Fn(T, Result<(), Error>) + Send>;

/// What a file that grew long is to hold instead.
type Kept = Box<dyn Fn() -> Vec<Vec<u8>> + Send>;

enum Task<T> {
    Put { ticket: T, recorded: Vec<u8> },
    End,
}

/// Writes records in the order they were given, on a thread of its own.
pub struct Writer<T> {
    tasks: SyncSender<Task<T>>,
    thread: Option<JoinHandle<()>>,
}

impl<T: Send + 'static> Writer<T> {
    /// Takes the ledger over. `written` is called for each record; `kept` tells what a file that grew over 1
    /// MiB is to hold instead.
    ///
    /// # Errors
    /// Where no thread can be had.
    pub fn start(ledger: Ledger, written: Written<T>, kept: Kept) -> std::io::Result<Self> {
        let (tasks, todo) = sync_channel(WAITING);
        let thread = thread::Builder::new().name("ledger".to_string());
        let thread = thread.spawn(move || write(ledger, &todo, &written, &kept))?;
        Ok(Writer { tasks, thread: Some(thread) })
    }

    /// Has a record written. False, and nothing will be told of it, where too many wait already.
    pub fn put(&self, ticket: T, recorded: Vec<u8>) -> bool {
        match self.tasks.try_send(Task::Put { ticket, recorded }) {
            Ok(()) => true,
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => false,
        }
    }

    /// Writes what waits, and ends.
    pub fn end(mut self) {
        let _ = self.tasks.send(Task::End);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn write<T>(mut ledger: Ledger, todo: &Receiver<Task<T>>, written: &Written<T>, kept: &Kept) {
    while let Ok(Task::Put { ticket, recorded }) = todo.recv() {
        let put = ledger.append(&recorded).map(drop);
        if put.is_ok() && ledger.len() > LONG {
            // The record is in the file already; where the disk has no room the long file goes on.
            let _ = ledger.rewrite(&kept());
        }
        written(ticket, put);
    }
}
