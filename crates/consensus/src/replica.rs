//! One replica of the state. Three or five replicas agree by the Raft protocol, as the `raft` crate
//! implements it. The protocol is safe only under conditions that this module ensures:
//!
//! - everything that a message confirms is stored before the message is sent;
//! - a replica whose storage is new, corrupt or restored from a backup, so that it lacks what it has
//!   confirmed, does not vote under its old id, but rejoins as a new member;
//! - a replica whose storage fails sends nothing more.
//!
//! The submodules:
//!
//! - `message`: the messages between replicas, and the events of a replica;
//! - `membership`: the handshake after a start, and how a fleet is bootstrapped or joined;
//! - `member_changes`: how the leader adds joining replicas to the members;
//! - `ready`: proposals, reads, and the processing of the `raft` crate's `Ready`;
//! - `snapshots`: log compaction, and the resending of lost snapshots;
//! - `status`: the state, role and members of a replica, for its owner.

mod member_changes;
mod membership;
mod message;
mod ready;
mod snapshots;
mod status;

pub use message::{AppliedProposal, MembershipMessage, ReplicaEvent, ReplicaMessage};

use crate::log::RaftLog;
use crate::state::State;
use crate::storage::{PersistentState, ReplicaStorage, ReplicaStorageError, WriteBatch};
use hillstall_lease::Millis;
use membership::KnownPeer;
use raft::{Config, RawNode, StateRole};
use rand_xoshiro::rand_core::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use ready::PendingRead;
use std::collections::BTreeMap;

/// The time between two ticks of the `raft` crate.
const TICK_INTERVAL_MS: Millis = 50;
/// The number of ticks between two heartbeats of a leader.
const HEARTBEAT_TICKS: usize = 2;
/// The minimum election timeout, in ticks; the maximum is below twice as many.
const MIN_ELECTION_TICKS: usize = 10;
/// The maximum size of the entries in one message to another replica; a message with one entry may be larger.
const MAX_MESSAGE_BYTES: u64 = 256 * 1024;
/// The maximum number of unacknowledged messages to one replica.
const MAX_MESSAGES_IN_FLIGHT: usize = 64;
/// The maximum size of all entries that are proposed and not committed.
const MAX_UNCOMMITTED_BYTES: u64 = 4 * MAX_MESSAGE_BYTES;
/// The time between two attempts to load a storage that has failed.
const STORAGE_RETRY_INTERVAL_MS: Millis = 500;
/// The slot is in the bits of a replica's id from this one on; the bits below are random.
const SLOT_SHIFT: u32 = 32;
/// The random bits of a replica's id, which distinguish the storages that a slot has had.
const RANDOM_ID_MASK: u64 = 0xFFFF_FFFF;

/// The slot in a replica's id; see [`new_replica_id`].
pub fn replica_slot(id: u64) -> usize {
    (id >> SLOT_SHIFT) as usize
}

/// The Raft id for a new storage of the replica in `slot`. The lower half of `random` distinguishes it from
/// all storages that the slot has had before.
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
    /// The contents of the storage, but without the log once `raft` is running.
    persistent: PersistentState,
    /// Drawn at each start and at each reset of the storage; identifies this start in the handshake.
    incarnation: u64,
    random: Xoshiro256PlusPlus,
    /// The `raft` crate's node; `None` before the fleet is bootstrapped or joined, and after a halt.
    raft: Option<RawNode<RaftLog>>,
    /// The slots of the replicas that have acknowledged this start.
    acknowledged_by: Vec<usize>,
    /// The last accepted announcement of each other replica, by slot.
    known_peers: BTreeMap<usize, KnownPeer>,
    state: State,
    applied_index: u64,
    /// Why this replica has halted; `None` while it runs.
    halt_reason: Option<String>,
    /// When a replica whose storage has failed loads it again.
    storage_retry_at: Option<Millis>,
    ticked_at: Millis,
    announced_at: Option<Millis>,
    /// The term and role for which `election_timeout_ticks` was drawn.
    timeout_drawn_for: Option<(u64, StateRole)>,
    election_timeout_ticks: usize,
    /// When each replica last requested to join, by its id.
    join_requests: BTreeMap<u64, Millis>,
    /// When the leader first noticed that a snapshot is in flight, by the id of the receiver.
    snapshots_in_flight: BTreeMap<u64, Millis>,
    /// Whether the members have changed since the last snapshot.
    members_changed: bool,
    /// When each entry that is not applied yet was received, by index.
    received_at: BTreeMap<u64, Millis>,
    now: Millis,
    pending_reads: Vec<PendingRead>,
    events: Vec<ReplicaEvent>,
}

