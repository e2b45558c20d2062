//! Counters: one that gives what it is told to give, one that counts.

use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};

use crate::message::Message;
use crate::{listener, serve};

/// Adds to counts and gives the total, or another total, or nothing.
pub struct Counter {
    pub addr: SocketAddr,
    pub calls: Arc<Mutex<Vec<String>>>,
    /// Connections that ended.
    pub closed: Arc<AtomicU32>,
}

/// A counter that gives one and the same total; none: it never answers.
pub fn counter(total: Option<f64>) -> Counter {
    let total = total.map(|t| t.to_string());
    counter_that_says(total.map(|t| format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{t}", t.len())))
}

/// The same, which gives each call one and the same answer.
pub fn counter_that_says(answer: Option<String>) -> Counter {
    let (on, addr) = listener();
    let counter = Counter { addr, calls: Arc::default(), closed: Arc::default() };
    let (calls, closed) = (counter.calls.clone(), counter.closed.clone());
    serve(on, move |stream| {
        let mut reader = BufReader::new(stream.try_clone().expect("cloned"));
        while let Some(message) = Message::read(&mut reader) {
            calls.lock().expect("not poisoned").push(message.first);
            let _ = answer.iter().try_for_each(|a| (&stream).write_all(a.as_bytes()));
        }
        closed.fetch_add(1, Ordering::SeqCst);
    });
    counter
}

/// A counter that adds, as the protocol's page has it. What has expired is forgotten with the whole name's
/// window: the names of later windows differ.
pub fn counting() -> Counter {
    let (on, addr) = listener();
    let counter = Counter { addr, calls: Arc::default(), closed: Arc::default() };
    let totals: Arc<Mutex<HashMap<String, f64>>> = Arc::default();
    let closed = counter.closed.clone();
    serve(on, move |stream| {
        let Ok(reading) = stream.try_clone() else { return };
        let mut reader = BufReader::new(reading);
        while let Some(message) = Message::read(&mut reader) {
            let call = message.first.strip_prefix("POST /counters/").and_then(|c| c.split_once("?by="));
            let total = call.and_then(|(name, rest)| {
                let by: f64 = rest.split('&').next()?.parse().ok()?;
                let mut totals = totals.lock().unwrap_or_else(|e| e.into_inner());
                let total = totals.entry(name.to_string()).or_default();
                *total += by;
                Some(total.to_string())
            });
            let said = match total {
                Some(t) => format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{t}", t.len()),
                None => "HTTP/1.1 400 No\r\nContent-Length: 0\r\n\r\n".to_string(),
            };
            if (&stream).write_all(said.as_bytes()).is_err() {
                break;
            }
        }
        closed.fetch_add(1, Ordering::SeqCst);
    });
    counter
}
