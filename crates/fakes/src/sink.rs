//! Fake usage sink over HTTP, with records on disk. The protocol is described in docs/operators/sink.md.

use std::io::{BufReader, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};

use lynxstair_export::{Batch, BatchReply, SinkState, StreamStatus};
use lynxstair_record_log::RecordLog;
use serde::{Deserialize, Serialize};

use crate::load::monotonic_nanos;
use crate::message::HttpMessage;
use crate::{bind_listener, lock, serve};

/// Record in the file of a sink.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "record")]
enum Record {
    #[serde(rename = "seen")]
    Epoch {
        epoch: u64,
    },
    Batch {
        epoch: u64,
        batch: Batch,
    },
    #[serde(rename = "mark")]
    Status {
        epoch: u64,
        #[serde(rename = "mark")]
        status: StreamStatus,
    },
}

/// A batch received by a sink, and the reply.
#[derive(Clone, Debug, Serialize)]
pub struct ReceivedBatch {
    /// Time of receipt by [`monotonic_nanos`].
    #[serde(rename = "at")]
    pub received_at: u64,
    /// Epoch of the exporter.
    pub epoch: u64,
    /// The received batch.
    pub batch: Batch,
    /// Reply of the sink.
    #[serde(rename = "says")]
    pub reply: BatchReply,
}

