//! Parses the operator's commands before anything is locked, large ones on the blocking pool.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

use lynxstair_control_state::command::Command;
use may::sync::Blocker;

use crate::blocking_pool::{BlockingPool, MAX_INLINE_BYTES};

/// How many bytes of large commands may wait to be parsed; a single command may be larger. Parsed values take twenty times
/// the memory of their text.
const MAX_PARSING_BYTES: usize = 2 << 20;

/// Parses commands.
#[derive(Default)]
pub struct CommandParser {
    /// Bytes of large commands that wait, or are being parsed.
    parsing: AtomicUsize,
}

impl CommandParser {
    /// Parses a command; for coroutines. None where too much is being parsed.
    pub fn parse(&self, pool: &BlockingPool, mut command: Command) -> Option<Command> {
        let bytes = command.body_len();
        if bytes <= MAX_INLINE_BYTES {
            command.parse();
            return Some(command);
        }
        let before = self.parsing.fetch_add(bytes, Ordering::Relaxed);
        let is_too_much = before > 0 && before + bytes > MAX_PARSING_BYTES;
        let parsed = if is_too_much { None } else { parse_on(pool, command) };
        self.parsing.fetch_sub(bytes, Ordering::Relaxed);
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

/// A coroutine that waits for the pool.
struct PendingParse {
    blocker: Arc<Blocker>,
    /// The inner None where the job ended without a result.
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

/// However the job ends, nobody waits for it any more.
struct Completion(Arc<PendingParse>);

impl Drop for Completion {
    fn drop(&mut self) {
        self.0.complete(None);
    }
}
