//! The units this gatekeeper let through, durable until a sink has them. Segments of records in a folder of
//! their own; sealed ones are read by the owner of the duty `export` and let go of once they are at the sink.
//!
//! [`Uses::note`] runs on the coroutine thread, before a succeeded answer is handed to its client: one write of
//! 32 bytes to a file that is open already. A kill after it loses nothing that a client was told. Whatever may
//! wait for a disk (a new file, sync, reading, deleting) is done on a thread of its own.

use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use lynxstair::types::Time;
use lynxstair_export::{Batch, MOST_SUMS, Stream, USE_BYTES, Use, WINDOW_SECONDS};
use lynxstair_record_log::WriteFault;
use tracing::{error, info, warn};

use crate::side::lock;

/// A segment is sealed after so long, and before it holds so many uses.
const SEAL_EVERY: Duration = Duration::from_millis(500);
const SEGMENT: u64 = MOST_SUMS as u64;
/// So many sealed batches are held in memory; the rest lies on disk until there is room.
const IN_MEMORY: usize = 64;
/// So many uses that could not be written wait for the disk; what is over is counted as not recorded.
const WAITING: usize = 65_536;
/// No more bytes than so many lie on disk: about two million invocations. What is over is counted.
const MOST_BYTES: u64 = 64 << 20;

struct Open {
    file: File,
    number: u64,
    uses: u64,
    milli: u64,
    /// Not on disk yet, as it failed.
    waiting: Vec<[u8; USE_BYTES]>,
}

#[derive(Default)]
struct Sealed {
    batches: BTreeMap<u64, Arc<Batch>>,
    /// Numbers that lie on disk, sealed: bytes, and thousandths of a unit.
    on_disk: BTreeMap<u64, (u64, u64)>,
    /// The sink has all up to this one.
    had: u64,
}

/// What one gatekeeper has that is not at the sink yet.
pub struct Uses {
    stream: Stream,
    folder: PathBuf,
    open: Mutex<Open>,
    sealed: Mutex<Sealed>,
    failing: Option<WriteFault>,
    failed: AtomicBool,
    /// The room for uses is taken.
    full: AtomicBool,
    /// Succeeded invocations whose use is recorded nowhere.
    unrecorded: AtomicU64,
    noted: AtomicU64,
    /// Thousandths of a unit that the sink does not have yet.
    held: AtomicU64,
}

fn segment(folder: &Path, number: u64) -> PathBuf {
    folder.join(format!("{number:012}.uses"))
}

fn begin(folder: &Path, number: u64) -> io::Result<File> {
    let file = OpenOptions::new().create(true).append(true).open(segment(folder, number))?;
    File::open(folder)?.sync_all()?;
    Ok(file)
}

