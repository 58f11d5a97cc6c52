//! Errors of the frame codec.

use std::error::Error;
use std::fmt;

/// Why a frame can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameError {
    /// The input ends before the frame does.
    InputEnded,
    /// The size in the header is below that of a header.
    SizeBelowHeader(u32),
    /// The body is too small for the number of records.
    TooManyRecords {
        /// The number of records in the header.
        records: u32,
        /// The size of the body in bytes.
        body: usize,
    },
    /// The clock is not a finite number.
    InvalidClock,
    /// The size in the header is not that of the frame.
    SizeMismatch {
        /// The size in the header.
        declared: u32,
        /// The size of the frame.
        actual: usize,
    },
    /// Bytes follow the last record.
    TrailingBytes(usize),
    /// A field of this many bytes ends behind the frame.
    FieldPastEnd(usize),
    /// A list of this many entries ends behind the frame.
    ListPastEnd(usize),
    /// No list slot has this number.
    InvalidListSlot(u8),
    /// An unknown event code.
    UnknownEvent(u8),
    /// An unknown code of a list kind.
    UnknownListKind(u8),
    /// An unknown code of a backend state.
    UnknownBackendState(u8),
    /// An unknown code of an outcome.
    UnknownOutcome(u16),
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("malformed frame: ")?;
        match self {
            FrameError::InputEnded => f.write_str("input ends inside a frame"),
            FrameError::SizeBelowHeader(size) => write!(f, "length {size} is shorter than a header"),
            FrameError::TooManyRecords { records, body } => {
                write!(f, "{records} records cannot fit in {body} bytes")
            }
            FrameError::InvalidClock => f.write_str("the clock is not a number"),
            FrameError::SizeMismatch { declared, actual } => {
                write!(f, "length {declared} but {actual} bytes")
            }
            FrameError::TrailingBytes(bytes) => write!(f, "{bytes} bytes after the last record"),
            FrameError::FieldPastEnd(bytes) => write!(f, "a field of {bytes} bytes runs past the end"),
            FrameError::ListPastEnd(entries) => write!(f, "a list of {entries} entries runs past the end"),
            FrameError::InvalidListSlot(slot) => write!(f, "list number {slot}"),
            FrameError::UnknownEvent(code) => write!(f, "unknown event code {code}"),
            FrameError::UnknownListKind(code) => write!(f, "unknown list form {code}"),
            FrameError::UnknownBackendState(code) => write!(f, "unknown backend state {code}"),
            FrameError::UnknownOutcome(code) => write!(f, "unknown outcome {code}"),
        }
    }
}

impl Error for FrameError {}
