//! Counters: one that gives a scripted response, one that counts.

use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};

use crate::message::HttpMessage;
use crate::{listener, lock, ok_response, serve};

/// A counter and what it saw.
pub struct Counter {
    /// Where it listens.
    pub addr: SocketAddr,
    /// The request lines that it received.
    pub request_lines: Arc<Mutex<Vec<String>>>,
    /// Connections that ended.
    pub connections_closed: Arc<AtomicU32>,
}

/// A counter that always gives the same total; `None`: it never responds.
pub fn start_counter(total: Option<f64>) -> Counter {
    start_counter_with_response(total.map(|total| ok_response(&total.to_string())))
}

/// A counter that always gives the same response; `None`: it never responds.
pub fn start_counter_with_response(response: Option<String>) -> Counter {
    let (on, addr) = listener();
    let counter = Counter { addr, request_lines: Arc::default(), connections_closed: Arc::default() };
    let (request_lines, connections_closed) =
        (counter.request_lines.clone(), counter.connections_closed.clone());
    serve(on, move |stream| {
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

/// A counter that adds, as the protocol's page has it. It forgets nothing: the names of later windows differ.
pub fn start_adding_counter() -> Counter {
    let (on, addr) = listener();
    let counter = Counter { addr, request_lines: Arc::default(), connections_closed: Arc::default() };
    let totals: Mutex<HashMap<String, f64>> = Mutex::default();
    let connections_closed = counter.connections_closed.clone();
    serve(on, move |stream| {
        let Ok(reading) = stream.try_clone() else { return };
        let mut reader = BufReader::new(reading);
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

/// Adds what `POST /counters/NAME?by=AMOUNT` asks for; returns the total.
fn add(totals: &Mutex<HashMap<String, f64>>, start_line: &str) -> Option<f64> {
    let (name, rest) = start_line.strip_prefix("POST /counters/")?.split_once("?by=")?;
    let amount: f64 = rest.split('&').next()?.parse().ok()?;
    let mut totals = lock(totals);
    let total = totals.entry(name.to_string()).or_default();
    *total += amount;
    Some(*total)
}
