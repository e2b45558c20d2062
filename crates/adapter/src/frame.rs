//! Frames of the simulator's protocol, and parsing of their values. Numbers are little-endian, addresses
//! big-endian.

use std::io::Read;

use lynxstair::types::{CellId, KindId, Outcome, Span, Time, WorkerId, WorkerInfo, WorkerPhase, ZoneId};

use crate::error::{AdapterError, RecordError};

/// Maximum length of a frame, in bytes. A larger length indicates a malformed frame.
const MAX_FRAME_LEN: u32 = 1 << 30;
/// Length of a frame's header, in bytes: length, time, number of records and batch number.
const HEADER_LEN: u32 = 20;
/// Length of a frame's length field, in bytes.
const LENGTH_LEN: u32 = 4;
/// Length of an entry of a list of workers, in bytes.
pub const WORKER_INFO_LEN: usize = 25;

/// Reads the next frame, without its length field. Returns `false` at the end of the input.
pub fn read_frame(input: &mut impl Read, frame: &mut Vec<u8>) -> Result<bool, AdapterError> {
    let mut length = Vec::with_capacity(LENGTH_LEN as usize);
    input.by_ref().take(LENGTH_LEN.into()).read_to_end(&mut length).map_err(AdapterError::Input)?;
    if length.is_empty() {
        return Ok(false);
    }
    let length: [u8; LENGTH_LEN as usize] = length.try_into().map_err(|_| AdapterError::TruncatedLength)?;
    let length = u32::from_le_bytes(length);
    if !(HEADER_LEN..=MAX_FRAME_LEN).contains(&length) {
        return Err(AdapterError::InvalidLength(length));
    }
    let rest = u64::from(length - LENGTH_LEN);
    frame.clear();
    // The buffer grows with the bytes received rather than by the length field.
    input.by_ref().take(rest).read_to_end(frame).map_err(AdapterError::Input)?;
    if (frame.len() as u64) < rest {
        let received = frame.len() + LENGTH_LEN as usize;
        return Err(AdapterError::TruncatedFrame { received, length });
    }
    Ok(true)
}

/// A position in a frame. Reads beyond its end fail.
pub struct Cursor<'a> {
    rest: &'a [u8],
}

impl<'a> Cursor<'a> {
    /// Starts at the first of `bytes`.
    pub fn new(bytes: &'a [u8]) -> Self {
        Cursor { rest: bytes }
    }

    /// Returns `true` if no bytes are left.
    pub fn is_empty(&self) -> bool {
        self.rest.is_empty()
    }

    /// Reads the next `n` bytes.
    pub fn bytes(&mut self, n: usize) -> Result<&'a [u8], RecordError> {
        if n > self.rest.len() {
            return Err(RecordError::Truncated { expected: n, left: self.rest.len() });
        }
        let (head, rest) = self.rest.split_at(n);
        self.rest = rest;
        Ok(head)
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], RecordError> {
        let mut out = [0; N];
        out.copy_from_slice(self.bytes(N)?);
        Ok(out)
    }

    pub fn u8(&mut self) -> Result<u8, RecordError> {
        Ok(self.array::<1>()?[0])
    }

    pub fn u16(&mut self) -> Result<u16, RecordError> {
        Ok(u16::from_le_bytes(self.array()?))
    }

    pub fn u32(&mut self) -> Result<u32, RecordError> {
        Ok(u32::from_le_bytes(self.array()?))
    }

    pub fn u64(&mut self) -> Result<u64, RecordError> {
        Ok(u64::from_le_bytes(self.array()?))
    }

    pub fn f32(&mut self) -> Result<f32, RecordError> {
        Ok(f32::from_le_bytes(self.array()?))
    }

    pub fn time(&mut self) -> Result<Time, RecordError> {
        Ok(Time::from_nanos(self.u64()?))
    }

    pub fn span(&mut self) -> Result<Span, RecordError> {
        Ok(Span::from_nanos(self.u64()?))
    }

    pub fn worker(&mut self) -> Result<WorkerId, RecordError> {
        let address = u32::from_be_bytes(self.array()?);
        let port = self.u16()?;
        Ok(WorkerId(u64::from(address) << 16 | u64::from(port)))
    }

    pub fn outcome(&mut self) -> Result<Outcome, RecordError> {
        Ok(match self.u8()? {
            0 => Outcome::Succeeded,
            5 => Outcome::Errored,
            11 => Outcome::Full,
            110 => Outcome::TimedOut,
            111 => Outcome::ConnectFailed,
            104 => Outcome::Reset,
            125 => Outcome::Cancelled,
            114 => Outcome::Superseded,
            code => return Err(RecordError::UnknownOutcome(code)),
        })
    }

    /// Reads the load report of a worker.
    pub fn load(&mut self) -> Result<Vec<f32>, RecordError> {
        let n = self.u8()?;
        (0..n).map(|_| self.f32()).collect()
    }

    /// Reads an entry of a list of workers.
    pub fn worker_info(&mut self) -> Result<WorkerInfo, RecordError> {
        Ok(WorkerInfo {
            worker: self.worker()?,
            zone: ZoneId(self.u16()?),
            kind: KindId(self.u16()?),
            cell: CellId(self.u16()?),
            phase: match self.u8()? {
                0 => WorkerPhase::Removed,
                1 => WorkerPhase::Ready,
                2 => WorkerPhase::Draining,
                code => return Err(RecordError::UnknownPhase(code)),
            },
            weight: self.f32()?,
            started_at: Some(self.time()?).filter(|t| *t != Time::default()),
        })
    }
}
