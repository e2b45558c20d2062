//! Hosts gatekeeper instances behind the bench's wire, on standard input and output.
//! Instances share nothing; a frame that can't be read ends the process with one line of why.
#![forbid(unsafe_code)]

mod codec;

use std::collections::HashMap;
use std::io::{self, BufReader, Write};
use std::process::ExitCode;

use codec::{Cursor, LISTED_BYTES, Reply, read_frame};
use lynxstair::policy::Gatekeeper;
use lynxstair::types::{
    Arrival, CountName, CustomerId, DeliveryNo, Ended, InvId, Listed, OperationId, PlanId, Scope, Time,
    TimerTag,
};

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("lynxstair-adapter: {why}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), String> {
    let mut input = BufReader::with_capacity(1 << 16, io::stdin().lock());
    let mut output = io::stdout().lock();
    let mut frame = Vec::new();
    let mut host = Host::default();
    while read_frame(&mut input, &mut frame)? {
        let reply = host.batch(&frame)?;
        output.write_all(&reply).and_then(|()| output.flush()).map_err(|e| format!("output: {e}"))?;
    }
    Ok(())
}

#[derive(Default)]
struct Host {
    instances: HashMap<u32, Gatekeeper>,
    /// The lists by their number, until another takes it.
    lists: [Vec<Listed>; 16],
    reply: Reply,
}

impl Host {
    fn batch(&mut self, frame: &[u8]) -> Result<Vec<u8>, String> {
        let mut cursor = Cursor::new(frame);
        let now = cursor.time()?;
        let records = cursor.u32()?;
        let batch = cursor.u32()?;
        for _ in 0..records {
            self.record(now, &mut cursor).map_err(|e| format!("batch {batch}: {e}"))?;
        }
        if !cursor.is_empty() {
            return Err(format!("batch {batch}: bytes left over after the last record"));
        }
        self.reply.take(batch)
    }

    fn record(&mut self, now: Time, c: &mut Cursor) -> Result<(), String> {
        let code = c.u8()?;
        if code == 27 {
            return self.list(c);
        }
        if !(16..=26).contains(&code) {
            return Err(format!("record: no event has the code {code}"));
        }
        let instance = c.u32()?;
        let port = &mut self.reply.for_instance(instance);
        if code == 16 {
            let seed = c.u64()?;
            let length = c.u32()? as usize;
            let settings = lynxstair_settings::read(c.bytes(length)?)?.settings;
            self.instances.insert(instance, Gatekeeper::start(now, seed, &settings, port));
            return Ok(());
        }
        // What comes for an instance that is not up is read and dropped.
        let mut gatekeeper = self.instances.get_mut(&instance);
        match code {
            17 => {
                let scope = c.u8()?;
                c.u64()?;
                let list = self.lists.get(c.u8()? as usize).ok_or("list: numbers go from 0 to 15")?;
                let scope = match scope {
                    0 => Some(Scope::Delta),
                    1 => Some(Scope::Full),
                    2 => Some(Scope::Cached),
                    3 => None,
                    code => return Err(format!("list: no scope has the code {code}")),
                };
                match (gatekeeper, scope) {
                    (Some(g), Some(scope)) => g.listed(now, scope, list),
                    (Some(g), None) => g.list_failed(port),
                    (None, _) => {}
                }
            }
            18 => {
                let inv = InvId(c.u32()?);
                c.u16()?;
                let valid_until = c.time()?;
                c.f32()?;
                let arrival = Arrival {
                    inv,
                    valid_until,
                    customer: CustomerId(c.u64()?),
                    operation: OperationId(c.u8()?),
                    plan: PlanId(c.u16()?),
                    spread: c.f32()?,
                    units: c.f32()?,
                };
                if let Some(g) = gatekeeper.as_mut() {
                    g.invoke(now, &arrival, port);
                }
            }
            19 => {
                let inv = InvId(c.u32()?);
                c.u8()?;
                c.span()?;
                let worker = c.worker()?;
                if let Some(g) = gatekeeper.as_mut() {
                    g.stream_started(now, inv, worker);
                }
            }
            20 => {
                let inv = InvId(c.u32()?);
                let took = c.span()?;
                let last = c.u8()? != 0;
                let no = DeliveryNo(c.u8()?);
                let worker = c.worker()?;
                let outcome = c.outcome()?;
                let used = Some(c.u16()?).filter(|u| *u > 0).map(|u| f32::from(u - 1) / 100.0);
                let actual = Some(c.u16()?).filter(|u| *u > 0).map(f32::from);
                let load = &c.load()?;
                if let Some(g) = gatekeeper.as_mut() {
                    g.delivery_ended(
                        now,
                        &Ended { inv, no, worker, outcome, took, last, used, actual, load },
                        port,
                    );
                }
            }
            21 => {
                let inv = InvId(c.u32()?);
                if let Some(g) = gatekeeper.as_mut() {
                    g.expired(inv, port);
                }
            }
            22 => {
                let tag = TimerTag(c.u64()?);
                if let Some(g) = gatekeeper.as_mut() {
                    g.timer(now, tag, port);
                }
            }
            23 => {
                let worker = c.worker()?;
                let outcome = c.outcome()?;
                c.span()?;
                c.load()?;
                if let Some(g) = gatekeeper.as_mut() {
                    g.probed(now, worker, outcome, port);
                }
            }
            24 => {
                c.u16()?;
                let length = c.u16()? as usize;
                c.bytes(length)?;
            }
            25 => {
                self.instances.remove(&instance);
            }
            _ => {
                let name = CountName(c.u64()?);
                let outcome = c.outcome()?;
                let total = c.f32()?;
                c.span()?;
                if let Some(g) = gatekeeper.as_mut() {
                    g.counted(now, name, outcome, total);
                }
            }
        }
        Ok(())
    }

    fn list(&mut self, c: &mut Cursor) -> Result<(), String> {
        let slot = self.lists.get_mut(c.u8()? as usize).ok_or("list: numbers go from 0 to 15")?;
        let rows = c.u32()? as usize;
        let bytes = rows.checked_mul(LISTED_BYTES).ok_or("list: too long")?;
        let mut entries = Cursor::new(c.bytes(bytes)?);
        slot.clear();
        for _ in 0..rows {
            slot.push(entries.listed()?);
        }
        Ok(())
    }
}
