//! Errors of the frame decoder.

use super::{BATCH_HEADER_SIZE, LIST_SLOTS};
use std::error::Error;
use std::fmt;

/// Why a frame is malformed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameError {
    /// The input ended inside the body of a frame.
    InputEnded,
    /// The declared size is smaller than a header.
    SizeBelowHeader(u32),
    /// The body is too small for the declared number of records.
    TooManyRecords {
        /// The declared number of records.
        record_count: u32,
        /// The size of the body in bytes.
        body: usize,
    },
    /// The clock is not a finite number.
    InvalidClock,
    /// The declared size differs from the size of the frame.
    SizeMismatch {
        /// The declared size in bytes.
        declared: u32,
        /// The actual size in bytes.
        actual: usize,
    },
    /// This many bytes follow the last record.
    TrailingBytes(usize),
    /// A field of this many bytes extends past the end of the frame.
    FieldPastEnd(usize),
    /// A list of this many entries extends past the end of the frame.
    ListPastEnd(usize),
    /// The slot of an endpoint list is not below [`LIST_SLOTS`].
    InvalidListSlot(u8),
    /// An unknown record code.
    UnknownRecord(u8),
    /// An unknown list kind code.
    UnknownListKind(u8),
    /// An unknown backend state code.
    UnknownBackendState(u8),
    /// An unknown outcome code.
    UnknownOutcome(u16),
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("malformed frame: ")?;
        match self {
            FrameError::InputEnded => f.write_str("the input ends inside the frame body"),
            FrameError::SizeBelowHeader(size) => {
                write!(
                    f,
                    "the declared size of {size} bytes is below the header size of {BATCH_HEADER_SIZE} bytes"
                )
            }
            FrameError::TooManyRecords { record_count, body } => {
                write!(f, "{record_count} records cannot fit in a body of {body} bytes")
            }
            FrameError::InvalidClock => f.write_str("the clock is not a finite number"),
            FrameError::SizeMismatch { declared, actual } => {
                write!(f, "the declared size is {declared} bytes, but the frame has {actual} bytes")
            }
            FrameError::TrailingBytes(bytes) => write!(f, "{bytes} unexpected bytes after the last record"),
            FrameError::FieldPastEnd(bytes) => {
                write!(f, "a field of {bytes} bytes extends past the end of the frame")
            }
            FrameError::ListPastEnd(entries) => {
                write!(f, "an endpoint list of {entries} entries extends past the end of the frame")
            }
            FrameError::InvalidListSlot(slot) => {
                write!(f, "endpoint list slot {slot} is out of range: there are {LIST_SLOTS} slots")
            }
            FrameError::UnknownRecord(code) => write!(f, "unknown record code {code}"),
            FrameError::UnknownListKind(code) => write!(f, "unknown list kind code {code}"),
            FrameError::UnknownBackendState(code) => write!(f, "unknown backend state code {code}"),
            FrameError::UnknownOutcome(code) => write!(f, "unknown outcome code {code}"),
        }
    }
}

impl Error for FrameError {}
