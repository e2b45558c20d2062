//! Fake discovery service that streams worker lists to its watchers.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};

use crate::message::HttpMessage;
use crate::{bind_listener, lock, serve};

/// Response head of the stream, and an empty line as its first chunk.
const STREAM_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n";

/// A running discovery service.
#[derive(Clone)]
pub struct Discovery {
    /// Listening address.
    pub addr: SocketAddr,
    watchers: Arc<Mutex<Vec<TcpStream>>>,
    /// Updates that new watchers receive first.
    published: Arc<Mutex<Vec<String>>>,
    /// Request lines received.
    pub request_lines: Arc<Mutex<Vec<String>>>,
}

/// Encodes an update as a chunk of one line.
fn chunk(update: &str) -> String {
    format!("{:x}\r\n{update}\n\r\n", update.len() + 1)
}

/// Starts a discovery service without updates on a free port.
pub fn start_discovery() -> Discovery {
    start_discovery_with_stream(STREAM_HEAD)
}

/// Starts a discovery service that sends these bytes to each watcher before the updates.
pub fn start_discovery_with_stream(start: &[u8]) -> Discovery {
    let start = start.to_vec();
    let (listener, addr) = bind_listener();
    let discovery = Discovery {
        addr,
        watchers: Arc::default(),
        published: Arc::default(),
        request_lines: Arc::default(),
    };
    let shared = discovery.clone();
    serve(listener, move |mut stream| {
        let mut reader = BufReader::new(stream.try_clone().expect("cloned"));
        let Some(message) = HttpMessage::read(&mut reader) else { return };
        let published: String = lock(&shared.published).iter().map(|update| chunk(update)).collect();
        if stream.write_all(&start).is_ok() && stream.write_all(published.as_bytes()).is_ok() {
            lock(&shared.watchers).push(stream);
            lock(&shared.request_lines).push(message.start_line);
        }
    });
    discovery
}

impl Discovery {
    /// Sends an update to current and future watchers.
    pub fn publish(&self, update: &str) {
        lock(&self.published).push(update.to_string());
        self.send_to_watchers(update);
    }

    /// Sends an update to current watchers only.
    pub fn send_to_watchers(&self, update: &str) {
        let chunk = chunk(update);
        lock(&self.watchers).retain_mut(|watcher| watcher.write_all(chunk.as_bytes()).is_ok());
    }
}

/// Returns an entry of the worker list, as JSON.
pub fn worker_entry(number: usize, addr: SocketAddr, phase: &str) -> String {
    format!(
        r#"{{"id":"s-{number}","host_port":"{addr}","locality":"z","flavor":"k","cell":0,"phase":"{phase}","size":1.0,"up_since_ms":0}}"#
    )
}
