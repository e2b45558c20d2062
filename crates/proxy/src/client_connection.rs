//! State of one client connection: the order of its responses and its requests in flight.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use lynxstair::types::{Span, Time};
use lynxstair_net::connection::Connection;
use may::sync::Blocker;

use crate::cancellation::CancelToken;
use crate::pipeline::{AfterRequest, ResponsePipeline, Turn};

/// Margin by which the advertised idle time-out is shorter than the real one.
const KEEP_ALIVE_MARGIN: Span = Span::from_millis(1_000);

/// The requests of one connection.
#[derive(Default)]
pub struct Requests {
    /// Order of the responses.
    pub pipeline: ResponsePipeline,
    /// Coroutines that wait for the turn of their response, by request number.
    waiting: HashMap<u64, Arc<Blocker>>,
    /// Requests being handled, by number.
    in_flight: HashMap<u64, InFlight>,
}

/// A request that is being handled.
struct InFlight {
    read_at: Time,
    cancel: Arc<CancelToken>,
}

/// A client connection.
pub struct ClientConnection {
    /// Socket and buffers.
    pub connection: Arc<Connection>,
    requests: Mutex<Requests>,
    /// Idle time-out at the time of the last `Keep-Alive` header, in nanoseconds; 0 before the first one.
    advertised_idle_ns: AtomicU64,
}

impl ClientConnection {
    /// Wraps a connection without requests.
    pub fn new(connection: Connection) -> ClientConnection {
        ClientConnection {
            connection: Arc::new(connection),
            requests: Mutex::default(),
            advertised_idle_ns: AtomicU64::new(0),
        }
    }

    /// Locks the requests of the connection.
    pub fn requests(&self) -> MutexGuard<'_, Requests> {
        self.requests.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Registers a request that was read and returns its number.
    pub fn begin_request(&self, is_last: bool, read_at: Time, cancel: &Arc<CancelToken>) -> u64 {
        let mut requests = self.requests();
        let number = requests.pipeline.on_request(is_last);
        requests.in_flight.insert(number, InFlight { read_at, cancel: cancel.clone() });
        number
    }

    /// Makes all requests in flight stop waiting for workers because the process is about to exit.
    pub fn shut_down(&self) {
        self.requests().in_flight.values().for_each(|request| request.cancel.shut_down());
    }

    /// Returns the time at which each request in flight was read.
    pub fn read_times(&self) -> Vec<Time> {
        self.requests().in_flight.values().map(|request| request.read_at).collect()
    }

    /// Returns the idle time-out that was in force when the last `Keep-Alive` header was created; zero
    /// before.
    pub fn advertised_idle(&self) -> Span {
        Span::from_nanos(self.advertised_idle_ns.load(Ordering::Relaxed))
    }

    /// Returns the `Connection: close` or `Keep-Alive` header line of the next response; empty if the
    /// time-out is too short to be advertised. `idle_timeout`: `None` if the connection closes after the
    /// response.
    pub fn connection_headers(&self, idle_timeout: Option<Span>) -> String {
        let Some(idle_timeout) = idle_timeout else {
            return "Connection: close\r\n".to_string();
        };
        let advertised_s = idle_timeout.secs() - KEEP_ALIVE_MARGIN.secs();
        if advertised_s < 1.0 {
            return String::new();
        }
        self.advertised_idle_ns.store(idle_timeout.nanos(), Ordering::Relaxed);
        format!("Keep-Alive: timeout={}\r\n", advertised_s.floor())
    }

    /// Waits until all earlier requests are answered. Returns `false` if the connection has ended.
    pub fn wait_for_turn(&self, number: u64) -> bool {
        loop {
            let blocker = {
                let mut requests = self.requests();
                match requests.pipeline.turn(number) {
                    _ if self.connection.is_closed() => return false,
                    Turn::Never => return false,
                    Turn::Now => return true,
                    Turn::Later => {}
                }
                let blocker = Blocker::current();
                requests.waiting.insert(number, blocker.clone());
                blocker
            };
            let _ = blocker.park(None);
        }
    }

    /// Handles the end of a request, also if its handling could not start. Wakes the request whose response
    /// is next.
    pub fn on_request_done(&self, number: u64, has_panicked: bool) {
        let mut requests = self.requests();
        requests.in_flight.remove(&number);
        requests.waiting.remove(&number);
        if has_panicked {
            requests.pipeline.on_disconnected();
        }
        let after = requests.pipeline.on_request_done(number);
        if let AfterRequest::Next(next) = after
            && let Some(next) = requests.waiting.remove(&next)
        {
            next.unpark();
        }
        drop(requests);
        match after {
            AfterRequest::Next(_) => {}
            // Unsent bytes are sent first; the reader then closes the connection.
            AfterRequest::Finish if self.connection.unsent() > 0 || self.connection.is_closed() => {}
            AfterRequest::Finish => self.connection.shut_down_write(),
            AfterRequest::Abort => self.connection.close(),
        }
        // The reader must check for pipelined requests, or for the end of the connection.
        self.connection.wake();
    }

    /// Closes the connection and cancels its requests in flight.
    pub fn disconnect(&self) {
        self.connection.close();
        let mut requests = self.requests();
        requests.pipeline.on_disconnected();
        requests.in_flight.values().for_each(|request| request.cancel.cancel());
        requests.waiting.values().for_each(|blocker| blocker.unpark());
    }
}