impl Uses {
    /// Opens the folder, made where it is not there, and begins the thread. `drawn` names the folder where it is
    /// new.
    ///
    /// # Errors
    /// Where it can't be read or written.
    pub(crate) fn start(
        folder: &Path,
        gatekeeper: &str,
        drawn: u64,
        failing: Option<WriteFault>,
    ) -> Result<Arc<Self>, String> {
        let why = |e: &dyn std::fmt::Display| format!("uses: {}: {e}", folder.display());
        fs::create_dir_all(folder).map_err(|e| why(&e))?;
        let name = folder.join("folder");
        let id = match fs::read_to_string(&name) {
            Ok(text) => u64::from_str_radix(text.trim(), 16).map_err(|_| why(&"file `folder` is damaged"))?,
            Err(e) if e.kind() == io::ErrorKind::NotFound => {
                let next = folder.join("folder.next");
                let write = || {
                    let mut file = File::create(&next)?;
                    writeln!(file, "{drawn:016x}")?;
                    file.sync_all()?;
                    fs::rename(&next, &name)?;
                    File::open(folder)?.sync_all()
                };
                write().map_err(|e| why(&e))?;
                drawn
            }
            Err(e) => return Err(why(&e)),
        };
        let mut on_disk = BTreeMap::new();
        for entry in fs::read_dir(folder).map_err(|e| why(&e))?.flatten() {
            let file = entry.file_name().to_string_lossy().into_owned();
            if let Some(number) = file.strip_suffix(".uses").and_then(|n| n.parse::<u64>().ok()) {
                let bytes = fs::read(entry.path()).map_err(|e| why(&e))?;
                let stream = Stream { gatekeeper: gatekeeper.to_string(), folder: id };
                let milli = Batch::of(stream, number, &bytes).milli();
                on_disk.insert(number, (bytes.len() as u64, milli));
            }
        }
        // The last one is never deleted before the next is there: numbers are never given twice.
        let number = on_disk.keys().next_back().map_or(1, |n| n + 1);
        let file = begin(folder, number).map_err(|e| why(&e))?;
        let held = on_disk.values().map(|(_, milli)| milli).sum();
        let uses = Arc::new(Uses {
            stream: Stream { gatekeeper: gatekeeper.to_string(), folder: id },
            folder: folder.to_path_buf(),
            open: Mutex::new(Open { file, number, uses: 0, milli: 0, waiting: Vec::new() }),
            sealed: Mutex::new(Sealed { on_disk, ..Sealed::default() }),
            failing,
            failed: AtomicBool::new(false),
            full: AtomicBool::new(false),
            unrecorded: AtomicU64::new(0),
            noted: AtomicU64::new(0),
            held: AtomicU64::new(held),
        });
        let keeping = uses.clone();
        thread::Builder::new()
            .name("uses".to_string())
            .spawn(move || {
                loop {
                    keeping.turn();
                    thread::sleep(SEAL_EVERY);
                }
            })
            .map_err(|e| why(&e))?;
        Ok(uses)
    }

    pub fn stream(&self) -> &Stream {
        &self.stream
    }

