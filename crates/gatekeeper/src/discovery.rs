//! The client of discovery: watches the list of workers, and opens the watch anew when it breaks or falls silent. Where
//! discovery moves to another address, the watch on the old one is read until the new one has been heard.

mod list;

use std::fmt;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

use lynxstair::types::{Span, Time};
use lynxstair_net::clock::Clock;
use lynxstair_net::connection::{Connection, ReadOutcome};
use lynxstair_net::coroutine::spawn;
use lynxstair_net::http::{self, HttpError};
use lynxstair_net::log_limited;
use lynxstair_settings::Names;

use list::WorkerList;
pub use list::{EndpointChange, ListMessage, WorkerListUpdate};

/// A line comes every two seconds, empty where nothing changed: silence for longer is a broken watch.
const SILENCE_TIMEOUT: Span = Span::from_millis(3_500);
/// The first answer to a watch comes at once: one that brought nothing by then never came up.
const OPEN_TIMEOUT: Span = Span::from_millis(1_000);
/// The pause after a watch has ended.
const REOPEN_DELAY: Span = Span::from_millis(500);
/// The longest line of a list, in bytes.
const MAX_LINE: usize = 1 << 20;

/// Takes over a change of the list.
pub type UpdateHandler = Box<dyn Fn(WorkerListUpdate) + Send + Sync>;

/// Why a watch ended.
#[derive(Debug)]
enum WatchEnd {
    /// The connection did not come up, or refused the request.
    Io(io::Error),
    /// Discovery answered with this status.
    Status(u16),
    /// What came is no HTTP.
    Http(HttpError),
    /// The connection was closed.
    Closed,
    /// Discovery ended the list.
    Over,
    /// A line is no list.
    Unreadable(serde_json::Error),
    /// A line is too long.
    LineTooLong,
}

impl fmt::Display for WatchEnd {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            WatchEnd::Io(source) => source.fmt(f),
            WatchEnd::Status(status) => write!(f, "status {status}"),
            WatchEnd::Http(source) => f.write_str(source.reason),
            WatchEnd::Closed => f.write_str("closed"),
            WatchEnd::Over => f.write_str("over"),
            WatchEnd::Unreadable(source) => write!(f, "a line that can't be read: {source}"),
            WatchEnd::LineTooLong => f.write_str("a line too long"),
        }
    }
}

struct State {
    address: SocketAddr,
    list: WorkerList,
    watch: Option<Arc<Connection>>,
    /// The watch has brought something.
    is_heard: bool,
    /// Watches on addresses that discovery had before.
    old: Vec<Arc<Connection>>,
    /// When something last came, or a watch was last opened.
    heard_at: Time,
}

impl State {
    fn is_current(&self, watch: &Arc<Connection>) -> bool {
        self.watch.as_ref().is_some_and(|current| Arc::ptr_eq(current, watch))
    }

    /// Something came from a watch; the current one makes those before it needless.
    fn on_heard(&mut self, watch: &Arc<Connection>, now: Time) {
        if self.is_current(watch) {
            self.heard_at = now;
            self.is_heard = true;
            self.old.drain(..).for_each(|old| old.close());
        }
    }
}

/// The client of discovery.
pub struct DiscoveryClient {
    clock: Clock,
    on_update: UpdateHandler,
    state: Mutex<State>,
}

