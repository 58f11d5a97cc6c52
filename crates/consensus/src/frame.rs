//! What instances send each other: frames, each with the version of the encoding. A frame is encoded by `postcard`, so the
//! order of variants and fields must not change.

use crate::load_reports::LoadReport;
use crate::replica::ReplicaMessage;
use crate::state::{Outcome, Proposal, ProposalId};
use hillstall_lease::fencing::FencedCommand;
use hillstall_lease::table::LeaseRecord;
use hillstall_lease::{Instance, LeaseName};
use hillstall_maintenance::TrafficFraction;
use serde::{Deserialize, Serialize};

/// The version of the encoding. A frame of another version is ignored.
pub const FRAME_VERSION: u8 = 1;
/// The most bytes of a frame: enough for the largest state.
pub const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;

/// What a follower receives of an entry that was applied.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum StreamItem {
    /// The proposal itself, which the follower applies in turn.
    Command(Proposal),
    /// A lease as it is now, in place of the many commands about it, most of which are heartbeats.
    Lease {
        /// The lease's name.
        lease: LeaseName,
        /// Its holder and candidates.
        record: LeaseRecord,
    },
}

/// A frame.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// The first frame on each connection, from the instance that opens it.
    Hello {
        /// The fleet's name: instances of different fleets exchange nothing.
        fleet: String,
        /// The sender.
        instance: Instance,
        /// The sender's slot, if it is a replica.
        replica: Option<usize>,
    },
    /// A message from one replica to another.
    Replica(ReplicaMessage),
    /// A follower's proposal.
    Propose(Proposal),
    /// The outcome of a proposal.
    Answer {
        /// The proposal.
        id: ProposalId,
        /// The outcome of its command.
        outcome: Outcome,
    },
    /// A follower requests a linearizable read.
    Read {
        /// The read's number at the follower.
        number: u64,
    },
    /// The answer to a read: a state of this index is at least as new as the request.
    ReadIndex {
        /// The read's number at the follower.
        number: u64,
        /// The index that the follower's state must reach.
        index: u64,
    },
    /// The whole encoded state: the stream begins, or begins anew for a follower that is too far behind.
    State(Vec<u8>),
    /// The next item of the stream.
    Applied {
        /// The index of the item before it.
        previous_index: u64,
        /// The index of its entry.
        index: u64,
        /// The item.
        item: StreamItem,
    },
    /// A follower acknowledges the stream up to this index; 0 asks for the whole state.
    Ack(u64),
    /// A sign of life with the index of the last item that was sent, or 0 if some are still to be sent.
    Heartbeat(u64),
    /// A fenced command, on its way to all instances.
    FencedCommand(FencedCommand<TrafficFraction>),
    /// A follower's load report.
    Report(LoadReport),
    /// The recent load reports of a replica and its followers.
    Reports {
        /// The replica's system clock, in Unix milliseconds.
        unix: u64,
        /// The reports.
        reports: Vec<LoadReport>,
    },
}

/// Bytes that are not a frame of this version.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The frame is of another version.
    #[error("a frame of version {0}, not {FRAME_VERSION}")]
    Version(u8),
    /// There are no bytes.
    #[error("no frame: it is empty")]
    Empty,
    /// The bytes after the version can't be decoded.
    #[error("no frame: {0}")]
    Malformed(#[source] postcard::Error),
}

impl Frame {
    /// Encodes the frame, with the version first.
    pub fn encode(&self) -> Vec<u8> {
        // Only a full writer can fail, and this one grows.
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