/// Failure to open a sink.
#[derive(Debug, thiserror::Error)]
pub enum SinkOpenError {
    /// The file can't be opened or read.
    #[error(transparent)]
    Log(#[from] lynxstair_record_log::Error),
    /// A record can't be decoded.
    #[error(transparent)]
    Record(#[from] serde_json::Error),
}

struct Inner {
    state: SinkState,
    log: RecordLog,
    received: Vec<ReceivedBatch>,
}

impl Inner {
    fn open(directory: &Path) -> Result<Self, SinkOpenError> {
        let opened = RecordLog::open(directory, "sink", None)?;
        let mut state = SinkState::default();
        for bytes in &opened.records {
            match serde_json::from_slice(bytes)? {
                Record::Epoch { epoch } => {
                    state.observe_epoch(epoch);
                }
                Record::Batch { epoch, batch } => state.store(epoch, &batch),
                Record::Status { epoch, status } => state.store_status(epoch, &status),
            }
        }
        Ok(Inner { state, log: opened.log, received: Vec::new() })
    }

    /// Writes a record to disk. The error is the response to the exporter.
    fn append(&mut self, record: &Record) -> Result<(), HttpResponse> {
        let bytes = serde_json::to_vec(record).unwrap_or_default();
        self.log.append(&bytes).map(|_| ()).map_err(|e| HttpResponse::new(500, e.to_string()))
    }

    fn fenced(&self) -> HttpResponse {
        HttpResponse::json(409, &BatchReply::Fenced { highest_epoch: self.state.highest_epoch })
    }
}

/// A sink on loopback, with faults that a test can inject.
pub struct Sink {
    /// Listening address.
    pub addr: SocketAddr,
    inner: Arc<Mutex<Inner>>,
    /// `true` while the sink closes connections without handling requests.
    pub is_down: Arc<AtomicBool>,
    /// Number of further requests that are handled without sending the response.
    pub responses_to_lose: Arc<AtomicU32>,
    /// For trials: `true` if requests with a lower epoch than the highest seen are accepted.
    pub accepts_stale_epochs: Arc<AtomicBool>,
}

impl Sink {
    /// Opens a sink with the records in `directory` and starts serving.
    ///
    /// # Errors
    /// If the records can't be read.
    pub fn open(directory: &Path) -> Result<Sink, SinkOpenError> {
        let (listener, addr) = bind_listener();
        let sink = Sink {
            addr,
            inner: Arc::new(Mutex::new(Inner::open(directory)?)),
            is_down: Arc::default(),
            responses_to_lose: Arc::default(),
            accepts_stale_epochs: Arc::default(),
        };
        let inner = sink.inner.clone();
        let (is_down, responses_to_lose) = (sink.is_down.clone(), sink.responses_to_lose.clone());
        let accept_stale = sink.accepts_stale_epochs.clone();
        serve(listener, move |stream| {
            let Ok(read_half) = stream.try_clone() else { return };
            let mut reader = BufReader::new(read_half);
            while let Some(message) = HttpMessage::read(&mut reader) {
                if is_down.load(Ordering::SeqCst) {
                    return;
                }
                let response =
                    handle_request(&mut lock(&inner), &message, accept_stale.load(Ordering::SeqCst));
                if try_decrement(&responses_to_lose)
                    || (&stream).write_all(response.encode().as_bytes()).is_err()
                {
                    return;
                }
            }
        });
        Ok(sink)
    }

    /// Replaces the state of the running sink by the records in `directory`, for instance an older copy.
    ///
    /// # Errors
    /// If the records can't be read.
    pub fn restore(&self, directory: &Path) -> Result<(), SinkOpenError> {
        let received = self.received();
        *lock(&self.inner) = Inner { received, ..Inner::open(directory)? };
        Ok(())
    }

    /// Returns the status of the streams that are marked as incomplete.
    pub fn incomplete_streams(&self) -> Vec<StreamStatus> {
        lock(&self.inner).state.incomplete.values().cloned().collect()
    }

    /// Returns all batches received since the sink was opened.
    pub fn received(&self) -> Vec<ReceivedBatch> {
        lock(&self.inner).received.clone()
    }
}

/// Decrements a counter. Returns `false` if it was 0.
fn try_decrement(counter: &AtomicU32) -> bool {
    let decrement = |n: u32| n.checked_sub(1);
    counter.fetch_update(Ordering::SeqCst, Ordering::SeqCst, decrement).is_ok()
}

struct HttpResponse {
    status: u16,
    body: String,
}

impl HttpResponse {
    fn new(status: u16, body: impl Into<String>) -> Self {
        HttpResponse { status, body: body.into() }
    }

    fn json(status: u16, value: &impl Serialize) -> Self {
        HttpResponse::new(status, serde_json::to_string(value).unwrap_or_default())
    }

    fn encode(&self) -> String {
        let (status, length, body) = (self.status, self.body.len(), &self.body);
        format!("HTTP/1.1 {status} Said\r\nContent-Length: {length}\r\n\r\n{body}")
    }
}

fn handle_request(inner: &mut Inner, message: &HttpMessage, accept_stale: bool) -> HttpResponse {
    let mut parts = message.start_line.split(' ');
    let (method, target) = (parts.next().unwrap_or(""), parts.next().unwrap_or(""));
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let epoch = query.strip_prefix("epoch=").and_then(|epoch| epoch.parse::<u64>().ok());
    let Some(epoch) = epoch else { return HttpResponse::new(400, "no epoch") };
    let result = match (method, path) {
        ("GET", "/duties/export") => positions(inner, epoch, accept_stale),
        ("POST", "/duties/export/batches") => receive_batch(inner, epoch, &message.body, accept_stale),
        ("POST", "/duties/export/marks") => receive_status(inner, epoch, &message.body, accept_stale),
        _ => Err(HttpResponse::new(404, "nothing here")),
    };
    result.unwrap_or_else(|response| response)
}

/// Returns the stream positions. Lower epochs are rejected from then on.
fn positions(inner: &mut Inner, epoch: u64, accept_stale: bool) -> Result<HttpResponse, HttpResponse> {
    if epoch > inner.state.highest_epoch {
        inner.append(&Record::Epoch { epoch })?;
    }
    if !inner.state.observe_epoch(epoch) && !accept_stale {
        return Err(inner.fenced());
    }
    let positions: Vec<_> = inner.state.positions.iter().collect();
    let incomplete: Vec<_> = inner.state.incomplete.keys().collect();
    Ok(HttpResponse::json(200, &(positions, incomplete)))
}

fn receive_batch(
    inner: &mut Inner,
    epoch: u64,
    body: &[u8],
    accept_stale: bool,
) -> Result<HttpResponse, HttpResponse> {
    let batch: Batch = serde_json::from_slice(body).map_err(|_| HttpResponse::new(400, "no batch"))?;
    let checked_epoch = if accept_stale { inner.state.highest_epoch.max(epoch) } else { epoch };
    let reply = inner.state.check(checked_epoch, &batch);
    if reply == (BatchReply::Accepted { already_stored: false }) {
        inner.append(&Record::Batch { epoch, batch: batch.clone() })?;
        inner.state.store(epoch, &batch);
    }
    let status = match reply {
        BatchReply::Accepted { .. } => 200,
        BatchReply::Fenced { .. } => 409,
        BatchReply::Gap { .. } => 412,
        BatchReply::Conflict => 422,
    };
    let response = HttpResponse::json(status, &reply);
    inner.received.push(ReceivedBatch { received_at: monotonic_nanos(), epoch, batch, reply });
    Ok(response)
}

fn receive_status(
    inner: &mut Inner,
    epoch: u64,
    body: &[u8],
    accept_stale: bool,
) -> Result<HttpResponse, HttpResponse> {
    let status: StreamStatus = serde_json::from_slice(body).map_err(|_| HttpResponse::new(400, "no mark"))?;
    if epoch < inner.state.highest_epoch && !accept_stale {
        return Err(inner.fenced());
    }
    inner.append(&Record::Status { epoch, status: status.clone() })?;
    inner.state.store_status(epoch, &status);
    Ok(HttpResponse::json(200, &BatchReply::Accepted { already_stored: false }))
}
