//! One replica of the state, in the consensus of three or five. The `raft` crate decides; this module keeps the promises
//! around it:
//!
//! - nothing is sent before it is in the storage;
//! - a storage that is new, corrupt or older than what it once confirmed does not vote as its predecessor did, but comes
//!   back as a new member;
//! - a replica whose storage fails stops sending.
//!
//! - `message`: what replicas send each other, and the events of a replica;
//! - `membership`: the handshake after a start, and how a fleet is bootstrapped or joined;
//! - `member_changes`: how the leader makes members of replicas that wait;
//! - `ready`: proposals, reads, and what the `raft` crate has ready;
//! - `snapshots`: snapshots that are made, and those that are sent again;
//! - `status`: what a replica says of itself.

mod member_changes;
mod membership;
mod message;
mod ready;
mod snapshots;
mod status;

pub use message::{AppliedProposal, MembershipMessage, ReplicaEvent, ReplicaMessage};

use crate::log::RaftLog;
use crate::state::State;
use crate::storage::{PersistentState, ReplicaStorage, WriteBatch};
use hillstall_lease::Millis;
use membership::KnownPeer;
use raft::{Config, RawNode, StateRole};
use rand_xoshiro::rand_core::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use ready::PendingRead;
use std::collections::BTreeMap;

/// The time between two ticks of the `raft` crate.
const TICK_INTERVAL_MS: Millis = 50;
/// Ticks between two heartbeats of a leader.
const HEARTBEAT_TICKS: usize = 2;
/// The least ticks without a heartbeat after which a replica stands for election; the most are twice as many.
const MIN_ELECTION_TICKS: usize = 10;
/// The most bytes of one message to another replica, not counting its last entry.
const MAX_MESSAGE_BYTES: u64 = 256 * 1024;
/// The most messages in flight to one replica.
const MAX_MESSAGES_IN_FLIGHT: usize = 64;
/// The most bytes of entries that are proposed and not committed.
const MAX_UNCOMMITTED_BYTES: u64 = 4 * MAX_MESSAGE_BYTES;
/// How far a replica's id is shifted to the left by its slot.
const SLOT_SHIFT: u32 = 32;
/// The part of a replica's id that differs from storage to storage.
const RANDOM_ID_MASK: u64 = 0xFFFF_FFFF;

/// The slot of the replica with this id.
pub fn replica_slot(id: u64) -> usize {
    (id >> SLOT_SHIFT) as usize
}

/// The id of a new storage: the slot, and random bits that tell it from all storages the slot had before.
pub fn new_replica_id(slot: usize, random: u64) -> u64 {
    // The raft crate allows no id of zero.
    ((slot as u64) << SLOT_SHIFT) | (random & RANDOM_ID_MASK).max(1)
}

/// One replica of the state, over a storage.
pub struct Replica<D> {
    slot: usize,
    /// The number of slots in the fleet.
    slots: usize,
    storage: D,
    /// What the storage holds; without the log once `raft` is running.
    persistent: PersistentState,
    /// Drawn at each start.
    incarnation: u64,
    random: Xoshiro256PlusPlus,
    /// The `raft` crate's node, once this replica takes part.
    raft: Option<RawNode<RaftLog>>,
    /// The slots that have acknowledged this start.
    acknowledged_by: Vec<usize>,
    known_peers: BTreeMap<usize, KnownPeer>,
    state: State,
    applied_index: u64,
    /// Why this replica has stopped, if it has.
    halt_reason: Option<String>,
    ticked_at: Millis,
    announced_at: Option<Millis>,
    /// The term and role for which the present election timeout was drawn.
    timeout_drawn_for: Option<(u64, StateRole)>,
    election_timeout_ticks: usize,
    /// When each replica that waits to be a member last asked for it, by id.
    join_requests: BTreeMap<u64, Millis>,
    /// When each snapshot in flight was first seen, by the id of its receiver.
    snapshots_in_flight: BTreeMap<u64, Millis>,
    /// Whether the members have changed since the last snapshot.
    members_changed: bool,
    /// When each entry that isn't applied yet was received, by index.
    received_at: BTreeMap<u64, Millis>,
    now: Millis,
    pending_reads: Vec<PendingRead>,
    events: Vec<ReplicaEvent>,
}

impl<D: ReplicaStorage> Replica<D> {
    /// Starts the replica in `slot`, of `slots`, from what the storage holds. `seed` must differ from start to start.
    pub fn start(slot: usize, slots: usize, storage: D, seed: u64, now: Millis) -> Replica<D> {
        let mut random = Xoshiro256PlusPlus::seed_from_u64(seed);
        let incarnation = random.next_u64();
        let mut replica = Replica {
            slot,
            slots,
            storage,
            persistent: PersistentState::default(),
            incarnation,
            random,
            raft: None,
            acknowledged_by: Vec::new(),
            known_peers: BTreeMap::new(),
            state: State::default(),
            applied_index: 0,
            halt_reason: None,
            ticked_at: now,
            announced_at: None,
            timeout_drawn_for: None,
            election_timeout_ticks: MIN_ELECTION_TICKS,
            join_requests: BTreeMap::new(),
            snapshots_in_flight: BTreeMap::new(),
            members_changed: false,
            received_at: BTreeMap::new(),
            now,
            pending_reads: Vec::new(),
            events: Vec::new(),
        };
        replica.load();
        replica
    }

