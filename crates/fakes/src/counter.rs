//! Fake counters: one with a fixed response, one that adds up the requested amounts.

use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};

use crate::message::HttpMessage;
use crate::{bind_listener, lock, ok_response, serve};

/// A running counter, with the requests and connections that it received.
pub struct Counter {
    /// Listening address.
    pub addr: SocketAddr,
    /// Request lines received; stays empty for [`start_adding_counter`].
    pub request_lines: Arc<Mutex<Vec<String>>>,
    /// Number of connections that ended.
    pub connections_closed: Arc<AtomicU32>,
}

/// Starts a counter that always responds with the same total, or never responds if `None`.
pub fn start_counter(total: Option<f64>) -> Counter {
    start_counter_with_response(total.map(|total| ok_response(&total.to_string())))
}

/// Starts a counter that always sends the same response, or never responds if `None`.
pub fn start_counter_with_response(response: Option<String>) -> Counter {
    let (listener, addr) = bind_listener();
    let counter = Counter { addr, request_lines: Arc::default(), connections_closed: Arc::default() };
    let (request_lines, connections_closed) =
        (counter.request_lines.clone(), counter.connections_closed.clone());
    serve(listener, move |stream| {
        let mut reader = BufReader::new(stream.try_clone().expect("cloned"));
        while let Some(message) = HttpMessage::read(&mut reader) {
            lock(&request_lines).push(message.start_line);
            if let Some(response) = &response {
                let _ = (&stream).write_all(response.as_bytes());
            }
        }
        connections_closed.fetch_add(1, Ordering::SeqCst);
    });
    counter
}

/// Starts a counter that adds up the requested amounts. It never expires a counter; later windows have other
/// names.
pub fn start_adding_counter() -> Counter {
    let (listener, addr) = bind_listener();
    let counter = Counter { addr, request_lines: Arc::default(), connections_closed: Arc::default() };
    let totals: Mutex<HashMap<String, f64>> = Mutex::default();
    let connections_closed = counter.connections_closed.clone();
    serve(listener, move |stream| {
        let Ok(read_half) = stream.try_clone() else { return };
        let mut reader = BufReader::new(read_half);
        while let Some(message) = HttpMessage::read(&mut reader) {
            let response = match add(&totals, &message.start_line) {
                Some(total) => ok_response(&total.to_string()),
                None => "HTTP/1.1 400 No\r\nContent-Length: 0\r\n\r\n".to_string(),
            };
            if (&stream).write_all(response.as_bytes()).is_err() {
                break;
            }
        }
        connections_closed.fetch_add(1, Ordering::SeqCst);
    });
    counter
}

/// Handles `POST /counters/NAME?by=AMOUNT`. Returns the new total; `None` if the request line is invalid.
fn add(totals: &Mutex<HashMap<String, f64>>, start_line: &str) -> Option<f64> {
    let (name, rest) = start_line.strip_prefix("POST /counters/")?.split_once("?by=")?;
    let amount: f64 = rest.split('&').next()?.parse().ok()?;
    let mut totals = lock(totals);
    let total = totals.entry(name.to_string()).or_default();
    *total += amount;
    Some(*total)
}
