//! A sink for exported usage, over HTTP, with records on disk. docs/operators/sink.md has the protocol, so that
//! others can write one.

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
use crate::{listener, lock, serve};

/// What a sink stores.
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

/// A batch that a sink received, and its reply.
#[derive(Clone, Debug, Serialize)]
pub struct ReceivedBatch {
    /// By [`monotonic_nanos`].
    #[serde(rename = "at")]
    pub received_at: u64,
    /// The caller's epoch.
    pub epoch: u64,
    /// The batch.
    pub batch: Batch,
    /// The reply.
    #[serde(rename = "says")]
    pub reply: BatchReply,
}

/// Why a sink can't be opened.
#[derive(Debug, thiserror::Error)]
pub enum SinkOpenError {
    /// Its file can't be read.
    #[error(transparent)]
    Log(#[from] lynxstair_record_log::Error),
    /// A record in it is not understood.
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

    /// Stores a record. The error is the response to the caller.
    fn append(&mut self, record: &Record) -> Result<(), HttpResponse> {
        let bytes = serde_json::to_vec(record).unwrap_or_default();
        self.log.append(&bytes).map(|_| ()).map_err(|e| HttpResponse::new(500, e.to_string()))
    }

    fn fenced(&self) -> HttpResponse {
        HttpResponse::json(409, &BatchReply::Fenced { highest_epoch: self.state.highest_epoch })
    }
}

/// A sink on loopback, and the faults it is to have.
pub struct Sink {
    /// Where it listens.
    pub addr: SocketAddr,
    inner: Arc<Mutex<Inner>>,
    /// It closes each connection without a response.
    pub is_down: Arc<AtomicBool>,
    /// So many further responses are lost; what was asked for is done.
    pub responses_to_lose: Arc<AtomicU32>,
    /// For trials: it accepts lower epochs than it saw.
    pub accepts_stale_epochs: Arc<AtomicBool>,
}

impl Sink {
    /// Opens a sink with the records in its directory.
    ///
    /// # Errors
    /// They can't be read.
    pub fn open(directory: &Path) -> Result<Sink, SinkOpenError> {
        let (on, addr) = listener();
        let sink = Sink {
            addr,
            inner: Arc::new(Mutex::new(Inner::open(directory)?)),
            is_down: Arc::default(),
            responses_to_lose: Arc::default(),
            accepts_stale_epochs: Arc::default(),
        };
        let inner = sink.inner.clone();
        let (is_down, responses_to_lose) = (sink.is_down.clone(), sink.responses_to_lose.clone());
        let accepts_stale_epochs = sink.accepts_stale_epochs.clone();
        serve(on, move |stream| {
            let Ok(reading) = stream.try_clone() else { return };
            let mut reader = BufReader::new(reading);
            while let Some(message) = HttpMessage::read(&mut reader) {
                if is_down.load(Ordering::SeqCst) {
                    return;
                }
                let response =
                    answer(&mut lock(&inner), &message, accepts_stale_epochs.load(Ordering::SeqCst));
                if take_one(&responses_to_lose) || (&stream).write_all(response.encode().as_bytes()).is_err()
                {
                    return;
                }
            }
        });
        Ok(sink)
    }

    /// Goes on from another directory: from a copy of its records as they were earlier.
    ///
    /// # Errors
    /// They can't be read.
    pub fn restore(&self, directory: &Path) -> Result<(), SinkOpenError> {
        let received = self.received();
        *lock(&self.inner) = Inner { received, ..Inner::open(directory)? };
        Ok(())
    }

    /// Streams of which something may be missing.
    pub fn incomplete_streams(&self) -> Vec<StreamStatus> {
        lock(&self.inner).state.incomplete.values().cloned().collect()
    }

    /// All batches received since it was opened.
    pub fn received(&self) -> Vec<ReceivedBatch> {
        lock(&self.inner).received.clone()
    }
}

/// Counts down; false where nothing was left.
fn take_one(left: &AtomicU32) -> bool {
    let decrement = |n: u32| n.checked_sub(1);
    left.fetch_update(Ordering::SeqCst, Ordering::SeqCst, decrement).is_ok()
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

fn answer(inner: &mut Inner, message: &HttpMessage, accepts_stale_epochs: bool) -> HttpResponse {
    let mut words = message.start_line.split(' ');
    let (method, target) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let epoch = query.strip_prefix("epoch=").and_then(|epoch| epoch.parse::<u64>().ok());
    let Some(epoch) = epoch else { return HttpResponse::new(400, "no epoch") };
    let result = match (method, path) {
        ("GET", "/duties/export") => positions(inner, epoch, accepts_stale_epochs),
        ("POST", "/duties/export/batches") => {
            receive_batch(inner, epoch, &message.body, accepts_stale_epochs)
        }
        ("POST", "/duties/export/marks") => receive_status(inner, epoch, &message.body, accepts_stale_epochs),
        _ => Err(HttpResponse::new(404, "nothing here")),
    };
    result.unwrap_or_else(|response| response)
}

/// Tells how far it is; a lower epoch than this is refused from then on.
fn positions(
    inner: &mut Inner,
    epoch: u64,
    accepts_stale_epochs: bool,
) -> Result<HttpResponse, HttpResponse> {
    if epoch > inner.state.highest_epoch {
        inner.append(&Record::Epoch { epoch })?;
    }
    if !inner.state.observe_epoch(epoch) && !accepts_stale_epochs {
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
    accepts_stale_epochs: bool,
) -> Result<HttpResponse, HttpResponse> {
    let batch: Batch = serde_json::from_slice(body).map_err(|_| HttpResponse::new(400, "no batch"))?;
    let checked_epoch = if accepts_stale_epochs { inner.state.highest_epoch.max(epoch) } else { epoch };
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
    accepts_stale_epochs: bool,
) -> Result<HttpResponse, HttpResponse> {
    let status: StreamStatus = serde_json::from_slice(body).map_err(|_| HttpResponse::new(400, "no mark"))?;
    if epoch < inner.state.highest_epoch && !accepts_stale_epochs {
        return Err(inner.fenced());
    }
    inner.append(&Record::Status { epoch, status: status.clone() })?;
    inner.state.store_status(epoch, &status);
    Ok(HttpResponse::json(200, &BatchReply::Accepted { already_stored: false }))
}
