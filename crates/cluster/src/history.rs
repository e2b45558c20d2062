//! Event history of this member, as JSON lines, for the checks of trials. A separate thread writes the file.

use std::fs::{File, OpenOptions};
use std::io::Write;
use std::path::Path;
use std::sync::mpsc::{SyncSender, sync_channel};
use std::thread;

use lynxstair::types::Time;
use lynxstair_membership::Name;
use lynxstair_net::clock::Clock;
use nix::time::{ClockId, clock_gettime};
use serde::Serialize;

use crate::error::StartError;

/// Most lines in the write queue; further ones are dropped.
const MAX_QUEUED_LINES: usize = 8_192;
const NANOS_PER_SECOND: u64 = 1_000_000_000;

#[derive(Serialize)]
struct Line<'a, E: Serialize> {
    /// Monotonic clock of the machine in nanoseconds, comparable between its processes.
    #[serde(rename = "mono")]
    monotonic_nanos: u64,
    #[serde(rename = "who")]
    member: &'a str,
    run: u32,
    #[serde(flatten)]
    event: &'a E,
}

/// The history; records nothing if the fleet file names no history file.
pub(crate) struct History(Option<HistoryFile>);

struct HistoryFile {
    lines: SyncSender<Vec<u8>>,
    member: Name,
    run: u32,
    /// Monotonic clock of the machine at `opened_at`, in nanoseconds.
    monotonic_nanos: u64,
    opened_at: Time,
}

impl History {
    /// Opens the file and starts the thread that writes it. Without a path, nothing is recorded.
    ///
    /// # Errors
    /// If the file can't be opened, the thread can't be started or the clock can't be read.
    pub fn open(path: Option<&Path>, clock: Clock, member: Name, run: u32) -> Result<Self, StartError> {
        let Some(path) = path else { return Ok(History(None)) };
        let failed = |source| StartError::History { path: path.to_path_buf(), source };
        let file = OpenOptions::new().create(true).append(true).open(path).map_err(failed)?;
        let (lines, queue) = sync_channel::<Vec<u8>>(MAX_QUEUED_LINES);
        let write = move || queue.iter().for_each(|line| write_line(&file, &line));
        thread::Builder::new().name("history".to_string()).spawn(write).map_err(failed)?;
        let monotonic = clock_gettime(ClockId::CLOCK_MONOTONIC).map_err(StartError::Clock)?;
        let monotonic_nanos = monotonic.tv_sec() as u64 * NANOS_PER_SECOND + monotonic.tv_nsec() as u64;
        Ok(History(Some(HistoryFile { lines, member, run, monotonic_nanos, opened_at: clock.now() })))
    }

    /// Records an event.
    pub fn record<E: Serialize>(&self, at: Time, event: &E) {
        let Some(file) = &self.0 else { return };
        let monotonic_nanos = file.monotonic_nanos + (at - file.opened_at).nanos();
        let line = Line { monotonic_nanos, member: file.member.as_str(), run: file.run, event };
        if let Ok(mut line) = serde_json::to_vec(&line) {
            line.push(b'\n');
            let _ = file.lines.try_send(line);
        }
    }
}

/// Writes a line with one call, so that a kill can truncate only the last line.
fn write_line(mut file: &File, line: &[u8]) {
    let _ = file.write_all(line);
}
