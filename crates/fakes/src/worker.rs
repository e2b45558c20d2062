//! Workers that do with each delivery what a script says.

use std::collections::HashMap;
use std::io::{BufReader, Read, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::message::Message;
use crate::{listener, serve};

/// What a worker does with one delivery.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Does {
    Succeeds,
    /// Succeeds after so many milliseconds.
    SucceedsIn(u64),
    SucceedsChunked,
    /// Succeeds, and closes the connection at once without having said so.
    SucceedsAndCloses,
    Errors,
    TurnsAway,
    /// Answers 503 without the mark that it never ran.
    SaysBusy,
    Resets,
    BreaksOff,
    Hangs,
}

/// What all workers of a test saw: deliveries with the worker that got them, and connections.
#[derive(Default)]
pub struct Seen {
    pub deliveries: Mutex<Vec<(usize, Message)>>,
    pub connections: AtomicU32,
    pub closed: AtomicU32,
}

impl Seen {
    /// The deliveries of one invocation, in the order they came.
    pub fn of(&self, id: &str) -> Vec<(usize, Message)> {
        let all = self.deliveries.lock().expect("not poisoned");
        all.iter().filter(|(_, m)| m.header("request-id") == id).cloned().collect()
    }
}

/// A worker that does with each invocation's deliveries what the script for its id says, in turn.
pub fn worker(me: usize, seen: Arc<Seen>, script: Arc<Mutex<HashMap<String, Vec<Does>>>>) -> SocketAddr {
    let (on, addr) = listener();
    serve(on, move |stream| {
        seen.connections.fetch_add(1, Ordering::SeqCst);
        let mut reader = BufReader::new(stream.try_clone().expect("cloned"));
        while let Some(message) = Message::read(&mut reader) {
            let id = message.header("request-id").to_string();
            let no = {
                let mut deliveries = seen.deliveries.lock().expect("not poisoned");
                deliveries.push((me, message));
                deliveries.iter().filter(|(_, m)| m.header("request-id") == id).count() - 1
            };
            let does = script.lock().expect("not poisoned").get(&id).and_then(|s| s.get(no).copied());
            let body = format!("answer to {id}");
            let whole =
                |rest: &str| format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n{rest}\r\n{body}", body.len());
            let mut out = &stream;
            let mut say = |text: String| out.write_all(text.as_bytes()).is_ok();
            let goes_on = match does.unwrap_or(Does::Succeeds) {
                Does::Succeeds => say(whole("X-Kind: plain\r\n")),
                Does::SucceedsIn(ms) => {
                    thread::sleep(Duration::from_millis(ms));
                    say(whole(""))
                }
                Does::SucceedsChunked => say(format!(
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{body}\r\n0\r\n\r\n",
                    body.len()
                )),
                Does::SucceedsAndCloses => {
                    say(whole(""));
                    false
                }
                Does::Errors => say("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n".to_string()),
                Does::TurnsAway => {
                    say("HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n".to_string())
                }
                Does::SaysBusy => say("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n".to_string()),
                Does::Resets => false,
                Does::BreaksOff => {
                    say(whole("")[..60].to_string());
                    false
                }
                // Until the other side closes.
                Does::Hangs => {
                    let _ = reader.read(&mut [0]);
                    false
                }
            };
            if !goes_on {
                break;
            }
        }
        let _ = stream.shutdown(std::net::Shutdown::Both);
        seen.closed.fetch_add(1, Ordering::SeqCst);
    });
    addr
}
