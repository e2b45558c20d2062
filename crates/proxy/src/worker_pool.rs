//! The pool of connections to workers.

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

/// What a connection holds of a request that the kernel has not taken: as much as a client may send, and its head.
const MAX_BUFFER: usize = (2 << 20) + 2 * MAX_HEAD_BYTES;
/// A connection attempt that takes longer leads to no worker that is there.
const CONNECT_TIMEOUT: Span = Span::from_millis(400);
/// An idle connection is reused no later than this,
const MAX_IDLE: Span = Span::from_millis(6_000);
/// or than the worker says, less this margin.
const IDLE_MARGIN: Span = Span::from_millis(1_200);

struct IdleConnection {
    connection: Arc<Connection>,
    until: Time,
}

/// Connections to workers.
#[derive(Default)]
pub struct WorkerPool {
    /// By the instance's id, the one used last at the end.
    idle: Mutex<HashMap<String, Vec<IdleConnection>>>,
    open: AtomicUsize,
    max_open: usize,
}

/// A connection to send one request on.
pub(crate) struct WorkerConnection {
    pub connection: Arc<Connection>,
    /// It carried no request yet.
    pub is_new: bool,
}

impl WorkerPool {
    /// `max_open`: how many connections may be open, idle ones included.
    pub fn new(max_open: usize) -> WorkerPool {
        WorkerPool { max_open, ..WorkerPool::default() }
    }

    fn idle(&self) -> MutexGuard<'_, HashMap<String, Vec<IdleConnection>>> {
        self.idle.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// The idle connection used last that is still good.
    fn take_idle(&self, now: Time, worker: &Worker) -> Option<Arc<Connection>> {
        let mut idle = self.idle();
        let connections = idle.get_mut(&worker.id)?;
        while let Some(found) = connections.pop() {
            if now < found.until && !found.connection.is_stale() {
                return Some(found.connection);
            }
            self.discard(&found.connection);
        }
        None
    }

    /// Ends a connection.
    pub(crate) fn discard(&self, connection: &Connection) {
        connection.close();
        self.open.fetch_sub(1, Ordering::Relaxed);
    }

    /// Closes what has been idle for too long.
    pub fn expire(&self, now: Time) {
        let mut idle = self.idle();
        idle.retain(|_, connections| {
            connections.retain(|idle| {
                if idle.until <= now {
                    self.discard(&idle.connection);
                }
                now < idle.until
            });
            !connections.is_empty()
        });
    }

    /// Whether a connection may be opened; where there are too many, an idle one gives way.
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

    /// A connection to the worker: an idle one, or a new one.
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
        let connection = Arc::new(Connection::open(worker.address, MAX_BUFFER).ok()?);
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

    /// A reply is done with: its connection goes back into the pool, or ends.
    pub fn release(&self, reply: WorkerReply) {
        let WorkerReply { connection, worker, extent, remaining, reusable_until, .. } = reply;
        match reusable_until {
            Some(until) if remaining == 0 => {
                connection.inbound().consume(extent.total);
                let idle = IdleConnection { connection, until };
                self.idle().entry(worker.id.clone()).or_default().push(idle);
            }
            _ => self.discard(&connection),
        }
    }
}

/// How long an idle connection may be reused, where the worker says how long it keeps it.
pub(crate) fn idle_time(keep_alive: Option<Span>) -> Span {
    let told = keep_alive.map(|k| Span::from_nanos(k.nanos().saturating_sub(IDLE_MARGIN.nanos())));
    told.unwrap_or(MAX_IDLE).min(MAX_IDLE)
}