    /// A succeeded answer is about to be handed to its client.
    pub fn note(&self, now: Time, customer: u64, operation: u8, units: f32) {
        let window = (now.nanos() / 1_000_000_000 / WINDOW_SECONDS) as u32;
        let milli = (f64::from(units) * 1e3).round().clamp(0.0, f64::from(u32::MAX)) as u32;
        let written = Use { customer, operation, window, milli }.written();
        self.noted.fetch_add(1, Ordering::Relaxed);
        if self.full.load(Ordering::Relaxed) {
            self.unrecorded.fetch_add(1, Ordering::Relaxed);
            return;
        }
        let mut open = lock(&self.open);
        let fails =
            self.failed.load(Ordering::Relaxed) || self.failing.as_ref().is_some_and(|f| f().is_err());
        // Behind what waits already, nothing is written: the file must not be torn in the middle.
        if !fails && open.waiting.is_empty() && open.file.write_all(&written).is_ok() {
            open.uses += 1;
            open.milli += u64::from(milli);
            self.held.fetch_add(u64::from(milli), Ordering::Relaxed);
            return;
        }
        self.failed.store(true, Ordering::Relaxed);
        if open.waiting.len() < WAITING {
            open.waiting.push(written);
            open.milli += u64::from(milli);
            self.held.fetch_add(u64::from(milli), Ordering::Relaxed);
        } else {
            self.unrecorded.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// The first batch after this number, if it is sealed; and lets go of those up to it, which the sink has.
    pub(crate) fn after(&self, had: u64) -> Option<Arc<Batch>> {
        let mut sealed = lock(&self.sealed);
        sealed.had = sealed.had.max(had);
        sealed.batches.range(had + 1..).next().map(|(_, b)| b.clone())
    }

    /// Thousandths of a unit that the sink does not have yet.
    pub(crate) fn held(&self) -> u64 {
        self.held.load(Ordering::Relaxed)
    }

    /// Uses noted since the start, and those that are recorded nowhere.
    pub(crate) fn counts(&self) -> (u64, u64) {
        (self.noted.load(Ordering::Relaxed), self.unrecorded.load(Ordering::Relaxed))
    }

    fn turn(&self) {
        if let Err(e) = self.seal() {
            if !self.failed.swap(true, Ordering::Relaxed) {
                error!(%e, "fleet: uses can't be written; they wait in memory");
            }
            return;
        }
        if self.failed.swap(false, Ordering::Relaxed) {
            info!("fleet: uses are written again");
        }
        self.let_go();
        self.read_ahead();
    }

    fn seal(&self) -> io::Result<()> {
        if let Some(failing) = &self.failing {
            failing()?;
        }
        let number = {
            let open = lock(&self.open);
            let has = open.uses > 0 || !open.waiting.is_empty();
            if !has && !self.failed.load(Ordering::Relaxed) {
                return Ok(());
            }
            open.number
        };
        let next = begin(&self.folder, number + 1)?;
        let (file, waiting, milli) = {
            let mut open = lock(&self.open);
            let waiting: Vec<_> = {
                let many = open.waiting.len().min(SEGMENT as usize);
                open.waiting.drain(..many).collect()
            };
            open.number = number + 1;
            open.uses = 0;
            let milli = std::mem::take(&mut open.milli);
            (std::mem::replace(&mut open.file, next), waiting, milli)
        };
        // What waits goes to the segment that ends: a half-written record there is cut off first. Nothing may
        // fail between here and its being put back.
        let mut whole = None;
        let mut put = || {
            let len = file.metadata()?.len();
            let end = *whole.insert(len - len % USE_BYTES as u64);
            file.set_len(end)?;
            (&file).write_all(&waiting.concat())?;
            file.sync_all()
        };
        if let Err(e) = put() {
            if let Some(end) = whole {
                let _ = file.set_len(end);
            }
            lock(&self.sealed).on_disk.insert(number, (whole.unwrap_or_default(), 0));
            let mut open = lock(&self.open);
            open.waiting.splice(0..0, waiting);
            open.milli += milli;
            return Err(e);
        }
        let len = whole.unwrap_or_default() + (waiting.len() * USE_BYTES) as u64;
        lock(&self.sealed).on_disk.insert(number, (len, milli));
        Ok(())
    }

    fn let_go(&self) {
        let gone: Vec<u64> = {
            let mut sealed = lock(&self.sealed);
            let had = sealed.had;
            sealed.batches.retain(|n, _| *n > had);
            let gone: Vec<u64> = sealed.on_disk.range(..=had).map(|(n, _)| *n).collect();
            let milli: u64 = sealed.on_disk.range(..=had).map(|(_, (_, milli))| milli).sum();
            self.held.fetch_sub(milli.min(self.held()), Ordering::Relaxed);
            sealed.on_disk = sealed.on_disk.split_off(&(had + 1));
            gone
        };
        for number in gone {
            let _ = fs::remove_file(segment(&self.folder, number));
        }
        let held: u64 = lock(&self.sealed).on_disk.values().map(|(bytes, _)| bytes).sum();
        let (_, unrecorded) = self.counts();
        let is_full = held > MOST_BYTES;
        if self.full.swap(is_full, Ordering::Relaxed) != is_full {
            warn!(held, is_full, unrecorded, "fleet: the room for uses on disk; is the sink down?");
        }
    }

    fn read_ahead(&self) {
        loop {
            let number = {
                let sealed = lock(&self.sealed);
                if sealed.batches.len() >= IN_MEMORY {
                    return;
                }
                let last = sealed.batches.keys().next_back().copied().unwrap_or(sealed.had);
                match sealed.on_disk.range(last + 1..).next() {
                    Some((number, _)) => *number,
                    None => return,
                }
            };
            match fs::read(segment(&self.folder, number)) {
                Ok(bytes) => {
                    let batch = Batch::of(self.stream.clone(), number, &bytes);
                    if batch.unread > 0 {
                        error!(
                            number,
                            unread = batch.unread,
                            "fleet: uses that can't be read; the export says so"
                        );
                    }
                    lock(&self.sealed).batches.insert(number, Arc::new(batch));
                }
                Err(e) => {
                    error!(number, %e, "fleet: uses can't be read");
                    return;
                }
            }
        }
    }
}
