//! Registry of client connections.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use lynxstair::types::{Span, Time};

use crate::client_connection::ClientConnection;

/// Idle time-outs of a connection after its first request. The second applies above half of the connection
/// limit.
const IDLE_TIMEOUT: Span = Span::from_millis(10_000);
const CROWDED_IDLE_TIMEOUT: Span = Span::from_millis(2_000);

/// Open client connections, by number.
pub struct ClientRegistry {
    open: Mutex<HashMap<u64, Arc<ClientConnection>>>,
    max_open: usize,
    next_number: AtomicU64,
}

impl ClientRegistry {
    /// Creates an empty registry for at most `max_open` connections.
    pub fn new(max_open: usize) -> Self {
        ClientRegistry { open: Mutex::default(), max_open, next_number: AtomicU64::new(0) }
    }

    fn open(&self) -> MutexGuard<'_, HashMap<u64, Arc<ClientConnection>>> {
        self.open.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Returns a number for a new connection.
    pub fn next_number(&self) -> u64 {
        self.next_number.fetch_add(1, Ordering::Relaxed)
    }

    /// Adds a connection.
    pub fn insert(&self, client: &Arc<ClientConnection>) {
        self.open().insert(client.number, client.clone());
    }

    /// Removes a connection that has ended.
    pub fn remove(&self, client: &ClientConnection) {
        self.open().remove(&client.number);
    }

    /// Returns all connections.
    pub fn all(&self) -> Vec<Arc<ClientConnection>> {
        self.open().values().cloned().collect()
    }

    /// Number of connections.
    pub fn count(&self) -> usize {
        self.open().len()
    }

    /// Number of connections with an open request or with buffered bytes.
    pub fn busy_count(&self) -> usize {
        self.open().values().filter(|client| !client.is_idle()).count()
    }

    /// Returns `true` if a further connection may be opened.
    pub fn has_capacity(&self) -> bool {
        self.count() < self.max_open
    }

    /// Closes the connection that has been idle for the longest time. Returns `false` if none may be closed.
    ///
    /// Connections without a request yet are treated like the others, as their first request may be on its
    /// way.
    pub fn close_longest_idle(&self, now: Time) -> bool {
        let open = self.open();
        let idle = open.values().filter_map(|client| Some((client.idle_time(now)?, client)));
        let Some((_, client)) = idle.max_by_key(|(idle_time, _)| *idle_time) else { return false };
        client.connection.close();
        true
    }

    /// Closes connections that have made no progress for too long.
    pub fn expire(&self, now: Time) {
        let all = self.all();
        // Idle connections may use half of the limit for long; the other half is kept for new clients.
        let is_crowded = all.len() > self.max_open / 2;
        let idle_timeout = if is_crowded { CROWDED_IDLE_TIMEOUT } else { IDLE_TIMEOUT };
        for client in all {
            client.expire(now, idle_timeout);
        }
    }
}