impl<D: ReplicaStorage> Replica<D> {
    /// Starts the replica in `slot`, one of `slots`, from the contents of its storage. `seed` must be
    /// different at each start. If the storage can't be read, the replica is halted; see
    /// [`Replica::halt_reason`].
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
            storage_retry_at: None,
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
                self.log(format!("{corrupt}; the replica resets its storage and rejoins as a new member"));
                loaded = self.storage.reset();
            }
        }
        match loaded {
            Ok(persistent) => self.resume(persistent),
            Err(error) => self.on_storage_failure(&error),
        }
    }

    /// Counts this start in the storage, and starts the raft node if this replica took part before.
    fn resume(&mut self, persistent: PersistentState) {
        self.persistent = persistent;
        let boot = self.persistent.boot + 1;
        let is_saved = self.save(WriteBatch { boot: Some(boot), ..WriteBatch::default() });
        if is_saved && self.persistent.participates {
            if let Ok(log) = RaftLog::read(&self.persistent) {
                self.start_raft(log);
            }
        }
    }

    /// Halts this replica until its storage works again.
    fn on_storage_failure(&mut self, error: &ReplicaStorageError) {
        // One line for each run of failures.
        if self.storage_retry_at.is_none() {
            self.log(format!("{error}; the replica is halted until its storage works again"));
        }
        self.raft = None;
        self.halt_reason = Some(error.to_string());
        self.storage_retry_at = Some(self.now + STORAGE_RETRY_INTERVAL_MS);
    }

    /// Starts again from the contents of the storage, as a new process would: what the failed write should have
    /// stored may be there or not, and was told to nobody.
    fn restart_from_storage(&mut self) {
        self.halt_reason = None;
        self.incarnation = self.random.next_u64();
        self.acknowledged_by.clear();
        self.known_peers.clear();
        self.announced_at = None;
        self.timeout_drawn_for = None;
        self.join_requests.clear();
        self.snapshots_in_flight.clear();
        self.members_changed = false;
        self.received_at.clear();
        self.pending_reads.clear();
        self.load();
        if self.halt_reason.is_none() {
            self.storage_retry_at = None;
            self.log("the storage works again; the replica starts from its contents".into());
        }
    }

    /// Writes a batch to the storage. Returns whether that succeeded; if not, this replica halts.
    fn save(&mut self, batch: WriteBatch) -> bool {
        if batch.is_empty() {
            return true;
        }
        // The raft node has the log in memory, so `persistent` needs no second copy.
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
                self.on_storage_failure(&error);
                false
            }
        }
    }

    fn log(&mut self, line: String) {
        self.events.push(ReplicaEvent::Log(line));
    }

    /// Halts this replica: it sends nothing more until it is started again.
    fn halt(&mut self, reason: String) {
        self.log(format!("{reason}; the replica is halted until its process is started again"));
        self.raft = None;
        self.halt_reason = Some(reason);
    }

    /// Starts the raft node with a log, and the state from the log's snapshot.
    fn start_raft(&mut self, log: RaftLog) {
        let (snapshot_index, snapshot) = log.snapshot_state();
        let state = if snapshot.is_empty() { Ok(State::default()) } else { State::from_bytes(snapshot) };
        match state {
            Ok(state) => self.state = state,
            Err(error) => {
                return self.halt(format!("the stored snapshot is not of this version: {error}"));
            }
        }
        self.applied_index = snapshot_index;
        let config = raft_config(self.persistent.id, snapshot_index);
        // The log lines of the raft crate are useful only for its development.
        let discard = slog::Logger::root(slog::Discard, slog::o!());
        match RawNode::new(&config, log, &discard) {
            Ok(raft) => {
                self.raft = Some(raft);
                self.persistent.entries.clear();
                self.events.push(ReplicaEvent::Restored);
                self.draw_election_timeout();
            }
            Err(error) => self.halt(format!("the raft crate rejects the stored log: {error}")),
        }
    }

    /// Draws the election timeout at each new term or role, and sets it. The raft crate would draw it from
    /// its own random source; it is drawn from the seed here, so that a run can be replayed.
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

    /// Advances the time to `now`; [`Replica::flush`] processes the results. After a long pause of the
    /// process only one raft tick is made: a replica must not start an election because it could receive no
    /// heartbeats meanwhile.
    pub fn tick(&mut self, now: Millis) {
        self.now = now;
        if self.storage_retry_at.is_some_and(|retry_at| retry_at <= now) {
            self.restart_from_storage();
        }
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

    /// Handles a message from the replica in `slot`; [`Replica::flush`] processes the results.
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

    /// Returns the events since the last call, in their order. They contain the results of inputs only after
    /// [`Replica::flush`].
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
