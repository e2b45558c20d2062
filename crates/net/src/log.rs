//! Logging: lines on standard error, behind one macro, no more than so many a second.

use std::fmt::Arguments;
use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

/// Lines that may be written at once, and how many more in a second. What is over is counted, and told later.
const BURST: f64 = 40.0;
const PER_SECOND: f64 = 10.0;

struct Allowance {
    left: f64,
    at: Option<Instant>,
    dropped: u64,
}

static ALLOWANCE: Mutex<Allowance> = Mutex::new(Allowance { left: BURST, at: None, dropped: 0 });

/// Whether a line may be written now; with the number of those left out before it.
pub fn may_write() -> Option<u64> {
    let mut a = ALLOWANCE.lock().unwrap_or_else(|e| e.into_inner());
    let now = Instant::now();
    let gap = a.at.map_or(0.0, |at| (now - at).as_secs_f64());
    a.at = Some(now);
    a.left = (a.left + gap * PER_SECOND).min(BURST);
    if a.left < 1.0 {
        a.dropped += 1;
        return None;
    }
    a.left -= 1.0;
    Some(std::mem::take(&mut a.dropped))
}

/// Writes a line as it is. One that can't be written, on a full disk perhaps, is lost and ends nothing: `eprintln`
/// panics then, and so does the panic's own line.
pub fn write(line: Arguments) {
    let _ = writeln!(std::io::stderr(), "lynxstair-gatekeeper: {line}");
}

/// Writes a line, unless too many were written lately. Never for each invocation.
#[macro_export]
macro_rules! log {
    ($($what:tt)*) => {
        if let Some(dropped) = $crate::log::may_write() {
            if dropped > 0 {
                $crate::log::write(format_args!("{dropped} lines left out"));
            }
            $crate::log::write(format_args!($($what)*));
        }
    };
}
