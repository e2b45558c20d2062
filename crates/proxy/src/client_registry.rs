//! Registry of all client connections, with a limit on their number.

use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use lynxstair::types::Time;

use crate::client_connection::ClientConnection;

/// Client connections by their numbers.
pub struct ClientRegistry {
    max_open: usize,
    open: AtomicUsize,
    connections: Mutex<HashMap<usize, Arc<ClientConnection>>>,
    next_number: AtomicUsize,
}

/// Requests in flight on all connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct InFlightSummary {
    /// Number of requests.
    pub requests: usize,
    /// Time at which the newest of them was read.
    pub last_read_at: Option<Time>,
}

impl ClientRegistry {
    /// Creates an empty registry. `max_open`: limit of open connections.
    pub fn new(max_open: usize) -> ClientRegistry {
        ClientRegistry {
            max_open,
            open: AtomicUsize::new(0),
            connections: Mutex::default(),
            next_number: AtomicUsize::new(0),
        }
    }

    fn connections(&self) -> MutexGuard<'_, HashMap<usize, Arc<ClientConnection>>> {
        self.connections.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Returns the number of open connections.
    pub fn count(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Returns `true` if the connection limit is reached.
    pub fn is_full(&self) -> bool {
        self.count() >= self.max_open
    }

    /// Adds a connection and returns its number.
    pub fn add(&self, client: &Arc<ClientConnection>) -> usize {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        self.open.fetch_add(1, Ordering::Relaxed);
        self.connections().insert(number, client.clone());
        number
    }

    /// Removes a connection that has ended.
    pub fn remove(&self, number: usize) {
        self.connections().remove(&number);
        self.open.fetch_sub(1, Ordering::Relaxed);
    }

    /// Summarizes the requests in flight.
    pub fn in_flight(&self) -> InFlightSummary {
        let mut summary = InFlightSummary::default();
        for client in self.connections().values() {
            let read_times = client.read_times();
            summary.requests += read_times.len();
            summary.last_read_at = summary.last_read_at.max(read_times.into_iter().max());
        }
        summary
    }

    /// Makes every request in flight stop waiting for its worker, so that it gets its response now.
    pub fn shut_down_all(&self) {
        for client in self.connections().values() {
            client.shut_down();
        }
    }

    /// Returns `true` if no request is in flight and all responses were handed to the kernel.
    pub fn is_flushed(&self) -> bool {
        self.connections()
            .values()
            .all(|client| client.read_times().is_empty() && client.connection.unsent() == 0)
    }

    /// Wakes every connection to check whether it should close.
    pub fn wake_all(&self) {
        for client in self.connections().values() {
            client.connection.wake();
        }
    }
}
