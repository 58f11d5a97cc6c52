//! Snapshots: the log is compacted into a snapshot at intervals, and a snapshot that was lost on the way to a
//! member is sent again.

use super::Replica;
use crate::storage::ReplicaStorage;
use hillstall_lease::Millis;
use raft::{ProgressState, SnapshotStatus, StateRole};

/// A snapshot is made after this many entries were applied since the last one.
const SNAPSHOT_INTERVAL_ENTRIES: u64 = 256;
/// The number of entries before a snapshot that stay in the log, so that members that lag a little need no
/// snapshot.
const ENTRIES_BEFORE_SNAPSHOT: u64 = 64;
/// A snapshot that has been in flight for this long is considered lost.
const SNAPSHOT_TIMEOUT_MS: Millis = 1_000;

impl<D: ReplicaStorage> Replica<D> {
    /// Reports lost snapshots to the raft crate, which then sends them again. Without a report it would wait
    /// for ever, and send the receivers no entries.
    pub(super) fn resend_lost_snapshots(&mut self, now: Millis) {
        let Some(node) = self.raft.as_mut().filter(|node| node.raft.state == StateRole::Leader) else {
            return self.snapshots_in_flight.clear();
        };
        let progress = node.raft.prs().iter();
        let receivers: Vec<u64> = progress
            .filter(|(_, progress)| progress.state == ProgressState::Snapshot)
            .map(|(id, _)| *id)
            .collect();
        self.snapshots_in_flight.retain(|id, _| receivers.contains(id));
        for id in receivers {
            let first_seen_at = *self.snapshots_in_flight.entry(id).or_insert(now);
            if now.saturating_sub(first_seen_at) >= SNAPSHOT_TIMEOUT_MS {
                node.report_snapshot(id, SnapshotStatus::Failure);
                self.snapshots_in_flight.remove(&id);
            }
        }
    }

    /// Makes a snapshot of the state if one is due, and drops the entries that it covers.
    pub(super) fn compact_log(&mut self) {
        let Some(node) = &mut self.raft else { return };
        let (snapshot_index, _) = node.store().snapshot_state();
        let is_due = self.applied_index >= snapshot_index + SNAPSHOT_INTERVAL_ENTRIES;
        // A new member rejects a snapshot without itself among the members, so one is made after each change
        // of members.
        if !self.members_changed && !is_due {
            return;
        }
        self.members_changed = false;
        let state = self.state.to_bytes();
        let log = node.mut_store();
        log.compact(self.applied_index, state, ENTRIES_BEFORE_SNAPSHOT);
        let batch = log.take_unsaved();
        self.save(batch);
    }
}
