//! Hosts gatekeeper instances: parses the records of a batch and calls the instance of each.

use std::collections::HashMap;

use lynxstair::policy::Gatekeeper;
use lynxstair::types::{
    AttemptNumber, AttemptReport, CounterKey, ListUpdate, OperationId, PlanId, Request, RequestId, TenantId,
    Time, TimerTag, WorkerInfo,
};

use crate::error::{AdapterError, RecordError};
use crate::frame::{Cursor, WORKER_INFO_LEN};
use crate::reply::{Reply, WirePort};

/// Codes of the records in a batch.
mod code {
    pub const START: u8 = 16;
    pub const WORKER_LIST: u8 = 17;
    pub const REQUEST: u8 = 18;
    pub const STREAM_STARTED: u8 = 19;
    pub const ATTEMPT_ENDED: u8 = 20;
    pub const EXPIRED: u8 = 21;
    pub const TIMER: u8 = 22;
    pub const HEALTH_CHECK: u8 = 23;
    pub const MESSAGE: u8 = 24;
    pub const STOP: u8 = 25;
    pub const COUNTER_REPLY: u8 = 26;
    pub const STORE_LIST: u8 = 27;
}

/// Number of stored lists of workers.
const LIST_COUNT: usize = 16;

/// Gatekeeper instances of one process. They share no state.
#[derive(Default)]
pub struct Host {
    instances: HashMap<u32, Gatekeeper>,
    /// Stored lists of workers, by number.
    lists: [Vec<WorkerInfo>; LIST_COUNT],
    reply: Reply,
}

impl Host {
    /// Handles the records of a frame and returns the reply frame.
    pub fn handle_batch(&mut self, frame: &[u8]) -> Result<Vec<u8>, AdapterError> {
        let mut cursor = Cursor::new(frame);
        // Frames are at least as long as their header.
        let header = |source| AdapterError::Batch { batch: 0, source };
        let now = cursor.time().map_err(header)?;
        let records = cursor.u32().map_err(header)?;
        let batch = cursor.u32().map_err(header)?;
        self.handle_records(now, records, &mut cursor)
            .map_err(|source| AdapterError::Batch { batch, source })?;
        self.reply.take(batch)
    }

    fn handle_records(&mut self, now: Time, records: u32, cursor: &mut Cursor) -> Result<(), RecordError> {
        for _ in 0..records {
            self.handle_record(now, cursor)?;
        }
        if cursor.is_empty() { Ok(()) } else { Err(RecordError::TrailingBytes) }
    }

    fn handle_record(&mut self, now: Time, cursor: &mut Cursor) -> Result<(), RecordError> {
        let code = cursor.u8()?;
        if code == code::STORE_LIST {
            return self.store_list(cursor);
        }
        if !(code::START..=code::COUNTER_REPLY).contains(&code) {
            return Err(RecordError::UnknownEvent(code));
        }
        let instance = cursor.u32()?;
        let port = &mut self.reply.for_instance(instance);
        match code {
            code::START => {
                let seed = cursor.u64()?;
                let length = cursor.u32()? as usize;
                let settings =
                    lynxstair_settings::read(cursor.bytes(length)?).map_err(RecordError::Settings)?;
                self.instances.insert(instance, Gatekeeper::new(now, seed, &settings.policy, port));
                Ok(())
            }
            code::STOP => {
                self.instances.remove(&instance);
                Ok(())
            }
            code::WORKER_LIST => {
                handle_worker_list(now, cursor, self.instances.get_mut(&instance), &self.lists, port)
            }
            code::REQUEST | code::STREAM_STARTED | code::ATTEMPT_ENDED | code::EXPIRED => {
                handle_request_event(now, code, cursor, self.instances.get_mut(&instance), port)
            }
            _ => handle_event(now, code, cursor, self.instances.get_mut(&instance), port),
        }
    }

    fn store_list(&mut self, cursor: &mut Cursor) -> Result<(), RecordError> {
        let slot = self.lists.get_mut(cursor.u8()? as usize).ok_or(RecordError::InvalidListNumber)?;
        let rows = cursor.u32()? as usize;
        let length = rows.checked_mul(WORKER_INFO_LEN).ok_or(RecordError::ListTooLong)?;
        let mut entries = Cursor::new(cursor.bytes(length)?);
        slot.clear();
        for _ in 0..rows {
            slot.push(entries.worker_info()?);
        }
        Ok(())
    }
}

