//! The usage log: the units this gatekeeper let through, durable until a sink has them.
//!
//! Records are appended to the open segment of a directory of their own. A thread seals segments; the owner of
//! the duty `export` reads the sealed ones as batches, and they are deleted once the sink has them.
//!
//! [`UsageLog::record`] runs on the coroutine thread, before a succeeded response is handed to its client: one
//! write of 32 bytes to an open file, so that a kill after it loses nothing that a client was told. What may wait
//! for a disk (a new file, a sync, reading, deleting) runs on the log's thread.

use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use lynxstair::types::Time;
use lynxstair_export::{
    Batch, MAX_SUMS_PER_BATCH, StreamId, USAGE_RECORD_BYTES, UsageRecord, WINDOW_SECONDS,
};
use lynxstair_record_log::WriteFault;
use tracing::{error, info, warn};

use crate::protocol::{Response, UsageCounts};
use crate::sync::lock;

/// How often the open segment is sealed, where it holds anything.
const SEAL_INTERVAL: Duration = Duration::from_millis(500);
/// Most records that failed to be written and go into one segment.
const MAX_RETRIED_PER_SEGMENT: usize = MAX_SUMS_PER_BATCH;
/// Most sealed batches in memory; the rest stays on disk until there is room.
const MAX_BATCHES_IN_MEMORY: usize = 64;
/// Most records that wait in memory for a failing disk. What is over is counted as unrecorded.
const MAX_UNWRITTEN: usize = 65_536;
/// Most bytes of sealed segments on disk: about two million requests. What is over is counted as unrecorded.
const MAX_BYTES_ON_DISK: u64 = 64 << 20;
/// The file that holds the directory's id.
const DIRECTORY_ID_FILE: &str = "folder";
/// Ending of a segment's file name.
const SEGMENT_SUFFIX: &str = ".uses";
const NANOS_PER_SECOND: u64 = 1_000_000_000;

/// Why a usage log can't be opened.
#[derive(Debug, thiserror::Error)]
#[error("uses: {}: {cause}", directory.display())]
pub struct UsageLogError {
    directory: PathBuf,
    #[source]
    cause: UsageLogFault,
}

#[derive(Debug, thiserror::Error)]
enum UsageLogFault {
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("file `folder` is damaged")]
    DamagedDirectoryId,
}

/// The segment that records are appended to.
struct OpenSegment {
    file: File,
    number: u64,
    records: u64,
    /// Units of its records, and of those that wait, in thousandths.
    milli_units: u64,
    /// Records whose write failed, oldest first.
    unwritten: Vec<[u8; USAGE_RECORD_BYTES]>,
}

/// A sealed segment on disk.
#[derive(Clone, Copy)]
struct SealedSegment {
    bytes: u64,
    milli_units: u64,
}

#[derive(Default)]
struct Sealed {
    /// Read ahead for the export, by number.
    batches: BTreeMap<u64, Arc<Batch>>,
    on_disk: BTreeMap<u64, SealedSegment>,
    /// The sink has all batches up to this number.
    stored_up_to: u64,
}

/// What one gatekeeper has that is not at the sink yet.
pub struct UsageLog {
    stream: StreamId,
    directory: PathBuf,
    open: Mutex<OpenSegment>,
    sealed: Mutex<Sealed>,
    write_fault: Option<WriteFault>,
    is_failing: AtomicBool,
    is_full: AtomicBool,
    total: AtomicU64,
    unrecorded: AtomicU64,
    /// Thousandths of a unit that the sink does not have yet.
    pending_milli_units: AtomicU64,
}

fn segment_path(directory: &Path, number: u64) -> PathBuf {
    directory.join(format!("{number:012}{SEGMENT_SUFFIX}"))
}

/// Opens a segment and syncs the directory, so that the file's name survives a power cut.
fn open_segment(directory: &Path, number: u64) -> io::Result<File> {
    let file = OpenOptions::new().create(true).append(true).open(segment_path(directory, number))?;
    File::open(directory)?.sync_all()?;
    Ok(file)
}

