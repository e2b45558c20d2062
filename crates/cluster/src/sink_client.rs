//! HTTP client of the usage sink. Each call opens a new connection and has time-outs. The protocol is
//! described in docs/operators/sink.md.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddrV4, TcpStream};
use std::time::Duration;

use lynxstair_export::{Batch, BatchReply, StreamId, StreamPosition, StreamStatus};
use lynxstair_leases::Epoch;
use serde::de::DeserializeOwned;

use crate::exporter::DUTY;
use crate::protocol::MAX_RESPONSE_BYTES;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time-out of each read and each write.
const IO_TIMEOUT: Duration = Duration::from_millis(1_000);
const STATUS_OK: u16 = 200;
const STATUS_CONFLICT: u16 = 409;

/// Failure of a call to the sink.
#[derive(Debug, thiserror::Error)]
pub(crate) enum SinkError {
    /// The sink has seen a higher epoch: another member owns the duty.
    #[error("the sink has seen a higher epoch: {highest_epoch}")]
    Fenced { highest_epoch: u64 },
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("incomplete HTTP response")]
    IncompleteResponse,
    #[error("HTTP status {0}")]
    Status(u16),
    #[error("malformed JSON: {0}")]
    Malformed(#[source] serde_json::Error),
    #[error("batch rejected: {0:?}")]
    Rejected(BatchReply),
}

/// Position of each stream at the sink, and the streams that it has marked as incomplete.
pub(crate) type SinkPositions = (Vec<(StreamId, StreamPosition)>, Vec<StreamId>);

struct HttpResponse {
    status: u16,
    body: Vec<u8>,
}

/// Client of the sink at one address.
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

    /// Fetches the positions of the sink. The sink rejects lower epochs from then on.
    pub fn positions(&self, epoch: Epoch) -> Result<SinkPositions, SinkError> {
        let response = self.call("GET", &format!("/duties/{DUTY}?epoch={}", epoch.0), b"")?;
        decode(&accepted(&response)?.body)
    }

    /// Sends a batch. Replies that reject the batch are `Ok` as well.
    pub fn send_batch(&self, epoch: Epoch, batch: &Batch) -> Result<BatchReply, SinkError> {
        let body = serde_json::to_vec(batch).map_err(SinkError::Malformed)?;
        let response = self.call("POST", &format!("/duties/{DUTY}/batches?epoch={}", epoch.0), &body)?;
        decode(&response.body)
    }

    /// Reports whether a stream is complete.
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

/// Returns the response if its status is 200.
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

/// Reads a response; `None` if it is malformed, too long or incomplete.
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

/// Reads all headers; `None` without a valid content length of at most [`MAX_RESPONSE_BYTES`].
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
