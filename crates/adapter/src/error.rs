//! Why the adapter ends. No error can be retried: a stream that was read wrongly once can't be read on.

use std::fmt;
use std::io;

use lynxstair_settings::SettingsError;

/// Why the adapter ends.
#[derive(Debug)]
pub enum AdapterError {
    /// Standard input can't be read.
    Input(io::Error),
    /// Standard output can't be written.
    Output(io::Error),
    /// The input ends within the length of a frame.
    LengthCutShort,
    /// A frame can't have this length, in bytes.
    BadLength(u32),
    /// The input ends within a frame.
    FrameCutShort {
        /// The bytes that came.
        received: usize,
        /// The length of the frame.
        length: u32,
    },
    /// The reply to a batch is longer than a frame may be.
    ReplyTooLong,
    /// A record of a batch can't be read.
    Batch {
        /// The batch's number.
        batch: u32,
        /// What is wrong.
        source: RecordError,
    },
}

/// What is wrong with a record.
#[derive(Debug)]
pub enum RecordError {
    /// The frame ends within it.
    CutShort {
        /// The bytes that are missing a part.
        expected: usize,
        /// The bytes that are left.
        left: usize,
    },
    /// There is no event with this code.
    UnknownEvent(u8),
    /// There is no outcome with this code.
    UnknownOutcome(u8),
    /// There is no phase of a worker with this code.
    UnknownPhase(u8),
    /// There is no kind of list update with this code.
    UnknownListUpdate(u8),
    /// Lists have other numbers.
    BadListNumber,
    /// A list has more rows than can be.
    ListTooLong,
    /// The settings of an instance can't be read.
    Settings(SettingsError),
    /// Bytes are left over behind the last record.
    Surplus,
}

impl fmt::Display for AdapterError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            AdapterError::Input(source) => write!(f, "input: {source}"),
            AdapterError::Output(source) => write!(f, "output: {source}"),
            AdapterError::LengthCutShort => f.write_str("frame: input ends inside the length"),
            AdapterError::BadLength(length) => write!(f, "frame: a length of {length} bytes can't be"),
            AdapterError::FrameCutShort { received, length } => {
                write!(f, "frame: {received} of {length} bytes came before the end of input")
            }
            AdapterError::ReplyTooLong => f.write_str("reply: too long"),
            AdapterError::Batch { batch, source } => write!(f, "batch {batch}: {source}"),
        }
    }
}

impl std::error::Error for AdapterError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            AdapterError::Input(source) | AdapterError::Output(source) => Some(source),
            AdapterError::Batch { source, .. } => Some(source),
            _ => None,
        }
    }
}

impl fmt::Display for RecordError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            RecordError::CutShort { expected, left } => {
                write!(f, "record: {expected} bytes expected, {left} left in the frame")
            }
            RecordError::UnknownEvent(code) => write!(f, "record: no event has the code {code}"),
            RecordError::UnknownOutcome(code) => write!(f, "record: no outcome has the code {code}"),
            RecordError::UnknownPhase(code) => write!(f, "list: no phase has the code {code}"),
            RecordError::UnknownListUpdate(code) => write!(f, "list: no scope has the code {code}"),
            RecordError::BadListNumber => f.write_str("list: numbers go from 0 to 15"),
            RecordError::ListTooLong => f.write_str("list: too long"),
            RecordError::Settings(source) => source.fmt(f),
            RecordError::Surplus => f.write_str("bytes left over after the last record"),
        }
    }
}

impl std::error::Error for RecordError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            RecordError::Settings(source) => Some(source),
            _ => None,
        }
    }
}