/// Writes the id of a new directory, by a rename: the file is there whole or not at all.
fn write_directory_id(directory: &Path, id: u64) -> io::Result<()> {
    let new_file = directory.join(format!("{DIRECTORY_ID_FILE}.next"));
    let mut file = File::create(&new_file)?;
    writeln!(file, "{id:016x}")?;
    file.sync_all()?;
    fs::rename(&new_file, directory.join(DIRECTORY_ID_FILE))?;
    File::open(directory)?.sync_all()
}

/// The id of the directory; `new_id` where it has none yet.
fn directory_id(directory: &Path, new_id: u64) -> Result<u64, UsageLogFault> {
    match fs::read_to_string(directory.join(DIRECTORY_ID_FILE)) {
        Ok(text) => u64::from_str_radix(text.trim(), 16).map_err(|_| UsageLogFault::DamagedDirectoryId),
        Err(e) if e.kind() == io::ErrorKind::NotFound => {
            write_directory_id(directory, new_id)?;
            Ok(new_id)
        }
        Err(e) => Err(e.into()),
    }
}

/// The segments that an earlier process left.
fn find_segments(directory: &Path, stream: &StreamId) -> io::Result<BTreeMap<u64, SealedSegment>> {
    let mut segments = BTreeMap::new();
    for entry in fs::read_dir(directory)?.flatten() {
        let name = entry.file_name().to_string_lossy().into_owned();
        let number = name.strip_suffix(SEGMENT_SUFFIX).and_then(|number| number.parse::<u64>().ok());
        let Some(number) = number else { continue };
        let content = fs::read(entry.path())?;
        let milli_units = Batch::from_segment(stream.clone(), number, &content).milli_units();
        segments.insert(number, SealedSegment { bytes: content.len() as u64, milli_units });
    }
    Ok(segments)
}

impl UsageLog {
    /// Opens the log in `directory`, which is created where it does not exist, and starts its thread. `new_id`
    /// becomes the id of a new directory.
    ///
    /// # Errors
    /// The directory can't be read or written, or no thread can be started.
    pub(crate) fn start(
        directory: &Path,
        gatekeeper: &str,
        new_id: u64,
        write_fault: Option<WriteFault>,
    ) -> Result<Arc<Self>, UsageLogError> {
        Self::open(directory, gatekeeper, new_id, write_fault)
            .and_then(Self::start_thread)
            .map_err(|cause| UsageLogError { directory: directory.to_path_buf(), cause })
    }

    fn open(
        directory: &Path,
        gatekeeper: &str,
        new_id: u64,
        write_fault: Option<WriteFault>,
    ) -> Result<Self, UsageLogFault> {
        fs::create_dir_all(directory)?;
        let directory_id = directory_id(directory, new_id)?;
        let stream = StreamId { gatekeeper: gatekeeper.to_string(), directory_id };
        let on_disk = find_segments(directory, &stream)?;
        // The last segment is never deleted before the next one is there, so no number is given twice.
        let number = on_disk.keys().next_back().map_or(1, |last| last + 1);
        let file = open_segment(directory, number)?;
        let pending = on_disk.values().map(|segment| segment.milli_units).sum();
        let open = OpenSegment { file, number, records: 0, milli_units: 0, unwritten: Vec::new() };
        Ok(UsageLog {
            stream,
            directory: directory.to_path_buf(),
            open: Mutex::new(open),
            sealed: Mutex::new(Sealed { on_disk, ..Sealed::default() }),
            write_fault,
            is_failing: AtomicBool::new(false),
            is_full: AtomicBool::new(false),
            total: AtomicU64::new(0),
            unrecorded: AtomicU64::new(0),
            pending_milli_units: AtomicU64::new(pending),
        })
    }

    fn start_thread(self) -> Result<Arc<Self>, UsageLogFault> {
        let log = Arc::new(self);
        let on_thread = log.clone();
        let run = move || {
            loop {
                on_thread.maintain();
                thread::sleep(SEAL_INTERVAL);
            }
        };
        thread::Builder::new().name("uses".to_string()).spawn(run)?;
        Ok(log)
    }

