//! The history: what this member did, as JSON lines, for trials to judge. On a thread of its own.

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

/// So many lines may wait to be written; what is over is left out, and the history says so.
const WAITING: usize = 8_192;

#[derive(Serialize)]
struct Line<'a, E: Serialize> {
    /// The machine's monotonic clock, in nanoseconds: the same for all processes on it, whatever the wall
    /// clock says.
    mono: u64,
    who: &'a str,
    run: u32,
    #[serde(flatten)]
    event: &'a E,
}

pub(crate) struct History {
    lines: SyncSender<Vec<u8>>,
    who: Name,
    run: u32,
    /// Of the machine's monotonic clock, at a time of ours.
    mono: u64,
    at: Time,
}

impl History {
    pub fn open(path: &Path, clock: Clock, who: Name, run: u32) -> Result<Self, String> {
        let why = |e: std::io::Error| format!("history {}: {e}", path.display());
        let file = OpenOptions::new().create(true).append(true).open(path).map_err(why)?;
        let (lines, todo) = sync_channel::<Vec<u8>>(WAITING);
        let write = move || todo.iter().for_each(|line| put(&file, &line));
        thread::Builder::new().name("history".to_string()).spawn(write).map_err(why)?;
        let mono = clock_gettime(ClockId::CLOCK_MONOTONIC).map_err(|e| format!("clock: {e}"))?;
        let mono = mono.tv_sec() as u64 * 1_000_000_000 + mono.tv_nsec() as u64;
        Ok(History { lines, who, run, mono, at: clock.now() })
    }

    pub fn tell<E: Serialize>(&self, at: Time, event: &E) {
        let mono = self.mono + (at - self.at).nanos();
        let line = Line { mono, who: self.who.as_str(), run: self.run, event };
        if let Ok(mut line) = serde_json::to_vec(&line) {
            line.push(b'\n');
            let _ = self.lines.try_send(line);
        }
    }
}

/// One write a line: a kill leaves whole lines, and the last one cut at the most.
fn put(mut file: &File, line: &[u8]) {
    let _ = file.write_all(line);
}
