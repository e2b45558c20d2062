//! The duty `export`: while this member owns it, it fetches batches of usage from all members and sends them to
//! the sink.
//!
//! It has a thread of its own, as it waits for a sink that may be slow or gone; no request waits for it. It begins
//! a write only while its lease lasts. A pause between that check and the write can still let a write come too
//! late; the sink then refuses it by its epoch.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::{Ipv4Addr, SocketAddrV4, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use lynxstair_export::{Batch, BatchReply, ExportProgress, StreamId, StreamStatus};
use lynxstair_leases::Epoch;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;
use socket2::{Domain, Socket, Type};
use tracing::{info, warn};

use crate::node::ClusterNode;
use crate::protocol::{Request, Response};
use crate::sink_client::{SinkClient, SinkError};

/// The duty's name.
pub const DUTY: &str = "export";
const ROUND_INTERVAL: Duration = Duration::from_millis(150);
const MEMBER_CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
const MEMBER_IO_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Most batches of one member in a round, so that none keeps the others waiting.
const MAX_BATCHES_PER_ROUND: usize = 32;
/// The delay after a failed call to the sink; doubled with each further one.
const FIRST_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_secs(5);

/// What the exporter did, for the history that trials judge.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "snake_case", tag = "event")]
pub(crate) enum Event {
    /// A write is about to begin.
    Begins { duty: String, epoch: u64, stream: String, number: u64 },
    /// A write ended; without a reply where none came.
    Effect {
        duty: String,
        epoch: u64,
        stream: String,
        number: u64,
        #[serde(rename = "says")]
        reply: Option<BatchReply>,
    },
    /// Batches between the two numbers are neither at the sink nor at the gatekeeper.
    Gap {
        stream: String,
        #[serde(rename = "wanted")]
        expected: u64,
        offered: u64,
    },
    /// A member could not be asked: what it holds is not known.
    Unknown {
        member: String,
        #[serde(rename = "why")]
        reason: String,
    },
    /// The member answers again.
    Known { member: String },
    /// The sink was told whether a stream is complete.
    #[serde(rename = "marked")]
    StatusSent {
        stream: String,
        #[serde(rename = "known")]
        complete: bool,
        #[serde(rename = "last_known_milli")]
        last_pending_milli_units: Option<u64>,
    },
}

/// Why a member's batches could not be exported.
enum MemberError {
    /// The sink failed: the round ends.
    Sink(SinkError),
    /// The member could not be asked: the round goes on with the next one.
    Unavailable(String),
}

impl From<SinkError> for MemberError {
    fn from(e: SinkError) -> Self {
        MemberError::Sink(e)
    }
}

/// What comes after a batch that a member offered.
enum Next {
    /// The member is asked for another one.
    FetchMore,
    /// Enough of this member for this round.
    EndMember,
}

pub(crate) struct Exporter {
    sink: SinkClient,
    progress: ExportProgress,
    rng: Pcg64Mcg,
    backoff: Duration,
    not_before: Instant,
    /// Members that could not be asked, since this owner began.
    unavailable: BTreeSet<String>,
    /// By member, the stream that it said it keeps.
    streams: BTreeMap<String, StreamId>,
    /// For trials: a pause between the check of the lease and the write.
    stall: Duration,
    /// The pause was made in this round; once is enough.
    has_stalled: bool,
}

