//! How followers learn the state: a keeper sends each of those that are attached to it the whole state once, and then what
//! is applied, as long as they keep up.

use crate::frame::Frame;
use crate::state::{Proposal, State};
use hillstall_lease::{Copy, Millis};
use std::collections::{BTreeMap, VecDeque};

/// Entries that may be out to a follower that has not said that it got them.
const OUT_MOST: u64 = 128;
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
pub struct Streams {
    followers: BTreeMap<Copy, Follower>,
    /// Each with the index of the one before it.
    kept: VecDeque<(u64, u64, Proposal)>,
    last: u64,
}

impl Streams {
    /// A copy has connected, perhaps once more.
    pub fn attach(&mut self, now: Millis, copy: Copy) {
        self.followers.insert(copy, Follower { next: None, acked: 0, heard_at: now, told_at: now });
    }

    /// Its connection is gone.
    pub fn detach(&mut self, copy: Copy) {
        self.followers.remove(&copy);
    }

    /// Those that are attached.
    pub fn copies(&self) -> impl Iterator<Item = Copy> + '_ {
        self.followers.keys().copied()
    }

    /// Whether a copy is attached.
    pub fn has(&self, copy: Copy) -> bool {
        self.followers.contains_key(&copy)
    }

    /// An entry was applied here.
    pub fn applied(&mut self, index: u64, proposal: &Proposal) {
        self.kept.push_back((self.last, index, proposal.clone()));
        self.last = index;
        if self.kept.len() > KEPT_MOST {
            self.kept.pop_front();
        }
    }

    /// The state was replaced as a whole, and is that of `index` now: what was kept does not lead there.
    pub fn restored(&mut self, index: u64) {
        self.last = index;
        self.kept.clear();
        self.followers.values_mut().for_each(|follower| follower.next = None);
    }

    /// A follower says how far it is; 0 if it has missed something and needs the whole state.
    pub fn ack(&mut self, now: Millis, copy: Copy, index: u64) {
        if let Some(follower) = self.followers.get_mut(&copy) {
            if index == 0 {
                follower.next = None;
            }
            follower.acked = follower.acked.max(index);
            follower.heard_at = now;
        }
    }

    /// What to send to whom now. `state` is applied up to `index`.
    pub fn feed(&mut self, now: Millis, index: u64, state: &State) -> Vec<(Copy, Frame)> {
        let mut out = Vec::new();
        let first = self.kept.front().map_or(index + 1, |(_, at, _)| *at);
        let mut whole = None;
        for (copy, follower) in &mut self.followers {
            let before = out.len();
            let silent = now.saturating_sub(follower.heard_at) >= SILENT;
            // One that was told all before what is kept can't be led on from there.
            let lost = follower.next.is_none_or(|next| next < first && next <= index);
            // It was given a state and has not got it yet: that is enough to be out to one that reads slowly.
            let waits = follower.next.is_some() && follower.acked == 0;
            if lost && !silent && !waits {
                let bytes = whole.get_or_insert_with(|| state.to_bytes());
                out.push((*copy, Frame::State(bytes.clone())));
                (follower.next, follower.acked) = (Some(index + 1), 0);
            } else if let (Some(next), false) = (follower.next, silent || waits) {
                let most = follower.acked.max(1) + OUT_MOST;
                let from = self.kept.partition_point(|(_, at, _)| *at < next);
                for (after, at, proposal) in self.kept.range(from..).take_while(|(_, at, _)| *at <= most) {
                    let (after, index, proposal) = (*after, *at, proposal.clone());
                    out.push((*copy, Frame::Applied { after, index, proposal }));
                    follower.next = Some(at + 1);
                }
            }
            if out.len() == before && now.saturating_sub(follower.told_at) >= BEAT_EACH {
                out.push((*copy, Frame::Beat(index)));
            }
            if out.len() > before {
                follower.told_at = now;
            }
        }
        out
    }
}
