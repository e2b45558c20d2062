//! Fake peers of the programs for tests and trials, on loopback, with scripted faults: workers, counters,
//! discovery, a usage sink, and a load generator. Their HTTP code is independent of the programs under test.
//!
//! They use threads and blocking I/O, and run only in tests and command-line tools.
//!
//! | file | content |
//! | --- | --- |
//! | `message.rs` | minimal HTTP/1.1 messages |
//! | `worker.rs` | workers with scripted responses |
//! | `broken_replies.rs` | replies that are no valid responses |
//! | `sound_replies.rs` | valid replies in all forms |
//! | `counter.rs`, `discovery.rs`, `sink.rs` | the other peers of a gatekeeper |
//! | `load.rs` | load generator that records what clients and workers observe |
//! | `crowd.rs` | clients that send ahead and read nothing, and what a process takes |
//! | `config.rs` | boot configurations of a gatekeeper |
//! | `wait.rs` | polling with a time-out |
#![forbid(unsafe_code)]

mod broken_replies;
mod config;
mod counter;
mod crowd;
mod discovery;
mod load;
mod message;
mod sink;
mod sound_replies;
mod wait;
mod worker;

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;

pub use broken_replies::{BrokenReply, broken_replies};
pub use config::{gatekeeper_config, named_gatekeeper_config};
pub use counter::{Counter, start_adding_counter, start_counter, start_counter_with_response};
pub use crowd::{Crowd, CrowdPlan, ProcessUsage};
pub use discovery::{Discovery, start_discovery, start_discovery_with_stream, worker_entry};
pub use load::{Load, LoadPlan, ReceivedAttempt, RequestOutcome, Traffic, monotonic_nanos};
pub use message::{HttpMessage, exchange, request_text};
pub use sink::{ReceivedBatch, Sink};
pub use sound_replies::{SoundReply, sound_replies};
pub use wait::{WAIT_TIMEOUT, wait_until};
pub use worker::{Pace, WorkerAction, WorkerLog, start_worker};

/// Accepts connections on a new thread and handles each one on its own thread.
fn serve(listener: TcpListener, handle: impl Fn(TcpStream) + Send + Sync + 'static) {
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || handle(stream));
        }
    });
}

/// Returns a loopback address with a port that was free just now.
pub fn unused_address() -> SocketAddr {
    bind_listener().1
}

/// Listens on a free loopback port.
fn bind_listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("bound");
    (listener, addr)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Formats a 200 response with a body.
fn ok_response(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}
