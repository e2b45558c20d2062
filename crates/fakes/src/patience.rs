//! How long tests with real processes wait for what is to come, and the one loop that does so: asked again and again,
//! without a pause.

use std::thread;
use std::time::{Duration, Instant};

pub const PATIENCE: Duration = Duration::from_secs(30);

/// What `get` brings in the end; where that takes longer than `PATIENCE`, the test ends with what it waited for.
pub fn until<T>(what: &str, mut get: impl FnMut() -> Option<T>) -> T {
    let began = Instant::now();
    loop {
        if let Some(got) = get() {
            return got;
        }
        assert!(began.elapsed() < PATIENCE, "not in time: {what}");
        thread::yield_now();
    }
}
