//! The connections to all workers: idle ones by worker, and those that are given up if they take too long.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

use lynxstair::types::{Time, WorkerId};
use lynxstair_net::connection::Connection;
use lynxstair_net::http::MAX_MESSAGE_BYTES;
use lynxstair_net::log_limited;
use lynxstair_settings::Timeouts;

use crate::worker_connection::{Job, WorkerConnection};

/// An idle connection is closed here after this fraction of the time that workers keep it open.
const IDLE_PART: f64 = 0.7;

/// A worker.
struct Endpoint {
    address: SocketAddr,
    is_draining: bool,
    /// Connections without a job, the one used last at the end.
    idle: Vec<Arc<WorkerConnection>>,
}

#[derive(Default)]
struct Connections {
    endpoints: BTreeMap<WorkerId, Endpoint>,
    /// How many are open, to all workers.
    open: usize,
    /// Connections being opened and health checks in flight, in the order in which their time is up.
    watched: VecDeque<(Time, Arc<WorkerConnection>)>,
}

/// A connection for a job.
pub enum Found {
    /// An idle one.
    Idle(Arc<WorkerConnection>),
    /// One that is being opened; it has to be run.
    New(Arc<WorkerConnection>),
    /// None can be had.
    None,
}

/// The connections to all workers.
pub struct WorkerPool {
    connections: Mutex<Connections>,
    timeouts: Timeouts,
    max_open: usize,
}

impl WorkerPool {
    /// A pool without workers. `max_open`: how many connections there may be.
    pub fn new(timeouts: Timeouts, max_open: usize) -> Self {
        WorkerPool { connections: Mutex::new(Connections::default()), timeouts, max_open }
    }

    fn connections(&self) -> MutexGuard<'_, Connections> {
        self.connections.lock().unwrap_or_else(|e| e.into_inner())
    }

    // ---- workers ----

    /// A worker as the list has it now.
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

    /// A worker is no longer listed.
    pub fn remove_worker(&self, id: WorkerId) {
        if let Some(endpoint) = self.connections().endpoints.remove(&id) {
            endpoint.idle.iter().for_each(|idle| idle.connection.close());
        }
    }

    /// Whether something new may go to a worker.
    pub fn accepts_jobs(&self, worker: WorkerId) -> bool {
        self.connections().endpoints.get(&worker).is_some_and(|endpoint| !endpoint.is_draining)
    }

    // ---- connections ----

    /// Gives a job to the connection to a worker that was used last and is still good, or else to a new one.
    pub fn assign(&self, now: Time, worker: WorkerId, job: Job) -> Found {
        let mut connections = self.connections();
        let Some(endpoint) = connections.endpoints.get_mut(&worker) else { return Found::None };
        let address = endpoint.address;
        while let Some(idle) = endpoint.idle.pop() {
            if !idle.connection.is_stale() {
                idle.assign(job);
                return Found::Idle(idle);
            }
            idle.connection.close();
        }
        if connections.open >= self.max_open && !connections.close_oldest_idle() {
            log_limited!("all {} connections to workers are in use", self.max_open);
            return Found::None;
        }
        match Connection::open(address, MAX_MESSAGE_BYTES) {
            Ok(connection) => {
                connections.open += 1;
                Found::New(Arc::new(WorkerConnection::new(now, worker, connection, job)))
            }
            Err(e) => {
                log_limited!("no connection to a worker: {e}");
                Found::None
            }
        }
    }

    /// A connection has no job: it goes into the pool, or ends.
    pub fn release(&self, now: Time, released: &Arc<WorkerConnection>) {
        released.set_idle(now);
        match self.connections().endpoints.get_mut(&released.worker) {
            Some(endpoint) if !endpoint.is_draining => endpoint.idle.push(released.clone()),
            _ => released.connection.close(),
        }
    }

    /// A connection has ended.
    pub fn on_ended(&self, ended: &Arc<WorkerConnection>) {
        let mut connections = self.connections();
        connections.open -= 1;
        if let Some(endpoint) = connections.endpoints.get_mut(&ended.worker) {
            endpoint.idle.retain(|idle| !Arc::ptr_eq(idle, ended));
        }
    }

    /// Closes what has been idle for long: the worker would do so soon, and what crosses that is lost.
    pub fn close_idle(&self, now: Time) {
        let max_idle = self.timeouts.idle.times(IDLE_PART);
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

    /// Has a connection that is being opened, or that carries a health check, given up in time. Returns when.
    pub fn watch(&self, now: Time, watched: &Arc<WorkerConnection>) -> Time {
        let until = now + self.timeouts.connect;
        self.connections().watched.push_back((until, watched.clone()));
        until
    }

    /// When the first one that is watched is due.
    pub fn next_due(&self) -> Time {
        self.connections().watched.front().map_or(Time::from_nanos(u64::MAX), |(until, _)| *until)
    }

    /// The next one that took too long; none of those that were in time.
    pub fn pop_timed_out(&self, now: Time) -> Option<Arc<WorkerConnection>> {
        let mut connections = self.connections();
        while let Some((_, watched)) = connections.watched.pop_front_if(|(until, _)| *until <= now) {
            let sent_at = watched.health_check_sent_at();
            let is_late_check = sent_at.is_some_and(|sent_at| sent_at + self.timeouts.connect <= now);
            if !watched.is_connected() || is_late_check {
                return Some(watched);
            }
        }
        None
    }
}

impl Connections {
    /// Closes the connection that has been idle for the longest, to any worker; false where there is none.
    fn close_oldest_idle(&mut self) -> bool {
        let idle = self.endpoints.values_mut().filter(|endpoint| !endpoint.idle.is_empty());
        let Some(oldest) = idle.min_by_key(|endpoint| endpoint.idle[0].idle_since()) else { return false };
        oldest.idle.remove(0).connection.close();
        true
    }
}
