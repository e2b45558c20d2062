//! HTTP client of the usage sink. Each call opens a new connection and has time-outs. The protocol is
//! described in docs/operators/sink.md.

use std::io::{self, Read, Write};
use std::net::{SocketAddrV4, TcpStream};
use std::time::Duration;

use lynxstair_export::{Batch, BatchReply, StreamId, StreamPosition, StreamStatus};
use lynxstair_leases::Epoch;
use lynxstair_net::http::{self, HttpError, RequestMethod, StreamState};
use serde::de::DeserializeOwned;

use crate::exporter::DUTY;
use crate::protocol::MAX_RESPONSE_BYTES;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time-out of each read and each write.
const IO_TIMEOUT: Duration = Duration::from_millis(1_000);
const STATUS_OK: u16 = 200;
const STATUS_CONFLICT: u16 = 409;
const STATUS_PRECONDITION_FAILED: u16 = 412;
const STATUS_UNPROCESSABLE: u16 = 422;
/// Size of a read, in bytes.
const READ_BYTES: usize = 16 << 10;

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
    #[error("HTTP response: {0}")]
    InvalidResponse(#[from] HttpError),
    #[error("HTTP status {0}")]
    Status(u16),
    #[error("malformed JSON: {0}")]
    Malformed(#[source] serde_json::Error),
    #[error("batch rejected: {0:?}")]
    Rejected(BatchReply),
}

/// Position of each stream at the sink, and the streams that it has marked as incomplete.
pub(crate) type SinkPositions = (Vec<(StreamId, StreamPosition)>, Vec<StreamId>);

/// A final response.
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
        match response.status {
            STATUS_OK | STATUS_CONFLICT | STATUS_PRECONDITION_FAILED | STATUS_UNPROCESSABLE => {
                decode(&response.body)
            }
            status => Err(SinkError::Status(status)),
        }
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
        read_response(&stream)
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

/// Reads a response. Fails if it is malformed, longer than [`MAX_RESPONSE_BYTES`] or incomplete.
fn read_response(mut stream: &TcpStream) -> Result<HttpResponse, SinkError> {
    let (mut received, mut piece) = (Vec::new(), vec![0; READ_BYTES]);
    loop {
        let length = match stream.read(&mut piece) {
            Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
            result => result?,
        };
        received.extend_from_slice(&piece[..length]);
        let state = if length == 0 { StreamState::Ended } else { StreamState::Open };
        if let Some(response) = take_response(&mut received, state)? {
            return Ok(response);
        }
        if state == StreamState::Ended {
            return Err(SinkError::IncompleteResponse);
        }
    }
}

/// Removes the final response and interim ones before it; `None` if it is incomplete.
fn take_response(received: &mut Vec<u8>, state: StreamState) -> Result<Option<HttpResponse>, HttpError> {
    loop {
        let method = RequestMethod::Other;
        let Some(extent) = http::response_extent(received, method, state, MAX_RESPONSE_BYTES)? else {
            return Ok(None);
        };
        let Some(head) = http::parse_response_head(&received[..extent.head], method)? else {
            return Ok(None);
        };
        if !head.is_interim() {
            return Ok(Some(HttpResponse { status: head.status, body: received[extent.body].to_vec() }));
        }
        received.drain(..extent.total);
    }
}

#[cfg(test)]
mod tests;
