//! The streams from a replica to its followers: each attached follower receives the whole state once, and then what is
//! applied, for as long as it keeps up.

use crate::frame::{Frame, StreamItem};
use crate::state::{Command, Proposal, State};
use hillstall_lease::table::LeaseRecord;
use hillstall_lease::{Instance, LeaseName, Millis};
use std::collections::{BTreeMap, VecDeque};

/// The most items in flight to a follower, sent and not acknowledged.
const MAX_ITEMS_IN_FLIGHT: usize = 128;
/// The most items stored for followers. One that is further behind gets the whole state.
const MAX_STORED_ITEMS: usize = 512;
/// A follower to which nothing else was sent for this long gets a heartbeat.
const HEARTBEAT_INTERVAL_MS: Millis = 500;
/// A follower that has acknowledged nothing for this long gets only heartbeats.
const FOLLOWER_SILENCE_TIMEOUT_MS: Millis = 5_000;
/// The acknowledged index by which a follower asks for the whole state, and the heartbeat of a follower that is behind.
const NO_INDEX: u64 = 0;

/// The stream to one follower.
struct FollowerStream {
    /// The index from which on items are to be sent; `None` if the whole state goes first.
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

    /// Whether a state is in flight. No other is sent meanwhile, as the follower may read slowly.
    fn awaits_state_ack(&self) -> bool {
        self.next_index.is_some() && self.acked_index == NO_INDEX
    }

    /// Whether the items that the follower needs are no longer stored.
    fn needs_state(&self, evicted_index: u64) -> bool {
        self.next_index.is_none_or(|next| next <= evicted_index)
    }
}

/// An item that was applied, for followers.
struct StoredItem {
    /// The index of the item before it.
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
    /// Each lease as it was sent last.
    sent_leases: BTreeMap<LeaseName, LeaseRecord>,
}

impl FollowerStreams {
    /// Starts the stream to an instance that has connected, perhaps once more.
    pub fn attach(&mut self, now: Millis, instance: Instance) {
        self.streams.insert(instance, FollowerStream::new(now));
    }

    /// Ends the stream to an instance whose connection was lost.
    pub fn detach(&mut self, instance: Instance) {
        self.streams.remove(&instance);
    }

    /// The instances that are attached.
    pub fn instances(&self) -> impl Iterator<Item = Instance> + '_ {
        self.streams.keys().copied()
    }

    /// Whether an instance is attached.
    pub fn is_attached(&self, instance: Instance) -> bool {
        self.streams.contains_key(&instance)
    }

    /// Stores an entry that was applied; with the lease as it was right after, if the entry was about one. Heartbeats and
    /// renewals are left out: a few instances make some twenty a second, and no follower needs them.
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

    /// Drops all items, as the state was replaced as a whole by that of `index`.
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

    /// Takes a follower's acknowledgement of `index`; 0 if it has missed an item and needs the whole state.
    pub fn on_ack(&mut self, now: Millis, instance: Instance, index: u64) {
        if let Some(stream) = self.streams.get_mut(&instance) {
            if index == NO_INDEX {
                stream.next_index = None;
            }
            stream.acked_index = stream.acked_index.max(index);
            stream.last_received_at = now;
        }
    }

    /// Takes the frames to send now. `state` is the replica's, applied up to `applied_index`.
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
                // By the index in it a follower notices a loss, even if no item follows for long.
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

/// The next items for a follower, as many as may be in flight.
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
