//! How followers learn the state: a keeper sends each of those that are attached to it the whole state once, and then what
//! is applied, as long as they keep up.

use crate::frame::{Frame, StreamItem};
use crate::state::{Command, Proposal, State};
use hillstall_lease::table::LeaseRecord;
use hillstall_lease::{Instance, LeaseName, Millis};
use std::collections::{BTreeMap, VecDeque};

/// Pieces that may be out to a follower that has not said that it got them.
const OUT_MOST: usize = 128;
/// Entries that are kept for followers; one that is further behind gets the whole state.
const KEPT_MOST: usize = 512;
/// Between two signs to a follower that hears nothing else.
const BEAT_EACH: Millis = 500;
/// A follower that has not said anything for so long gets nothing more but signs.
const SILENT: Millis = 5_000;

struct Follower {
    /// The next entry for it; `None` if it needs the whole state first.
    next: Option<u64>,
    acked: u64,
    heard_at: Millis,
    told_at: Millis,
}

/// The followers that are attached to a keeper.
#[derive(Default)]
pub struct FollowerStreams {
    followers: BTreeMap<Instance, Follower>,
    /// Each with the index of the one before it.
    kept: VecDeque<(u64, u64, StreamItem)>,
    last: u64,
    /// Each duty as it was told last.
    duties: BTreeMap<LeaseName, LeaseRecord>,
}

impl FollowerStreams {
    /// A copy has connected, perhaps once more.
    pub fn attach(&mut self, now: Millis, copy: Instance) {
        self.followers.insert(copy, Follower { next: None, acked: 0, heard_at: now, told_at: now });
    }

    /// Its connection is gone.
    pub fn detach(&mut self, copy: Instance) {
        self.followers.remove(&copy);
    }

    /// Those that are attached.
    pub fn copies(&self) -> impl Iterator<Item = Instance> + '_ {
        self.followers.keys().copied()
    }

    /// Whether a copy is attached.
    pub fn has(&self, copy: Instance) -> bool {
        self.followers.contains_key(&copy)
    }

    /// An entry was applied here, with the duty as it was right after if it was about one. Signs of life are passed over:
    /// with a few copies that stand for a few duties there are some twenty a second, and no follower needs them.
    pub fn applied(&mut self, index: u64, proposal: &Proposal, entry: Option<LeaseRecord>) {
        let piece = match &proposal.command {
            Command::Lease(command) => {
                let duty = command.lease();
                let Some(entry) = entry else { return };
                if self.duties.get(duty).is_some_and(|told| told.has_same_parties(&entry)) {
                    return;
                }
                self.duties.insert(duty.clone(), entry.clone());
                StreamItem::Lease(duty.clone(), entry)
            }
            _ => StreamItem::Command(proposal.clone()),
        };
        self.kept.push_back((self.last, index, piece));
        self.last = index;
        if self.kept.len() > KEPT_MOST {
            self.kept.pop_front();
        }
    }

    /// The state was replaced as a whole, and is that of `index` now: what was kept does not lead there.
    pub fn restored(&mut self, index: u64) {
        self.last = index;
        self.duties.clear();
        self.kept.clear();
        self.followers.values_mut().for_each(|follower| follower.next = None);
    }

    /// The last entry that followers are told of.
    pub fn last(&self) -> u64 {
        self.last
    }

    /// A follower says how far it is; 0 if it has missed something and needs the whole state.
    pub fn ack(&mut self, now: Millis, copy: Instance, index: u64) {
        if let Some(follower) = self.followers.get_mut(&copy) {
            if index == 0 {
                follower.next = None;
            }
            follower.acked = follower.acked.max(index);
            follower.heard_at = now;
        }
    }

    /// What to send to whom now. `state` is applied up to `index`.
    pub fn feed(&mut self, now: Millis, index: u64, state: &State) -> Vec<(Instance, Frame)> {
        let mut out = Vec::new();
        // The newest that is kept no more: whoever has not been told of it can't be led on.
        let gone = self.kept.front().map_or(0, |(after, ..)| *after);
        let mut whole = None;
        for (copy, follower) in &mut self.followers {
            let before = out.len();
            let silent = now.saturating_sub(follower.heard_at) >= SILENT;
            let lost = follower.next.is_none_or(|next| next <= gone);
            // It was given a state and has not got it yet: that is enough to be out to one that reads slowly.
            let waits = follower.next.is_some() && follower.acked == 0;
            if lost && !silent && !waits {
                let bytes = whole.get_or_insert_with(|| state.to_bytes());
                out.push((*copy, Frame::State(bytes.clone())));
                (follower.next, follower.acked) = (Some(index + 1), 0);
            } else if let (Some(next), false) = (follower.next, silent || waits) {
                let from = self.kept.partition_point(|(_, at, _)| *at < next);
                let acked = self.kept.partition_point(|(_, at, _)| *at <= follower.acked);
                let room = OUT_MOST.saturating_sub(from.saturating_sub(acked));
                for (after, at, piece) in self.kept.range(from..).take(room) {
                    let (after, index, piece) = (*after, *at, piece.clone());
                    out.push((*copy, Frame::Applied { after, index, item: piece }));
                    follower.next = Some(at + 1);
                }
            }
            if out.len() == before && now.saturating_sub(follower.told_at) >= BEAT_EACH {
                // What was lost on the way shows here, though nothing else may follow for long.
                let told = if follower.next.is_some_and(|next| next > self.last) { self.last } else { 0 };
                out.push((*copy, Frame::Heartbeat(told)));
            }
            if out.len() > before {
                follower.told_at = now;
            }
        }
        out
    }
}
