//! Cancellation of a request's wait for a worker.

use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex};

use lynxstair_net::connection::Connection;
use lynxstair_routing::attempt::StopReason;

/// Not cancelled.
const ACTIVE: u8 = 0;
/// The process is about to exit; the client still gets a response.
const SHUTTING_DOWN: u8 = 1;
/// The client has disconnected; takes precedence over `SHUTTING_DOWN`.
const CLIENT_GONE: u8 = 2;

/// Cancels the attempts of one request.
#[derive(Default)]
pub struct CancelToken {
    state: AtomicU8,
    connection: Mutex<Option<Arc<Connection>>>,
}

impl CancelToken {
    /// Sets the worker connection to wake on cancellation.
    pub(crate) fn watch(&self, connection: &Arc<Connection>) {
        *self.connection.lock().unwrap_or_else(|e| e.into_inner()) = Some(connection.clone());
    }

    /// Cancels the request because its client has disconnected.
    pub fn cancel(&self) {
        self.set(CLIENT_GONE);
    }

    /// Ends the wait for workers because the process is about to exit; the client still gets a response.
    pub fn shut_down(&self) {
        self.set(SHUTTING_DOWN);
    }

    fn set(&self, state: u8) {
        self.state.fetch_max(state, Ordering::Relaxed);
        if let Some(connection) = self.connection.lock().unwrap_or_else(|e| e.into_inner()).as_ref() {
            connection.wake();
        }
    }

    /// Returns `true` if the client has disconnected.
    pub fn is_cancelled(&self) -> bool {
        self.stop_reason() == Some(StopReason::ClientGone)
    }

    /// Returns why the wait for workers must end, or `None` if it goes on.
    pub fn stop_reason(&self) -> Option<StopReason> {
        match self.state.load(Ordering::Relaxed) {
            ACTIVE => None,
            SHUTTING_DOWN => Some(StopReason::ShuttingDown),
            _ => Some(StopReason::ClientGone),
        }
    }
}
