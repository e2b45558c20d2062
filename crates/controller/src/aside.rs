//! A thread for what takes long: the hut has one for all else, and a leader that reads for half a second leads no more.
//! It is there from the start: a coroutine has not the stack to begin one.

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::mpsc::{Sender, channel};
use std::thread;

/// Of more bytes than these a configuration is read aside.
pub const MOST_AT_ONCE: usize = 64 << 10;

type Work = Box<dyn FnOnce() + Send>;

pub struct Aside(Sender<Work>);

impl Aside {
    pub fn begin() -> Result<Aside, String> {
        let (aside, work) = channel::<Work>();
        thread::Builder::new()
            .name("aside".to_string())
            .stack_size(1 << 20)
            .spawn(move || {
                for work in work {
                    // Whoever waits for it is told by what the work drops; it was logged.
                    let _ = catch_unwind(AssertUnwindSafe(work));
                }
            })
            .map_err(|e| format!("the thread aside: {e}"))?;
        Ok(Aside(aside))
    }

    /// Does it after all that was asked for before.
    pub fn go(&self, work: impl FnOnce() + Send + 'static) {
        let _ = self.0.send(Box::new(work));
    }
}
