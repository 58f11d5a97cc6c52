//! Codec for the frames of the simulator's wire format (dialect quartz-a7c8).
//!
//! Frames are big-endian and unpadded. Every read is checked against the end of the frame, so that a
//! malformed frame results in an error and never in a wrong event or a large allocation.

mod error;
mod reader;
mod reply;

pub use error::FrameError;
pub use reply::{ReplyFrame, REPLY_HEADER_SIZE};

use hillstall_decision::{BackendInfo, Event, ListKind, Millis};
use reader::Reader;

/// Size of a batch header, in bytes.
pub const BATCH_HEADER_SIZE: usize = 20;
/// Number of slots for endpoint lists.
pub const LIST_SLOTS: usize = 16;

/// The header of a batch.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BatchHeader {
    /// The number of records that follow.
    pub record_count: u32,
    /// The size of the whole frame in bytes.
    pub size: u32,
    /// The clock time of the simulator, in milliseconds.
    pub now: Millis,
    /// The number of the batch, which is repeated in its reply.
    pub batch: u32,
}

impl BatchHeader {
    /// Parses a header and checks that its number of records fits its size.
    pub fn parse(bytes: &[u8; BATCH_HEADER_SIZE]) -> Result<BatchHeader, FrameError> {
        let mut reader = Reader::new(bytes);
        let header = BatchHeader {
            record_count: reader.u32()?,
            size: reader.u32()?,
            now: reader.f64()?,
            batch: reader.u32()?,
        };
        let Some(body) = (header.size as usize).checked_sub(BATCH_HEADER_SIZE) else {
            return Err(FrameError::SizeBelowHeader(header.size));
        };
        // A record has at least one byte.
        if header.record_count as usize > body {
            return Err(FrameError::TooManyRecords { record_count: header.record_count, body });
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
    /// Starts an instance.
    Provision {
        /// The number of the instance.
        instance: u32,
        /// The seed of its random number generator.
        seed: u64,
        /// Its settings, as JSON.
        settings: &'a [u8],
    },
    /// Kills an instance.
    Halt {
        /// The number of the instance.
        instance: u32,
    },
    /// Stores an endpoint list in a slot.
    EndpointList {
        /// The slot, below [`LIST_SLOTS`].
        slot: u8,
        /// The entries of the list.
        endpoints: Vec<BackendInfo>,
    },
    /// Delivers the endpoint list in a slot to an instance.
    EndpointsChanged {
        /// The number of the instance.
        instance: u32,
        /// How to interpret the list.
        kind: ListKind,
        /// The version of the list.
        version: u32,
        /// The slot of the list; not valid if `kind` is `Failed`.
        slot: u8,
    },
    /// Delivers an event other than `EndpointsChanged` to an instance.
    Event {
        /// The number of the instance.
        instance: u32,
        /// The event, as the balancer takes it.
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
    for _ in 0..header.record_count {
        records.push(reader.record()?);
    }
    match reader.remaining() {
        0 => Ok(records),
        bytes => Err(FrameError::TrailingBytes(bytes)),
    }
}
