//! The streams from a replica to its followers. Each attached follower receives the whole state once, and
//! then the items applied after it. A follower that lags too far behind receives the whole state again.

use crate::frame::{Frame, StreamItem};
use crate::state::{Command, Proposal, State};
use hillstall_lease::table::LeaseRecord;
use hillstall_lease::{Instance, LeaseName, Millis};
use std::collections::{BTreeMap, VecDeque};

/// The maximum number of items sent to a follower and not acknowledged by it.
const MAX_ITEMS_IN_FLIGHT: usize = 128;
/// The maximum number of items stored for followers. A follower that lags further behind is sent the whole
/// state.
const MAX_STORED_ITEMS: usize = 512;
/// A follower to which nothing else was sent for this long is sent a heartbeat.
const HEARTBEAT_INTERVAL_MS: Millis = 500;
/// A follower that has acknowledged nothing for this long is sent only heartbeats.
const FOLLOWER_SILENCE_TIMEOUT_MS: Millis = 5_000;
/// In an acknowledgement: the follower requests the whole state. In a heartbeat: items are still to be sent.
const NO_INDEX: u64 = 0;

/// The stream to one follower.
struct FollowerStream {
    /// The index of the next item to send; `None` if the whole state has to be sent first.
    next_index: Option<u64>,
    acked_index: u64,
    last_received_at: Millis,
    last_sent_at: Millis,
}

impl FollowerStream {
    fn new(now: Millis) -> FollowerStream {
        FollowerStream { next_index: None, acked_index: NO_INDEX, last_received_at: now, last_sent_at: now }
    }

    fn is_silent(&self, now: Millis) -> bool {
        now.saturating_sub(self.last_received_at) >= FOLLOWER_SILENCE_TIMEOUT_MS
    }

    /// Whether a whole state was sent and not acknowledged. Nothing but heartbeats is sent meanwhile, as the
    /// follower may read slowly.
    fn awaits_state_ack(&self) -> bool {
        self.next_index.is_some() && self.acked_index == NO_INDEX
    }

    /// Whether the follower has to be sent the whole state, as it has none, or an item that it lacks is no
    /// longer stored.
    fn needs_state(&self, evicted_index: u64) -> bool {
        self.next_index.is_none_or(|next| next <= evicted_index)
    }
}

/// An applied item, stored for the followers that have not received it yet.
struct StoredItem {
    /// The index of the item before this one, by which a follower notices that it has missed an item.
    previous_index: u64,
    index: u64,
    item: StreamItem,
}

/// The followers that are attached to a replica, and the items stored for them.
#[derive(Default)]
pub struct FollowerStreams {
    streams: BTreeMap<Instance, FollowerStream>,
    items: VecDeque<StoredItem>,
    last_index: u64,
    /// The record of each lease in its newest item.
    sent_leases: BTreeMap<LeaseName, LeaseRecord>,
}

impl FollowerStreams {
    /// Starts the stream to an instance that has connected, or connected again.
    pub fn attach(&mut self, now: Millis, instance: Instance) {
        self.streams.insert(instance, FollowerStream::new(now));
    }

    /// Ends the stream to an instance whose connection was lost.
    pub fn detach(&mut self, instance: Instance) {
        self.streams.remove(&instance);
    }

