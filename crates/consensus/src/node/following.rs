//! The follower's side of replication: it receives the state from one replica, and follows another one when
//! it has received nothing for some time.

use super::{Node, Output};
use crate::frame::{Frame, StreamItem};
use crate::state::State;
use crate::storage::ReplicaStorage;
use hillstall_lease::Millis;
use rand_xoshiro::rand_core::RngCore;

/// A follower that has received nothing for this long follows another replica. After the first change of the
/// replica the time-out is drawn at random from once to twice this value.
const REPLICA_SILENCE_TIMEOUT_MS: Millis = 1_500;
/// A follower acknowledges this index to request the whole state.
const REQUEST_STATE: u64 = 0;

/// The replica that a follower is attached to, and the state received from it.
pub(super) struct FollowedReplica {
    pub(super) slot: usize,
    /// Whether the connection to the replica is up.
    pub(super) connected: bool,
    pub(super) state: State,
    /// When the replica last updated `state`, or sent a heartbeat whose index `state` had reached; `None`
    /// before the first state was received.
    state_updated_at: Option<Millis>,
    last_received_at: Millis,
    silence_timeout: Millis,
}

impl FollowedReplica {
    /// A follower of the replica in `slot` that has received nothing yet.
    pub(super) fn new(slot: usize, now: Millis) -> FollowedReplica {
        FollowedReplica {
            slot,
            connected: false,
            state: State::default(),
            state_updated_at: None,
            last_received_at: now,
            silence_timeout: REPLICA_SILENCE_TIMEOUT_MS,
        }
    }

    /// How long ago, in milliseconds, the replica last updated `state`, or sent a heartbeat whose index
    /// `state` had reached; `None` if no state was received yet.
    pub(super) fn state_age(&self, now: Millis) -> Option<Millis> {
        self.state_updated_at.map(|at| now.saturating_sub(at))
    }

    /// Whether nothing was received from the replica for the whole time-out.
    pub(super) fn is_silent(&self, now: Millis) -> bool {
        now.saturating_sub(self.last_received_at) >= self.silence_timeout
    }

    /// Replaces the state as a whole. Returns the index to acknowledge.
    fn replace_state(&mut self, now: Millis, state: State) -> u64 {
        self.state = state;
        self.state_updated_at = Some(now);
        self.state.index()
    }

    /// Applies the item at `index`, which follows the one at `previous_index`. Returns the index to
    /// acknowledge.
    fn apply_item(&mut self, now: Millis, previous_index: u64, index: u64, item: StreamItem) -> u64 {
        let known_index = self.state.index();
        if previous_index > known_index {
            // An item before this one was lost, so this one can't be applied.
            return REQUEST_STATE;
        }
        if index > known_index {
            match item {
                StreamItem::Command(proposal) => {
                    self.state.apply(index, &proposal);
                }
                StreamItem::Lease { lease, record } => self.state.set_lease(index, &lease, record),
            }
            self.state_updated_at = Some(now);
        }
        index
    }

    /// Handles a heartbeat with the index of the last item that the replica has sent. Returns the index to
    /// acknowledge.
    fn on_heartbeat(&mut self, now: Millis, sent_index: u64) -> u64 {
        if sent_index > self.state.index() {
            return REQUEST_STATE;
        }
        if self.state_updated_at.is_some() {
            self.state_updated_at = Some(now);
        }
        self.state.index()
    }
}

impl<D: ReplicaStorage> Node<D> {
    /// Handles that the connection to the replica in `slot` is up or was lost. Has no effect unless this
    /// instance follows that replica.
    pub fn on_connection(&mut self, slot: usize, is_up: bool) {
        if self.replica.is_some() || slot != self.followed.slot {
            return;
        }
        self.followed.connected = is_up;
        // `last_received_at` is not updated here: an intermediary may have accepted the connection although
        // the replica is down.
        if is_up {
            self.read_sent_at = None;
        }
    }

    /// Handles a frame from the followed replica.
    pub(super) fn on_followed_frame(&mut self, now: Millis, frame: Frame) {
        self.followed.last_received_at = now;
        self.followed.connected = true;
        let acknowledged_index = match frame {
            Frame::State(bytes) => self.on_state_frame(now, &bytes),
            Frame::Applied { previous_index, index, item } => {
                Some(self.followed.apply_item(now, previous_index, index, item))
            }
            Frame::Heartbeat(sent_index) => Some(self.followed.on_heartbeat(now, sent_index)),
            Frame::Answer { id, outcome } if id.instance == self.config.instance => {
                self.on_outcome(now, id.number, outcome);
                None
            }
            Frame::ReadIndex { number, index } => {
                if self.pending_reads.remove(&number).is_some() {
                    self.fencing_read_index = Some(index);
                }
                None
            }
            _ => None,
        };
        if let Some(index) = acknowledged_index {
            self.send_to_replica(self.followed.slot, Frame::Ack(index));
            self.on_state_changed(now);
        }
    }

    fn on_state_frame(&mut self, now: Millis, bytes: &[u8]) -> Option<u64> {
        match State::from_bytes(bytes) {
            Ok(state) => Some(self.followed.replace_state(now, state)),
            Err(error) => {
                let (size, slot) = (bytes.len(), self.followed.slot);
                self.outputs.push(Output::Log(format!(
                    "can't decode a state of {size} bytes from replica {slot}, which may run another version; \
                     this instance keeps its previous state: {error}"
                )));
                None
            }
        }
    }

    /// Follows another replica, drawn at random.
    pub(super) fn follow_another_replica(&mut self, now: Millis) {
        let replicas = self.config.replicas;
        let others = replicas.max(2) as u64 - 1;
        let step = 1 + (self.random.next_u64() % others) as usize;
        self.followed.slot = (self.followed.slot + step) % replicas.max(1);
        self.followed.connected = false;
        self.followed.last_received_at = now;
        // Without jitter, all followers that have lost the same replica would connect to others at the same
        // times.
        let jitter = self.random.next_u64() % REPLICA_SILENCE_TIMEOUT_MS;
        self.followed.silence_timeout = REPLICA_SILENCE_TIMEOUT_MS + jitter;
        self.outputs.push(Output::Follow(self.followed.slot));
    }
}
