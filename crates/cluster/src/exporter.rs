//! The duty `export` as it is done: while this member owns it, it fetches batches of uses from all members and
//! writes them to the sink. On a thread of its own: it waits for a sink that may be slow or gone, never in the
//! way of an invocation. It may begin a write only while its lease lasts; that the write is harmless where it
//! comes too late is the sink's doing, by the epoch.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddrV4, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use lynxstair_export::{Batch, Carrier, Mark, Says, Shelved, Stream};
use lynxstair_leases::Epoch;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;
use serde::de::DeserializeOwned;
use socket2::{Domain, Socket, Type};
use tracing::{info, warn};

use crate::protocol::{Answer, Ask, LONGEST_ANSWER};
use crate::side::Side;

/// The duty's name.
pub const DUTY: &str = "export";
const TURN: Duration = Duration::from_millis(150);
const CONNECTS_WITHIN: Duration = Duration::from_millis(300);
const ANSWERS_WITHIN: Duration = Duration::from_millis(1_000);
/// So many batches of one member in a turn, so that none keeps the others waiting.
const IN_ONE_TURN: usize = 32;
/// A sink that fails is left alone for so long, doubled each time up to the last.
const LEFT_ALONE: Duration = Duration::from_millis(100);
const LONGEST_ALONE: Duration = Duration::from_secs(5);

/// What became of one effect, for the history.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "snake_case", tag = "event")]
pub(crate) enum Event {
    /// It is about to be written.
    Begins {
        duty: String,
        epoch: u64,
        stream: String,
        number: u64,
    },
    /// None: no answer came.
    Effect {
        duty: String,
        epoch: u64,
        stream: String,
        number: u64,
        says: Option<Says>,
    },
    /// The sink and a gatekeeper do not fit together: batches between are at neither.
    Gap {
        stream: String,
        wanted: u64,
        offered: u64,
    },
    /// A member could not be asked: what it holds is not known.
    Unknown {
        member: String,
        why: String,
    },
    Known {
        member: String,
    },
    /// The sink was told of a stream of which something may be missing, or is not any more.
    Marked {
        stream: String,
        known: bool,
        last_known_milli: Option<u64>,
    },
}

pub(crate) struct Exporter {
    sink: SocketAddrV4,
    carrier: Carrier,
    chance: Pcg64Mcg,
    alone: Duration,
    not_before: Instant,
    /// Members that could not be asked, since this owner began.
    unknown: BTreeSet<String>,
    /// By member: whose records it said it keeps, so that it is asked once where nothing is there.
    streams: BTreeMap<String, Stream>,
    /// For trials: a pause between a check and the write it is for.
    stall: Duration,
    /// It did in this turn: once is enough, and none of many members waits for the others.
    stalled: bool,
}

/// Why a turn ended early.
enum Failed {
    Sink(String),
    /// Another owner was seen.
    NoOwner(u64),
}

impl Exporter {
    pub fn start(side: Arc<Side>, sink: SocketAddrV4, seed: u64, stall: Duration) -> Result<(), String> {
        let mut exporter = Exporter {
            sink,
            carrier: Carrier::default(),
            chance: Pcg64Mcg::seed_from_u64(seed),
            alone: LEFT_ALONE,
            not_before: Instant::now(),
            unknown: BTreeSet::new(),
            streams: BTreeMap::new(),
            stall,
            stalled: false,
        };
        let run = move || {
            loop {
                exporter.turn(&side);
                thread::sleep(TURN);
            }
        };
        thread::Builder::new().name("export".to_string()).spawn(run).map_err(|e| format!("export: {e}"))?;
        Ok(())
    }

    fn turn(&mut self, side: &Side) {
        let Some(epoch) = side.may_begin(DUTY) else { return };
        if Instant::now() < self.not_before {
            return;
        }
        self.carrier.acts_in(epoch.0);
        self.stalled = false;
        match self.carry(side, epoch) {
            Ok(()) => self.alone = LEFT_ALONE,
            Err(Failed::NoOwner(seen)) => side.refused(DUTY, Epoch(seen)),
            Err(Failed::Sink(why)) => {
                warn!(%why, sink = %self.sink, alone_ms = self.alone.as_millis() as u64, "fleet: export waits");
                // With some chance in it: owners and sinks that come back together do not meet at once.
                self.not_before = Instant::now() + self.alone.mul_f64(self.chance.random_range(0.5..1.0));
                self.alone = (self.alone * 2).min(LONGEST_ALONE);
            }
        }
    }

