//! A thread for long computations: all else runs on one, and a leader that computes for half a second leads no more. It
//! runs from the start: a coroutine has not the stack to begin a thread.

use std::io;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::mpsc::{Sender, channel};
use std::thread;

/// Configurations of more bytes than these are read on the thread.
pub const MAX_INLINE_BYTES: usize = 64 << 10;

const STACK_BYTES: usize = 1 << 20;

type Job = Box<dyn FnOnce() + Send>;

/// Runs jobs one after the other.
pub struct BlockingPool(Sender<Job>);

impl BlockingPool {
    /// Starts the thread; it ends with the process.
    pub fn spawn() -> io::Result<BlockingPool> {
        let (sender, jobs) = channel::<Job>();
        thread::Builder::new().name("blocking".to_string()).stack_size(STACK_BYTES).spawn(move || {
            for job in jobs {
                // Whoever waits for it learns of a panic by what the job drops; the panic itself was logged.
                let _ = catch_unwind(AssertUnwindSafe(job));
            }
        })?;
        Ok(BlockingPool(sender))
    }

    /// Runs a job after all that were submitted before.
    pub fn submit(&self, job: impl FnOnce() + Send + 'static) {
        let _ = self.0.send(Box::new(job));
    }
}
