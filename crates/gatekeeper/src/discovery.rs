//! The list of workers: one watch, opened anew when it breaks or falls silent. Where discovery moves to another
//! address, the watch on the old one is read until the new one speaks.

use std::collections::HashMap;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

use lynxstair::types::{CellId, KindId, ListUpdate, Span, Time, WorkerId, WorkerInfo, WorkerPhase, ZoneId};
use serde::Deserialize;

use crate::program::Gate;
use lynxstair_net::conn::{Conn, Got};
use lynxstair_net::coroutine::go;
use lynxstair_net::http;
use lynxstair_net::log;

/// A line comes every two seconds, empty where nothing changed: silence for longer is a broken watch.
const SILENT: Span = Span::from_millis(3_500);
/// The first answer to a watch comes at once: one that has not spoken by then never came up.
const OPENING: Span = Span::from_millis(1_000);
const AGAIN: Span = Span::from_millis(500);
/// The largest piece of a list.
const MOST: usize = 1 << 20;

/// A piece of the list. What it does not know of it passes over.
#[derive(Deserialize, Default, Clone)]
#[serde(default)]
pub struct News {
    pub revision: u64,
    pub complete: bool,
    members: Vec<Member>,
}

#[derive(Deserialize, Default, Clone)]
#[serde(default)]
struct Member {
    id: String,
    host_port: Option<String>,
    locality: String,
    flavor: String,
    cell: u16,
    phase: String,
    size: Option<f32>,
    up_since_ms: u64,
}

struct State {
    addr: SocketAddr,
    revision: u64,
    /// Workers by the names that the list gives them; numbers are never used twice.
    ids: HashMap<String, WorkerId>,
    last_id: u64,
    watch: Option<Arc<Conn>>,
    /// Whether it has said anything yet.
    has_spoken: bool,
    /// Watches on addresses that discovery had before.
    old: Vec<Arc<Conn>>,
    /// When something last came, or a watch was last tried.
    heard_at: Time,
}

impl State {
    fn is_current(&self, watch: &Arc<Conn>) -> bool {
        self.watch.as_ref().is_some_and(|w| Arc::ptr_eq(w, watch))
    }

    /// Something came from a watch; the one at hand makes those before it needless.
    fn hear(&mut self, watch: &Arc<Conn>, now: Time) {
        if self.is_current(watch) {
            self.heard_at = now;
            self.has_spoken = true;
            self.old.drain(..).for_each(|old| old.close());
        }
    }
}

pub struct Discovery {
    state: Mutex<State>,
}

impl Discovery {
    pub fn new(addr: SocketAddr) -> Self {
        let state = State {
            addr,
            revision: 0,
            ids: HashMap::new(),
            last_id: 0,
            watch: None,
            has_spoken: false,
            old: Vec::new(),
            heard_at: Time::default(),
        };
        Discovery { state: Mutex::new(state) }
    }

