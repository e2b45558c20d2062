//! The signals that a program goes by: SIGHUP reloads the settings, SIGTERM and SIGINT end it gracefully.

use std::sync::mpsc::channel;

use lynxstair_net::coroutine::spawn;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals as SignalIterator;

use crate::StartError;

/// Signals, caught from here on.
pub struct Signals(SignalIterator);

impl Signals {
    /// Catches the signals, before anything that one of them should not end.
    pub fn catch() -> Result<Signals, StartError> {
        let signals = SignalIterator::new([SIGTERM, SIGINT, SIGHUP]);
        signals.map(Signals).map_err(|e| StartError::System("signals", e))
    }

    /// Waits on the main thread until the program is told to end, then until `shut_down` has returned. That runs in a
    /// coroutine, as all that sleeps here does.
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
