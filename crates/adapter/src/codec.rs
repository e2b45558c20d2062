//! The wire: frames, records in, records out. Words of the wire stay in here.

use std::io::Read;

use lynxstair::port::Port;
use lynxstair::types::{
    CellId, CountName, DeliveryNo, InvId, KindId, Listed, Outcome, Phase, Span, Time, TimerTag, WorkerId,
    ZoneId,
};

/// Far over any batch; a larger length is taken for a broken frame.
const LARGEST_FRAME: u32 = 1 << 30;
const HEADER: u32 = 20;
pub const LISTED_BYTES: usize = 25;

/// Reads one whole frame, without its length; None at the end of the input.
pub fn read_frame(input: &mut impl Read, frame: &mut Vec<u8>) -> Result<bool, String> {
    let mut length = Vec::with_capacity(4);
    input.by_ref().take(4).read_to_end(&mut length).map_err(|e| format!("input: {e}"))?;
    if length.is_empty() {
        return Ok(false);
    }
    let length: [u8; 4] = length.try_into().map_err(|_| "frame: input ends inside the length".to_string())?;
    let length = u32::from_le_bytes(length);
    if !(HEADER..=LARGEST_FRAME).contains(&length) {
        return Err(format!("frame: a length of {length} bytes can't be"));
    }
    let rest = u64::from(length) - 4;
    frame.clear();
    // Grows with what really comes, never by the length that was claimed.
    input.by_ref().take(rest).read_to_end(frame).map_err(|e| format!("input: {e}"))?;
    if (frame.len() as u64) < rest {
        return Err(format!("frame: {} of {length} bytes came before the end of input", frame.len() + 4));
    }
    Ok(true)
}

/// A position in a frame; each read is checked against its end.
pub struct Cursor<'a> {
    rest: &'a [u8],
}

impl<'a> Cursor<'a> {
    pub fn new(bytes: &'a [u8]) -> Self {
        Cursor { rest: bytes }
    }

    pub fn is_empty(&self) -> bool {
        self.rest.is_empty()
    }

    pub fn bytes(&mut self, n: usize) -> Result<&'a [u8], String> {
        if n > self.rest.len() {
            return Err(format!("record: {n} bytes expected, {} left in the frame", self.rest.len()));
        }
        let (head, rest) = self.rest.split_at(n);
        self.rest = rest;
        Ok(head)
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], String> {
        let mut out = [0; N];
        out.copy_from_slice(self.bytes(N)?);
        Ok(out)
    }

    pub fn u8(&mut self) -> Result<u8, String> {
        Ok(self.array::<1>()?[0])
    }

    pub fn u16(&mut self) -> Result<u16, String> {
        Ok(u16::from_le_bytes(self.array()?))
    }

    pub fn u32(&mut self) -> Result<u32, String> {
        Ok(u32::from_le_bytes(self.array()?))
    }

    pub fn u64(&mut self) -> Result<u64, String> {
        Ok(u64::from_le_bytes(self.array()?))
    }

    pub fn f32(&mut self) -> Result<f32, String> {
        Ok(f32::from_le_bytes(self.array()?))
    }

    pub fn time(&mut self) -> Result<Time, String> {
        Ok(Time::from_nanos(self.u64()?))
    }

    pub fn span(&mut self) -> Result<Span, String> {
        Ok(Span::from_nanos(self.u64()?))
    }

    pub fn worker(&mut self) -> Result<WorkerId, String> {
        let address = u32::from_be_bytes(self.array()?);
        let port = self.u16()?;
        Ok(WorkerId(u64::from(address) << 16 | u64::from(port)))
    }

    pub fn outcome(&mut self) -> Result<Outcome, String> {
        Ok(match self.u8()? {
            0 => Outcome::Succeeded,
            5 => Outcome::Errored,
            11 => Outcome::Full,
            110 => Outcome::TimedOut,
            111 => Outcome::ConnectFailed,
            104 => Outcome::Reset,
            125 => Outcome::Cancelled,
            114 => Outcome::Moot,
            code => return Err(format!("record: no outcome has the code {code}")),
        })
    }

    pub fn load(&mut self) -> Result<Vec<f32>, String> {
        let n = self.u8()?;
        (0..n).map(|_| self.f32()).collect()
    }

    pub fn listed(&mut self) -> Result<Listed, String> {
        Ok(Listed {
            worker: self.worker()?,
            zone: ZoneId(self.u16()?),
            kind: KindId(self.u16()?),
            cell: CellId(self.u16()?),
            phase: match self.u8()? {
                0 => Phase::Gone,
                1 => Phase::Ready,
                2 => Phase::Draining,
                code => return Err(format!("list: no phase has the code {code}")),
            },
            heft: self.f32()?,
            started_at: Some(self.time()?).filter(|t| *t != Time::default()),
        })
    }
}

/// The reply to one batch, written as the decisions are made.
#[derive(Default)]
pub struct Reply {
    records: Vec<u8>,
    count: u32,
}

impl Reply {
    pub fn for_instance(&mut self, instance: u32) -> WirePort<'_> {
        WirePort { reply: self, instance }
    }

    /// The whole frame; the reply is empty afterwards.
    pub fn take(&mut self, batch: u32) -> Result<Vec<u8>, String> {
        let length = u32::try_from(self.records.len() + 12).map_err(|_| "reply: too long".to_string())?;
        let mut frame = Vec::with_capacity(self.records.len() + 12);
        frame.extend_from_slice(&length.to_le_bytes());
        frame.extend_from_slice(&self.count.to_le_bytes());
        frame.extend_from_slice(&batch.to_le_bytes());
        frame.append(&mut self.records);
        self.count = 0;
        Ok(frame)
    }
}

/// Writes the answers of one instance.
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
    fn deliver(&mut self, inv: InvId, worker: WorkerId, stop_at: Time) {
        self.record(16).put(&inv.0.to_le_bytes()).put_worker(worker).put(&stop_at.nanos().to_le_bytes());
    }

    fn throttle(&mut self, inv: InvId, retry_after: Option<Span>) {
        let wait = retry_after.unwrap_or(Span::ZERO).nanos();
        self.record(17).put(&inv.0.to_le_bytes()).put(&wait.to_le_bytes());
    }

    fn error(&mut self, inv: InvId) {
        self.record(18).put(&inv.0.to_le_bytes());
    }

    fn cancel(&mut self, inv: InvId, no: DeliveryNo) {
        self.record(19).put(&inv.0.to_le_bytes()).put(&[no.0]);
    }

    fn probe(&mut self, worker: WorkerId) {
        self.record(21).put_worker(worker);
    }

    fn add_to_count(&mut self, name: CountName, keep: Span, amount: f32) {
        let keep = keep.nanos().to_le_bytes();
        self.record(28).put(&name.0.to_le_bytes()).put(&keep).put(&amount.to_le_bytes());
    }

    fn set_timer(&mut self, after: Span, tag: TimerTag) {
        self.record(20).put(&after.nanos().to_le_bytes()).put(&tag.0.to_le_bytes());
    }

    fn subscribe(&mut self) {
        self.record(26).put(&[1]);
    }
}
