//! Polling for the effect of a process under test.

use std::thread;
use std::time::{Duration, Instant};

/// Time-out of [`wait_until`].
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Polls `get` without a delay until it returns a value. `what` names the awaited effect in the panic
/// message.
///
/// # Panics
/// If `get` returns no value within [`WAIT_TIMEOUT`].
pub fn wait_until<T>(what: &str, mut get: impl FnMut() -> Option<T>) -> T {
    let started = Instant::now();
    loop {
        if let Some(value) = get() {
            return value;
        }
        assert!(started.elapsed() < WAIT_TIMEOUT, "timed out: {what}");
        thread::yield_now();
    }
}
