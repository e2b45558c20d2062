//! Starting coroutines: the only place that needs `unsafe`, and what a panic in one leads to.

use std::panic::{AssertUnwindSafe, catch_unwind};

use crate::log_limited;

/// The stack of a coroutine, in words. The deepest use measured was 1,342 in a release build and 5,926 in a debug one
/// (docs/gatekeeper.md says how); the rest is for unwinding. What is not touched takes no memory.
const STACK_WORDS: usize = 0x4000;

/// How many stacks are made at the start and kept for reuse. Each costs two system calls and a page: may's default of a
/// thousand took 10 ms of CPU before the first request.
const POOLED_STACKS: usize = 64;

/// Runs a job as a coroutine. A panic in it is logged and ends only the job.
pub fn spawn(name: &'static str, job: impl FnOnce() + Send + 'static) {
    spawn_then(name, job, |_| ());
}

/// The same, and then `on_end`, which is told whether the job panicked. It is called on every path, also where there is no
/// stack for the job.
pub fn spawn_then(
    name: &'static str,
    job: impl FnOnce() + Send + 'static,
    on_end: impl FnOnce(bool) + Send + 'static,
) {
    let guarded = guarded(name, job, on_end);
    // Safe here as there is one worker thread: no coroutine moves to another, so thread locals stay valid; the stack is far
    // larger than what was measured, and has a guard page.
    #[allow(unsafe_code)]
    let spawn = || unsafe { may::coroutine::Builder::new().spawn(guarded) };
    // may panics where no stack can be had: that must not end the coroutine that asked, which accepts all others.
    match catch_unwind(AssertUnwindSafe(spawn)) {
        Ok(Ok(_)) => {}
        Ok(Err(e)) => log_limited!("no coroutine for {name}: {e}"),
        Err(_) => log_limited!("no coroutine for {name}"),
    }
}

/// Calls `on_end` when it is dropped.
struct Completion<E: FnOnce(bool)> {
    name: &'static str,
    on_end: Option<E>,
    has_panicked: bool,
}

impl<E: FnOnce(bool)> Drop for Completion<E> {
    fn drop(&mut self) {
        let Some(on_end) = self.on_end.take() else { return };
        let end = AssertUnwindSafe(|| on_end(self.has_panicked));
        if catch_unwind(end).is_err() || self.has_panicked {
            log_limited!("a coroutine for {} panicked", self.name);
        }
    }
}

fn guarded(name: &'static str, job: impl FnOnce(), on_end: impl FnOnce(bool)) -> impl FnOnce() {
    let mut completion = Completion { name, on_end: Some(on_end), has_panicked: false };
    move || {
        // Captured as one value, so that it is dropped with the closure where that never runs.
        let completion = &mut completion;
        completion.has_panicked = catch_unwind(AssertUnwindSafe(job)).is_err();
    }
}

/// Configures the runtime; to be called before the first coroutine. One thread, not pinned (each program would take the same
/// core), small stacks. A panic's message is one line: a backtrace would need more stack than a coroutine has.
pub fn configure_runtime() {
    let config = may::config();
    config.set_workers(1).set_stack_size(STACK_WORDS).set_pool_capacity(POOLED_STACKS).set_worker_pin(false);
    std::panic::set_hook(Box::new(|panic| log_limited!("{panic}")));
}

#[cfg(test)]
mod tests;
