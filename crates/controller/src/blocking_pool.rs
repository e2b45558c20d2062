//! A thread for long computations. All coroutines share one other thread, and a leader that is blocked for
//! half a second loses quorum contact. The thread is spawned at the start, because the stack of a coroutine is
//! too small for spawning one.

use std::io;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::mpsc::{Sender, channel};
use std::thread;

/// Maximum size in bytes of a command or configuration that is parsed without the blocking pool.
pub const MAX_INLINE_BYTES: usize = 64 << 10;

const STACK_BYTES: usize = 1 << 20;

type Job = Box<dyn FnOnce() + Send>;

/// Runs jobs on one thread, in the order of submission.
pub struct BlockingPool(Sender<Job>);

impl BlockingPool {
    /// Spawns the thread, which runs until the process exits.
    pub fn spawn() -> io::Result<BlockingPool> {
        let (sender, jobs) = channel::<Job>();
        thread::Builder::new().name("blocking".to_string()).stack_size(STACK_BYTES).spawn(move || {
            for job in jobs {
                // A panic is already logged, and the values that the job drops notify the waiting
                // coroutine.
                let _ = catch_unwind(AssertUnwindSafe(job));
            }
        })?;
        Ok(BlockingPool(sender))
    }

    /// Submits a job, which runs after all that were submitted before.
    pub fn submit(&self, job: impl FnOnce() + Send + 'static) {
        let _ = self.0.send(Box::new(job));
    }
}
