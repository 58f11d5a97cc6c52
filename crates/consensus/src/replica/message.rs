//! What replicas send each other, and the events of a replica. The messages are encoded by `postcard`, so the order of
//! variants and fields must not change.

use crate::state::{Outcome, Proposal};
use hillstall_lease::table::LeaseRecord;
use hillstall_lease::Millis;
use serde::{Deserialize, Serialize};

/// A message about who takes part, outside of the raft protocol.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MembershipMessage {
    /// Says who the sender is, and what its storage holds.
    Announce {
        /// The sender's [`PersistentState::id`](crate::storage::PersistentState::id).
        id: u64,
        /// The sender's [`PersistentState::boot`](crate::storage::PersistentState::boot).
        boot: u64,
        /// Drawn at each start: a storage that was put back from a backup may count the same start again.
        incarnation: u64,
        /// The sender's [`PersistentState::founders`](crate::storage::PersistentState::founders).
        founders: Vec<u64>,
    },
    /// Acknowledges an announcement: that start is the newest known, and the sender remembers it.
    Acknowledge {
        /// The incarnation that was announced.
        incarnation: u64,
    },
    /// Rejects an announcement: a newer start from that storage is known, so the storage was put back from a backup.
    Outdated {
        /// The incarnation that was announced.
        incarnation: u64,
    },
    /// Asks to be made a member.
    Join {
        /// The sender's id.
        id: u64,
    },
}

/// A message from one replica to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReplicaMessage {
    /// A message about who takes part.
    Membership(MembershipMessage),
    /// A message of the raft protocol, as the `raft` crate encodes it.
    Raft(Vec<u8>),
}

/// A proposal that was applied.
#[derive(Clone, Debug, PartialEq)]
pub struct AppliedProposal {
    /// The index of its entry in the log.
    pub index: u64,
    /// The proposal.
    pub proposal: Proposal,
    /// The outcome of its command.
    pub outcome: Outcome,
    /// The lease as it was right after, for a command about one. Followers must not learn of later changes before it.
    pub lease_record: Option<LeaseRecord>,
    /// When the entry reached this replica.
    pub received_at: Millis,
}

/// An event of a replica, for the [`Node`](crate::node::Node) that runs it.
#[derive(Clone, Debug, PartialEq)]
pub enum ReplicaEvent {
    /// A message is to be sent to another replica.
    Send {
        /// The receiver's slot.
        slot: usize,
        /// The message.
        message: ReplicaMessage,
    },
    /// A proposal was applied.
    Applied(AppliedProposal),
    /// The state was replaced as a whole.
    Restored,
    /// A linearizable read is answered: the state is at least as new as it was when the read was requested.
    ReadReady {
        /// The number under which the read was requested.
        number: u64,
    },
    /// A line for the log.
    Log(String),
}
