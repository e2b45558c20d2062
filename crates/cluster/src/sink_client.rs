//! Calls to a sink: one HTTP request on a connection of its own, with time limits. docs/operators/sink.md has
//! the protocol.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddrV4, TcpStream};
use std::time::Duration;

use lynxstair_export::{Batch, BatchReply, StreamId, StreamPosition, StreamStatus};
use lynxstair_leases::Epoch;
use serde::de::DeserializeOwned;

use crate::exporter::DUTY;
use crate::protocol::MAX_RESPONSE_BYTES;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// For each read and each write.
const IO_TIMEOUT: Duration = Duration::from_millis(1_000);
const STATUS_OK: u16 = 200;
const STATUS_CONFLICT: u16 = 409;

/// Why a call to the sink did not do what it was for.
#[derive(Debug, thiserror::Error)]
pub(crate) enum SinkError {
    /// The sink saw a higher epoch: the caller owns the duty no longer.
    #[error("a later epoch was seen: {highest_epoch}")]
    Fenced { highest_epoch: u64 },
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("no whole answer")]
    IncompleteResponse,
    #[error("answers {0}")]
    Status(u16),
    #[error("not understood: {0}")]
    Malformed(#[source] serde_json::Error),
    #[error("{0:?}")]
    Rejected(BatchReply),
}

/// How far the sink is, and which streams it holds for incomplete.
pub(crate) type SinkPositions = (Vec<(StreamId, StreamPosition)>, Vec<StreamId>);

struct HttpResponse {
    status: u16,
    body: Vec<u8>,
}

/// A sink at an address.
pub(crate) struct SinkClient {
    addr: SocketAddrV4,
}

impl SinkClient {
    pub fn new(addr: SocketAddrV4) -> Self {
        SinkClient { addr }
    }

    pub fn addr(&self) -> SocketAddrV4 {
        self.addr
    }

    /// Asks how far the sink is. The sink refuses every lower epoch from then on.
    pub fn positions(&self, epoch: Epoch) -> Result<SinkPositions, SinkError> {
        let response = self.call("GET", &format!("/duties/{DUTY}?epoch={}", epoch.0), b"")?;
        decode(&accepted(&response)?.body)
    }

    /// Sends a batch.
    pub fn send_batch(&self, epoch: Epoch, batch: &Batch) -> Result<BatchReply, SinkError> {
        let body = serde_json::to_vec(batch).map_err(SinkError::Malformed)?;
        let response = self.call("POST", &format!("/duties/{DUTY}/batches?epoch={}", epoch.0), &body)?;
        decode(&response.body)
    }

    /// Tells whether a stream is complete.
    pub fn send_status(&self, epoch: Epoch, status: &StreamStatus) -> Result<(), SinkError> {
        let body = serde_json::to_vec(status).map_err(SinkError::Malformed)?;
        let response = self.call("POST", &format!("/duties/{DUTY}/marks?epoch={}", epoch.0), &body)?;
        accepted(&response).map(|_| ())
    }

    fn call(&self, method: &str, target: &str, body: &[u8]) -> Result<HttpResponse, SinkError> {
        let stream = TcpStream::connect_timeout(&self.addr.into(), CONNECT_TIMEOUT)?;
        stream.set_read_timeout(Some(IO_TIMEOUT))?;
        stream.set_write_timeout(Some(IO_TIMEOUT))?;
        let head = format!(
            "{method} {target} HTTP/1.1\r\nHost: {}\r\nConnection: close\r\nContent-Length: {}\r\n\r\n",
            self.addr,
            body.len()
        );
        (&stream).write_all(&[head.as_bytes(), body].concat())?;
        read_response(&stream).ok_or(SinkError::IncompleteResponse)
    }
}

/// The response where its status is 200.
fn accepted(response: &HttpResponse) -> Result<&HttpResponse, SinkError> {
    match response.status {
        STATUS_OK => Ok(response),
        STATUS_CONFLICT => match decode(&response.body)? {
            BatchReply::Fenced { highest_epoch } => Err(SinkError::Fenced { highest_epoch }),
            _ => Err(SinkError::Fenced { highest_epoch: 0 }),
        },
        status => Err(SinkError::Status(status)),
    }
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, SinkError> {
    serde_json::from_slice(body).map_err(SinkError::Malformed)
}

/// `None` where the response ended before it was whole, or is none.
fn read_response(stream: &TcpStream) -> Option<HttpResponse> {
    let mut reader = BufReader::new(stream.take(MAX_RESPONSE_BYTES as u64));
    let mut status_line = String::new();
    reader.read_line(&mut status_line).ok()?;
    let status = status_line.split(' ').nth(1)?.parse().ok()?;
    let length = read_content_length(&mut reader)?;
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(HttpResponse { status, body })
}

/// Reads the headers to their end.
fn read_content_length(reader: &mut impl BufRead) -> Option<usize> {
    let mut length = None;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|bytes| *bytes > 0)?;
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        if name.eq_ignore_ascii_case("content-length") {
            length = value.trim().parse::<usize>().ok();
        }
    }
    length.filter(|length| *length <= MAX_RESPONSE_BYTES)
}