impl Exporter {
    /// Starts the exporter's thread.
    pub fn start(node: Arc<ClusterNode>, sink: SocketAddrV4, seed: u64, stall: Duration) -> io::Result<()> {
        let mut exporter = Exporter {
            sink: SinkClient::new(sink),
            progress: ExportProgress::default(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            backoff: FIRST_BACKOFF,
            not_before: Instant::now(),
            unavailable: BTreeSet::new(),
            streams: BTreeMap::new(),
            stall,
            has_stalled: false,
        };
        let run = move || {
            loop {
                exporter.poll(&node);
                thread::sleep(ROUND_INTERVAL);
            }
        };
        thread::Builder::new().name("export".to_string()).spawn(run).map(|_| ())
    }

    fn poll(&mut self, node: &ClusterNode) {
        let Some(epoch) = node.may_begin(DUTY) else { return };
        if Instant::now() < self.not_before {
            return;
        }
        self.progress.begin_epoch(epoch.0);
        self.has_stalled = false;
        match self.run_round(node, epoch) {
            Ok(()) => self.backoff = FIRST_BACKOFF,
            Err(SinkError::Fenced { highest_epoch }) => node.refused(DUTY, Epoch(highest_epoch)),
            Err(e) => self.back_off(&e),
        }
    }

    fn back_off(&mut self, why: &SinkError) {
        let alone_ms = self.backoff.as_millis() as u64;
        warn!(%why, sink = %self.sink.addr(), alone_ms, "fleet: export waits");
        // With jitter: owners and sinks that come back together do not meet at once.
        self.not_before = Instant::now() + self.backoff.mul_f64(self.rng.random_range(0.5..1.0));
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
    }

    /// Asks each member once, then tells the sink which streams became complete or incomplete.
    fn run_round(&mut self, node: &ClusterNode, epoch: Epoch) -> Result<(), SinkError> {
        if !self.progress.has_sink_positions() {
            let (positions, incomplete) = self.sink.positions(epoch)?;
            self.progress.set_sink_positions(positions.into_iter().collect(), incomplete);
        }
        for (name, addr) in node.members() {
            if node.may_begin(DUTY) != Some(epoch) {
                return Ok(());
            }
            match self.export_member(node, epoch, &name, addr) {
                Ok(()) => self.member_available(node, name),
                Err(MemberError::Unavailable(reason)) => self.member_unavailable(node, name, reason),
                Err(MemberError::Sink(e)) => return Err(e),
            }
        }
        for status in self.progress.finish_round() {
            if node.may_begin(DUTY) != Some(epoch) {
                return Ok(());
            }
            self.send_status(node, epoch, &status)?;
        }
        Ok(())
    }

    fn member_available(&mut self, node: &ClusterNode, member: String) {
        if self.unavailable.remove(&member) {
            info!(%member, "fleet: export: known again");
            node.record_event(&Event::Known { member });
        }
    }

    fn member_unavailable(&mut self, node: &ClusterNode, member: String, reason: String) {
        if self.unavailable.insert(member.clone()) {
            warn!(%member, why = %reason, "fleet: export: what it holds is unknown");
            node.record_event(&Event::Unknown { member, reason });
        }
    }

    fn send_status(
        &mut self,
        node: &ClusterNode,
        epoch: Epoch,
        status: &StreamStatus,
    ) -> Result<(), SinkError> {
        self.sink.send_status(epoch, status)?;
        self.progress.status_stored(status);
        let stream = stream_name(&status.stream);
        warn!(%stream, known = status.complete, why = %status.reason, "fleet: export: the sink is told");
        let (complete, last_pending_milli_units) = (status.complete, status.last_pending_milli_units);
        node.record_event(&Event::StatusSent { stream, complete, last_pending_milli_units });
        Ok(())
    }

    /// Exports what one member has, up to the bound of a round. `addr`: `None` for this member itself.
    fn export_member(
        &mut self,
        node: &ClusterNode,
        epoch: Epoch,
        name: &str,
        addr: Option<SocketAddrV4>,
    ) -> Result<(), MemberError> {
        let mut stream = self.streams.get(name).cloned();
        for _ in 0..MAX_BATCHES_PER_ROUND {
            let stored = stream.as_ref().and_then(|stream| self.progress.stored_up_to(stream));
            let request = Request::Usage { stream: stream.clone(), stored_up_to: stored.unwrap_or(0) };
            let fetched = fetch_batch(node, addr, request)?;
            self.progress.observe(&fetched.stream, fetched.pending_milli_units);
            let is_other_stream = stream.as_ref() != Some(&fetched.stream);
            if is_other_stream {
                self.streams.insert(name.to_string(), fetched.stream.clone());
                stream = Some(fetched.stream);
            }
            match fetched.batch {
                Some(batch) => match self.export_batch(node, epoch, &batch)? {
                    Next::FetchMore => {}
                    Next::EndMember => return Ok(()),
                },
                // It was asked for another stream than it keeps: it is asked again for the one it does.
                None if is_other_stream => {}
                None => return Ok(()),
            }
        }
        Ok(())
    }

    fn export_batch(&mut self, node: &ClusterNode, epoch: Epoch, batch: &Batch) -> Result<Next, SinkError> {
        if !self.progress.is_next(batch) {
            let Some(gap) = self.progress.gap(&batch.stream) else { return Ok(Next::FetchMore) };
            let (stream, wanted, offered) = (stream_name(&batch.stream), gap.expected, gap.offered);
            warn!(%stream, wanted, offered, "fleet: export: the sink was set back; batches are missing");
            node.record_event(&Event::Gap { stream, expected: wanted, offered });
            return Ok(Next::EndMember);
        }
        // The last check before the effect. Whatever comes between it and the write is the sink's to refuse.
        if node.may_begin(DUTY) != Some(epoch) {
            return Ok(Next::EndMember);
        }
        if !self.stall.is_zero() && !std::mem::replace(&mut self.has_stalled, true) {
            let (duty, stream, number) = (DUTY.to_string(), stream_name(&batch.stream), batch.number);
            node.record_event(&Event::Begins { duty, epoch: epoch.0, stream, number });
            thread::sleep(self.stall);
        }
        self.send_batch(node, epoch, batch)?;
        Ok(Next::FetchMore)
    }

    fn send_batch(&mut self, node: &ClusterNode, epoch: Epoch, batch: &Batch) -> Result<(), SinkError> {
        let result = self.sink.send_batch(epoch, batch);
        node.record_event(&Event::Effect {
            duty: DUTY.to_string(),
            epoch: epoch.0,
            stream: stream_name(&batch.stream),
            number: batch.number,
            reply: result.as_ref().ok().cloned(),
        });
        let reply = result?;
        if self.progress.apply_reply(batch, &reply) {
            return Ok(());
        }
        match reply {
            BatchReply::Fenced { highest_epoch } => Err(SinkError::Fenced { highest_epoch }),
            reply => Err(SinkError::Rejected(reply)),
        }
    }
}

fn stream_name(stream: &StreamId) -> String {
    format!("{}/{:016x}", stream.gatekeeper, stream.directory_id)
}

/// What a member answered.
struct FetchedBatch {
    /// The stream that it keeps.
    stream: StreamId,
    batch: Option<Arc<Batch>>,
    /// Thousandths of a unit that the sink does not have yet.
    pending_milli_units: u64,
}

/// A member's next batch.
fn fetch_batch(
    node: &ClusterNode,
    addr: Option<SocketAddrV4>,
    request: Request,
) -> Result<FetchedBatch, MemberError> {
    let response = match addr {
        None => node.answer(request),
        Some(addr) => {
            ask_member(node.source(), addr, &request).map_err(|e| MemberError::Unavailable(e.to_string()))?
        }
    };
    match response {
        Response::Usage { stream, batch, pending_milli_units } => {
            Ok(FetchedBatch { stream, batch, pending_milli_units })
        }
        _ => Err(MemberError::Unavailable("keeps no uses".to_string())),
    }
}

/// Asks another member from the address that this one's datagrams come from, so that what cuts the path between
/// the two cuts these connections as well.
fn ask_member(source: Ipv4Addr, addr: SocketAddrV4, request: &Request) -> io::Result<Response> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    if !source.is_unspecified() {
        socket.bind(&SocketAddrV4::new(source, 0).into())?;
    }
    socket.connect_timeout(&addr.into(), MEMBER_CONNECT_TIMEOUT)?;
    crate::client::exchange(&TcpStream::from(socket), request, MEMBER_IO_TIMEOUT)
}
