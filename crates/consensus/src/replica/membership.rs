//! The handshake of replicas. After each start a replica announces itself with the number of its starts, and
//! sends raft messages only once a majority has acknowledged that start. The other replicas remember that
//! number, so they detect a storage that was restored from a backup; its replica then rejoins under a new id.
//! If all replicas are new they bootstrap a fleet; a new replica among others joins their fleet.

use super::{replica_slot, MembershipMessage, Replica, ReplicaEvent, ReplicaMessage};
use crate::log::RaftLog;
use crate::state::State;
use crate::storage::{PersistentState, ReplicaStorage, WriteBatch};
use hillstall_lease::Millis;
use rand_xoshiro::rand_core::RngCore;

/// The time between two announcements of a replica that is not an acknowledged voter yet.
const ANNOUNCE_INTERVAL_MS: Millis = 200;
/// An announcement or a request to join is ignored once it is older than this.
pub(super) const ANNOUNCEMENT_TTL_MS: Millis = 2_000;

/// The last accepted announcement of another replica.
pub(super) struct KnownPeer {
    id: u64,
    incarnation: u64,
    boot: u64,
    founders: Vec<u64>,
    announced_at: Millis,
}

impl<D: ReplicaStorage> Replica<D> {
    /// Whether a majority, this replica included, knows of this start. Only then may this replica run the
    /// raft protocol.
    pub(super) fn is_start_acknowledged(&self) -> bool {
        let needed_from_others = self.slots / 2;
        self.acknowledged_by.len() >= needed_from_others
    }

    /// Whether this replica is a voter, by the members that it knows.
    fn is_voter(&self) -> bool {
        let id = self.persistent.id;
        self.raft.as_ref().is_some_and(|node| node.store().members().voters.contains(&id))
    }

    fn other_slots(&self) -> impl Iterator<Item = usize> + use<D> {
        let own_slot = self.slot;
        (0..self.slots).filter(move |slot| *slot != own_slot)
    }

    fn send_membership(&mut self, slot: usize, message: MembershipMessage) {
        self.events.push(ReplicaEvent::Send { slot, message: ReplicaMessage::Membership(message) });
    }

    /// Announces this replica at intervals until it is an acknowledged voter.
    pub(super) fn announce_if_due(&mut self, now: Millis) {
        let takes_part = self.raft.is_some() && self.is_start_acknowledged() && self.is_voter();
        let is_due = self.announced_at.is_none_or(|at| now.saturating_sub(at) >= ANNOUNCE_INTERVAL_MS);
        if !takes_part && is_due {
            self.announced_at = Some(now);
            self.announce();
            // A fleet of one replica receives no announcement that would trigger the bootstrap.
            if self.slots == 1 {
                self.bootstrap_or_join(now);
            }
        }
    }

    /// Announces this replica to all others, and requests to join if it runs the raft protocol but is no
    /// voter.
    fn announce(&mut self) {
        let joins = self.raft.is_some() && self.is_start_acknowledged() && !self.is_voter();
        for slot in self.other_slots() {
            self.send_membership(slot, self.announcement());
            if joins {
                self.send_membership(slot, MembershipMessage::Join { id: self.persistent.id });
            }
        }
    }

    fn announcement(&self) -> MembershipMessage {
        let PersistentState { id, boot, founders, .. } = &self.persistent;
        MembershipMessage::Announce {
            id: *id,
            boot: *boot,
            incarnation: self.incarnation,
            founders: founders.clone(),
        }
    }

    /// Handles a message of the handshake. Messages for an earlier start, or on behalf of another slot, are
    /// ignored.
    pub(super) fn on_membership_message(&mut self, now: Millis, slot: usize, message: &MembershipMessage) {
        match message {
            MembershipMessage::Announce { id, boot, incarnation, founders } if replica_slot(*id) == slot => {
                let peer = KnownPeer {
                    id: *id,
                    incarnation: *incarnation,
                    boot: *boot,
                    founders: founders.clone(),
                    announced_at: now,
                };
                self.on_announcement(now, slot, peer);
            }
            MembershipMessage::Acknowledge { incarnation } if *incarnation == self.incarnation => {
                if !self.acknowledged_by.contains(&slot) {
                    self.acknowledged_by.push(slot);
                }
                self.bootstrap_or_join(now);
            }
            MembershipMessage::Outdated { incarnation } if *incarnation == self.incarnation => {
                self.reset_storage();
            }
            MembershipMessage::Join { id } if replica_slot(*id) == slot => {
                self.join_requests.insert(*id, now);
            }
            _ => {}
        }
    }