    /// Records the usage of a succeeded request. Called before the response goes to the client.
    pub fn record(&self, now: Time, tenant: u64, operation: u8, units: f32) {
        self.total.fetch_add(1, Ordering::Relaxed);
        if self.is_full.load(Ordering::Relaxed) {
            self.unrecorded.fetch_add(1, Ordering::Relaxed);
            return;
        }
        let window = (now.nanos() / NANOS_PER_SECOND / WINDOW_SECONDS) as u32;
        let milli_units = (f64::from(units) * 1e3).round().clamp(0.0, f64::from(u32::MAX)) as u32;
        let bytes = UsageRecord { tenant, operation, window, milli_units }.to_bytes();
        if !self.append(bytes, u64::from(milli_units)) {
            self.unrecorded.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Appends a record to the open segment, or to those that wait for the disk; false where there is no room.
    fn append(&self, bytes: [u8; USAGE_RECORD_BYTES], milli_units: u64) -> bool {
        let mut open = lock(&self.open);
        let may_write = !self.is_failing.load(Ordering::Relaxed) && self.inject_fault().is_ok();
        // Nothing is written past a record that waits: a failed write may have left a partial one in the file.
        if may_write && open.unwritten.is_empty() && open.file.write_all(&bytes).is_ok() {
            open.records += 1;
        } else {
            self.is_failing.store(true, Ordering::Relaxed);
            if open.unwritten.len() >= MAX_UNWRITTEN {
                return false;
            }
            open.unwritten.push(bytes);
        }
        open.milli_units += milli_units;
        self.pending_milli_units.fetch_add(milli_units, Ordering::Relaxed);
        true
    }

    fn inject_fault(&self) -> io::Result<()> {
        self.write_fault.as_ref().map_or(Ok(()), |fault| fault())
    }

    /// Answers the exporter: the next batch where it asks for this log's stream.
    pub(crate) fn answer(&self, stream: Option<&StreamId>, stored_up_to: u64) -> Response {
        let is_this_stream = stream == Some(&self.stream);
        let batch = if is_this_stream { self.next_batch(stored_up_to) } else { None };
        let pending_milli_units = self.pending_milli_units();
        Response::Usage { stream: self.stream.clone(), batch, pending_milli_units }
    }

    /// The first sealed batch after `stored_up_to`. The sink has all batches up to that one: they are deleted.
    fn next_batch(&self, stored_up_to: u64) -> Option<Arc<Batch>> {
        let mut sealed = lock(&self.sealed);
        sealed.stored_up_to = sealed.stored_up_to.max(stored_up_to);
        sealed.batches.range(stored_up_to + 1..).next().map(|(_, batch)| batch.clone())
    }

    /// Thousandths of a unit that the sink does not have yet.
    fn pending_milli_units(&self) -> u64 {
        self.pending_milli_units.load(Ordering::Relaxed)
    }

    /// How many requests were to be recorded, and how many were not.
    pub(crate) fn counts(&self) -> UsageCounts {
        UsageCounts {
            total: self.total.load(Ordering::Relaxed),
            unrecorded: self.unrecorded.load(Ordering::Relaxed),
        }
    }

    fn maintain(&self) {
        if let Err(e) = self.seal() {
            if !self.is_failing.swap(true, Ordering::Relaxed) {
                error!(%e, "fleet: uses can't be written; they wait in memory");
            }
            return;
        }
        if self.is_failing.swap(false, Ordering::Relaxed) {
            info!("fleet: uses are written again");
        }
        self.delete_stored();
        self.read_ahead();
    }

    /// The number of the open segment where it is to be sealed.
    fn segment_to_seal(&self) -> Option<u64> {
        let open = lock(&self.open);
        let has_records = open.records > 0 || !open.unwritten.is_empty();
        (has_records || self.is_failing.load(Ordering::Relaxed)).then_some(open.number)
    }

    /// Ends the open segment, with records that wait for the disk at its end, and opens the next one.
    fn seal(&self) -> io::Result<()> {
        self.inject_fault()?;
        let Some(number) = self.segment_to_seal() else { return Ok(()) };
        let next_file = open_segment(&self.directory, number + 1)?;
        let (file, unwritten, milli_units) = {
            let mut open = lock(&self.open);
            let retried = open.unwritten.len().min(MAX_RETRIED_PER_SEGMENT);
            let unwritten: Vec<_> = open.unwritten.drain(..retried).collect();
            open.number = number + 1;
            open.records = 0;
            let milli_units = std::mem::take(&mut open.milli_units);
            (std::mem::replace(&mut open.file, next_file), unwritten, milli_units)
        };
        // Nothing may return between the drain above and here: what was drained is put back below.
        let mut whole_bytes = None;
        if let Err(e) = finish_segment(&file, &unwritten, &mut whole_bytes) {
            if let Some(bytes) = whole_bytes {
                let _ = file.set_len(bytes);
            }
            let segment = SealedSegment { bytes: whole_bytes.unwrap_or_default(), milli_units: 0 };
            lock(&self.sealed).on_disk.insert(number, segment);
            let mut open = lock(&self.open);
            open.unwritten.splice(0..0, unwritten);
            open.milli_units += milli_units;
            return Err(e);
        }
        let bytes = whole_bytes.unwrap_or_default() + (unwritten.len() * USAGE_RECORD_BYTES) as u64;
        lock(&self.sealed).on_disk.insert(number, SealedSegment { bytes, milli_units });
        Ok(())
    }

    /// Deletes the segments that the sink has.
    fn delete_stored(&self) {
        let stored: BTreeMap<u64, SealedSegment> = {
            let mut sealed = lock(&self.sealed);
            let first_kept = sealed.stored_up_to + 1;
            sealed.batches.retain(|number, _| *number >= first_kept);
            let kept = sealed.on_disk.split_off(&first_kept);
            let stored = std::mem::replace(&mut sealed.on_disk, kept);
            let milli_units: u64 = stored.values().map(|segment| segment.milli_units).sum();
            self.pending_milli_units
                .fetch_sub(milli_units.min(self.pending_milli_units()), Ordering::Relaxed);
            stored
        };
        for number in stored.keys() {
            let _ = fs::remove_file(segment_path(&self.directory, *number));
        }
        self.update_full();
    }

    fn update_full(&self) {
        let held: u64 = lock(&self.sealed).on_disk.values().map(|segment| segment.bytes).sum();
        let unrecorded = self.counts().unrecorded;
        let is_full = held > MAX_BYTES_ON_DISK;
        if self.is_full.swap(is_full, Ordering::Relaxed) != is_full {
            warn!(held, is_full, unrecorded, "fleet: the room for uses on disk; is the sink down?");
        }
    }

    /// The next segment to be read into memory, where there is room for one.
    fn segment_to_read(&self) -> Option<u64> {
        let sealed = lock(&self.sealed);
        if sealed.batches.len() >= MAX_BATCHES_IN_MEMORY {
            return None;
        }
        let last_read = sealed.batches.keys().next_back().copied().unwrap_or(sealed.stored_up_to);
        sealed.on_disk.range(last_read + 1..).next().map(|(number, _)| *number)
    }

    fn read_ahead(&self) {
        while let Some(number) = self.segment_to_read() {
            let content = match fs::read(segment_path(&self.directory, number)) {
                Ok(content) => content,
                Err(e) => {
                    error!(number, %e, "fleet: uses can't be read");
                    return;
                }
            };
            let batch = Batch::from_segment(self.stream.clone(), number, &content);
            if batch.unreadable_records > 0 {
                let unread = batch.unreadable_records;
                error!(number, unread, "fleet: uses that can't be read; the export says so");
            }
            lock(&self.sealed).batches.insert(number, Arc::new(batch));
        }
    }
}

/// Cuts off a partial record, appends those that waited, and syncs. `whole_bytes` is set to the length before
/// them as soon as it is known.
fn finish_segment(
    mut file: &File,
    unwritten: &[[u8; USAGE_RECORD_BYTES]],
    whole_bytes: &mut Option<u64>,
) -> io::Result<()> {
    let bytes = file.metadata()?.len();
    let whole = bytes - bytes % USAGE_RECORD_BYTES as u64;
    *whole_bytes = Some(whole);
    file.set_len(whole)?;
    file.write_all(&unwritten.concat())?;
    file.sync_all()
}

#[cfg(test)]
mod tests;
