//! How the leader adds the replicas that request to join: each first becomes a learner, and a voter once its
//! log has caught up. A new voter replaces the slot's previous one, which had another storage.

use super::membership::ANNOUNCEMENT_TTL_MS;
use super::{replica_slot, Replica};
use crate::log::RaftLog;
use crate::storage::ReplicaStorage;
use hillstall_lease::Millis;
use raft::eraftpb::{ConfChangeSingle, ConfChangeType, ConfChangeV2, ConfState};
use raft::{RawNode, StateRole};

/// A learner may become a voter if it lacks at most this many of the leader's committed entries.
const MAX_LEARNER_LAG_ENTRIES: u64 = 16;

impl<D: ReplicaStorage> Replica<D> {
    /// Proposes the next change of members, if this replica is the leader and no change is pending.
    pub(super) fn change_members(&mut self, now: Millis) {
        self.join_requests.retain(|_, at| now.saturating_sub(*at) < ANNOUNCEMENT_TTL_MS);
        let Some(node) = &mut self.raft else { return };
        if node.raft.state != StateRole::Leader || node.raft.has_pending_conf() {
            return;
        }
        let members = node.store().members().clone();
        for id in self.join_requests.keys() {
            let Some(changes) = next_changes(node, &members, *id) else { continue };
            let change = ConfChangeV2 { changes: changes.into(), ..ConfChangeV2::default() };
            if node.propose_conf_change(Vec::new(), change).is_ok() {
                return;
            }
        }
    }
}

/// The next changes on the way of a joining replica to a voter; `None` if it is a voter, or a learner that
/// has not caught up.
fn next_changes(node: &RawNode<RaftLog>, members: &ConfState, id: u64) -> Option<Vec<ConfChangeSingle>> {
    let (addition, replaced_members) = if members.learners.contains(&id) {
        if !has_caught_up(node, id) {
            return None;
        }
        (ConfChangeType::AddNode, &members.voters)
    } else if !members.voters.contains(&id) {
        // The slot's previous learner is removed, if its storage was replaced before it became a voter.
        (ConfChangeType::AddLearnerNode, &members.learners)
    } else {
        return None;
    };
    let of_same_slot = replaced_members.iter().filter(|member| replica_slot(**member) == replica_slot(id));
    let mut changes: Vec<_> =
        of_same_slot.map(|member| single_change(ConfChangeType::RemoveNode, *member)).collect();
    changes.push(single_change(addition, id));
    Some(changes)
}

/// Whether a learner lacks few enough of the leader's committed entries to become a voter.
fn has_caught_up(node: &RawNode<RaftLog>, id: u64) -> bool {
    let matched = node.raft.prs().get(id).map_or(0, |progress| progress.matched);
    matched + MAX_LEARNER_LAG_ENTRIES >= node.raft.raft_log.committed
}

fn single_change(change_type: ConfChangeType, id: u64) -> ConfChangeSingle {
    ConfChangeSingle { change_type, node_id: id, ..ConfChangeSingle::default() }
}
