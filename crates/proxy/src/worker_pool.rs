//! Pool of connections to workers.

use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use lynxstair::types::{Span, Time};
use lynxstair_net::alarms::Alarms;
use lynxstair_net::connection::Connection;
use lynxstair_net::http::MAX_HEAD_BYTES;
use lynxstair_routing::locality_balancer::Worker;

use crate::cancellation::CancelToken;
use crate::worker_reply::WorkerReply;

/// Buffer size of a worker connection: the longest body that a client may send, and its head.
pub(crate) const MAX_BUFFER_BYTES: usize = (2 << 20) + 2 * MAX_HEAD_BYTES;
/// Time-out of a connect to a worker. One that takes longer leads to no worker that is there.
const CONNECT_TIMEOUT: Span = Span::from_millis(400);
/// Longest time that an idle connection may be reused.
const MAX_IDLE: Span = Span::from_millis(6_000);
/// Margin subtracted from the worker's announced idle time-out.
const IDLE_MARGIN: Span = Span::from_millis(1_200);

struct IdleConnection {
    connection: Arc<Connection>,
    reusable_until: Time,
}

/// Pool of connections to workers, with a limit on open connections.
#[derive(Default)]
pub struct WorkerPool {
    /// Idle connections by instance id, the most recently used one last.
    idle: Mutex<HashMap<String, Vec<IdleConnection>>>,
    /// Number of open connections, idle ones included.
    open: AtomicUsize,
    max_open: usize,
}

/// A connection reserved for one request.
pub(crate) struct WorkerConnection {
    pub connection: Arc<Connection>,
    /// `true` if it has carried no request yet.
    pub is_new: bool,
}

impl WorkerPool {
    /// Creates an empty pool. `max_open`: limit of open connections, idle ones included.
    pub fn new(max_open: usize) -> WorkerPool {
        WorkerPool { max_open, ..WorkerPool::default() }
    }

    fn idle(&self) -> MutexGuard<'_, HashMap<String, Vec<IdleConnection>>> {
        self.idle.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Takes the most recently used idle connection that is still usable.
    fn take_idle(&self, now: Time, worker: &Worker) -> Option<Arc<Connection>> {
        let mut idle = self.idle();
        let connections = idle.get_mut(&worker.id)?;
        while let Some(found) = connections.pop() {
            if now < found.reusable_until && !found.connection.is_stale() {
                return Some(found.connection);
            }
            self.discard(&found.connection);
        }
        None
    }

    /// Closes a connection and removes it from the count of open ones.
    pub(crate) fn discard(&self, connection: &Connection) {
        connection.close();
        self.open.fetch_sub(1, Ordering::Relaxed);
    }

    /// Closes idle connections that may no longer be reused.
    pub fn expire(&self, now: Time) {
        let mut idle = self.idle();
        idle.retain(|_, connections| {
            connections.retain(|idle| {
                if idle.reusable_until <= now {
                    self.discard(&idle.connection);
                }
                now < idle.reusable_until
            });
            !connections.is_empty()
        });
    }

    /// Returns `true` if a connection may be opened; closes an idle one if the limit is reached.
    fn make_room(&self) -> bool {
        if self.open.load(Ordering::Relaxed) < self.max_open {
            return true;
        }
        let mut idle = self.idle();
        let Some(connections) = idle.values_mut().find(|c| !c.is_empty()) else { return false };
        let oldest = connections.remove(0);
        drop(idle);
        self.discard(&oldest.connection);
        true
    }

    /// Returns an idle or a new connection to the worker. Returns `None` if the limit is reached, or if the
    /// connect fails, times out or is cancelled.
    pub(crate) fn connect(
        &self,
        alarms: &Alarms,
        worker: &Worker,
        deadline: Time,
        cancel: &CancelToken,
    ) -> Option<WorkerConnection> {
        let now = alarms.now();
        if let Some(connection) = self.take_idle(now, worker) {
            cancel.watch(&connection);
            return Some(WorkerConnection { connection, is_new: false });
        }
        if !self.make_room() {
            return None;
        }
        let connection = Arc::new(Connection::open(worker.address, MAX_BUFFER_BYTES).ok()?);
        self.open.fetch_add(1, Ordering::Relaxed);
        cancel.watch(&connection);
        let connect_by = (now + CONNECT_TIMEOUT).min(deadline);
        alarms.wake_connection(connect_by, &connection);
        let is_over = || alarms.now() >= connect_by || cancel.stop_reason().is_some();
        if connection.wait_connected_until(is_over).is_err() {
            self.discard(&connection);
            return None;
        }
        Some(WorkerConnection { connection, is_new: true })
    }

    /// Returns the connection of a finished reply to the pool, or closes it if it cannot be reused.
    pub fn release(&self, reply: WorkerReply) {
        let WorkerReply { connection, worker, extent, remaining, reusable_until, .. } = reply;
        match reusable_until {
            Some(reusable_until) if remaining == 0 => {
                connection.inbound().consume(extent.total);
                let idle = IdleConnection { connection, reusable_until };
                self.idle().entry(worker.id.clone()).or_default().push(idle);
            }
            _ => self.discard(&connection),
        }
    }
}

/// Returns how long an idle connection may be reused. `keep_alive`: the worker's announced idle time-out.
pub(crate) fn max_idle_time(keep_alive: Option<Span>) -> Span {
    let announced = keep_alive.map(|k| Span::from_nanos(k.nanos().saturating_sub(IDLE_MARGIN.nanos())));
    announced.unwrap_or(MAX_IDLE).min(MAX_IDLE)
}