impl DiscoveryClient {
    /// A client that knows no worker yet. `names`: of the settings.
    pub fn new(clock: Clock, address: SocketAddr, names: Names, on_update: UpdateHandler) -> Self {
        let state = State {
            address,
            list: WorkerList::new(names),
            watch: None,
            is_heard: false,
            old: Vec::new(),
            heard_at: Time::default(),
        };
        DiscoveryClient { clock, on_update, state: Mutex::new(state) }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Discovery is at this address from now on; the next tick opens a watch there.
    pub fn move_to(&self, address: SocketAddr) {
        let mut state = self.state();
        if state.address != address {
            state.address = address;
            let old = state.watch.take();
            state.old.extend(old);
            state.heard_at = Time::default();
        }
    }

    /// Takes over the list as it was last held, maybe old.
    pub fn restore(&self, list: &ListMessage) {
        self.apply(list, true);
    }

    fn apply(&self, message: &ListMessage, is_cached: bool) {
        let update = self.state().list.apply(message, is_cached);
        if let Some(update) = update {
            (self.on_update)(update);
        }
    }

    /// Opens the watch where there is none, and ends one that is silent.
    pub fn tick(self: &Arc<Self>, now: Time) {
        let mut state = self.state();
        let silence = now - state.heard_at;
        match &state.watch {
            Some(watch) if silence > if state.is_heard { SILENCE_TIMEOUT } else { OPEN_TIMEOUT } => {
                log_limited!("the watch on the list is silent; opening another");
                watch.close();
                state.watch = None;
            }
            None if silence > REOPEN_DELAY => {}
            _ => return,
        }
        state.heard_at = now;
        state.is_heard = false;
        let watch = match Connection::open(state.address, MAX_LINE) {
            Ok(connection) => Arc::new(connection),
            Err(e) => return log_limited!("no connection to discovery: {e}"),
        };
        state.watch = Some(watch.clone());
        drop(state);
        let client = self.clone();
        spawn("discovery", move || {
            let end = client.follow(&watch);
            watch.close();
            client.on_watch_ended(&watch, &end);
        });
    }

    fn on_watch_ended(&self, watch: &Arc<Connection>, end: &WatchEnd) {
        let mut state = self.state();
        // One that was closed for its silence has been replaced already.
        state.old.retain(|old| !Arc::ptr_eq(old, watch));
        if state.is_current(watch) {
            log_limited!("the watch on the list ended: {end}");
            state.watch = None;
        }
    }

    /// Reads a watch to its end; why it ended.
    fn follow(&self, watch: &Arc<Connection>) -> WatchEnd {
        match self.try_follow(watch) {
            Ok(never) => match never {},
            Err(end) => end,
        }
    }

    fn try_follow(&self, watch: &Arc<Connection>) -> Result<std::convert::Infallible, WatchEnd> {
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
            self.state().on_heard(watch, self.clock.now());
        }
    }

    /// Takes over the lines that are complete.
    fn apply_lines(&self, text: &mut Vec<u8>) -> Result<(), WatchEnd> {
        while let Some(end) = text.iter().position(|b| *b == b'\n') {
            let line: Vec<u8> = text.drain(..=end).collect();
            let line = line.trim_ascii();
            if !line.is_empty() {
                let message = serde_json::from_slice(line).map_err(WatchEnd::Unreadable)?;
                self.apply(&message, false);
            }
        }
        if text.len() > MAX_LINE { Err(WatchEnd::LineTooLong) } else { Ok(()) }
    }
}

/// Removes the head of the answer, once it is complete; false until then.
fn take_head(watch: &Connection) -> Result<bool, WatchEnd> {
    let mut inbound = watch.inbound();
    let length = match http::parse_response_head(inbound.bytes()) {
        Ok(Some((head, _))) if head.status != 200 => return Err(WatchEnd::Status(head.status)),
        Ok(Some((_, length))) => length,
        Ok(None) => return Ok(false),
        Err(error) => return Err(WatchEnd::Http(error)),
    };
    inbound.consume(length);
    Ok(true)
}

/// Moves the bytes of the chunks that are complete.
fn take_chunks(watch: &Connection, text: &mut Vec<u8>) -> Result<(), WatchEnd> {
    let mut inbound = watch.inbound();
    loop {
        let bytes = inbound.bytes();
        let Some((start, size)) = http::chunk_at(bytes, 0).map_err(WatchEnd::Http)? else { return Ok(()) };
        if size == 0 {
            return Err(WatchEnd::Over);
        }
        let end = start + size + 2;
        if bytes.len() < end {
            return Ok(());
        }
        text.extend_from_slice(&bytes[start..start + size]);
        inbound.consume(end);
    }
}
