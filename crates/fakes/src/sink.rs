//! A sink for exported use, over HTTP, with a durable file. docs/operators/sink.md has the protocol, so that
//! others can write one.

use std::io::{BufReader, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use lynxstair_export::{Batch, BatchReply, SinkState, StreamStatus};
use lynxstair_record_log::RecordLog;
use serde::{Deserialize, Serialize};

use crate::load::mono;
use crate::message::Message;
use crate::{listener, serve};

/// What a sink writes down.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "record")]
enum Record {
    Seen {
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

/// A batch that came to a sink, and what the sink replied.
#[derive(Clone, Debug, Serialize)]
pub struct Landed {
    /// By `mono`.
    pub at: u64,
    pub epoch: u64,
    pub batch: Batch,
    #[serde(rename = "says")]
    pub reply: BatchReply,
}

struct Inside {
    state: SinkState,
    log: RecordLog,
    landed: Vec<Landed>,
}

impl Inside {
    fn open(folder: &Path) -> Result<Self, String> {
        let opened = RecordLog::open(folder, "sink", None).map_err(|e| e.to_string())?;
        let mut state = SinkState::default();
        for bytes in &opened.records {
            match serde_json::from_slice(bytes).map_err(|e| e.to_string())? {
                Record::Seen { epoch } => {
                    state.observe_epoch(epoch);
                }
                Record::Batch { epoch, batch } => state.store(epoch, &batch),
                Record::Status { epoch, status } => state.store_status(epoch, &status),
            }
        }
        Ok(Inside { state, log: opened.log, landed: Vec::new() })
    }
}

/// A sink on loopback, and the faults it is to have.
///
/// It is set back to an earlier file by [`Sink::set_back`].
pub struct Sink {
    pub addr: SocketAddr,
    inside: Arc<Mutex<Inside>>,
    /// It accepts no connection, or closes each at once.
    pub down: Arc<AtomicBool>,
    /// So many answers more are lost: what was asked is done.
    pub lose_answers: Arc<AtomicU32>,
    /// Taken out: a lower epoch is taken, too.
    pub no_refusal: Arc<AtomicBool>,
}

fn locked(of: &Mutex<Inside>) -> MutexGuard<'_, Inside> {
    of.lock().unwrap_or_else(|e| e.into_inner())
}

impl Sink {
    /// With what lies in its folder.
    ///
    /// # Errors
    /// Where that can't be read.
    pub fn open(folder: &Path) -> Result<Sink, String> {
        let inside = Inside::open(folder)?;
        let inside = Arc::new(Mutex::new(inside));
        let (on, addr) = listener();
        let sink = Sink {
            addr,
            inside: inside.clone(),
            down: Arc::default(),
            lose_answers: Arc::default(),
            no_refusal: Arc::default(),
        };
        let (down, lose, no_refusal) =
            (sink.down.clone(), sink.lose_answers.clone(), sink.no_refusal.clone());
        serve(on, move |stream| {
            let Ok(reading) = stream.try_clone() else { return };
            let mut reader = BufReader::new(reading);
            while let Some(message) = Message::read(&mut reader) {
                if down.load(Ordering::SeqCst) {
                    return;
                }
                let said = answer(&inside, &message, no_refusal.load(Ordering::SeqCst));
                let less = |n: u32| n.checked_sub(1);
                if lose.fetch_update(Ordering::SeqCst, Ordering::SeqCst, less).is_ok() {
                    return;
                }
                if (&stream).write_all(said.as_bytes()).is_err() {
                    return;
                }
            }
        });
        Ok(sink)
    }

    /// Goes on from another folder: from a copy of its file as it was earlier.
    ///
    /// # Errors
    /// Where that can't be read.
    pub fn set_back(&self, folder: &Path) -> Result<(), String> {
        let landed = self.landed();
        *locked(&self.inside) = Inside { landed, ..Inside::open(folder)? };
        Ok(())
    }

    /// Streams of which something may be missing.
    pub fn unknown(&self) -> Vec<StreamStatus> {
        locked(&self.inside).state.incomplete.values().cloned().collect()
    }

    /// All that came so far, since it was opened.
    pub fn landed(&self) -> Vec<Landed> {
        locked(&self.inside).landed.clone()
    }
}

fn answer(inside: &Mutex<Inside>, message: &Message, no_refusal: bool) -> String {
    let say = |status: u16, body: String| {
        format!("HTTP/1.1 {status} Said\r\nContent-Length: {}\r\n\r\n{body}", body.len())
    };
    let mut words = message.first.split(' ');
    let (method, target) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
    let epoch = target.split_once("?epoch=").and_then(|(_, e)| e.parse::<u64>().ok());
    let path = target.split('?').next().unwrap_or("");
    let Some(epoch) = epoch else { return say(400, "no epoch".to_string()) };
    let mut inside = locked(inside);
    match (method, path) {
        ("GET", "/duties/export") => {
            if epoch > inside.state.highest_epoch {
                let record = serde_json::to_vec(&Record::Seen { epoch }).unwrap_or_default();
                if let Err(e) = inside.log.append(&record) {
                    return say(500, e.to_string());
                }
            }
            if !inside.state.observe_epoch(epoch) && !no_refusal {
                let reply = BatchReply::Fenced { highest_epoch: inside.state.highest_epoch };
                return say(409, serde_json::to_string(&reply).unwrap_or_default());
            }
            let streams: Vec<_> = inside.state.positions.iter().collect();
            let unknown: Vec<_> = inside.state.incomplete.keys().collect();
            say(200, serde_json::to_string(&(streams, unknown)).unwrap_or_default())
        }
        ("POST", "/duties/export/batches") => {
            let Ok(batch) = serde_json::from_slice::<Batch>(&message.body) else {
                return say(400, "no batch".to_string());
            };
            // Whoever comes with a lower epoch is let in where refusal is taken out.
            let by = if no_refusal { inside.state.highest_epoch.max(epoch) } else { epoch };
            let reply = inside.state.check(by, &batch);
            if reply == (BatchReply::Accepted { already_stored: false }) {
                let record = Record::Batch { epoch, batch: batch.clone() };
                let record = serde_json::to_vec(&record).unwrap_or_default();
                if let Err(e) = inside.log.append(&record) {
                    return say(500, e.to_string());
                }
                inside.state.store(epoch, &batch);
            }
            let status = match reply {
                BatchReply::Accepted { .. } => 200,
                BatchReply::Fenced { .. } => 409,
                BatchReply::Gap { .. } => 412,
                BatchReply::Conflict => 422,
            };
            let body = serde_json::to_string(&reply).unwrap_or_default();
            inside.landed.push(Landed { at: mono(), epoch, batch, reply });
            say(status, body)
        }
        ("POST", "/duties/export/marks") => {
            let Ok(status) = serde_json::from_slice::<StreamStatus>(&message.body) else {
                return say(400, "no mark".to_string());
            };
            if epoch < inside.state.highest_epoch && !no_refusal {
                let reply = BatchReply::Fenced { highest_epoch: inside.state.highest_epoch };
                return say(409, serde_json::to_string(&reply).unwrap_or_default());
            }
            let record = Record::Status { epoch, status: status.clone() };
            if let Err(e) = inside.log.append(&serde_json::to_vec(&record).unwrap_or_default()) {
                return say(500, e.to_string());
            }
            inside.state.store_status(epoch, &status);
            say(
                200,
                serde_json::to_string(&BatchReply::Accepted { already_stored: false }).unwrap_or_default(),
            )
        }
        _ => say(404, "nothing here".to_string()),
    }
}
