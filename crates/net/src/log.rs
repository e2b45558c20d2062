//! Rate-limited log lines. They go to standard error, or to where the program redirects them.

use std::fmt::Arguments;
use std::io::Write;
use std::sync::{Mutex, OnceLock};
use std::time::Instant;

/// Lines that may be written at once, and how many more in a second. The others are counted, and reported later.
const BURST: f64 = 40.0;
const LINES_PER_SECOND: f64 = 10.0;

struct RateLimit {
    left: f64,
    refilled_at: Option<Instant>,
    dropped: u64,
}

static RATE_LIMIT: Mutex<RateLimit> = Mutex::new(RateLimit { left: BURST, refilled_at: None, dropped: 0 });

/// Where lines go.
type Sink = fn(Arguments);

static SINK: OnceLock<Sink> = OnceLock::new();

/// Has lines go to `sink` from now on. A second call changes nothing.
pub fn redirect(sink: Sink) {
    let _ = SINK.set(sink);
}

/// Whether a line may be written now; if so, how many were dropped before it.
pub fn try_acquire() -> Option<u64> {
    let mut limit = RATE_LIMIT.lock().unwrap_or_else(|e| e.into_inner());
    let now = Instant::now();
    let elapsed_s = limit.refilled_at.map_or(0.0, |at| (now - at).as_secs_f64());
    limit.refilled_at = Some(now);
    limit.left = (limit.left + elapsed_s * LINES_PER_SECOND).min(BURST);
    if limit.left < 1.0 {
        limit.dropped += 1;
        return None;
    }
    limit.left -= 1.0;
    Some(std::mem::take(&mut limit.dropped))
}

/// Writes a line as it is. One that can't be written, on a full disk perhaps, is lost and ends nothing: `eprintln` panics
/// then, and so does the panic's own line.
pub fn write(line: Arguments) {
    match SINK.get() {
        Some(sink) => sink(line),
        None => {
            let _ = writeln!(std::io::stderr(), "lynxstair-gatekeeper: {line}");
        }
    }
}

/// Writes a line, unless too many were written lately. Never for each request.
#[macro_export]
macro_rules! log_limited {
    ($($line:tt)*) => {
        if let Some(dropped) = $crate::log::try_acquire() {
            if dropped > 0 {
                $crate::log::write(format_args!("{dropped} lines left out"));
            }
            $crate::log::write(format_args!($($line)*));
        }
    };
}
