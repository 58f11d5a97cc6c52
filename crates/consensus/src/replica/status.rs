//! What a replica says of itself: its state, its role and the members that it knows of.

use super::{replica_slot, Replica};
use crate::state::State;
use crate::storage::ReplicaStorage;
use raft::StateRole;

impl<D: ReplicaStorage> Replica<D> {
    /// The state, as this replica has applied it.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// The index of the last entry that was applied.
    pub fn applied_index(&self) -> u64 {
        self.applied_index
    }

    /// Whether this replica believes that it leads.
    pub fn is_leader(&self) -> bool {
        self.raft.as_ref().is_some_and(|node| node.raft.state == StateRole::Leader)
    }

    /// The slot of the leader that this replica knows of.
    pub fn leader(&self) -> Option<usize> {
        let leader_id = self.raft.as_ref()?.raft.leader_id;
        (leader_id != raft::INVALID_ID).then(|| replica_slot(leader_id))
    }

    /// The id of this replica's storage.
    pub fn id(&self) -> u64 {
        self.persistent.id
    }

    /// The ids of the members that vote.
    pub fn voters(&self) -> Vec<u64> {
        self.raft.as_ref().map_or(Vec::new(), |node| node.store().members().voters.clone())
    }

    /// Whether members are being changed. Until that is over, the loss of one more may end the quorum.
    pub fn changes_members(&self) -> bool {
        self.raft.as_ref().is_some_and(|node| {
            let members = node.store().members();
            !members.voters_outgoing.is_empty() || !members.learners.is_empty()
        })
    }

    /// The number of voters that the leader has heard from recently, itself included; `None` on all other replicas.
    pub fn active_voters(&self) -> Option<usize> {
        let node = self.raft.as_ref().filter(|node| node.raft.state == StateRole::Leader)?;
        let is_recently_active =
            |id: u64| node.raft.prs().get(id).is_some_and(|progress| progress.recent_active);
        let own_id = self.persistent.id;
        let voters = node.store().members().voters.iter();
        Some(voters.filter(|id| **id == own_id || is_recently_active(**id)).count())
    }

    /// Why this replica has stopped, if it has.
    pub fn halt_reason(&self) -> Option<&str> {
        self.halt_reason.as_deref()
    }
}
