//! What copies send each other: one frame after another, each with the version of the code that wrote it.

use crate::load_reports::LoadReport;
use crate::replica::ReplicaMessage;
use crate::state::{Outcome, Proposal, ProposalId};
use hillstall_lease::fencing::FencedCommand;
use hillstall_lease::table::LeaseRecord;
use hillstall_lease::{Instance, LeaseName};
use hillstall_maintenance::TrafficFraction;
use serde::{Deserialize, Serialize};

/// The version of these frames. A copy that hears another one passes it over.
pub const VERSION: u8 = 1;
/// Most bytes of a frame: the largest state there can be has room.
pub const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;

/// What a follower is told of something that was applied.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum StreamItem {
    /// The command itself, which acts there as it did here.
    Command(Proposal),
    /// Who holds a duty and stands for it now: of most commands about duties only signs of life are left.
    Lease(LeaseName, LeaseRecord),
}

/// A frame.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// Comes first on each connection: who opens it.
    Hello {
        /// Which fleet: copies of two fleets never talk.
        fleet: String,
        /// Who.
        instance: Instance,
        /// Its slot, if it is a keeper.
        replica: Option<usize>,
    },
    /// Between keepers.
    Replica(ReplicaMessage),
    /// A copy wants something applied.
    Propose(Proposal),
    /// It was.
    Answer {
        /// What was proposed.
        id: ProposalId,
        /// What became of it.
        outcome: Outcome,
    },
    /// A copy wants a true read.
    Read {
        /// Its number there.
        number: u64,
    },
    /// The state was as new as that when it was asked.
    ReadIndex {
        /// The read's number.
        number: u64,
        /// The index to wait for.
        index: u64,
    },
    /// The whole state: the stream begins, or begins anew as it was too far behind.
    State(Vec<u8>),
    /// What was applied next.
    Applied {
        /// The index of what was applied before it.
        after: u64,
        /// Its index.
        index: u64,
        /// What.
        item: StreamItem,
    },
    /// A follower has got that far.
    Ack(u64),
    /// Nothing happens; that is the last that the follower was told of, or 0 if it is not told all yet.
    Heartbeat(u64),
    /// An order, on its way to all copies.
    FencedCommand(FencedCommand<TrafficFraction>),
    /// What a copy has counted.
    Report(LoadReport),
    /// What a keeper has heard of its copies lately, and its clock.
    Reports {
        /// Unix time in milliseconds, as it reads it.
        unix: u64,
        /// The reports.
        reports: Vec<LoadReport>,
    },
}

/// A frame that can't be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// It is of another version.
    #[error("a frame of version {0}, not {VERSION}")]
    Version(u8),
    /// It is no frame.
    #[error("no frame: {0}")]
    Garbled(String),
}

impl Frame {
    /// The bytes.
    pub fn encode(&self) -> Vec<u8> {
        // Only a writer that is full fails, and this one grows.
        postcard::to_extend(self, vec![VERSION]).unwrap_or_default()
    }

    /// The frame of some bytes.
    pub fn decode(bytes: &[u8]) -> Result<Frame, DecodeError> {
        match bytes.split_first() {
            Some((&VERSION, rest)) => {
                postcard::from_bytes(rest).map_err(|why| DecodeError::Garbled(why.to_string()))
            }
            Some((version, _)) => Err(DecodeError::Version(*version)),
            None => Err(DecodeError::Garbled("it is empty".into())),
        }
    }
}
