//! HTTP/1.1 as the stand-ins speak it: plain, blocking, and no more of it than the protocol's page needs.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;

/// A message as it was read.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    /// Reads one; None at the end of the connection.
    pub fn read(from: &mut impl BufRead) -> Option<Message> {
        let mut first = String::new();
        from.read_line(&mut first).ok().filter(|n| *n > 0)?;
        let mut headers = HashMap::new();
        loop {
            let mut line = String::new();
            from.read_line(&mut line).ok().filter(|n| *n > 0)?;
            let Some((name, value)) = line.trim_end().split_once(':') else { break };
            headers.insert(name.to_ascii_lowercase(), value.trim().to_string());
        }
        let length = headers.get("content-length").map_or(0, |l| l.parse().expect("a length"));
        let mut body = vec![0; length];
        from.read_exact(&mut body).ok()?;
        Some(Message { first: first.trim_end().to_string(), headers, body })
    }

    /// Empty where there is none.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// Zero where it is no answer.
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// Says something on a connection, and reads the answer. None: the connection ended before it was whole.
pub fn ask(stream: &TcpStream, text: &str) -> Option<Message> {
    let mut out = stream;
    out.write_all(text.as_bytes()).ok()?;
    Message::read(&mut BufReader::new(stream))
}

/// An invocation: `get` is idempotent, `put` is not.
pub fn text(operation: &str, plan: &str, id: &str, patience_ms: u32) -> String {
    text_of(0xb4d6_5521, operation, plan, id, patience_ms)
}

/// The same, of any customer.
pub fn text_of(customer: u64, operation: &str, plan: &str, id: &str, patience_ms: u32) -> String {
    let method = if operation == "get" { "GET" } else { "POST" };
    let body = if operation == "get" { "" } else { "Content-Length: 4\r\n" };
    let content = if operation == "get" { "" } else { "body" };
    format!(
        "{method} /{operation}/a?q=1 HTTP/1.1\r\nHost: origin.svc\r\nRequest-Id: {id}\r\nX-Tariff: {plan}\r\n\
         Cookie: other=1; key={customer:016x}\r\nRequest-Timeout-Ms: {patience_ms}\r\n\
         X-Weight: units=1,spread=2,first=0\r\nX-More: kept\r\n{body}\r\n{content}"
    )
}
