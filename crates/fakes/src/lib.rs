//! Peers of the programs for tests and trials, on loopback, with scripted faults: workers, counters, discovery, a
//! sink for exported usage, and a load of clients. Written from the protocol's page; they share no code with the
//! programs.
//!
//! Plain threads and blocking reads: they run in tests and command-line tools, never in a program of the system.
//!
//! | file | content |
//! | --- | --- |
//! | `message.rs` | HTTP/1.1 as the fakes read and write it |
//! | `worker.rs` | workers that follow a script |
//! | `counter.rs`, `discovery.rs`, `sink.rs` | the other peers of a gatekeeper |
//! | `load.rs` | clients, and a record of what they and the workers saw |
//! | `config.rs` | the gatekeeper's boot configuration |
//! | `wait.rs` | waiting for what a process does |
#![forbid(unsafe_code)]

mod config;
mod counter;
mod discovery;
mod load;
mod message;
mod sink;
mod wait;
mod worker;

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;

pub use config::{gatekeeper_config, named_gatekeeper_config};
pub use counter::{Counter, start_adding_counter, start_counter, start_counter_with_response};
pub use discovery::{Discovery, start_discovery, worker_entry};
pub use load::{Load, LoadPlan, ReceivedAttempt, RequestOutcome, Traffic, monotonic_nanos};
pub use message::{HttpMessage, exchange, request_text};
pub use sink::{ReceivedBatch, Sink};
pub use wait::{WAIT_TIMEOUT, wait_until};
pub use worker::{WorkerAction, WorkerLog, start_worker};

/// Serves each connection on a thread of its own.
fn serve(listener: TcpListener, handle: impl Fn(TcpStream) + Send + Sync + 'static) {
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || handle(stream));
        }
    });
}

/// An address of loopback on which nobody listens.
pub fn unused_address() -> SocketAddr {
    listener().1
}

fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("bound");
    (listener, addr)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A 200 with a body.
fn ok_response(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}
