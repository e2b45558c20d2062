//! Parses operator commands without holding the state lock; large ones on the blocking pool.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

use lynxstair_control_state::command::Command;
use may::sync::Blocker;

use crate::blocking_pool::{BlockingPool, MAX_INLINE_BYTES};

/// Maximum total size of the large commands that wait or are being parsed. Bounds memory, as parsed JSON
/// takes about twenty times the size of its text. A single command may be larger.
const MAX_PARSING_BYTES: usize = 2 << 20;

/// Parser of operator commands, with a limit on concurrent work.
#[derive(Default)]
pub struct CommandParser {
    /// Bytes of large commands that wait or are being parsed.
    parsing_bytes: AtomicUsize,
}

impl CommandParser {
    /// Parses a command. Returns `None` if too many bytes are being parsed, or if the parser panics. Must
    /// be called from a coroutine.
    pub fn parse(&self, pool: &BlockingPool, mut command: Command) -> Option<Command> {
        let bytes = command.body_len();
        if bytes <= MAX_INLINE_BYTES {
            command.parse();
            return Some(command);
        }
        let before = self.parsing_bytes.fetch_add(bytes, Ordering::Relaxed);
        let is_too_much = before > 0 && before + bytes > MAX_PARSING_BYTES;
        let parsed = if is_too_much { None } else { parse_on(pool, command) };
        self.parsing_bytes.fetch_sub(bytes, Ordering::Relaxed);
        parsed
    }
}

fn parse_on(pool: &BlockingPool, mut command: Command) -> Option<Command> {
    let pending = Arc::new(PendingParse { blocker: Blocker::current(), result: Mutex::new(None) });
    let completion = Completion(pending.clone());
    pool.submit(move || {
        command.parse();
        completion.0.complete(Some(command));
    });
    pending.wait()
}

/// A parse job that a coroutine waits for.
struct PendingParse {
    blocker: Arc<Blocker>,
    /// `Some(None)` if the job ended without a result.
    result: Mutex<Option<Option<Command>>>,
}

impl PendingParse {
    fn complete(&self, command: Option<Command>) {
        self.result.lock().unwrap_or_else(|e| e.into_inner()).get_or_insert(command);
        self.blocker.unpark();
    }

    fn wait(&self) -> Option<Command> {
        loop {
            let _ = self.blocker.park(None);
            if let Some(result) = self.result.lock().unwrap_or_else(|e| e.into_inner()).take() {
                return result;
            }
        }
    }
}

/// Wakes the waiting coroutine when dropped, also if the job panics.
struct Completion(Arc<PendingParse>);

impl Drop for Completion {
    fn drop(&mut self) {
        self.0.complete(None);
    }
}
