//! The usage log: units of succeeded requests of this gatekeeper, stored until a sink has them.
//!
//! Records are appended to an open segment file. A thread seals segments; the owner of the duty `export`
//! fetches sealed segments as batches, and a segment is deleted once the sink has its batch.
//!
//! [`UsageLog::record`] runs on the coroutine thread before a success is sent to the client. It writes one
//! record of 32 bytes to an open file, so that the usage of an acknowledged request survives a kill of the
//! process. Operations that may block on the disk (opening, syncing, reading and deleting files) run on the
//! thread of the log.

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

/// Interval at which the open segment is sealed if it has records.
const SEAL_INTERVAL: Duration = Duration::from_millis(500);
/// Most records with a failed write that are retried in one segment.
const MAX_RETRIED_PER_SEGMENT: usize = MAX_SUMS_PER_BATCH;
/// Most sealed batches kept in memory.
const MAX_BATCHES_IN_MEMORY: usize = 64;
/// Most records kept in memory while the disk fails. Further ones are dropped and counted as unrecorded.
const MAX_UNWRITTEN: usize = 65_536;
/// Size of the sealed segments on disk above which requests are only counted as unrecorded.
const MAX_BYTES_ON_DISK: u64 = 64 << 20;
/// File with the id of the directory.
const DIRECTORY_ID_FILE: &str = "folder";
/// Suffix of segment file names.
const SEGMENT_SUFFIX: &str = ".uses";
const NANOS_PER_SECOND: u64 = 1_000_000_000;

/// Failure to open a usage log.
#[derive(Debug, thiserror::Error)]
#[error("usage log {}: {cause}", directory.display())]
pub struct UsageLogError {
    directory: PathBuf,
    #[source]
    cause: OpenError,
}

#[derive(Debug, thiserror::Error)]
enum OpenError {
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
    /// Sum of the written and unwritten records, in thousandths of a unit.
    milli_units: u64,
    /// Records with a failed write, oldest first.
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
    /// Batches read into memory for the export, by number.
    batches: BTreeMap<u64, Arc<Batch>>,
    /// Segments on disk, by number.
    on_disk: BTreeMap<u64, SealedSegment>,
    /// Number of the last batch that the sink has; 0 if it has none.
    stored_up_to: u64,
}

/// Usage of one gatekeeper that is not at the sink yet.
pub struct UsageLog {
    stream: StreamId,
    directory: PathBuf,
    open: Mutex<OpenSegment>,
    sealed: Mutex<Sealed>,
    write_fault: Option<WriteFault>,
    /// Set while writes to the disk fail.
    is_failing: AtomicBool,
    /// Set while the sealed segments exceed [`MAX_BYTES_ON_DISK`].
    is_full: AtomicBool,
    /// Number of calls of [`UsageLog::record`].
    total: AtomicU64,
    /// Number of calls of [`UsageLog::record`] that recorded nothing.
    unrecorded: AtomicU64,
    /// Usage that is not at the sink yet, in thousandths of a unit.
    pending_milli_units: AtomicU64,
}

fn segment_path(directory: &Path, number: u64) -> PathBuf {
    directory.join(format!("{number:012}{SEGMENT_SUFFIX}"))
}

/// Opens a segment and syncs the directory, so that the directory entry survives a power failure.
fn open_segment(directory: &Path, number: u64) -> io::Result<File> {
    let file = OpenOptions::new().create(true).append(true).open(segment_path(directory, number))?;
    File::open(directory)?.sync_all()?;
    Ok(file)
}

/// Writes the id of a new directory, atomically by a rename.
fn write_directory_id(directory: &Path, id: u64) -> io::Result<()> {
    let new_file = directory.join(format!("{DIRECTORY_ID_FILE}.next"));
    let mut file = File::create(&new_file)?;
    writeln!(file, "{id:016x}")?;
    file.sync_all()?;
    fs::rename(&new_file, directory.join(DIRECTORY_ID_FILE))?;
    File::open(directory)?.sync_all()
}

/// Reads the id of the directory; assigns `new_id` if it has none yet.
fn directory_id(directory: &Path, new_id: u64) -> Result<u64, OpenError> {
    match fs::read_to_string(directory.join(DIRECTORY_ID_FILE)) {
        Ok(text) => u64::from_str_radix(text.trim(), 16).map_err(|_| OpenError::DamagedDirectoryId),
        Err(e) if e.kind() == io::ErrorKind::NotFound => {
            write_directory_id(directory, new_id)?;
            Ok(new_id)
        }
        Err(e) => Err(e.into()),
    }
}

