//! Blocking client of the control port, for command-line tools and the exporter.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddrV4, TcpStream};
use std::time::Duration;

use crate::protocol::{MAX_RESPONSE_BYTES, Request, Response};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time-out of each read and each write.
const IO_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Connects to the control port at `addr`, sends one request and waits for the response.
///
/// # Errors
/// If the member can't be reached, does not respond in time, or sends a malformed response.
pub fn request(addr: SocketAddrV4, request: &Request) -> io::Result<Response> {
    exchange(&TcpStream::connect_timeout(&addr.into(), CONNECT_TIMEOUT)?, request, IO_TIMEOUT)
}

/// Sends one request on an open connection. `timeout` applies to each read and each write.
pub(crate) fn exchange(mut stream: &TcpStream, request: &Request, timeout: Duration) -> io::Result<Response> {
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    let mut bytes = serde_json::to_vec(request)?;
    bytes.push(b'\n');
    stream.write_all(&bytes)?;
    let mut line = String::new();
    BufReader::new(stream.take(MAX_RESPONSE_BYTES as u64)).read_line(&mut line)?;
    if line.is_empty() {
        return Err(io::Error::new(io::ErrorKind::UnexpectedEof, "connection closed without a response"));
    }
    Ok(serde_json::from_str(&line)?)
}
