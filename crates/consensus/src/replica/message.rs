//! The messages between replicas, and the events of a replica. Messages are encoded by `postcard`, which
//! writes no names: variants and fields may be renamed, but their order and types must not change.

use crate::state::{Outcome, Proposal};
use hillstall_lease::table::LeaseRecord;
use hillstall_lease::Millis;
use serde::{Deserialize, Serialize};

/// A message of the handshake after a start, which is not part of the raft protocol.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MembershipMessage {
    /// Announces a start of the sender.
    Announce {
        /// The sender's [`PersistentState::id`](crate::storage::PersistentState::id).
        id: u64,
        /// The sender's [`PersistentState::boot`](crate::storage::PersistentState::boot).
        boot: u64,
        /// Drawn at each start, as a storage that was restored from a backup may reach the same `boot` again.
        incarnation: u64,
        /// The sender's [`PersistentState::founders`](crate::storage::PersistentState::founders).
        founders: Vec<u64>,
    },
    /// Acknowledges an announcement: that start is the newest known, and the sender has stored its number.
    Acknowledge {
        /// The incarnation in the announcement.
        incarnation: u64,
    },
    /// Rejects an announcement: a newer start with that storage is known, so the storage was restored from a
    /// backup.
    Outdated {
        /// The incarnation in the announcement.
        incarnation: u64,
    },
    /// Requests the leader to add the sender to the members.
    Join {
        /// The sender's [`PersistentState::id`](crate::storage::PersistentState::id).
        id: u64,
    },
}

/// A message from one replica to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReplicaMessage {
    /// A message of the handshake after a start.
    Membership(MembershipMessage),
    /// A message of the raft protocol, as the `raft` crate encodes it.
    Raft(Vec<u8>),
}

/// A proposal that was applied.
#[derive(Clone, Debug, PartialEq)]
pub struct AppliedProposal {
    /// The index of the proposal's log entry.
    pub index: u64,
    /// The proposal in that entry, whichever instance made it.
    pub proposal: Proposal,
    /// The outcome of the proposal's command.
    pub outcome: Outcome,
    /// The lease's record right after a lease command; `None` for other commands. The current record in the
    /// state may already contain later changes, which followers must not receive with this index.
    pub lease_record: Option<LeaseRecord>,
    /// When this replica received the entry, by its monotonic clock.
    pub received_at: Millis,
}

/// An event of a replica, for the [`Node`](crate::node::Node) that runs it.
#[derive(Clone, Debug, PartialEq)]
pub enum ReplicaEvent {
    /// A message has to be sent to another replica.
    Send {
        /// The receiver's slot.
        slot: usize,
        /// The message, which may be lost on the way.
        message: ReplicaMessage,
    },
    /// A proposal was applied to the state.
    Applied(AppliedProposal),
    /// The whole state was replaced, by that of a snapshot.
    Restored,
    /// A linearizable read is ready: the state is at least as new as the committed state at the time of the
    /// request.
    ReadReady {
        /// The number under which the read was requested.
        number: u64,
    },
    /// A line for the log.
    Log(String),
}
