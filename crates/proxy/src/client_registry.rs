//! All clients' connections, and how many there may be.

use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use lynxstair::types::Time;

use crate::client_connection::ClientConnection;

/// Clients' connections by their numbers.
pub struct ClientRegistry {
    max_open: usize,
    open: AtomicUsize,
    connections: Mutex<HashMap<usize, Arc<ClientConnection>>>,
    last_number: AtomicUsize,
}

/// What is in flight on all connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct InFlightSummary {
    /// How many requests.
    pub requests: usize,
    /// When the one read last was read.
    pub last_read_at: Option<Time>,
}

impl ClientRegistry {
    /// `max_open`: how many connections there may be.
    pub fn new(max_open: usize) -> ClientRegistry {
        ClientRegistry {
            max_open,
            open: AtomicUsize::new(0),
            connections: Mutex::default(),
            last_number: AtomicUsize::new(0),
        }
    }

    fn connections(&self) -> MutexGuard<'_, HashMap<usize, Arc<ClientConnection>>> {
        self.connections.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// How many connections there are.
    pub fn count(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Whether there is room for no more.
    pub fn is_full(&self) -> bool {
        self.count() >= self.max_open
    }

    /// Adds a connection; its number.
    pub fn add(&self, client: &Arc<ClientConnection>) -> usize {
        let number = self.last_number.fetch_add(1, Ordering::Relaxed);
        self.open.fetch_add(1, Ordering::Relaxed);
        self.connections().insert(number, client.clone());
        number
    }

    /// A connection has ended.
    pub fn remove(&self, number: usize) {
        self.connections().remove(&number);
        self.open.fetch_sub(1, Ordering::Relaxed);
    }

    /// What is in flight now.
    pub fn in_flight(&self) -> InFlightSummary {
        let mut summary = InFlightSummary::default();
        for client in self.connections().values() {
            let read_times = client.read_times();
            summary.requests += read_times.len();
            summary.last_read_at = summary.last_read_at.max(read_times.into_iter().max());
        }
        summary
    }

    /// Has every request in flight get its response now.
    pub fn shut_down_all(&self) {
        for client in self.connections().values() {
            client.shut_down();
        }
    }

    /// Whether every response has been handed to the kernel.
    pub fn is_flushed(&self) -> bool {
        self.connections()
            .values()
            .all(|client| client.read_times().is_empty() && client.connection.unsent() == 0)
    }

    /// Has every connection look whether it should end.
    pub fn wake_all(&self) {
        for client in self.connections().values() {
            client.connection.wake();
        }
    }
}