    /// All attached followers.
    pub fn instances(&self) -> impl Iterator<Item = Instance> + '_ {
        self.streams.keys().copied()
    }

    /// Whether an instance is attached as a follower.
    pub fn is_attached(&self, instance: Instance) -> bool {
        self.streams.contains_key(&instance)
    }

    /// Stores an applied proposal for the followers. For a lease command, `lease_record` is the lease's
    /// record right after it.
    ///
    /// Heartbeats and renewals are not stored: a few instances send some twenty of them a second, and
    /// followers do not need them.
    pub fn on_applied(&mut self, index: u64, proposal: &Proposal, lease_record: Option<LeaseRecord>) {
        let item = match &proposal.command {
            Command::Lease(command) => {
                let lease = command.lease();
                let Some(record) = lease_record else { return };
                if self
                    .sent_leases
                    .get(lease)
                    .is_some_and(|sent| sent.has_same_holder_and_candidates(&record))
                {
                    return;
                }
                self.sent_leases.insert(lease.clone(), record.clone());
                StreamItem::Lease { lease: lease.clone(), record }
            }
            _ => StreamItem::Command(proposal.clone()),
        };
        self.items.push_back(StoredItem { previous_index: self.last_index, index, item });
        self.last_index = index;
        if self.items.len() > MAX_STORED_ITEMS {
            self.items.pop_front();
        }
    }

    /// Drops all items after the whole state was replaced by that at `index`. All followers will be sent that
    /// state.
    pub fn on_restored(&mut self, index: u64) {
        self.last_index = index;
        self.sent_leases.clear();
        self.items.clear();
        for stream in self.streams.values_mut() {
            stream.next_index = None;
        }
    }

    /// The index of the last item stored for followers.
    pub fn last_index(&self) -> u64 {
        self.last_index
    }

    /// Handles a follower's acknowledgement of `index`. With 0 the follower requests the whole state, as it
    /// has missed an item.
    pub fn on_ack(&mut self, now: Millis, instance: Instance, index: u64) {
        if let Some(stream) = self.streams.get_mut(&instance) {
            if index == NO_INDEX {
                stream.next_index = None;
            }
            stream.acked_index = stream.acked_index.max(index);
            stream.last_received_at = now;
        }
    }

    /// Returns the frames to send now, with their receivers. `state` is the replica's state at
    /// `applied_index`.
    pub fn take_frames(&mut self, now: Millis, applied_index: u64, state: &State) -> Vec<(Instance, Frame)> {
        let evicted_index = self.items.front().map_or(NO_INDEX, |stored| stored.previous_index);
        let mut encoded_state = None;
        let mut frames = Vec::new();
        for (instance, stream) in &mut self.streams {
            let is_silent = stream.is_silent(now);
            let awaits_state_ack = stream.awaits_state_ack();
            let mut outgoing = Vec::new();
            if stream.needs_state(evicted_index) && !is_silent && !awaits_state_ack {
                let bytes = encoded_state.get_or_insert_with(|| state.to_bytes());
                outgoing.push(Frame::State(bytes.clone()));
                stream.next_index = Some(applied_index + 1);
                stream.acked_index = NO_INDEX;
            } else if !is_silent && !awaits_state_ack {
                outgoing.extend(next_items(stream, &self.items));
            }
            if outgoing.is_empty() && now.saturating_sub(stream.last_sent_at) >= HEARTBEAT_INTERVAL_MS {
                // By the index in the heartbeat a follower notices a lost item even if no other item follows.
                let is_current = stream.next_index.is_some_and(|next| next > self.last_index);
                outgoing.push(Frame::Heartbeat(if is_current { self.last_index } else { NO_INDEX }));
            }
            if !outgoing.is_empty() {
                stream.last_sent_at = now;
            }
            frames.extend(outgoing.into_iter().map(|frame| (*instance, frame)));
        }
        frames
    }
}

/// The next items for a follower, up to the maximum number in flight.
fn next_items(stream: &mut FollowerStream, items: &VecDeque<StoredItem>) -> Vec<Frame> {
    let Some(next_index) = stream.next_index else { return Vec::new() };
    let first = items.partition_point(|stored| stored.index < next_index);
    let first_unacked = items.partition_point(|stored| stored.index <= stream.acked_index);
    let in_flight = first.saturating_sub(first_unacked);
    let window = MAX_ITEMS_IN_FLIGHT.saturating_sub(in_flight);
    let mut frames = Vec::new();
    for stored in items.range(first..).take(window) {
        frames.push(Frame::Applied {
            previous_index: stored.previous_index,
            index: stored.index,
            item: stored.item.clone(),
        });
        stream.next_index = Some(stored.index + 1);
    }
    frames
}
