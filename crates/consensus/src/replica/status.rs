//! The state, role and members of a replica, for its owner.

use super::{replica_slot, Replica};
use crate::state::State;
use crate::storage::ReplicaStorage;
use raft::StateRole;

impl<D: ReplicaStorage> Replica<D> {
    /// The state after all entries that this replica has applied; see [`Replica::applied_index`].
    pub fn state(&self) -> &State {
        &self.state
    }

    /// The index of the last log entry that was applied, or of the snapshot that was restored.
    pub fn applied_index(&self) -> u64 {
        self.applied_index
    }

    /// Whether this replica believes that it is the leader. Another replica may already lead in a later term.
    pub fn is_leader(&self) -> bool {
        self.raft.as_ref().is_some_and(|node| node.raft.state == StateRole::Leader)
    }

    /// The slot of the leader that this replica knows of, which may be itself; `None` if it knows of none.
    pub fn leader(&self) -> Option<usize> {
        let leader_id = self.raft.as_ref()?.raft.leader_id;
        (leader_id != raft::INVALID_ID).then(|| replica_slot(leader_id))
    }

    /// The Raft id of this replica, which belongs to its storage; see [`PersistentState::id`].
    ///
    /// [`PersistentState::id`]: crate::storage::PersistentState::id
    pub fn id(&self) -> u64 {
        self.persistent.id
    }

    /// The ids of the voters; empty if the raft node does not run.
    pub fn voters(&self) -> Vec<u64> {
        self.raft.as_ref().map_or(Vec::new(), |node| node.store().members().voters.clone())
    }

    /// Whether a change of members is in progress. Until it is complete, the loss of one more replica may end
    /// the quorum.
    pub fn changes_members(&self) -> bool {
        self.raft.as_ref().is_some_and(|node| {
            let members = node.store().members();
            !members.voters_outgoing.is_empty() || !members.learners.is_empty()
        })
    }

    /// The number of voters from which the leader has recently received a message, itself included; `None`
    /// unless this replica is the leader.
    pub fn active_voters(&self) -> Option<usize> {
        let node = self.raft.as_ref().filter(|node| node.raft.state == StateRole::Leader)?;
        let is_recently_active =
            |id: u64| node.raft.prs().get(id).is_some_and(|progress| progress.recent_active);
        let own_id = self.persistent.id;
        let voters = node.store().members().voters.iter();
        Some(voters.filter(|id| **id == own_id || is_recently_active(**id)).count())
    }

    /// Why this replica has halted, such as a failure of its storage; `None` while it runs.
    pub fn halt_reason(&self) -> Option<&str> {
        self.halt_reason.as_deref()
    }
}
