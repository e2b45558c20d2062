//! Signal handling: SIGHUP reloads the settings, SIGTERM and SIGINT start a graceful shutdown.

use std::sync::mpsc::channel;

use lynxstair_net::coroutine::spawn;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals as SignalIterator;

use crate::StartError;

/// Handlers for SIGHUP, SIGTERM and SIGINT.
pub struct Signals(SignalIterator);

impl Signals {
    /// Installs the handlers. To be called before any work that a signal must not interrupt.
    pub fn catch() -> Result<Signals, StartError> {
        let signals = SignalIterator::new([SIGTERM, SIGINT, SIGHUP]);
        signals.map(Signals).map_err(|e| StartError::System("signals", e))
    }

    /// Blocks the calling thread until SIGTERM or SIGINT, then runs `shut_down` in a coroutine and waits
    /// for it. Calls `reload` at each SIGHUP.
    pub fn run_until_shutdown(mut self, reload: impl Fn(), shut_down: impl FnOnce() + Send + 'static) {
        while self.0.forever().next() == Some(SIGHUP) {
            reload();
        }
        let (sender, ended) = channel();
        spawn("shutdown", move || {
            shut_down();
            let _ = sender.send(());
        });
        let _ = ended.recv();
    }
}