    fn carry(&mut self, side: &Side, epoch: Epoch) -> Result<(), Failed> {
        if !self.carrier.knows_shelf() {
            // By asking with its epoch it shuts out all that were before it.
            let (status, body) = self.call("GET", &format!("/duties/{DUTY}?epoch={}", epoch.0), b"")?;
            match status {
                200 => {
                    let (shelf, unknown): (Vec<(Stream, Shelved)>, Vec<Stream>) = read(&body)?;
                    self.carrier.shelf_is(shelf.into_iter().collect());
                    self.carrier.unknown_are(unknown);
                }
                409 => return Err(Failed::NoOwner(seen(&read(&body)?))),
                _ => return Err(Failed::Sink(format!("answers {status}"))),
            }
        }
        for (name, addr) in side.members() {
            if side.may_begin(DUTY) != Some(epoch) {
                return Ok(());
            }
            match self.carry_of(side, epoch, &name, addr) {
                Ok(()) => {
                    if self.unknown.remove(&name) {
                        info!(member = %name, "fleet: export: known again");
                        side.note_now(&Event::Known { member: name });
                    }
                }
                Err(Ok(failed)) => return Err(failed),
                Err(Err(why)) => {
                    if self.unknown.insert(name.clone()) {
                        warn!(member = %name, %why, "fleet: export: what it holds is unknown");
                        side.note_now(&Event::Unknown { member: name, why });
                    }
                }
            }
        }
        for mark in self.carrier.after_a_turn() {
            if side.may_begin(DUTY) != Some(epoch) {
                return Ok(());
            }
            self.mark(side, epoch, &mark)?;
        }
        Ok(())
    }

    /// Has the sink name a stream of which something may be missing, or is not any more.
    fn mark(&mut self, side: &Side, epoch: Epoch, mark: &Mark) -> Result<(), Failed> {
        let body = serde_json::to_vec(mark).map_err(|e| Failed::Sink(e.to_string()))?;
        let (status, body) = self.call("POST", &format!("/duties/{DUTY}/marks?epoch={}", epoch.0), &body)?;
        match status {
            200 => {
                self.carrier.marked(mark);
                let stream = name_of(&mark.stream);
                warn!(%stream, known = mark.known, why = %mark.why, "fleet: export: the sink is told");
                side.note_now(&Event::Marked {
                    stream,
                    known: mark.known,
                    last_known_milli: mark.last_known_milli,
                });
                Ok(())
            }
            409 => Err(Failed::NoOwner(seen(&read(&body)?))),
            _ => Err(Failed::Sink(format!("answers {status}"))),
        }
    }

    /// All that one member has. It could not be asked: the inner error.
    fn carry_of(
        &mut self,
        side: &Side,
        epoch: Epoch,
        name: &str,
        addr: Option<SocketAddrV4>,
    ) -> Result<(), Result<Failed, String>> {
        let mut stream = self.streams.get(name).cloned();
        for _ in 0..IN_ONE_TURN {
            let had = stream.as_ref().and_then(|s| self.carrier.has(s));
            let ask = Ask::Uses { stream: stream.clone(), had: had.unwrap_or(0) };
            let answer = match addr {
                None => side.uses(&ask),
                Some(addr) => ask_from(side.source(), addr, &ask).map_err(|e| Err(e.to_string()))?,
            };
            let Answer::Uses { stream: of, batch, held_milli } = answer else {
                return Err(Err("keeps no uses".to_string()));
            };
            self.carrier.heard_of(&of, held_milli);
            let other = stream.as_ref() != Some(&of);
            if other {
                self.streams.insert(name.to_string(), of.clone());
                stream = Some(of);
            }
            let Some(batch) = batch else {
                // It was asked for no records, or for others than it keeps; now by how far the sink is with these.
                if other {
                    continue;
                }
                return Ok(());
            };
            if !self.carrier.is_next(&batch) {
                if let Some((wanted, offered)) = self.carrier.gaps.get(&batch.stream).copied() {
                    let stream = name_of(&batch.stream);
                    warn!(%stream, wanted, offered, "fleet: export: the sink was set back; batches are missing");
                    side.note_now(&Event::Gap { stream, wanted, offered });
                    return Ok(());
                }
                continue;
            }
            // The last look before the effect. Whatever comes between it and the write is the sink's to refuse.
            if side.may_begin(DUTY) != Some(epoch) {
                return Ok(());
            }
            if !self.stall.is_zero() && !std::mem::replace(&mut self.stalled, true) {
                let (duty, stream, number) = (DUTY.to_string(), name_of(&batch.stream), batch.number);
                side.note_now(&Event::Begins { duty, epoch: epoch.0, stream, number });
                thread::sleep(self.stall);
            }
            self.write(side, epoch, &batch).map_err(Ok)?;
        }
        Ok(())
    }

