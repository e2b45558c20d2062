//! Tells whoever waits for a worker that nothing more is to be waited for.

use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex};

use lynxstair_net::connection::Connection;
use lynxstair_routing::attempt::StopReason;

/// No cancellation yet.
const ACTIVE: u8 = 0;
/// The process is about to end: the client still gets a response.
const SHUTTING_DOWN: u8 = 1;
/// The client has left: nobody waits for a response. It outweighs the other.
const CLIENT_GONE: u8 = 2;

/// Cancels what is done for one request.
#[derive(Default)]
pub struct CancelToken {
    state: AtomicU8,
    connection: Mutex<Option<Arc<Connection>>>,
}

impl CancelToken {
    /// The connection whose reader is to be woken.
    pub(crate) fn watch(&self, connection: &Arc<Connection>) {
        *self.connection.lock().unwrap_or_else(|e| e.into_inner()) = Some(connection.clone());
    }

    /// The client has left: what is out for it ends.
    pub fn cancel(&self) {
        self.set(CLIENT_GONE);
    }

    /// The process is about to end: the request gets its response now, whatever is out for it.
    pub fn shut_down(&self) {
        self.set(SHUTTING_DOWN);
    }

    fn set(&self, state: u8) {
        self.state.fetch_max(state, Ordering::Relaxed);
        if let Some(connection) = self.connection.lock().unwrap_or_else(|e| e.into_inner()).as_ref() {
            connection.wake();
        }
    }

    /// Whether the client has left.
    pub fn is_cancelled(&self) -> bool {
        self.stop_reason() == Some(StopReason::ClientGone)
    }

    /// Why nothing more is to be waited for, if so.
    pub fn stop_reason(&self) -> Option<StopReason> {
        match self.state.load(Ordering::Relaxed) {
            ACTIVE => None,
            SHUTTING_DOWN => Some(StopReason::ShuttingDown),
            _ => Some(StopReason::ClientGone),
        }
    }
}
