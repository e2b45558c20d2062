//! One client's connection: its responses in order, and the requests that are being handled.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use lynxstair::types::{Span, Time};
use lynxstair_net::connection::Connection;
use may::sync::Blocker;

use crate::cancellation::CancelToken;
use crate::pipeline::{AfterRequest, ResponsePipeline, Turn};

/// The advertised idle time-out of a connection is shorter than the real one by this margin.
const KEEP_ALIVE_MARGIN: Span = Span::from_millis(1_000);

/// The requests of one connection.
#[derive(Default)]
pub struct Requests {
    /// The order of the responses.
    pub pipeline: ResponsePipeline,
    /// Those whose response is ready before its turn.
    waiting: HashMap<u64, Arc<Blocker>>,
    in_flight: HashMap<u64, InFlight>,
}

/// A request that is being handled.
struct InFlight {
    read_at: Time,
    cancel: Arc<CancelToken>,
}

/// A client's connection.
pub struct ClientConnection {
    /// Its socket.
    pub connection: Arc<Connection>,
    requests: Mutex<Requests>,
    /// How long the connection may rest, as its client was last told, in nanoseconds.
    advertised_idle: AtomicU64,
}

impl ClientConnection {
    /// A new connection.
    pub fn new(connection: Connection) -> ClientConnection {
        ClientConnection {
            connection: Arc::new(connection),
            requests: Mutex::default(),
            advertised_idle: AtomicU64::new(0),
        }
    }

    /// Its requests, locked.
    pub fn requests(&self) -> MutexGuard<'_, Requests> {
        self.requests.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// A request was read that is forwarded; its number.
    pub fn begin_request(&self, is_last: bool, read_at: Time, cancel: &Arc<CancelToken>) -> u64 {
        let mut requests = self.requests();
        let number = requests.pipeline.on_request(is_last);
        requests.in_flight.insert(number, InFlight { read_at, cancel: cancel.clone() });
        number
    }

    /// The process is about to end: whatever is in flight gets its response now.
    pub fn shut_down(&self) {
        self.requests().in_flight.values().for_each(|request| request.cancel.shut_down());
    }

    /// When each request that is being handled was read.
    pub fn read_times(&self) -> Vec<Time> {
        self.requests().in_flight.values().map(|request| request.read_at).collect()
    }

    /// How long the client was told that the connection may rest.
    pub fn advertised_idle(&self) -> Span {
        Span::from_nanos(self.advertised_idle.load(Ordering::Relaxed))
    }

    /// The header lines that tell the client whether, and how long, the connection stays.
    /// `idle_timeout`: how long it may rest; none where it closes after this response.
    pub fn connection_headers(&self, idle_timeout: Option<Span>) -> String {
        let Some(idle_timeout) = idle_timeout else {
            return "Connection: close\r\n".to_string();
        };
        let told = idle_timeout.secs() - KEEP_ALIVE_MARGIN.secs();
        if told < 1.0 {
            return String::new();
        }
        self.advertised_idle.store(idle_timeout.nanos(), Ordering::Relaxed);
        format!("Keep-Alive: timeout={}\r\n", told.floor())
    }

    /// Waits until all requests before this one are answered; false where the connection has ended.
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

    /// The handling of a request has ended, or could not begin.
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
            // What is not sent yet goes out first; the reader ends the connection then.
            AfterRequest::Finish if self.connection.unsent() > 0 || self.connection.is_closed() => {}
            AfterRequest::Finish => self.connection.shut_down_write(),
            AfterRequest::Break => self.connection.close(),
        }
        // The reader looks again: at what waits unread, or at its end.
        self.connection.wake();
    }

    /// The connection has ended: nobody waits for what is in flight.
    pub fn disconnect(&self) {
        self.connection.close();
        let mut requests = self.requests();
        requests.pipeline.on_disconnected();
        requests.in_flight.values().for_each(|request| request.cancel.cancel());
        requests.waiting.values().for_each(|blocker| blocker.unpark());
    }
}
