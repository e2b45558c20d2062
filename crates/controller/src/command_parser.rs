//! Parses operator commands without holding the state lock; large ones on the blocking pool. Limits how much of them
//! is handled at the same time.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

use lynxstair_control_state::command::Command;
use may::sync::Blocker;

use crate::blocking_pool::{BlockingPool, MAX_INLINE_BYTES};

/// Parser of operator commands, with a limit on the commands that are handled at the same time.
pub struct CommandParser {
    /// Limit of `handled_bytes`. A single command may be larger.
    max_bytes: usize,
    /// Bytes of the commands that are handled: their texts, and what they were parsed into, are held until their
    /// callers are answered.
    handled_bytes: AtomicUsize,
}

/// A command counts as handled until this is dropped.
pub struct CommandPermit<'a> {
    parser: &'a CommandParser,
    bytes: usize,
}

impl Drop for CommandPermit<'_> {
    fn drop(&mut self) {
        self.parser.handled_bytes.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

impl CommandParser {
    /// Creates a parser. `max_bytes`: limit on the bytes of the commands that are handled at the same time.
    pub fn new(max_bytes: usize) -> CommandParser {
        CommandParser { max_bytes, handled_bytes: AtomicUsize::new(0) }
    }

    /// Permits a command with a body of this length; `None` if too many bytes are being handled.
    pub fn permit(&self, bytes: usize) -> Option<CommandPermit<'_>> {
        let before = self.handled_bytes.fetch_add(bytes, Ordering::Relaxed);
        let permit = CommandPermit { parser: self, bytes };
        (before == 0 || before + bytes <= self.max_bytes).then_some(permit)
    }

    /// Parses a permitted command. Returns `None` if the parser panics. Must be called from a coroutine.
    pub fn parse(&self, pool: &BlockingPool, mut command: Command) -> Option<Command> {
        if command.body_len() <= MAX_INLINE_BYTES {
            command.parse();
            return Some(command);
        }
        parse_on(pool, command)
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
