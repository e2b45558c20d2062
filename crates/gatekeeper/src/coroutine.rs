//! Starting coroutines: the only place that needs `unsafe`, and what a panic in one leads to.

use std::panic::{AssertUnwindSafe, catch_unwind};

use crate::log;

/// Stack of a coroutine, in words. Measured (docs/architecture.md): the deepest use is under a third of it.
pub const STACK_WORDS: usize = 0x2000;

/// Runs a job as a coroutine. A panic in it is logged and ends only the job.
pub fn go(what: &'static str, job: impl FnOnce() + Send + 'static) {
    let guarded = move || {
        if catch_unwind(AssertUnwindSafe(job)).is_err() {
            log!("a coroutine for {what} panicked");
        }
    };
    // Safe here as there is one worker thread: no coroutine moves to another, so thread locals stay valid;
    // the stack is far larger than what was measured, and has a guard page.
    #[allow(unsafe_code)]
    let spawned = unsafe { may::coroutine::Builder::new().spawn(guarded) };
    if let Err(e) = spawned {
        log!("no coroutine for {what}: {e}");
    }
}

/// Before the first coroutine: one thread, not pinned (each program would take the same core), small stacks.
/// The panic message is one line: a backtrace would need more stack than a coroutine has.
pub fn prepare() {
    may::config().set_workers(1).set_stack_size(STACK_WORDS).set_worker_pin(false);
    std::panic::set_hook(Box::new(|panic| log!("{panic}")));
}
