//! Starting coroutines: the only place that needs `unsafe`, and what a panic in one leads to.

use std::panic::{AssertUnwindSafe, catch_unwind};

use crate::log;

/// Stack of a coroutine, in words. The deepest use measured was 1,342 in a release build and 5,926 in a debug
/// one (docs/gatekeeper.md says how); the rest is for unwinding. What is not touched takes no memory.
const STACK_WORDS: usize = 0x4000;

/// Stacks that are made at the start and kept for the next coroutine. Each costs two system calls and a page:
/// may's own thousand took 10 ms of CPU before the first invocation.
const SPARE: usize = 64;

/// Runs a job as a coroutine. A panic in it is logged and ends only the job.
pub fn go(what: &'static str, job: impl FnOnce() + Send + 'static) {
    go_then(what, job, |_| ());
}

/// The same, and then what ends it, which is told whether the job panicked. It comes on every path, also where there
/// is no stack for the job.
pub fn go_then(
    what: &'static str,
    job: impl FnOnce() + Send + 'static,
    end: impl FnOnce(bool) + Send + 'static,
) {
    let guarded = guarded(what, job, end);
    // Safe here as there is one worker thread: no coroutine moves to another, so thread locals stay valid;
    // the stack is far larger than what was measured, and has a guard page.
    #[allow(unsafe_code)]
    let spawn = || unsafe { may::coroutine::Builder::new().spawn(guarded) };
    // may panics where no stack can be had: that must not end the coroutine that asked, which accepts all others.
    match catch_unwind(AssertUnwindSafe(spawn)) {
        Ok(Ok(_)) => {}
        Ok(Err(e)) => log!("no coroutine for {what}: {e}"),
        Err(_) => log!("no coroutine for {what}"),
    }
}

/// What is left to do after a job, done when this is dropped.
struct Ending<E: FnOnce(bool)> {
    what: &'static str,
    end: Option<E>,
    panicked: bool,
}

impl<E: FnOnce(bool)> Drop for Ending<E> {
    fn drop(&mut self) {
        let Some(end) = self.end.take() else { return };
        if catch_unwind(AssertUnwindSafe(|| end(self.panicked))).is_err() || self.panicked {
            log!("a coroutine for {} panicked", self.what);
        }
    }
}

fn guarded(what: &'static str, job: impl FnOnce(), end: impl FnOnce(bool)) -> impl FnOnce() {
    let mut ending = Ending { what, end: Some(end), panicked: false };
    move || {
        // Taken as a whole, so that it is dropped with the closure where that never runs.
        let ending = &mut ending;
        ending.panicked = catch_unwind(AssertUnwindSafe(job)).is_err();
    }
}

/// Before the first coroutine: one thread, not pinned (each program would take the same core), small stacks.
/// The panic message is one line: a backtrace would need more stack than a coroutine has.
pub fn prepare() {
    may::config().set_workers(1).set_stack_size(STACK_WORDS).set_pool_capacity(SPARE).set_worker_pin(false);
    std::panic::set_hook(Box::new(|panic| log!("{panic}")));
}

#[cfg(test)]
mod tests;
