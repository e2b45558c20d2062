//! Client of discovery: watches the list of workers, and reopens the watch when it ends or times out.
//!
//! After a change of discovery's address, the watch at the previous address is read until the new one has
//! received data.

mod list;

use std::fmt;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

use lynxstair::types::{Span, Time};
use lynxstair_net::clock::Clock;
use lynxstair_net::connection::{Connection, ReadOutcome};
use lynxstair_net::coroutine::spawn;
use lynxstair_net::http::{self, HttpError, RequestMethod, ResponseBody};
use lynxstair_net::log_limited;
use lynxstair_settings::Names;

use list::WorkerList;
pub use list::{EndpointChange, ListMessage, WorkerListUpdate};

/// Time without data after which a watch has failed. Discovery sends a line every two seconds, empty if
/// nothing changed.
const DATA_TIMEOUT: Span = Span::from_millis(3_500);
/// Time limit for the first data of a new watch, which discovery sends at once.
const OPEN_TIMEOUT: Span = Span::from_millis(1_000);
/// Minimum time between opening a watch, or its last data, and opening the next one at the same address.
const REOPEN_DELAY: Span = Span::from_millis(500);
/// Maximum length of a line, in bytes.
const MAX_LINE_BYTES: usize = 1 << 20;

/// Callback for a change of the list.
pub type UpdateHandler = Box<dyn Fn(WorkerListUpdate) + Send + Sync>;

/// Reason for the end of a watch.
#[derive(Debug)]
enum WatchEnd {
    /// The connection could not be established, or the request could not be sent.
    Io(io::Error),
    /// Discovery answered with an error status.
    Status(u16),
    /// The response is not valid HTTP.
    Http(HttpError),
    /// The connection was closed.
    Closed,
    /// Discovery ended the stream.
    StreamEnded,
    /// A line could not be parsed.
    InvalidLine(serde_json::Error),
    /// A line exceeds the maximum length.
    LineTooLong,
}

impl fmt::Display for WatchEnd {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            WatchEnd::Io(source) => source.fmt(f),
            WatchEnd::Status(status) => write!(f, "status {status}"),
            WatchEnd::Http(source) => f.write_str(source.reason),
            WatchEnd::Closed => f.write_str("connection closed"),
            WatchEnd::StreamEnded => f.write_str("stream ended by discovery"),
            WatchEnd::InvalidLine(source) => write!(f, "invalid line: {source}"),
            WatchEnd::LineTooLong => f.write_str("line too long"),
        }
    }
}

struct State {
    address: SocketAddr,
    list: WorkerList,
    watch: Option<Arc<Connection>>,
    /// `true` if the current watch has received data.
    has_received: bool,
    /// Watches at previous addresses of discovery.
    previous: Vec<Arc<Connection>>,
    /// Time of the last data of the current watch, or of opening it.
    last_active_at: Time,
}

impl State {
    fn is_current(&self, watch: &Arc<Connection>) -> bool {
        self.watch.as_ref().is_some_and(|current| Arc::ptr_eq(current, watch))
    }

    /// Records data from a watch. Data from the current watch closes those at previous addresses.
    fn on_received(&mut self, watch: &Arc<Connection>, now: Time) {
        if self.is_current(watch) {
            self.last_active_at = now;
            self.has_received = true;
            self.previous.drain(..).for_each(|previous| previous.close());
        }
    }
}

/// Client of discovery.
pub struct DiscoveryClient {
    clock: Clock,
    on_update: UpdateHandler,
    state: Mutex<State>,
}

