//! Waiting for something that a process of a test does.

use std::thread;
use std::time::{Duration, Instant};

/// How long a test waits for it.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Calls `get` again and again, without a pause, until it returns a value.
///
/// # Panics
/// It returned none within [`WAIT_TIMEOUT`].
pub fn wait_until<T>(what: &str, mut get: impl FnMut() -> Option<T>) -> T {
    let started = Instant::now();
    loop {
        if let Some(value) = get() {
            return value;
        }
        assert!(started.elapsed() < WAIT_TIMEOUT, "not in time: {what}");
        thread::yield_now();
    }
}