    fn write(&mut self, side: &Side, epoch: Epoch, batch: &Batch) -> Result<(), Failed> {
        let body = serde_json::to_vec(batch).map_err(|e| Failed::Sink(e.to_string()))?;
        let came = self.call("POST", &format!("/duties/{DUTY}/batches?epoch={}", epoch.0), &body);
        let came = came.and_then(|(_, body)| read::<Says>(&body));
        side.note_now(&Event::Effect {
            duty: DUTY.to_string(),
            epoch: epoch.0,
            stream: name_of(&batch.stream),
            number: batch.number,
            says: came.as_ref().ok().cloned(),
        });
        let says = came?;
        if self.carrier.heard(batch, &says) {
            return Ok(());
        }
        match says {
            Says::Refused { .. } => Err(Failed::NoOwner(seen(&says))),
            says => Err(Failed::Sink(format!("{says:?}"))),
        }
    }

    fn call(&mut self, method: &str, target: &str, body: &[u8]) -> Result<(u16, Vec<u8>), Failed> {
        let sink = |e: std::io::Error| Failed::Sink(e.to_string());
        let stream = TcpStream::connect_timeout(&self.sink.into(), CONNECTS_WITHIN).map_err(sink)?;
        stream.set_read_timeout(Some(ANSWERS_WITHIN)).map_err(sink)?;
        stream.set_write_timeout(Some(ANSWERS_WITHIN)).map_err(sink)?;
        let head = format!(
            "{method} {target} HTTP/1.1\r\nHost: {}\r\nConnection: close\r\nContent-Length: {}\r\n\r\n",
            self.sink,
            body.len()
        );
        (&stream).write_all(&[head.as_bytes(), body].concat()).map_err(sink)?;
        answer(&stream).ok_or_else(|| Failed::Sink("no whole answer".to_string()))
    }
}

/// Status and body; none: it ended before it was whole.
fn answer(stream: &TcpStream) -> Option<(u16, Vec<u8>)> {
    let mut reader = BufReader::new(stream.take(LONGEST_ANSWER as u64));
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let status = line.split(' ').nth(1)?.parse().ok()?;
    let mut length = None;
    loop {
        let mut header = String::new();
        reader.read_line(&mut header).ok().filter(|n| *n > 0)?;
        let Some((name, value)) = header.trim_end().split_once(':') else { break };
        if name.eq_ignore_ascii_case("content-length") {
            length = value.trim().parse::<usize>().ok();
        }
    }
    let mut body = vec![0; length.filter(|l| *l <= LONGEST_ANSWER)?];
    reader.read_exact(&mut body).ok()?;
    Some((status, body))
}

fn read<T: DeserializeOwned>(body: &[u8]) -> Result<T, Failed> {
    serde_json::from_slice(body).map_err(|e| Failed::Sink(format!("not understood: {e}")))
}

fn seen(says: &Says) -> u64 {
    if let Says::Refused { seen } = says { *seen } else { 0 }
}

fn name_of(stream: &Stream) -> String {
    format!("{}/{:016x}", stream.gatekeeper, stream.folder)
}

/// Asks another member from this one's own address, as datagrams go: what is between the two is between these
/// connections, too.
fn ask_from(source: std::net::Ipv4Addr, addr: SocketAddrV4, ask: &Ask) -> std::io::Result<Answer> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    if !source.is_unspecified() {
        socket.bind(&SocketAddrV4::new(source, 0).into())?;
    }
    socket.connect_timeout(&addr.into(), CONNECTS_WITHIN)?;
    crate::client::say(&TcpStream::from(socket), ask, ANSWERS_WITHIN)
}
