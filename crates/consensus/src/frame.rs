//! The messages between instances: frames, each with the version of the encoding. Frames are encoded by
//! `postcard`, which writes no names: variants and fields may be renamed, but their order and types must not
//! change.

use crate::load_reports::LoadReport;
use crate::replica::ReplicaMessage;
use crate::state::{Outcome, Proposal, ProposalId};
use hillstall_lease::fencing::FencedCommand;
use hillstall_lease::table::LeaseRecord;
use hillstall_lease::{Instance, LeaseName};
use hillstall_maintenance::TrafficFraction;
use serde::{Deserialize, Serialize};

/// The version of the encoding, which is the first byte of a frame. Frames of other versions are rejected.
pub const FRAME_VERSION: u8 = 1;
/// The maximum size of a frame, which is enough for the largest state.
pub const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;

/// An applied log entry in the form in which followers receive it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum StreamItem {
    /// The proposal itself, which the follower applies to its state.
    Command(Proposal),
    /// The resulting record of a lease, instead of a lease command: most of these commands are heartbeats and
    /// renewals, which are not sent.
    Lease {
        /// The name of the changed lease.
        lease: LeaseName,
        /// The lease's holder and candidates after the command.
        record: LeaseRecord,
    },
}

/// A message from one instance to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// The first frame on each connection, from the instance that opens it.
    Hello {
        /// The name of the sender's fleet. Instances of different fleets do not communicate.
        fleet: String,
        /// The identity of the sender.
        instance: Instance,
        /// The sender's replica slot; `None` for a follower.
        replica: Option<usize>,
    },
    /// A message from one replica to another.
    Replica(ReplicaMessage),
    /// A proposal of a follower, or a retry of it.
    Propose(Proposal),
    /// A replica returns the outcome of a follower's proposal.
    Answer {
        /// The id of the proposal.
        id: ProposalId,
        /// The outcome of the proposal's command.
        outcome: Outcome,
    },
    /// A follower requests a linearizable read.
    Read {
        /// The read's number at the follower.
        number: u64,
    },
    /// A replica answers a read. A state at this index is at least as new as the committed state at the
    /// request.
    ReadIndex {
        /// The read's number at the follower.
        number: u64,
        /// The index that the follower's state must reach.
        index: u64,
    },
    /// The whole encoded state, with which the stream to a follower starts, or restarts after the follower
    /// has missed an item.
    State(Vec<u8>),
    /// The next item of the stream to a follower.
    Applied {
        /// The index of the previous item, which the follower must have.
        previous_index: u64,
        /// The index of the item's log entry.
        index: u64,
        /// The change to apply.
        item: StreamItem,
    },
    /// A follower acknowledges the stream up to this index; 0 requests the whole state.
    Ack(u64),
    /// A replica shows a follower that it is alive and has sent all items up to this index; 0 if some are
    /// still to be sent.
    Heartbeat(u64),
    /// A fenced command of a lease holder, which replicas relay to their followers.
    FencedCommand(FencedCommand<TrafficFraction>),
    /// A follower's load report.
    Report(LoadReport),
    /// A replica's system clock, and the recent load reports of the replica and its followers, for the other
    /// replicas.
    Reports {
        /// The replica's system clock, in Unix milliseconds.
        unix: u64,
        /// The reports, each with its age at the sending.
        reports: Vec<LoadReport>,
    },
}

/// Why bytes are not a frame of this version.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The frame is of this other version.
    #[error("frame has version {0}, expected {FRAME_VERSION}")]
    Version(u8),
    /// There are no bytes.
    #[error("frame is empty")]
    Empty,
    /// The bytes after the version can't be decoded.
    #[error("frame is malformed: {0}")]
    Malformed(#[source] postcard::Error),
}

impl Frame {
    /// Encodes the frame, with the version first.
    pub fn encode(&self) -> Vec<u8> {
        // Encoding fails only if the writer is full, and a vector grows.
        postcard::to_extend(self, vec![FRAME_VERSION]).unwrap_or_default()
    }

    /// Decodes a frame.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are empty, of another version, or malformed.
    pub fn decode(bytes: &[u8]) -> Result<Frame, DecodeError> {
        match bytes.split_first() {
            Some((&FRAME_VERSION, rest)) => postcard::from_bytes(rest).map_err(DecodeError::Malformed),
            Some((version, _)) => Err(DecodeError::Version(*version)),
            None => Err(DecodeError::Empty),
        }
    }
}