fn handle_worker_list(
    now: Time,
    cursor: &mut Cursor,
    gatekeeper: Option<&mut Gatekeeper>,
    lists: &[Vec<WorkerInfo>; LIST_COUNT],
    port: &mut WirePort,
) -> Result<(), RecordError> {
    let update = cursor.u8()?;
    cursor.u64()?;
    let list = lists.get(cursor.u8()? as usize).ok_or(RecordError::InvalidListNumber)?;
    let update = match update {
        0 => Some(ListUpdate::Delta),
        1 => Some(ListUpdate::Full),
        2 => Some(ListUpdate::Cached),
        3 => None,
        code => return Err(RecordError::UnknownListUpdate(code)),
    };
    match (gatekeeper, update) {
        (Some(gatekeeper), Some(update)) => gatekeeper.on_worker_list(now, update, list),
        (Some(gatekeeper), None) => gatekeeper.on_list_failed(port),
        (None, _) => {}
    }
    Ok(())
}

/// Handles an event of one request. Events for an instance that is not running are parsed and ignored.
fn handle_request_event(
    now: Time,
    code: u8,
    cursor: &mut Cursor,
    gatekeeper: Option<&mut Gatekeeper>,
    port: &mut WirePort,
) -> Result<(), RecordError> {
    match code {
        code::REQUEST => {
            let request = read_request(cursor)?;
            if let Some(gatekeeper) = gatekeeper {
                gatekeeper.on_request(now, &request, port);
            }
        }
        code::STREAM_STARTED => {
            let request = RequestId(cursor.u32()?);
            cursor.u8()?;
            cursor.span()?;
            let worker = cursor.worker()?;
            if let Some(gatekeeper) = gatekeeper {
                gatekeeper.on_stream_started(now, request, worker);
            }
        }
        code::ATTEMPT_ENDED => {
            let mut report = read_report(cursor)?;
            let load = cursor.load()?;
            report.load = &load;
            if let Some(gatekeeper) = gatekeeper {
                gatekeeper.on_attempt_ended(now, &report, port);
            }
        }
        _ => {
            let request = RequestId(cursor.u32()?);
            if let Some(gatekeeper) = gatekeeper {
                gatekeeper.on_expired(request, port);
            }
        }
    }
    Ok(())
}

/// Handles an event that does not belong to a request; ignored if the instance is not running.
fn handle_event(
    now: Time,
    code: u8,
    cursor: &mut Cursor,
    gatekeeper: Option<&mut Gatekeeper>,
    port: &mut WirePort,
) -> Result<(), RecordError> {
    match code {
        code::TIMER => {
            let tag = TimerTag(cursor.u64()?);
            if let Some(gatekeeper) = gatekeeper {
                gatekeeper.on_timer(now, tag, port);
            }
        }
        code::HEALTH_CHECK => {
            let worker = cursor.worker()?;
            let outcome = cursor.outcome()?;
            cursor.span()?;
            cursor.load()?;
            if let Some(gatekeeper) = gatekeeper {
                gatekeeper.on_health_check(now, worker, outcome, port);
            }
        }
        // Instances send no messages to each other and ignore those they receive.
        code::MESSAGE => {
            cursor.u16()?;
            let length = cursor.u16()? as usize;
            cursor.bytes(length)?;
        }
        _ => {
            let key = CounterKey(cursor.u64()?);
            let outcome = cursor.outcome()?;
            let total = cursor.f32()?;
            cursor.span()?;
            if let Some(gatekeeper) = gatekeeper {
                gatekeeper.on_counter_reply(now, key, outcome, total);
            }
        }
    }
    Ok(())
}

fn read_request(cursor: &mut Cursor) -> Result<Request, RecordError> {
    let id = RequestId(cursor.u32()?);
    cursor.u16()?;
    let deadline = cursor.time()?;
    cursor.f32()?;
    Ok(Request {
        id,
        deadline,
        tenant: TenantId(cursor.u64()?),
        operation: OperationId(cursor.u8()?),
        plan: PlanId(cursor.u16()?),
        spread: cursor.f32()?,
        units: cursor.f32()?,
    })
}

/// Reads the end of an attempt up to the worker's load report. `quota_used` is sent as a percentage plus 1. A
/// value of 0 for it or for `actual_units` means `None`.
fn read_report<'a>(cursor: &mut Cursor) -> Result<AttemptReport<'a>, RecordError> {
    let request_id = RequestId(cursor.u32()?);
    let duration = cursor.span()?;
    let is_final = cursor.u8()? != 0;
    let attempt = AttemptNumber(cursor.u8()?);
    let worker = cursor.worker()?;
    let outcome = cursor.outcome()?;
    let quota_used = Some(cursor.u16()?).filter(|n| *n > 0).map(|n| f32::from(n - 1) / 100.0);
    let actual_units = Some(cursor.u16()?).filter(|n| *n > 0).map(f32::from);
    let load = &[];
    Ok(AttemptReport {
        request_id,
        attempt,
        worker,
        outcome,
        duration,
        is_final,
        quota_used,
        actual_units,
        load,
    })
}
