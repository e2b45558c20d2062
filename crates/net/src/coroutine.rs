//! Starts coroutines and contains their panics. This is the only module of the package with `unsafe` code.

use std::panic::{AssertUnwindSafe, catch_unwind};

use crate::log_limited;

/// Stack size of a coroutine, in words. The deepest use is 1,342 words in a release build and 5,926 in a debug
/// build (docs/gatekeeper.md); the rest is for unwinding. Pages that are not touched take no memory.
const STACK_WORDS: usize = 0x4000;

/// Number of stacks that are allocated at the start and kept for reuse. Each costs two system calls and a page,
/// so that the default of `may`, a thousand, slows down the start.
const POOLED_STACKS: usize = 64;

/// Runs `job` in a new coroutine. A panic is logged and ends only this coroutine.
pub fn spawn(name: &'static str, job: impl FnOnce() + Send + 'static) {
    spawn_then(name, job, |_| ());
}

/// Runs `job` in a new coroutine, and then `on_end` with `true` if the job panicked.
///
/// `on_end` is called on every path, even if the coroutine cannot be started.
pub fn spawn_then(
    name: &'static str,
    job: impl FnOnce() + Send + 'static,
    on_end: impl FnOnce(bool) + Send + 'static,
) {
    let guarded = guarded(name, job, on_end);
    // SAFETY: there is one worker thread, so no coroutine moves to another thread and thread locals stay
    // valid. The stack is large enough for every job, and has a guard page.
    #[allow(unsafe_code)]
    let spawn = || unsafe { may::coroutine::Builder::new().spawn(guarded) };
    // `may` panics if it cannot allocate a stack. That must not end the calling coroutine, such as a
    // listener's.
    match catch_unwind(AssertUnwindSafe(spawn)) {
        Ok(Ok(_)) => {}
        Ok(Err(e)) => log_limited!("cannot start a coroutine for {name}: {e}"),
        Err(_) => log_limited!("cannot start a coroutine for {name}"),
    }
}

/// Calls `on_end` on drop.
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
        // Captures the whole value, so that it is dropped with the closure even if the closure never runs.
        let completion = &mut completion;
        completion.has_panicked = catch_unwind(AssertUnwindSafe(job)).is_err();
    }
}

/// Configures the runtime. Must be called before the first coroutine is started.
///
/// The one worker thread is not pinned, as every program would use the same core. Panics are logged without a
/// backtrace, which would need more stack than a coroutine has.
pub fn configure_runtime() {
    let config = may::config();
    config.set_workers(1).set_stack_size(STACK_WORDS).set_pool_capacity(POOLED_STACKS).set_worker_pin(false);
    std::panic::set_hook(Box::new(|panic| log_limited!("{panic}")));
}

#[cfg(test)]
mod tests;
