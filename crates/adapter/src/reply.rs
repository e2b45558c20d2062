//! The reply to a batch, which records the actions of the decision module.

use lynxstair::port::Port;
use lynxstair::types::{AttemptNumber, CounterKey, RequestId, Span, Time, TimerTag, WorkerId};

use crate::error::AdapterError;

/// Codes of the records in a reply.
mod code {
    pub const SEND_ATTEMPT: u8 = 16;
    pub const THROTTLE: u8 = 17;
    pub const FAIL: u8 = 18;
    pub const CANCEL: u8 = 19;
    pub const SET_TIMER: u8 = 20;
    pub const CHECK_HEALTH: u8 = 21;
    pub const SUBSCRIBE: u8 = 26;
    pub const ADD_TO_COUNTER: u8 = 28;
}

/// Length of a frame's header, in bytes: length, number of records and batch number.
const HEADER_LEN: usize = 12;

/// Reply to one batch.
#[derive(Default)]
pub struct Reply {
    records: Vec<u8>,
    count: u32,
}

impl Reply {
    /// Returns the port of an instance.
    pub fn for_instance(&mut self, instance: u32) -> WirePort<'_> {
        WirePort { reply: self, instance }
    }

    /// Returns the complete frame and clears the reply.
    pub fn take(&mut self, batch: u32) -> Result<Vec<u8>, AdapterError> {
        let total = self.records.len() + HEADER_LEN;
        let length = u32::try_from(total).map_err(|_| AdapterError::ReplyTooLong)?;
        let mut frame = Vec::with_capacity(total);
        frame.extend_from_slice(&length.to_le_bytes());
        frame.extend_from_slice(&self.count.to_le_bytes());
        frame.extend_from_slice(&batch.to_le_bytes());
        frame.append(&mut self.records);
        self.count = 0;
        Ok(frame)
    }
}

/// Records the actions of one instance.
pub struct WirePort<'a> {
    reply: &'a mut Reply,
    instance: u32,
}

impl WirePort<'_> {
    fn record(&mut self, code: u8) -> &mut Self {
        self.reply.count += 1;
        self.reply.records.push(code);
        let instance = self.instance;
        self.put(&instance.to_le_bytes())
    }

    fn put(&mut self, bytes: &[u8]) -> &mut Self {
        self.reply.records.extend_from_slice(bytes);
        self
    }

    fn put_worker(&mut self, worker: WorkerId) -> &mut Self {
        let address = (worker.0 >> 16) as u32;
        let port = worker.0 as u16;
        self.put(&address.to_be_bytes()).put(&port.to_le_bytes())
    }
}

impl Port for WirePort<'_> {
    fn send_attempt(&mut self, request: RequestId, worker: WorkerId, deadline: Time) {
        let record = self.record(code::SEND_ATTEMPT).put(&request.0.to_le_bytes());
        record.put_worker(worker).put(&deadline.nanos().to_le_bytes());
    }

    fn throttle(&mut self, request: RequestId, retry_after: Option<Span>) {
        let wait = retry_after.unwrap_or(Span::ZERO).nanos();
        self.record(code::THROTTLE).put(&request.0.to_le_bytes()).put(&wait.to_le_bytes());
    }

    fn fail(&mut self, request: RequestId) {
        self.record(code::FAIL).put(&request.0.to_le_bytes());
    }

    fn cancel(&mut self, request: RequestId, attempt: AttemptNumber) {
        self.record(code::CANCEL).put(&request.0.to_le_bytes()).put(&[attempt.0]);
    }

    fn check_health(&mut self, worker: WorkerId) {
        self.record(code::CHECK_HEALTH).put_worker(worker);
    }

    fn add_to_counter(&mut self, key: CounterKey, retention: Span, amount: f32) {
        let record = self.record(code::ADD_TO_COUNTER).put(&key.0.to_le_bytes());
        record.put(&retention.nanos().to_le_bytes()).put(&amount.to_le_bytes());
    }

    fn set_timer(&mut self, after: Span, tag: TimerTag) {
        self.record(code::SET_TIMER).put(&after.nanos().to_le_bytes()).put(&tag.0.to_le_bytes());
    }

    fn subscribe(&mut self) {
        self.record(code::SUBSCRIBE).put(&[1]);
    }
}