    /// Discovery is at this address from now on; the next tick opens a watch there.
    pub fn move_to(&self, addr: SocketAddr) {
        let mut state = self.state();
        if state.addr != addr {
            state.addr = addr;
            let old = state.watch.take();
            state.old.extend(old);
            state.heard_at = Time::default();
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Opens the watch where there is none, and ends one that is silent.
    pub fn tick(&self, gate: &Arc<Gate>, now: Time) {
        let mut state = self.state();
        let quiet = now - state.heard_at;
        match &state.watch {
            Some(watch) if quiet > if state.has_spoken { SILENT } else { OPENING } => {
                log!("the watch on the list is silent; opening another");
                watch.close();
                state.watch = None;
            }
            None if quiet > AGAIN => {}
            _ => return,
        }
        state.heard_at = now;
        state.has_spoken = false;
        let watch = match Conn::open(state.addr, MOST) {
            Ok(conn) => Arc::new(conn),
            Err(e) => return log!("no connection to discovery: {e}"),
        };
        state.watch = Some(watch.clone());
        drop(state);
        let gate = gate.clone();
        go("discovery", move || {
            let ended = gate.discovery.follow(&gate, &watch);
            watch.close();
            let mut state = gate.discovery.state();
            // One that was closed for its silence has been replaced already.
            state.old.retain(|old| !Arc::ptr_eq(old, &watch));
            if state.is_current(&watch) {
                log!("the watch on the list ended: {ended}");
                state.watch = None;
            }
        });
    }

    /// Reads a watch to its end; why it ended.
    fn follow(&self, gate: &Arc<Gate>, watch: &Arc<Conn>) -> String {
        if let Err(e) = watch.connected() {
            return e.to_string();
        }
        let from = self.state().revision;
        let asked = watch.write(|out| {
            write!(out, "GET /discovery/hosts?watch=1&from={from} HTTP/1.1\r\nHost: discovery\r\n\r\n")
        });
        if let Err(e) = asked {
            return e.to_string();
        }
        let mut is_open = false;
        let mut line = Vec::new();
        loop {
            if watch.read() != Got::Bytes {
                return "closed".to_string();
            }
            let mut inbound = watch.inbound();
            if !is_open {
                match http::answer(inbound.bytes()) {
                    Ok(Some((answer, head))) => {
                        if answer.status != 200 {
                            return format!("status {}", answer.status);
                        }
                        inbound.consume(head);
                        is_open = true;
                    }
                    Ok(None) => continue,
                    Err(bad) => return bad.1.to_string(),
                }
            }
            loop {
                let bytes = inbound.bytes();
                let (start, size) = match http::chunk(bytes, 0) {
                    Ok(Some(chunk)) => chunk,
                    Ok(None) => break,
                    Err(bad) => return bad.1.to_string(),
                };
                if size == 0 {
                    return "over".to_string();
                }
                if bytes.len() < start + size + 2 {
                    break;
                }
                line.extend_from_slice(&bytes[start..start + size]);
                inbound.consume(start + size + 2);
            }
            drop(inbound);
            if let Err(e) = self.take_lines(gate, &mut line) {
                return e;
            }
            self.state().hear(watch, gate.clock.now());
        }
    }

    fn take_lines(&self, gate: &Arc<Gate>, text: &mut Vec<u8>) -> Result<(), String> {
        while let Some(end) = text.iter().position(|b| *b == b'\n') {
            let line: Vec<u8> = text.drain(..=end).collect();
            let line = line.trim_ascii();
            if line.is_empty() {
                continue;
            }
            let news = serde_json::from_slice(line).map_err(|e| format!("a line that can't be read: {e}"))?;
            self.take(gate, &news, false);
        }
        if text.len() > MOST { Err("a line too long".to_string()) } else { Ok(()) }
    }

    /// Takes over what the list says; `kept` is the list as it was last held, maybe old.
    pub fn take(&self, gate: &Gate, news: &News, kept: bool) {
        let mut listed = Vec::with_capacity(news.members.len());
        {
            let mut state = self.state();
            // Two watches tell the same changes, the old one late: what is known is not taken back.
            if !news.complete && news.revision > 0 && news.revision <= state.revision {
                return;
            }
            state.revision = news.revision;
            if news.complete {
                let gone = |id: &String| !news.members.iter().any(|m| m.id == *id);
                for (_, worker) in state.ids.extract_if(|id, _| gone(id)) {
                    gate.workers.remove(worker);
                }
            }
            for member in &news.members {
                match self.line(&mut state, gate, member) {
                    Ok(line) => listed.extend(line),
                    Err(e) => log!("list: {}: {e}", member.id),
                }
            }
        }
        let scope = match (kept, news.complete) {
            (true, _) => ListUpdate::Cached,
            (false, true) => ListUpdate::Full,
            (false, false) => ListUpdate::Delta,
        };
        gate.dispatcher.update_workers(gate.clock.now(), scope, &listed);
    }

    fn line(&self, state: &mut State, gate: &Gate, member: &Member) -> Result<Option<WorkerInfo>, String> {
        let phase = match member.phase.as_str() {
            "SERVING" => WorkerPhase::Ready,
            "DRAINING" => WorkerPhase::Draining,
            "DELETED" => WorkerPhase::Removed,
            other => return Err(format!("unknown phase {other:?}")),
        };
        let known = state.ids.get(&member.id).copied();
        if phase == WorkerPhase::Removed {
            let Some(worker) = state.ids.remove(&member.id) else { return Ok(None) };
            gate.workers.remove(worker);
            return Ok(Some(self.entry(gate, member, worker, phase)));
        }
        let addr = member.host_port.as_deref().ok_or("no address")?;
        let addr: SocketAddr = addr.parse().map_err(|e| format!("{addr:?}: {e}"))?;
        let worker = known.unwrap_or_else(|| {
            state.last_id += 1;
            let worker = WorkerId(state.last_id);
            state.ids.insert(member.id.clone(), worker);
            worker
        });
        gate.workers.place(worker, addr, phase == WorkerPhase::Draining);
        Ok(Some(self.entry(gate, member, worker, phase)))
    }

    fn entry(&self, gate: &Gate, member: &Member, worker: WorkerId, phase: WorkerPhase) -> WorkerInfo {
        // A name that the settings do not have stands for a place of its own.
        let number = |names: &[String], name: &str| {
            names.iter().position(|n| n == name).map_or(u16::MAX, |n| n as u16)
        };
        let started = Some(Span::from_millis(member.up_since_ms)).filter(|ms| *ms > Span::ZERO);
        WorkerInfo {
            worker,
            zone: ZoneId(number(&gate.names.zones, &member.locality)),
            kind: KindId(number(&gate.names.kinds, &member.flavor)),
            cell: CellId(member.cell),
            phase,
            weight: member.size.unwrap_or(1.0),
            started_at: started.map(|ms| Time::from_nanos(ms.nanos())),
        }
    }
}
