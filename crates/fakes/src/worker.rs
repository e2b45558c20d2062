//! Workers that handle each attempt as a script says.

use std::collections::HashMap;
use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::message::HttpMessage;
use crate::{listener, lock, serve};

/// How much of a response a truncated one has, in bytes.
const TRUNCATED_BYTES: usize = 60;

/// What a worker does with one attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum WorkerAction {
    /// Responds 200.
    Succeed,
    /// Responds 200 after so many milliseconds.
    SucceedAfterMs(u64),
    /// Responds 200 with a chunked body.
    SucceedChunked,
    /// Responds 200 and closes the connection at once, without having announced it.
    SucceedAndClose,
    /// Responds 500.
    Fail,
    /// Responds 503 with the mark that the request never ran.
    RejectUnstarted,
    /// Responds 503 without that mark.
    RejectBusy,
    /// Closes the connection without a response.
    Reset,
    /// Closes the connection within a response.
    Truncate,
    /// Never responds.
    Hang,
}

/// What all workers of a test saw.
#[derive(Default)]
pub struct WorkerLog {
    /// The attempts, each with the number of the worker that received it.
    pub attempts: Mutex<Vec<(usize, HttpMessage)>>,
    /// Connections accepted.
    pub connections: AtomicU32,
    /// Connections that ended.
    pub connections_closed: AtomicU32,
}

impl WorkerLog {
    /// The attempts of one request, in the order in which they came.
    pub fn attempts_of(&self, id: &str) -> Vec<(usize, HttpMessage)> {
        let is_of = |(_, message): &&(usize, HttpMessage)| message.header("request-id") == id;
        lock(&self.attempts).iter().filter(is_of).cloned().collect()
    }

    /// Adds an attempt; returns how many of its request came before it.
    fn add(&self, worker: usize, id: &str, message: HttpMessage) -> usize {
        let mut attempts = lock(&self.attempts);
        let earlier = attempts.iter().filter(|(_, message)| message.header("request-id") == id).count();
        attempts.push((worker, message));
        earlier
    }
}

/// By request id, what is done with its attempts in turn; what is not in it succeeds.
type Script = HashMap<String, Vec<WorkerAction>>;

/// A worker that follows a script. Returns where it listens.
pub fn start_worker(number: usize, log: Arc<WorkerLog>, script: Arc<Mutex<Script>>) -> SocketAddr {
    let (on, addr) = listener();
    serve(on, move |stream| {
        log.connections.fetch_add(1, Ordering::SeqCst);
        let mut reader = BufReader::new(stream.try_clone().expect("cloned"));
        while let Some(message) = HttpMessage::read(&mut reader) {
            let id = message.header("request-id").to_string();
            let earlier = log.add(number, &id, message);
            let action = lock(&script).get(&id).and_then(|actions| actions.get(earlier).copied());
            if !perform(action.unwrap_or(WorkerAction::Succeed), &id, &stream, &mut reader) {
                break;
            }
        }
        let _ = stream.shutdown(Shutdown::Both);
        log.connections_closed.fetch_add(1, Ordering::SeqCst);
    });
    addr
}

/// Returns whether the connection goes on.
fn perform(action: WorkerAction, id: &str, mut stream: &TcpStream, reader: &mut impl Read) -> bool {
    let body = format!("answer to {id}");
    let ok =
        |headers: &str| format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n{headers}\r\n{body}", body.len());
    let mut write = |text: &str| stream.write_all(text.as_bytes()).is_ok();
    match action {
        WorkerAction::Succeed => write(&ok("X-Kind: plain\r\n")),
        WorkerAction::SucceedAfterMs(ms) => {
            thread::sleep(Duration::from_millis(ms));
            write(&ok(""))
        }
        WorkerAction::SucceedChunked => write(&format!(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{body}\r\n0\r\n\r\n",
            body.len()
        )),
        WorkerAction::SucceedAndClose => {
            write(&ok(""));
            false
        }
        WorkerAction::Fail => write("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"),
        WorkerAction::RejectUnstarted => {
            write("HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n")
        }
        WorkerAction::RejectBusy => write("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"),
        WorkerAction::Reset => false,
        WorkerAction::Truncate => {
            write(&ok("")[..TRUNCATED_BYTES]);
            false
        }
        WorkerAction::Hang => {
            // Until the other side closes.
            let _ = reader.read(&mut [0]);
            false
        }
    }
}