impl DiscoveryClient {
    /// Creates a client with an empty list. `names` are those of the settings.
    pub fn new(clock: Clock, address: SocketAddr, names: Names, on_update: UpdateHandler) -> Self {
        let state = State {
            address,
            list: WorkerList::new(names),
            watch: None,
            has_received: false,
            previous: Vec::new(),
            last_active_at: Time::default(),
        };
        DiscoveryClient { clock, on_update, state: Mutex::new(state) }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Changes the address of discovery. The next tick opens a watch there.
    pub fn set_address(&self, address: SocketAddr) {
        let mut state = self.state();
        if state.address != address {
            state.address = address;
            let previous = state.watch.take();
            state.previous.extend(previous);
            state.last_active_at = Time::default();
        }
    }

    /// Applies the last known list, which may be stale.
    pub fn restore(&self, list: &ListMessage) {
        self.apply(list, true);
    }

    fn apply(&self, message: &ListMessage, is_cached: bool) {
        let update = self.state().list.apply(message, is_cached);
        if let Some(update) = update {
            (self.on_update)(update);
        }
    }

    /// Opens a watch if there is none, and replaces one that has timed out.
    pub fn tick(self: &Arc<Self>, now: Time) {
        let mut state = self.state();
        let inactive = now - state.last_active_at;
        match &state.watch {
            Some(watch) if inactive > if state.has_received { DATA_TIMEOUT } else { OPEN_TIMEOUT } => {
                log_limited!("no data from discovery in time; opening a new watch");
                watch.close();
                state.watch = None;
            }
            None if inactive > REOPEN_DELAY => {}
            _ => return,
        }
        state.last_active_at = now;
        state.has_received = false;
        let watch = match Connection::open(state.address, MAX_LINE_BYTES) {
            Ok(connection) => Arc::new(connection),
            Err(e) => return log_limited!("cannot connect to discovery: {e}"),
        };
        state.watch = Some(watch.clone());
        drop(state);
        let client = self.clone();
        spawn("discovery", move || {
            let end = client.run_watch(&watch);
            watch.close();
            client.on_watch_ended(&watch, &end);
        });
    }

    fn on_watch_ended(&self, watch: &Arc<Connection>, end: &WatchEnd) {
        let mut state = self.state();
        state.previous.retain(|previous| !Arc::ptr_eq(previous, watch));
        // A watch that timed out has been replaced already.
        if state.is_current(watch) {
            log_limited!("watch of the worker list ended: {end}");
            state.watch = None;
        }
    }

    /// Runs a watch and returns the reason for its end.
    fn run_watch(&self, watch: &Arc<Connection>) -> WatchEnd {
        match self.try_run_watch(watch) {
            Ok(never) => match never {},
            Err(end) => end,
        }
    }

    fn try_run_watch(&self, watch: &Arc<Connection>) -> Result<std::convert::Infallible, WatchEnd> {
        watch.wait_connected().map_err(WatchEnd::Io)?;
        let from = self.state().list.revision();
        let request = format!("GET /discovery/hosts?watch=1&from={from} HTTP/1.1\r\nHost: discovery\r\n\r\n");
        watch.write(|out| out.write_all(request.as_bytes())).map_err(WatchEnd::Io)?;
        let mut is_open = false;
        let mut text = Vec::new();
        loop {
            if watch.read() != ReadOutcome::Bytes {
                return Err(WatchEnd::Closed);
            }
            if !is_open {
                is_open = take_head(watch)?;
                if !is_open {
                    continue;
                }
            }
            take_chunks(watch, &mut text)?;
            self.apply_lines(&mut text)?;
            self.state().on_received(watch, self.clock.now());
        }
    }

    /// Removes and applies the complete lines of `text`.
    fn apply_lines(&self, text: &mut Vec<u8>) -> Result<(), WatchEnd> {
        while let Some(end) = text.iter().position(|b| *b == b'\n') {
            let line: Vec<u8> = text.drain(..=end).collect();
            let line = line.trim_ascii();
            if !line.is_empty() {
                let message = serde_json::from_slice(line).map_err(WatchEnd::InvalidLine)?;
                self.apply(&message, false);
            }
        }
        if text.len() > MAX_LINE_BYTES { Err(WatchEnd::LineTooLong) } else { Ok(()) }
    }
}

/// Removes the head of the response, and interim responses before it; returns `false` if it is incomplete.
fn take_head(watch: &Connection) -> Result<bool, WatchEnd> {
    let mut inbound = watch.inbound();
    loop {
        let parsed = http::parse_response_head(inbound.bytes(), RequestMethod::Other);
        let Some(response) = parsed.map_err(WatchEnd::Http)? else { return Ok(false) };
        let (status, framing, is_interim) = (response.status, response.framing, response.is_interim());
        inbound.consume(framing.head);
        if is_interim {
            continue;
        }
        return match (status, framing.body) {
            (200, ResponseBody::Chunked) => Ok(true),
            (200, _) => Err(WatchEnd::Http(HttpError::new(502, "the stream is not chunked"))),
            _ => Err(WatchEnd::Status(status)),
        };
    }
}

/// Moves the data of complete chunks from the connection's buffer to `text`.
fn take_chunks(watch: &Connection, text: &mut Vec<u8>) -> Result<(), WatchEnd> {
    let mut inbound = watch.inbound();
    loop {
        let bytes = inbound.bytes();
        let Some(chunk) = http::chunk_at(bytes, 0).map_err(WatchEnd::Http)? else { return Ok(()) };
        if chunk.is_last() {
            return Err(WatchEnd::StreamEnded);
        }
        text.extend_from_slice(&bytes[chunk.data]);
        inbound.consume(chunk.end);
    }
}
