//! Discovery: streams the list of workers to those who watch it.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};

use crate::message::HttpMessage;
use crate::{listener, lock, serve};

/// Begins the stream, with an empty line as its first chunk.
const STREAM_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n";

/// A discovery service.
#[derive(Clone)]
pub struct Discovery {
    /// Where it listens.
    pub addr: SocketAddr,
    watchers: Arc<Mutex<Vec<TcpStream>>>,
    /// What later watchers are sent first.
    published: Arc<Mutex<Vec<String>>>,
    /// The request lines that it received.
    pub request_lines: Arc<Mutex<Vec<String>>>,
}

/// One line as a chunk.
fn chunk(update: &str) -> String {
    format!("{:x}\r\n{update}\n\r\n", update.len() + 1)
}

/// A service that has nothing to send yet, on a free port.
pub fn start_discovery() -> Discovery {
    let (on, addr) = listener();
    let discovery = Discovery {
        addr,
        watchers: Arc::default(),
        published: Arc::default(),
        request_lines: Arc::default(),
    };
    let shared = discovery.clone();
    serve(on, move |mut stream| {
        let mut reader = BufReader::new(stream.try_clone().expect("cloned"));
        let Some(message) = HttpMessage::read(&mut reader) else { return };
        let published: String = lock(&shared.published).iter().map(|update| chunk(update)).collect();
        if stream.write_all(STREAM_HEAD).is_ok() && stream.write_all(published.as_bytes()).is_ok() {
            lock(&shared.watchers).push(stream);
            lock(&shared.request_lines).push(message.start_line);
        }
    });
    discovery
}

impl Discovery {
    /// Sends an update to those who watch now and to those who come later.
    pub fn publish(&self, update: &str) {
        lock(&self.published).push(update.to_string());
        self.send_to_watchers(update);
    }

    /// Sends an update to those who watch now.
    pub fn send_to_watchers(&self, update: &str) {
        let chunk = chunk(update);
        lock(&self.watchers).retain_mut(|watcher| watcher.write_all(chunk.as_bytes()).is_ok());
    }
}

/// A worker in the list.
pub fn worker_entry(number: usize, addr: SocketAddr, phase: &str) -> String {
    format!(
        r#"{{"id":"s-{number}","host_port":"{addr}","locality":"z","flavor":"k","cell":0,"phase":"{phase}","size":1.0,"up_since_ms":0}}"#
    )
}
