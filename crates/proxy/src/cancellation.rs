//! Tells whoever waits for a worker that the client has left.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

use lynxstair_net::connection::Connection;

/// Cancels what is done for one request.
#[derive(Default)]
pub struct CancelToken {
    is_cancelled: AtomicBool,
    connection: Mutex<Option<Arc<Connection>>>,
}

impl CancelToken {
    /// The connection whose reader is to be woken.
    pub(crate) fn watch(&self, connection: &Arc<Connection>) {
        *self.connection.lock().unwrap_or_else(|e| e.into_inner()) = Some(connection.clone());
    }

    /// The client has left: what is out for it ends.
    pub fn cancel(&self) {
        self.is_cancelled.store(true, Ordering::Relaxed);
        if let Some(connection) = self.connection.lock().unwrap_or_else(|e| e.into_inner()).as_ref() {
            connection.wake();
        }
    }

    /// Whether the client has left.
    pub fn is_cancelled(&self) -> bool {
        self.is_cancelled.load(Ordering::Relaxed)
    }
}