/// Finds the segments of earlier processes.
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
    /// Opens the log in `directory` and starts its thread. Creates the directory with the id `new_id` if it
    /// does not exist.
    ///
    /// # Errors
    /// If the directory can't be read or written, or the thread can't be started.
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
    ) -> Result<Self, OpenError> {
        fs::create_dir_all(directory)?;
        let directory_id = directory_id(directory, new_id)?;
        let stream = StreamId { gatekeeper: gatekeeper.to_string(), directory_id };
        let on_disk = find_segments(directory, &stream)?;
        // The last segment is deleted only after the next one exists, so segment numbers are never reused.
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

    fn start_thread(self) -> Result<Arc<Self>, OpenError> {
        let log = Arc::new(self);
        let thread_log = log.clone();
        let run = move || {
            loop {
                thread_log.maintain();
                thread::sleep(SEAL_INTERVAL);
            }
        };
        thread::Builder::new().name("uses".to_string()).spawn(run)?;
        Ok(log)
    }

    /// Records the usage of a succeeded request. Must be called before the response is sent to the client.
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

    /// Appends a record to the open segment, or keeps it in memory if the disk fails. Returns `false` if
    /// [`MAX_UNWRITTEN`] records are already kept.
    fn append(&self, bytes: [u8; USAGE_RECORD_BYTES], milli_units: u64) -> bool {
        let mut open = lock(&self.open);
        let may_write = !self.is_failing.load(Ordering::Relaxed) && self.inject_fault().is_ok();
        // No write while earlier records are unwritten: the failed write may have left a partial record in
        // the file.
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

    /// Returns the response to an exporter, with the next batch if `stream` is the stream of this log.
    pub(crate) fn usage_response(&self, stream: Option<&StreamId>, stored_up_to: u64) -> Response {
        let is_this_stream = stream == Some(&self.stream);
        let batch = if is_this_stream { self.next_batch(stored_up_to) } else { None };
        let pending_milli_units = self.pending_milli_units();
        Response::Usage { stream: self.stream.clone(), batch, pending_milli_units }
    }

    /// Returns the first sealed batch in memory after `stored_up_to`, and marks those up to it for deletion.
    fn next_batch(&self, stored_up_to: u64) -> Option<Arc<Batch>> {
        let mut sealed = lock(&self.sealed);
        sealed.stored_up_to = sealed.stored_up_to.max(stored_up_to);
        sealed.batches.range(stored_up_to + 1..).next().map(|(_, batch)| batch.clone())
    }

    /// Returns the usage that is not at the sink yet, in thousandths of a unit.
    fn pending_milli_units(&self) -> u64 {
        self.pending_milli_units.load(Ordering::Relaxed)
    }

    /// Returns the number of requests to record and of those whose usage was not recorded.
    pub(crate) fn counts(&self) -> UsageCounts {
        UsageCounts {
            total: self.total.load(Ordering::Relaxed),
            unrecorded: self.unrecorded.load(Ordering::Relaxed),
        }
    }

    /// Seals the open segment, deletes exported segments and reads sealed ones into memory.
    fn maintain(&self) {
        if let Err(e) = self.seal() {
            if !self.is_failing.swap(true, Ordering::Relaxed) {
                error!(%e, "fleet: usage can't be written; keeping it in memory");
            }
            return;
        }
        if self.is_failing.swap(false, Ordering::Relaxed) {
            info!("fleet: usage is written to disk again");
        }
        self.delete_stored();
        self.read_ahead();
    }

    /// Returns the number of the open segment if it has records or writes are failing.
    fn segment_to_seal(&self) -> Option<u64> {
        let open = lock(&self.open);
        let has_records = open.records > 0 || !open.unwritten.is_empty();
        (has_records || self.is_failing.load(Ordering::Relaxed)).then_some(open.number)
    }

    /// Opens the next segment, then appends unwritten records to the previous one and syncs it. If that
    /// fails, the unwritten records are kept for the next segment.
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
        // There must be no early return between the drain above and the error branch, which puts the records
        // back.
        let mut complete_bytes = None;
        if let Err(e) = finish_segment(&file, &unwritten, &mut complete_bytes) {
            if let Some(bytes) = complete_bytes {
                let _ = file.set_len(bytes);
            }
            let segment = SealedSegment { bytes: complete_bytes.unwrap_or_default(), milli_units: 0 };
            lock(&self.sealed).on_disk.insert(number, segment);
            let mut open = lock(&self.open);
            open.unwritten.splice(0..0, unwritten);
            open.milli_units += milli_units;
            return Err(e);
        }
        let bytes = complete_bytes.unwrap_or_default() + (unwritten.len() * USAGE_RECORD_BYTES) as u64;
        lock(&self.sealed).on_disk.insert(number, SealedSegment { bytes, milli_units });
        Ok(())
    }

    /// Deletes the segments up to the last batch that the sink has.
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
            warn!(held, is_full, unrecorded, "fleet: usage log crossed its size limit; is the sink down?");
        }
    }

    /// Returns the number of the next segment to read; `None` if there is none or the memory limit is
    /// reached.
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
                    error!(number, %e, "fleet: usage segment can't be read");
                    return;
                }
            };
            let batch = Batch::from_segment(self.stream.clone(), number, &content);
            if batch.unreadable_records > 0 {
                let unreadable = batch.unreadable_records;
                error!(number, unread = unreadable, "fleet: usage segment has unreadable records");
            }
            lock(&self.sealed).batches.insert(number, Arc::new(batch));
        }
    }
}

/// Truncates a partial record, appends `unwritten` and syncs. Sets `complete_bytes` to the length without
/// the appended records as soon as it is known.
fn finish_segment(
    mut file: &File,
    unwritten: &[[u8; USAGE_RECORD_BYTES]],
    complete_bytes: &mut Option<u64>,
) -> io::Result<()> {
    let bytes = file.metadata()?.len();
    let complete = bytes - bytes % USAGE_RECORD_BYTES as u64;
    *complete_bytes = Some(complete);
    file.set_len(complete)?;
    file.write_all(&unwritten.concat())?;
    file.sync_all()
}

#[cfg(test)]
mod tests;
