//! Errors of the adapter. All are permanent: after a malformed frame the rest of the input can't be parsed.

use std::fmt;
use std::io;

use lynxstair_settings::SettingsError;

/// An error that ends the adapter.
#[derive(Debug)]
pub enum AdapterError {
    /// Standard input can't be read.
    Input(io::Error),
    /// Standard output can't be written.
    Output(io::Error),
    /// The input ends within the length field of a frame.
    TruncatedLength,
    /// The length of a frame, in bytes, is out of range.
    InvalidLength(u32),
    /// The input ends within a frame.
    TruncatedFrame {
        /// Number of bytes received.
        received: usize,
        /// Length of the frame, in bytes.
        length: u32,
    },
    /// The reply to a batch is too long for the length field.
    ReplyTooLong,
    /// A record of a batch can't be parsed.
    Batch {
        /// Number of the batch.
        batch: u32,
        /// Cause of the error.
        source: RecordError,
    },
}

/// An error in a record.
#[derive(Debug)]
pub enum RecordError {
    /// The frame ends within the record.
    Truncated {
        /// Number of bytes expected.
        expected: usize,
        /// Number of bytes left in the frame.
        left: usize,
    },
    /// Unknown event code.
    UnknownEvent(u8),
    /// Unknown outcome code.
    UnknownOutcome(u8),
    /// Unknown worker phase code.
    UnknownPhase(u8),
    /// Unknown code of a list update.
    UnknownListUpdate(u8),
    /// The number of a list is out of range.
    InvalidListNumber,
    /// The length of a list overflows.
    ListTooLong,
    /// The settings of an instance can't be parsed.
    Settings(SettingsError),
    /// Bytes follow the last record.
    TrailingBytes,
}

impl fmt::Display for AdapterError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            AdapterError::Input(source) => write!(f, "input: {source}"),
            AdapterError::Output(source) => write!(f, "output: {source}"),
            AdapterError::TruncatedLength => f.write_str("frame: input ended within the length field"),
            AdapterError::InvalidLength(length) => write!(f, "frame: invalid length of {length} bytes"),
            AdapterError::TruncatedFrame { received, length } => {
                write!(f, "frame: input ended after {received} of {length} bytes")
            }
            AdapterError::ReplyTooLong => f.write_str("reply: length exceeds 32 bits"),
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
            RecordError::Truncated { expected, left } => {
                write!(f, "record: {expected} bytes expected, {left} left in the frame")
            }
            RecordError::UnknownEvent(code) => write!(f, "record: unknown event code {code}"),
            RecordError::UnknownOutcome(code) => write!(f, "record: unknown outcome code {code}"),
            RecordError::UnknownPhase(code) => write!(f, "list: unknown worker phase code {code}"),
            RecordError::UnknownListUpdate(code) => write!(f, "list: unknown update code {code}"),
            RecordError::InvalidListNumber => f.write_str("list: number is not between 0 and 15"),
            RecordError::ListTooLong => f.write_str("list: length overflows"),
            RecordError::Settings(source) => source.fmt(f),
            RecordError::TrailingBytes => f.write_str("record: trailing bytes after the last record"),
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
