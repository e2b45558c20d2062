//! Rate-limited log lines, written to standard error unless the program redirects them.

use std::fmt::Arguments;
use std::io::Write;
use std::sync::{Mutex, OnceLock};
use std::time::Instant;

/// Depth and rate of the token bucket for log lines. Dropped lines are counted and reported with the next
/// line.
const BURST_LINES: f64 = 40.0;
const LINES_PER_SECOND: f64 = 10.0;

struct RateLimit {
    tokens: f64,
    refilled_at: Option<Instant>,
    dropped: u64,
}

static RATE_LIMIT: Mutex<RateLimit> =
    Mutex::new(RateLimit { tokens: BURST_LINES, refilled_at: None, dropped: 0 });

/// Destination of log lines.
type Sink = fn(Arguments);

static SINK: OnceLock<Sink> = OnceLock::new();

/// Redirects all further lines to `sink`. Only the first call has an effect.
pub fn redirect(sink: Sink) {
    let _ = SINK.set(sink);
}

/// Takes a token for one line. Returns the number of lines dropped before it, or `None` if this line must be
/// dropped.
pub fn try_acquire() -> Option<u64> {
    let mut limit = RATE_LIMIT.lock().unwrap_or_else(|e| e.into_inner());
    let now = Instant::now();
    let elapsed_s = limit.refilled_at.map_or(0.0, |at| (now - at).as_secs_f64());
    limit.refilled_at = Some(now);
    limit.tokens = (limit.tokens + elapsed_s * LINES_PER_SECOND).min(BURST_LINES);
    if limit.tokens < 1.0 {
        limit.dropped += 1;
        return None;
    }
    limit.tokens -= 1.0;
    Some(std::mem::take(&mut limit.dropped))
}

/// Writes a line without a rate limit. Errors are ignored; `eprintln!` would panic, for example on a full
/// disk.
pub fn write(line: Arguments) {
    match SINK.get() {
        Some(sink) => sink(line),
        None => {
            let _ = writeln!(std::io::stderr(), "lynxstair-gatekeeper: {line}");
        }
    }
}

/// Writes a log line, unless the rate limit is exceeded. Not meant for a line per request.
#[macro_export]
macro_rules! log_limited {
    ($($line:tt)*) => {
        if let Some(dropped) = $crate::log::try_acquire() {
            if dropped > 0 {
                $crate::log::write(format_args!("{dropped} log lines dropped"));
            }
            $crate::log::write(format_args!($($line)*));
        }
    };
}
