//! The disk's thread: nothing else waits for the disk. It is handed the newest of what is to lie there; what a later
//! one replaces before its turn is never written, so a disk that hangs piles nothing up.

use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::Duration;

use log::{info, warn};
use lynxstair::types::{Span, Time};
use lynxstair_consensus::Record;

use crate::hut::Hut;
use crate::store::Store;

/// A write that was refused is tried again after so long, and logged again after so long.
const AGAIN: Duration = Duration::from_millis(50);
const SAID: Span = Span::from_millis(5_000);

/// What is to be written.
#[derive(Default)]
struct Pending {
    book: Option<(u64, Record)>,
    lives: Option<Vec<u8>>,
}

#[derive(Default)]
pub struct Disk {
    pending: Mutex<Pending>,
    filled: Condvar,
}

impl Disk {
    fn pending(&self) -> MutexGuard<'_, Pending> {
        self.pending.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// A record holds all before it, so the newest stands for all.
    pub fn keep_book(&self, number: u64, record: Record) {
        self.pending().book = Some((number, record));
        self.filled.notify_one();
    }

    pub fn keep_lives(&self, lives: Vec<u8>) {
        self.pending().lives = Some(lives);
        self.filled.notify_one();
    }

    /// Waits until there is something.
    fn take(&self) -> Pending {
        let mut pending = self.pending();
        while pending.book.is_none() && pending.lives.is_none() {
            pending = self.filled.wait(pending).unwrap_or_else(|e| e.into_inner());
        }
        std::mem::take(&mut *pending)
    }
}

/// Since when the disk refuses the book, and when that was logged last.
#[derive(Default)]
struct Refusing(Option<(Time, Time)>);

impl Refusing {
    fn refused(&mut self, now: Time, error: &str) {
        let (since, said_at) = self.0.unwrap_or((now, now));
        let is_due = self.0.is_none() || now - said_at >= SAID;
        if is_due {
            warn!(error = error, for_s = (now - since).secs(); "the disk refuses the book");
        }
        self.0 = Some((since, if is_due { now } else { said_at }));
    }

    fn taken(&mut self, now: Time) {
        if let Some((since, _)) = self.0.take() {
            info!(for_s = (now - since).secs(); "the disk takes the book again");
        }
    }
}

impl Hut {
    /// Writes for as long as the process runs.
    pub fn write(self: &Arc<Self>, mut store: Box<dyn Store>) {
        let mut refusing = Refusing::default();
        loop {
            let Pending { mut book, lives } = self.disk.take();
            // The book goes first.
            while let Some((number, record)) = book.take() {
                let saved = store.save(&record);
                let now = self.alarms.now();
                match saved {
                    Ok(()) => {
                        refusing.taken(now);
                        let mut rooms = self.rooms();
                        rooms.cairn.saved(now, number);
                        self.act(now, &mut rooms);
                    }
                    Err(e) => {
                        refusing.refused(now, &e);
                        thread::sleep(AGAIN);
                        let newer = self.disk.pending().book.take();
                        book = newer.or(Some((number, record)));
                    }
                }
            }
            if let Some(Err(e)) = lives.map(|held| store.save_lives(&held)) {
                warn!(error = e; "the disk refuses the workers' lives");
            }
        }
    }
}
