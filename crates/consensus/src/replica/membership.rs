//! The handshake of replicas. After each start a replica announces itself, and takes part once a majority knows of the
//! start. So a storage that was put back from a backup is found out, and comes back under a new id. Replicas that are all
//! new bootstrap a fleet; one that is new alone joins the fleet there is.

use super::{replica_slot, MembershipMessage, Replica, ReplicaEvent, ReplicaMessage};
use crate::log::RaftLog;
use crate::state::State;
use crate::storage::{PersistentState, ReplicaStorage, WriteBatch};
use hillstall_lease::Millis;
use rand_xoshiro::rand_core::RngCore;

/// How often a replica that does not take part yet announces itself.
const ANNOUNCE_INTERVAL_MS: Millis = 200;
/// An announcement or a request to join counts for this long.
pub(super) const ANNOUNCEMENT_TTL_MS: Millis = 2_000;

/// What another replica has announced.
pub(super) struct KnownPeer {
    id: u64,
    incarnation: u64,
    boot: u64,
    founders: Vec<u64>,
    announced_at: Millis,
}

impl<D: ReplicaStorage> Replica<D> {
    /// Whether a majority, this replica included, knows of this start. Only then may it send raft messages.
    pub(super) fn is_start_acknowledged(&self) -> bool {
        let needed = self.slots / 2;
        self.acknowledged_by.len() >= needed
    }

    /// Whether this replica votes, as far as it knows.
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

    /// Announces this replica again and again until it takes part as a voter.
    pub(super) fn announce_if_due(&mut self, now: Millis) {
        let takes_part = self.raft.is_some() && self.is_start_acknowledged() && self.is_voter();
        let is_due = self.announced_at.is_none_or(|at| now.saturating_sub(at) >= ANNOUNCE_INTERVAL_MS);
        if !takes_part && is_due {
            self.announced_at = Some(now);
            self.announce();
            // Nobody else's announcement will ever start a fleet of one.
            if self.slots == 1 {
                self.bootstrap_or_join(now);
            }
        }
    }

    /// Announces this replica to all others, and asks to join if it runs and is no voter.
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

    /// Takes a message about who takes part.
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

    /// Takes the announcement of another replica, and acknowledges it unless a newer start is known.
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
        // A new replica must learn of the founders. Two that are new announce themselves to each other anyway.
        let needs_founders = peer.founders.is_empty() && !self.persistent.founders.is_empty();
        self.known_peers.insert(slot, peer);
        self.send_membership(slot, MembershipMessage::Acknowledge { incarnation });
        if needs_founders {
            self.send_membership(slot, self.announcement());
        }
        self.bootstrap_or_join(now);
    }

    /// Whether a start that is not newer than the known one may be that one.
    fn may_be_latest_start(&self, slot: usize, peer: &KnownPeer, known_boot: u64) -> bool {
        match self.known_peers.get(&slot) {
            Some(known) => known.id == peer.id && known.incarnation == peer.incarnation,
            // Incarnations aren't stored: after a start of our own, the same boot may be the same start.
            None => peer.boot == known_boot,
        }
    }

    /// Gives up a storage that has confirmed more than it holds now, and comes back as a new member.
    pub(super) fn reset_storage(&mut self) {
        self.log("the disk is older than its word; it comes back as a new member".into());
        self.raft = None;
        self.acknowledged_by.clear();
        match self.storage.reset() {
            Ok(persistent) => {
                self.persistent = persistent;
                self.announced_at = None;
                self.incarnation = self.random.next_u64();
                self.save(WriteBatch { boot: Some(1), ..WriteBatch::default() });
            }
            Err(error) => self.halt(error.to_string()),
        }
    }

    /// Starts a replica whose storage is new: it bootstraps the fleet with the others if all of them are new, or joins.
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

    /// The log to begin with, and the founders; `None` if this replica has to wait for the others.
    fn initial_log(&self, now: Millis) -> Option<(RaftLog, Vec<u64>)> {
        let bootstrapped_peer = self.known_peers.values().find(|peer| !peer.founders.is_empty());
        if let Some(founders) = bootstrapped_peer.map(|peer| peer.founders.clone()) {
            // A founder that was counted when the fleet was bootstrapped, and has not taken part yet, starts as one.
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

/// The state that a fleet begins with.
fn initial_state() -> Vec<u8> {
    State::default().to_bytes()
}
