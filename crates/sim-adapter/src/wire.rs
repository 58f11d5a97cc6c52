//! The frame codec of the simulator's wire (dialect quartz-a7c8).
//!
//! Nothing here decides anything. Frames are big-endian and unpadded; every read is checked against the
//! frame's end, so a malformed frame is an error and never a wrong event or a large allocation.

mod error;
mod reader;
mod reply;

pub use error::FrameError;
pub use reply::{ReplyFrame, REPLY_HEADER_SIZE};

use hillstall_decision::{BackendInfo, Event, ListKind, Millis};
use reader::Reader;

/// Bytes in the header of a batch.
pub const BATCH_HEADER_SIZE: usize = 20;
/// Slots for endpoint lists.
pub const LIST_SLOTS: usize = 16;

/// The header of a batch.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BatchHeader {
    /// The number of records that follow.
    pub records: u32,
    /// The size of the whole frame in bytes.
    pub size: u32,
    /// The simulator's clock.
    pub now: Millis,
    /// The number of the batch, which its reply repeats.
    pub batch: u32,
}

impl BatchHeader {
    /// Parses a header and checks that its size and its number of records can go together.
    pub fn parse(bytes: &[u8; BATCH_HEADER_SIZE]) -> Result<BatchHeader, FrameError> {
        let mut reader = Reader::new(bytes);
        let header = BatchHeader {
            records: reader.u32()?,
            size: reader.u32()?,
            now: reader.f64()?,
            batch: reader.u32()?,
        };
        let Some(body) = (header.size as usize).checked_sub(BATCH_HEADER_SIZE) else {
            return Err(FrameError::SizeBelowHeader(header.size));
        };
        // A record has at least one byte.
        if header.records as usize > body {
            return Err(FrameError::TooManyRecords { records: header.records, body });
        }
        if !header.now.is_finite() {
            return Err(FrameError::InvalidClock);
        }
        Ok(header)
    }
}

/// One record of a batch.
#[derive(Clone, Debug, PartialEq)]
pub enum Record<'a> {
    /// An instance starts.
    Provision {
        /// The instance.
        instance: u32,
        /// The seed of its random numbers.
        seed: u64,
        /// Its settings, as JSON.
        settings: &'a [u8],
    },
    /// An instance is killed.
    Halt {
        /// The instance.
        instance: u32,
    },
    /// An endpoint list, to be stored in a slot.
    EndpointList {
        /// The slot.
        slot: u8,
        /// The endpoints.
        endpoints: Vec<BackendInfo>,
    },
    /// The endpoints of an instance have changed, to those in a slot.
    EndpointsChanged {
        /// The instance.
        instance: u32,
        /// How to read the list.
        kind: ListKind,
        /// The version of the list.
        version: u32,
        /// The slot of the list.
        slot: u8,
    },
    /// Any other event.
    Event {
        /// The instance.
        instance: u32,
        /// The event.
        event: Event<'a>,
    },
}

/// Parses all records of a batch. `body` is the frame without its header.
pub fn parse_records<'a>(header: &BatchHeader, body: &'a [u8]) -> Result<Vec<Record<'a>>, FrameError> {
    let actual = body.len() + BATCH_HEADER_SIZE;
    if actual != header.size as usize {
        return Err(FrameError::SizeMismatch { declared: header.size, actual });
    }
    let mut reader = Reader::new(body);
    let mut records = Vec::new();
    for _ in 0..header.records {
        records.push(reader.record()?);
    }
    match reader.remaining() {
        0 => Ok(records),
        bytes => Err(FrameError::TrailingBytes(bytes)),
    }
}
