//! All clients' connections.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use lynxstair::types::{Span, Time};

use crate::client_connection::ClientConnection;

/// How long a connection that had a reply may rest; the second time-out holds where more than half of the places are taken.
const IDLE_TIMEOUT: Span = Span::from_millis(10_000);
const CROWDED_IDLE_TIMEOUT: Span = Span::from_millis(2_000);

/// All clients' connections, by their numbers.
pub struct ClientRegistry {
    open: Mutex<HashMap<u64, Arc<ClientConnection>>>,
    max_open: usize,
    last_number: AtomicU64,
}

impl ClientRegistry {
    /// No connections yet. `max_open`: how many there may be.
    pub fn new(max_open: usize) -> Self {
        ClientRegistry { open: Mutex::default(), max_open, last_number: AtomicU64::new(0) }
    }

    fn open(&self) -> MutexGuard<'_, HashMap<u64, Arc<ClientConnection>>> {
        self.open.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// A number for a new connection.
    pub fn next_number(&self) -> u64 {
        self.last_number.fetch_add(1, Ordering::Relaxed)
    }

    /// Adds a connection.
    pub fn insert(&self, client: &Arc<ClientConnection>) {
        self.open().insert(client.number, client.clone());
    }

    /// A connection has ended.
    pub fn remove(&self, client: &ClientConnection) {
        self.open().remove(&client.number);
    }

    /// All connections.
    pub fn all(&self) -> Vec<Arc<ClientConnection>> {
        self.open().values().cloned().collect()
    }

    /// How many connections there are.
    pub fn count(&self) -> usize {
        self.open().len()
    }

    /// How many of them wait for a reply, or have bytes in a buffer.
    pub fn busy_count(&self) -> usize {
        self.open().values().filter(|client| !client.is_idle()).count()
    }

    /// Whether there is room for another one.
    pub fn has_room(&self) -> bool {
        self.count() < self.max_open
    }

    /// Closes the connection that holds nothing and has done nothing for the longest; false where there is none. A new one
    /// has not asked yet, and may be about to: it is no worse than one that asked long ago and stays.
    pub fn close_idlest(&self, now: Time) -> bool {
        let open = self.open();
        let idle = open.values().filter_map(|client| Some((client.idle_time(now)?, client)));
        let Some((_, client)) = idle.max_by_key(|(idle_time, _)| *idle_time) else { return false };
        client.connection.close();
        true
    }

    /// Ends connections on which nothing has moved for too long.
    pub fn expire(&self, now: Time) {
        let all = self.all();
        // Half of the places are for who rests a while; the others are kept for who comes.
        let is_crowded = all.len() > self.max_open / 2;
        let idle_timeout = if is_crowded { CROWDED_IDLE_TIMEOUT } else { IDLE_TIMEOUT };
        for client in all {
            client.expire(now, idle_timeout);
        }
    }
}