    /// Loads the storage, and resets it if its log is corrupt.
    fn load(&mut self) {
        let mut loaded = self.storage.load();
        if let Ok(persistent) = &loaded {
            let log = persistent.participates.then(|| RaftLog::read(persistent)).transpose();
            if let Err(corrupt) = log {
                self.log(format!("{corrupt}; it comes back as a new member"));
                loaded = self.storage.reset();
            }
        }
        match loaded {
            Ok(persistent) => self.resume(persistent),
            Err(error) => self.halt(error.to_string()),
        }
    }

    /// Counts this start, and takes part again if the storage says so.
    fn resume(&mut self, persistent: PersistentState) {
        self.persistent = persistent;
        let boot = self.persistent.boot + 1;
        self.save(WriteBatch { boot: Some(boot), ..WriteBatch::default() });
        if self.persistent.participates {
            if let Ok(log) = RaftLog::read(&self.persistent) {
                self.start_raft(log);
            }
        }
    }

    /// Writes a batch to the storage. Returns whether that succeeded; if not, this replica halts.
    fn save(&mut self, batch: WriteBatch) -> bool {
        if batch.is_empty() {
            return true;
        }
        // The raft node holds the log in memory; it isn't stored a second time in `persistent`.
        let without_log = WriteBatch {
            boot: batch.boot,
            founders: batch.founders.clone(),
            participates: batch.participates,
            known_boots: batch.known_boots.clone(),
            ..WriteBatch::default()
        };
        match self.storage.save(batch) {
            Ok(()) => {
                without_log.apply(&mut self.persistent);
                true
            }
            Err(error) => {
                self.halt(error.to_string());
                false
            }
        }
    }

    fn log(&mut self, line: String) {
        self.events.push(ReplicaEvent::Log(line));
    }

    /// Stops this replica until it is started again.
    fn halt(&mut self, reason: String) {
        self.log(format!("{reason}; it says nothing more until it is started again"));
        self.raft = None;
        self.halt_reason = Some(reason);
    }

    /// Starts the raft node over a log.
    fn start_raft(&mut self, log: RaftLog) {
        let (snapshot_index, snapshot) = log.snapshot_state();
        let state = if snapshot.is_empty() { Ok(State::default()) } else { State::from_bytes(snapshot) };
        match state {
            Ok(state) => self.state = state,
            Err(error) => return self.halt(format!("the snapshot is of another version: {error}")),
        }
        self.applied_index = snapshot_index;
        let config = raft_config(self.persistent.id, snapshot_index);
        // The log lines of the raft crate are of use only to its developers.
        let discard = slog::Logger::root(slog::Discard, slog::o!());
        match RawNode::new(&config, log, &discard) {
            Ok(raft) => {
                self.raft = Some(raft);
                self.persistent.entries.clear();
                self.events.push(ReplicaEvent::Restored);
                self.draw_election_timeout();
            }
            Err(error) => self.halt(format!("the log can't be used: {error}")),
        }
    }

    /// Draws the election timeout for a new term or role. The raft crate would draw it from its own random source; here it
    /// comes from the seed, so that a run can be replayed.
    fn draw_election_timeout(&mut self) {
        let Some(node) = &mut self.raft else { return };
        let term_and_role = (node.raft.term, node.raft.state);
        if self.timeout_drawn_for != Some(term_and_role) {
            self.timeout_drawn_for = Some(term_and_role);
            let extra_ticks = (self.random.next_u64() % MIN_ELECTION_TICKS as u64) as usize;
            self.election_timeout_ticks = MIN_ELECTION_TICKS + extra_ticks;
        }
        node.raft.set_randomized_election_timeout(self.election_timeout_ticks);
    }

    /// Lets time pass to `now`; [`Replica::flush`] carries out what follows. After a long pause only one tick counts, as
    /// nothing could be received meanwhile.
    pub fn tick(&mut self, now: Millis) {
        self.now = now;
        if self.halt_reason.is_some() {
            return;
        }
        self.announce_if_due(now);
        if now.saturating_sub(self.ticked_at) < TICK_INTERVAL_MS {
            return;
        }
        self.ticked_at = now;
        if !self.is_start_acknowledged() {
            return;
        }
        if let Some(node) = &mut self.raft {
            node.tick();
        }
        self.draw_election_timeout();
        self.change_members(now);
        self.resend_lost_snapshots(now);
    }

    /// Takes a message of the replica in `slot`; [`Replica::flush`] carries out what follows.
    pub fn on_message(&mut self, now: Millis, slot: usize, message: &ReplicaMessage) {
        self.now = now;
        if self.halt_reason.is_some() {
            return;
        }
        match message {
            ReplicaMessage::Membership(message) => self.on_membership_message(now, slot, message),
            ReplicaMessage::Raft(bytes) => self.on_raft_message(bytes),
        }
        self.draw_election_timeout();
    }

    /// Takes the events since the last call, in their order. Messages that wait for [`Replica::flush`] are not among them.
    pub fn take_events(&mut self) -> Vec<ReplicaEvent> {
        std::mem::take(&mut self.events)
    }
}

/// The raft crate's configuration for a replica that has applied the log up to `applied_index`.
fn raft_config(id: u64, applied_index: u64) -> Config {
    Config {
        id,
        election_tick: MIN_ELECTION_TICKS,
        heartbeat_tick: HEARTBEAT_TICKS,
        applied: applied_index,
        max_size_per_msg: MAX_MESSAGE_BYTES,
        max_inflight_msgs: MAX_MESSAGES_IN_FLIGHT,
        check_quorum: true,
        pre_vote: true,
        max_uncommitted_size: MAX_UNCOMMITTED_BYTES,
        ..Config::default()
    }
}
