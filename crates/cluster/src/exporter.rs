//! The duty `export`: while this member owns it, it fetches batches of usage from all members and sends them
//! to the sink.
//!
//! It runs on a separate thread, since its I/O with the sink and the members blocks. It checks its lease
//! before each write to the sink. If the process is paused between check and write, the lease may have moved
//! to another owner; the sink then rejects the write by its epoch.

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
/// Most batches of one member in a round, so that one member can't delay the export of the others.
const MAX_BATCHES_PER_ROUND: usize = 32;
/// Back-off after the first failed call to the sink; doubles with each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_secs(5);

/// Event of the exporter in the history.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "snake_case", tag = "event")]
pub(crate) enum Event {
    /// The exporter is about to pause before a write, as set for a trial.
    Begins { duty: String, epoch: u64, stream: String, number: u64 },
    /// A write to the sink ended; `reply` is `None` if it failed without a decodable reply.
    Effect {
        duty: String,
        epoch: u64,
        stream: String,
        number: u64,
        #[serde(rename = "says")]
        reply: Option<BatchReply>,
    },
    /// The batches from `expected` up to, but excluding, `offered` are neither at the sink nor at the
    /// gatekeeper.
    Gap {
        stream: String,
        #[serde(rename = "wanted")]
        expected: u64,
        offered: u64,
    },
    /// A member could not be queried, so its pending usage is unknown.
    Unknown {
        member: String,
        #[serde(rename = "why")]
        reason: String,
    },
    /// The member can be queried again.
    Known { member: String },
    /// The completeness of a stream was reported to the sink.
    #[serde(rename = "marked")]
    StatusSent {
        stream: String,
        #[serde(rename = "known")]
        complete: bool,
        #[serde(rename = "last_known_milli")]
        last_pending_milli_units: Option<u64>,
    },
}

/// Failure to export the batches of a member.
enum MemberError {
    /// The sink failed; ends the round.
    Sink(SinkError),
    /// The member could not be queried; the round continues with the next member.
    Unavailable(String),
}

impl From<SinkError> for MemberError {
    fn from(e: SinkError) -> Self {
        MemberError::Sink(e)
    }
}

/// Next step after a batch of a member.
enum NextStep {
    /// Fetch another batch from the same member.
    FetchMore,
    /// Continue with the next member.
    EndMember,
}

pub(crate) struct Exporter {
    sink: SinkClient,
    progress: ExportProgress,
    rng: Pcg64Mcg,
    backoff: Duration,
    /// End of the back-off.
    not_before: Instant,
    /// Members whose last query failed.
    unavailable: BTreeSet<String>,
    /// Current stream of each member, by name, as reported by the member.
    streams: BTreeMap<String, StreamId>,
    /// For trials: pause between the lease check and the write.
    pause: Duration,
    /// Set once the pause was made in this round.
    has_paused: bool,
}

