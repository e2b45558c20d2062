//! Minimal blocking HTTP/1.1 for the fakes.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;

/// Tenant key in [`request_text`].
const DEFAULT_TENANT: u64 = 0xb4d6_5521;

/// A received request or response.
#[derive(Clone, Debug, Default)]
pub struct HttpMessage {
    /// The request line or status line.
    pub start_line: String,
    /// Header values by lower-case name.
    pub headers: HashMap<String, String>,
    /// Body of the message.
    pub body: Vec<u8>,
}

impl HttpMessage {
    /// Reads a message; `None` if the connection ends before the message is complete.
    ///
    /// # Panics
    /// If the content length is not a number.
    pub fn read(from: &mut impl BufRead) -> Option<HttpMessage> {
        let mut message = HttpMessage::read_head(from)?;
        message.read_body(from)?;
        Some(message)
    }

    /// Reads the response to a request with `method`; `None` if the connection ends before it is complete.
    ///
    /// # Panics
    /// If the content length is not a number.
    pub fn read_response_to(method: &str, from: &mut impl BufRead) -> Option<HttpMessage> {
        let mut message = HttpMessage::read_head(from)?;
        if method != "HEAD" && !matches!(message.status(), 204 | 304) {
            message.read_body(from)?;
        }
        Some(message)
    }

    fn read_head(from: &mut impl BufRead) -> Option<HttpMessage> {
        let start_line = read_line(from)?;
        let mut headers = HashMap::new();
        loop {
            let line = read_line(from)?;
            let Some((name, value)) = line.split_once(':') else { break };
            headers.insert(name.to_ascii_lowercase(), value.trim().to_string());
        }
        Some(HttpMessage { start_line, headers, body: Vec::new() })
    }

    fn read_body(&mut self, from: &mut impl BufRead) -> Option<()> {
        let length = self.headers.get("content-length");
        let length = length.map_or(0, |length| length.parse().expect("a length"));
        self.body = vec![0; length];
        from.read_exact(&mut self.body).ok()
    }

    /// Returns the value of a header; empty if the header is missing.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// Returns the status code; 0 if the start line has none.
    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// Reads a line without trailing white space; `None` at the end of the connection.
fn read_line(from: &mut impl BufRead) -> Option<String> {
    let mut line = String::new();
    from.read_line(&mut line).ok().filter(|bytes| *bytes > 0)?;
    line.truncate(line.trim_end().len());
    Some(line)
}

/// Sends a request and reads the response; `None` if the connection ends before the response is complete.
pub fn exchange(mut stream: &TcpStream, request: &str) -> Option<HttpMessage> {
    stream.write_all(request.as_bytes()).ok()?;
    let method = request.split(' ').next().unwrap_or("");
    HttpMessage::read_response_to(method, &mut BufReader::new(stream))
}

/// Formats a request of the default tenant. The operation `get` is idempotent, `put` is not.
pub fn request_text(operation: &str, plan: &str, id: &str, timeout_ms: u32) -> String {
    tenant_request_text(DEFAULT_TENANT, operation, plan, id, timeout_ms)
}

/// Formats a request of the given tenant.
pub fn tenant_request_text(tenant: u64, operation: &str, plan: &str, id: &str, timeout_ms: u32) -> String {
    let (method, length, body) = match operation {
        "get" => ("GET", "", ""),
        _ => ("POST", "Content-Length: 4\r\n", "body"),
    };
    format!(
        "{method} /{operation}/a?q=1 HTTP/1.1\r\nHost: origin.svc\r\nRequest-Id: {id}\r\nX-Tariff: {plan}\r\n\
         Cookie: other=1; key={tenant:016x}\r\nRequest-Timeout-Ms: {timeout_ms}\r\n\
         X-Weight: units=1,spread=2,first=0\r\nX-More: kept\r\n{length}\r\n{body}"
    )
}
