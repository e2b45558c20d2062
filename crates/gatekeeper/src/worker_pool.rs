//! Pool of connections to workers, with the time-outs of connecting and of health checks.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

use lynxstair::types::{Time, WorkerId};
use lynxstair_net::connection::Connection;
use lynxstair_net::http::MAX_MESSAGE_BYTES;
use lynxstair_net::log_limited;
use lynxstair_settings::Timeouts;

use crate::worker_connection::{Job, WorkerConnection};

/// Fraction of the workers' idle time-out after which this side closes an idle connection.
const MAX_IDLE_FRACTION: f64 = 0.7;

/// A worker's address and idle connections.
struct Endpoint {
    address: SocketAddr,
    is_draining: bool,
    /// Connections without a job, in the order of their last use.
    idle: Vec<Arc<WorkerConnection>>,
}

#[derive(Default)]
struct Connections {
    endpoints: BTreeMap<WorkerId, Endpoint>,
    /// Number of open connections to all workers.
    open: usize,
    /// Connections being established and health checks in flight, in the order of their time-outs.
    pending_timeouts: VecDeque<(Time, Arc<WorkerConnection>)>,
}

/// Result of a request for a connection.
pub enum PoolConnection {
    /// An idle connection.
    Idle(Arc<WorkerConnection>),
    /// A connection that is being established; the caller must run it.
    New(Arc<WorkerConnection>),
    /// No connection is available.
    None,
}

/// Connections to all workers.
pub struct WorkerPool {
    connections: Mutex<Connections>,
    timeouts: Timeouts,
    max_open: usize,
}

impl WorkerPool {
    /// Creates a pool without workers, for at most `max_open` connections.
    pub fn new(timeouts: Timeouts, max_open: usize) -> Self {
        WorkerPool { connections: Mutex::new(Connections::default()), timeouts, max_open }
    }

    fn connections(&self) -> MutexGuard<'_, Connections> {
        self.connections.lock().unwrap_or_else(|e| e.into_inner())
    }

    // ---- workers ----

    /// Adds or updates a worker. A changed address closes its idle connections.
    pub fn update_worker(&self, id: WorkerId, address: SocketAddr, is_draining: bool) {
        let mut connections = self.connections();
        let new = Endpoint { address, is_draining, idle: Vec::new() };
        let endpoint = connections.endpoints.entry(id).or_insert(new);
        endpoint.is_draining = is_draining;
        if endpoint.address != address {
            endpoint.address = address;
            endpoint.idle.drain(..).for_each(|idle| idle.connection.close());
        }
    }

    /// Removes a worker and closes its idle connections.
    pub fn remove_worker(&self, id: WorkerId) {
        if let Some(endpoint) = self.connections().endpoints.remove(&id) {
            endpoint.idle.iter().for_each(|idle| idle.connection.close());
        }
    }

    /// Returns `true` if the worker is listed and not draining.
    pub fn accepts_jobs(&self, worker: WorkerId) -> bool {
        self.connections().endpoints.get(&worker).is_some_and(|endpoint| !endpoint.is_draining)
    }

    // ---- connections ----

    /// Assigns a job to the most recently used idle connection to a worker, or to a new connection if none
    /// can be used.
    pub fn assign(&self, now: Time, worker: WorkerId, job: Job) -> PoolConnection {
        let mut connections = self.connections();
        let Some(endpoint) = connections.endpoints.get_mut(&worker) else { return PoolConnection::None };
        let address = endpoint.address;
        while let Some(idle) = endpoint.idle.pop() {
            if !idle.connection.is_stale() {
                idle.assign(job);
                return PoolConnection::Idle(idle);
            }
            idle.connection.close();
        }
        if connections.open >= self.max_open && !connections.close_longest_idle() {
            log_limited!("all {} connections to workers are in use", self.max_open);
            return PoolConnection::None;
        }
        match Connection::open(address, MAX_MESSAGE_BYTES) {
            Ok(connection) => {
                connections.open += 1;
                PoolConnection::New(Arc::new(WorkerConnection::new(now, worker, connection, job)))
            }
            Err(e) => {
                log_limited!("cannot connect to a worker: {e}");
                PoolConnection::None
            }
        }
    }

    /// Returns a connection without a job to the pool, or closes it if its worker is draining or removed.
    pub fn release(&self, now: Time, released: &Arc<WorkerConnection>) {
        released.set_idle(now);
        match self.connections().endpoints.get_mut(&released.worker) {
            Some(endpoint) if !endpoint.is_draining => endpoint.idle.push(released.clone()),
            _ => released.connection.close(),
        }
    }

    /// Removes a connection that has ended.
    pub fn on_ended(&self, ended: &Arc<WorkerConnection>) {
        let mut connections = self.connections();
        connections.open -= 1;
        if let Some(endpoint) = connections.endpoints.get_mut(&ended.worker) {
            endpoint.idle.retain(|idle| !Arc::ptr_eq(idle, ended));
        }
    }

    /// Closes idle connections before the worker does. A job sent while the worker closes the connection
    /// would be lost.
    pub fn close_idle(&self, now: Time) {
        let max_idle = self.timeouts.idle.times(MAX_IDLE_FRACTION);
        for endpoint in self.connections().endpoints.values_mut() {
            endpoint.idle.retain(|idle| {
                let keep = now - idle.idle_since() < max_idle;
                if !keep {
                    idle.connection.close();
                }
                keep
            });
        }
    }

    // ---- time-outs ----

    /// Starts the time-out of a connection that is being established or carries a health check. Returns its
    /// end.
    pub fn start_timeout(&self, now: Time, connection: &Arc<WorkerConnection>) -> Time {
        let until = now + self.timeouts.connect;
        self.connections().pending_timeouts.push_back((until, connection.clone()));
        until
    }

    /// End of the first pending time-out; the maximum time if there is none.
    pub fn next_due(&self) -> Time {
        self.connections().pending_timeouts.front().map_or(Time::from_nanos(u64::MAX), |(until, _)| *until)
    }

    /// Removes due time-outs until one belongs to an unfinished connect or health check, and returns its
    /// connection.
    pub fn pop_timed_out(&self, now: Time) -> Option<Arc<WorkerConnection>> {
        let mut connections = self.connections();
        while let Some((_, connection)) =
            connections.pending_timeouts.pop_front_if(|(until, _)| *until <= now)
        {
            let sent_at = connection.health_check_sent_at();
            let is_late_check = sent_at.is_some_and(|sent_at| sent_at + self.timeouts.connect <= now);
            if !connection.is_connected() || is_late_check {
                return Some(connection);
            }
        }
        None
    }
}

impl Connections {
    /// Closes the connection that has been idle for the longest time. Returns `false` if none is idle.
    fn close_longest_idle(&mut self) -> bool {
        let idle = self.endpoints.values_mut().filter(|endpoint| !endpoint.idle.is_empty());
        let Some(oldest) = idle.min_by_key(|endpoint| endpoint.idle[0].idle_since()) else { return false };
        oldest.idle.remove(0).connection.close();
        true
    }
}