    /// Handles the announcement of another replica: acknowledges it, or rejects it if a newer start is known.
    fn on_announcement(&mut self, now: Millis, slot: usize, peer: KnownPeer) {
        let KnownPeer { id, boot, incarnation, .. } = peer;
        let known_boot = self.persistent.known_boots.get(&id).copied().unwrap_or(0);
        let is_newer = boot > known_boot;
        if !is_newer && !self.may_be_latest_start(slot, &peer, known_boot) {
            return self.send_membership(slot, MembershipMessage::Outdated { incarnation });
        }
        let known_boots = [(id, boot)].into();
        if is_newer && !self.save(WriteBatch { known_boots, ..WriteBatch::default() }) {
            return;
        }
        // A new replica learns by an announcement that there is a fleet, and who its founders are. If this
        // replica is new as well, no answer is needed, as both announce themselves at intervals anyway.
        let needs_founders = peer.founders.is_empty() && !self.persistent.founders.is_empty();
        self.known_peers.insert(slot, peer);
        self.send_membership(slot, MembershipMessage::Acknowledge { incarnation });
        if needs_founders {
            self.send_membership(slot, self.announcement());
        }
        self.bootstrap_or_join(now);
    }

    /// Whether an announcement that is not of a newer start may be of the known start, so that it is merely
    /// repeated.
    fn may_be_latest_start(&self, slot: usize, peer: &KnownPeer, known_boot: u64) -> bool {
        match self.known_peers.get(&slot) {
            Some(known) => known.id == peer.id && known.incarnation == peer.incarnation,
            // Incarnations are not stored: after a restart of this replica, an equal boot number may be the
            // same start.
            None => peer.boot == known_boot,
        }
    }

    /// Resets the storage, which lacks data that this replica has confirmed, so that the replica rejoins as a
    /// new member.
    pub(super) fn reset_storage(&mut self) {
        self.log(
            "the storage is older than what this replica has confirmed; \
             the replica resets it and rejoins as a new member"
                .into(),
        );
        self.raft = None;
        self.acknowledged_by.clear();
        match self.storage.reset() {
            Ok(persistent) => {
                self.persistent = persistent;
                self.announced_at = None;
                self.incarnation = self.random.next_u64();
                self.save(WriteBatch { boot: Some(1), ..WriteBatch::default() });
            }
            Err(error) => self.on_storage_failure(&error),
        }
    }

    /// Starts the raft node of a replica whose storage is new: the replica bootstraps a fleet if all others
    /// are new, too, or joins the fleet of the others.
    fn bootstrap_or_join(&mut self, now: Millis) {
        if self.raft.is_some() || self.persistent.participates || !self.is_start_acknowledged() {
            return;
        }
        let Some((mut log, founders)) = self.initial_log(now) else { return };
        let batch = WriteBatch { participates: Some(true), founders: Some(founders), ..log.take_unsaved() };
        if self.save(batch) {
            self.start_raft(log);
            self.announce();
        }
    }

    /// The log for a new storage, and the founders of the fleet; `None` if announcements of other replicas
    /// are missing.
    fn initial_log(&self, now: Millis) -> Option<(RaftLog, Vec<u64>)> {
        let bootstrapped_peer = self.known_peers.values().find(|peer| !peer.founders.is_empty());
        if let Some(founders) = bootstrapped_peer.map(|peer| peer.founders.clone()) {
            // The others may have bootstrapped the fleet with this replica before it had all announcements.
            let is_founder = founders.contains(&self.persistent.id);
            let log =
                if is_founder { RaftLog::bootstrapped(&founders, initial_state()) } else { RaftLog::empty() };
            return Some((log, founders));
        }
        let is_recent =
            |peer: &&KnownPeer| now.saturating_sub(peer.announced_at) < ANNOUNCEMENT_TTL_MS && peer.boot > 0;
        let recent_peers = self.known_peers.values().filter(is_recent).count();
        if recent_peers + 1 != self.slots {
            return None;
        }
        let mut founders: Vec<u64> = self.known_peers.values().map(|peer| peer.id).collect();
        founders.push(self.persistent.id);
        founders.sort_unstable();
        Some((RaftLog::bootstrapped(&founders, initial_state()), founders))
    }
}

/// The encoded state of a new fleet.
fn initial_state() -> Vec<u8> {
    State::default().to_bytes()
}
