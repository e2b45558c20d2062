//! Fake workers that handle each attempt as scripted.

use std::collections::HashMap;
use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::broken_replies::BrokenReply;
use crate::message::HttpMessage;
use crate::sound_replies::SoundReply;
use crate::{bind_listener, lock, serve};

/// Length of a truncated response, in bytes.
const TRUNCATED_RESPONSE_BYTES: usize = 60;

/// Scripted handling of one attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum WorkerAction {
    /// Responds 200.
    Succeed,
    /// Responds 200 after the given number of milliseconds.
    SucceedAfterMs(u64),
    /// Responds 200 with a chunked body.
    SucceedChunked,
    /// Responds 200 and closes the connection without a `Connection: close` header.
    SucceedAndClose,
    /// Responds 500.
    Fail,
    /// Responds 503 with the header `Not-Started: 1`, which states that the request was not run.
    RejectUnstarted,
    /// Responds 503 without that header.
    RejectBusy,
    /// Closes the connection without a response.
    Reset,
    /// Closes the connection after the first bytes of a response.
    Truncate,
    /// Never responds.
    Hang,
    /// Sends a reply that is no valid response, at once or byte by byte.
    SendBroken(&'static BrokenReply, Pace),
    /// Sends a valid reply, at once or byte by byte.
    SendSound(&'static SoundReply, Pace),
}

/// Division of a reply into writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pace {
    /// One write.
    AtOnce,
    /// A write for each of the first 2,000 bytes, more than the head of a reply of a test, and one for the rest.
    ByteByByte,
}

/// Number of bytes that [`Pace::ByteByByte`] writes one by one.
const MAX_SINGLE_BYTES: usize = 2_000;

impl Pace {
    /// All variants.
    pub const ALL: [Pace; 2] = [Pace::AtOnce, Pace::ByteByByte];

    /// Writes `bytes`. Returns `false` if the connection has ended.
    pub fn write(self, mut stream: &TcpStream, bytes: &[u8]) -> bool {
        let _ = stream.set_nodelay(true);
        let single_bytes = match self {
            Pace::AtOnce => 0,
            Pace::ByteByByte => bytes.len().min(MAX_SINGLE_BYTES),
        };
        let (single, rest) = bytes.split_at(single_bytes);
        let mut pieces = single.chunks(1).chain([rest]);
        pieces.all(|piece| stream.write_all(piece).is_ok())
    }
}

/// Attempts and connections that the workers of a test received.
#[derive(Default)]
pub struct WorkerLog {
    /// Attempts, each with the number of the worker that received it.
    pub attempts: Mutex<Vec<(usize, HttpMessage)>>,
    /// Number of connections accepted.
    pub connections: AtomicU32,
    /// Number of connections that ended.
    pub connections_closed: AtomicU32,
}

impl WorkerLog {
    /// Returns the attempts of one request in order of arrival.
    pub fn attempts_of(&self, id: &str) -> Vec<(usize, HttpMessage)> {
        let is_same_request = |(_, message): &&(usize, HttpMessage)| message.header("request-id") == id;
        lock(&self.attempts).iter().filter(is_same_request).cloned().collect()
    }

    /// Adds an attempt. Returns the number of earlier attempts of the same request.
    fn add(&self, worker: usize, id: &str, message: HttpMessage) -> usize {
        let mut attempts = lock(&self.attempts);
        let earlier = attempts.iter().filter(|(_, message)| message.header("request-id") == id).count();
        attempts.push((worker, message));
        earlier
    }
}

/// Actions for the successive attempts of each request, by request id. Other attempts succeed.
type Script = HashMap<String, Vec<WorkerAction>>;

/// Starts a worker that follows `script`. Returns its address.
pub fn start_worker(number: usize, log: Arc<WorkerLog>, script: Arc<Mutex<Script>>) -> SocketAddr {
    let (listener, addr) = bind_listener();
    serve(listener, move |stream| {
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

/// Performs an action. Returns `false` if the connection must be closed.
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
            write(&ok("")[..TRUNCATED_RESPONSE_BYTES]);
            false
        }
        WorkerAction::Hang => {
            // Blocks until the client closes the connection or sends more.
            let _ = reader.read(&mut [0]);
            false
        }
        WorkerAction::SendBroken(reply, pace) => pace.write(stream, &reply.bytes(id)) && !reply.closes,
        WorkerAction::SendSound(reply, pace) => pace.write(stream, &reply.bytes(id)) && !reply.closes,
    }
}