impl Exporter {
    /// Starts the exporter thread.
    pub fn start(node: Arc<ClusterNode>, sink: SocketAddrV4, seed: u64, pause: Duration) -> io::Result<()> {
        let mut exporter = Exporter {
            sink: SinkClient::new(sink),
            progress: ExportProgress::default(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            backoff: INITIAL_BACKOFF,
            not_before: Instant::now(),
            unavailable: BTreeSet::new(),
            streams: BTreeMap::new(),
            pause,
            has_paused: false,
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
        let Some(epoch) = node.leased_epoch(DUTY) else { return };
        if Instant::now() < self.not_before {
            return;
        }
        self.progress.begin_epoch(epoch.0);
        self.has_paused = false;
        match self.run_round(node, epoch) {
            Ok(()) => self.backoff = INITIAL_BACKOFF,
            Err(SinkError::Fenced { highest_epoch }) => node.on_fenced(DUTY, Epoch(highest_epoch)),
            Err(e) => self.back_off(&e),
        }
    }

    fn back_off(&mut self, reason: &SinkError) {
        let backoff_ms = self.backoff.as_millis() as u64;
        warn!(why = %reason, sink = %self.sink.addr(), alone_ms = backoff_ms, "fleet: export: backing off");
        // Jitter avoids synchronized retries.
        self.not_before = Instant::now() + self.backoff.mul_f64(self.rng.random_range(0.5..1.0));
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
    }

    /// Exports the batches of each member, then reports streams that became complete or incomplete to the
    /// sink.
    fn run_round(&mut self, node: &ClusterNode, epoch: Epoch) -> Result<(), SinkError> {
        if !self.progress.has_sink_positions() {
            let (positions, incomplete) = self.sink.positions(epoch)?;
            self.progress.set_sink_positions(positions.into_iter().collect(), incomplete);
        }
        for (name, addr) in node.present_members() {
            if node.leased_epoch(DUTY) != Some(epoch) {
                return Ok(());
            }
            match self.export_member(node, epoch, &name, addr) {
                Ok(()) => self.mark_available(node, name),
                Err(MemberError::Unavailable(reason)) => self.mark_unavailable(node, name, reason),
                Err(MemberError::Sink(e)) => return Err(e),
            }
        }
        for status in self.progress.finish_round() {
            if node.leased_epoch(DUTY) != Some(epoch) {
                return Ok(());
            }
            self.send_status(node, epoch, &status)?;
        }
        Ok(())
    }

    fn mark_available(&mut self, node: &ClusterNode, member: String) {
        if self.unavailable.remove(&member) {
            info!(%member, "fleet: export: pending usage of member known again");
            node.record_event(&Event::Known { member });
        }
    }

    fn mark_unavailable(&mut self, node: &ClusterNode, member: String, reason: String) {
        if self.unavailable.insert(member.clone()) {
            warn!(%member, why = %reason, "fleet: export: pending usage of member unknown");
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
        warn!(%stream, known = status.complete, why = %status.reason, "fleet: export: stream status sent");
        let (complete, last_pending_milli_units) = (status.complete, status.last_pending_milli_units);
        node.record_event(&Event::StatusSent { stream, complete, last_pending_milli_units });
        Ok(())
    }

    /// Exports up to [`MAX_BATCHES_PER_ROUND`] batches of one member. `addr` is `None` for this member
    /// itself.
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
                    NextStep::FetchMore => {}
                    NextStep::EndMember => return Ok(()),
                },
                // The request named another stream than the member keeps; the next one names the right one.
                None if is_other_stream => {}
                None => return Ok(()),
            }
        }
        Ok(())
    }

    fn export_batch(
        &mut self,
        node: &ClusterNode,
        epoch: Epoch,
        batch: &Batch,
    ) -> Result<NextStep, SinkError> {
        if !self.progress.is_next(batch) {
            let Some(gap) = self.progress.gap(&batch.stream) else { return Ok(NextStep::FetchMore) };
            let (stream, wanted, offered) = (stream_name(&batch.stream), gap.expected, gap.offered);
            warn!(%stream, wanted, offered, "fleet: export: batches missing; was the sink restored?");
            node.record_event(&Event::Gap { stream, expected: wanted, offered });
            return Ok(NextStep::EndMember);
        }
        // The lease may still move between this check and the write; the sink then rejects the write.
        if node.leased_epoch(DUTY) != Some(epoch) {
            return Ok(NextStep::EndMember);
        }
        if !self.pause.is_zero() && !std::mem::replace(&mut self.has_paused, true) {
            let (duty, stream, number) = (DUTY.to_string(), stream_name(&batch.stream), batch.number);
            node.record_event(&Event::Begins { duty, epoch: epoch.0, stream, number });
            thread::sleep(self.pause);
        }
        self.send_batch(node, epoch, batch)?;
        Ok(NextStep::FetchMore)
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

/// Response of a member to a usage request.
struct FetchedBatch {
    /// The stream that the member keeps.
    stream: StreamId,
    batch: Option<Arc<Batch>>,
    /// Usage that is not at the sink yet, in thousandths of a unit.
    pending_milli_units: u64,
}

/// Fetches the next batch of a member.
fn fetch_batch(
    node: &ClusterNode,
    addr: Option<SocketAddrV4>,
    request: Request,
) -> Result<FetchedBatch, MemberError> {
    let response = match addr {
        None => node.handle_request(request),
        Some(addr) => call_member(node.bind_ip(), addr, &request)
            .map_err(|e| MemberError::Unavailable(e.to_string()))?,
    };
    match response {
        Response::Usage { stream, batch, pending_milli_units } => {
            Ok(FetchedBatch { stream, batch, pending_milli_units })
        }
        _ => Err(MemberError::Unavailable("the member keeps no usage log".to_string())),
    }
}

/// Sends a request to another member. Binds to the IP address of the datagram socket, so that a network
/// filter between two members blocks these connections together with the datagrams.
fn call_member(source: Ipv4Addr, addr: SocketAddrV4, request: &Request) -> io::Result<Response> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    if !source.is_unspecified() {
        socket.bind(&SocketAddrV4::new(source, 0).into())?;
    }
    socket.connect_timeout(&addr.into(), MEMBER_CONNECT_TIMEOUT)?;
    crate::client::exchange(&TcpStream::from(socket), request, MEMBER_IO_TIMEOUT)
}
