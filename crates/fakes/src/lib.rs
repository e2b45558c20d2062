//! Peers of a gatekeeper on loopback, written from the protocol's page, with faults by script: workers,
//! counters, the list of workers, a sink for exported use, and a load of clients. Used by the gatekeeper's own tests and by trials.
//!
//! Plain threads and blocking reads: they run in tests and command-line tools, never in a gatekeeper. They
//! decide nothing and know nothing of the gatekeeper's code.
#![forbid(unsafe_code)]

mod config;
mod counter;
mod list;
mod load;
mod message;
mod patience;
mod sink;
mod worker;

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;

pub use config::{config, config_named};
pub use counter::{Counter, counter, counter_that_says, counting};
pub use list::{Discovery, discovery, member};
pub use load::{Answered, Delivered, Load, Plan, Traffic, mono};
pub use message::{Message, ask, text};
pub use patience::{PATIENCE, until};
pub use sink::{Landed, Sink};
pub use worker::{Does, Seen, worker};

/// Serves each connection on a thread of its own.
fn serve(on: TcpListener, each: impl Fn(TcpStream) + Send + Sync + 'static) {
    let each = Arc::new(each);
    thread::spawn(move || {
        for stream in on.incoming().flatten() {
            let each = each.clone();
            thread::spawn(move || each(stream));
        }
    });
}

/// A port of loopback on which nobody listens.
pub fn free_port() -> SocketAddr {
    listener().1
}

fn listener() -> (TcpListener, SocketAddr) {
    let on = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = on.local_addr().expect("bound");
    (on, addr)
}
