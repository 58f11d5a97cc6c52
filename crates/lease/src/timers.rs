//! Waits for what runs out by itself, by a keeper's own monotonic clock. All keepers wait, so that one that begins to lead
//! need not begin to wait; each waits from when it has seen the thing, which is never too early.

use crate::Millis;
use std::collections::BTreeMap;

/// Waits by key; each goes by a version of its thing.
#[derive(Clone, Debug)]
pub struct DeadlineTimers<K: Ord> {
    since: BTreeMap<K, (u64, Millis)>,
}

impl<K: Ord> Default for DeadlineTimers<K> {
    /// None yet.
    fn default() -> DeadlineTimers<K> {
        DeadlineTimers { since: BTreeMap::new() }
    }
}

impl<K: Ord + Clone> DeadlineTimers<K> {
    /// A thing was seen at `at` with this version: its wait begins there, if a version as high was not seen before.
    pub fn observe(&mut self, at: Millis, key: K, version: u64) {
        if self.since.get(&key).is_none_or(|(known, _)| *known < version) {
            self.since.insert(key, (version, at));
        }
    }

    /// Looks at all that may run out: key, version and how long. Gives those whose time is over, each time it is asked.
    pub fn poll(&mut self, now: Millis, all: impl Iterator<Item = (K, u64, Millis)>) -> Vec<(K, u64)> {
        let mut seen = BTreeMap::new();
        let mut over = Vec::new();
        for (key, version, after) in all {
            let known = self.since.get(&key).filter(|(v, _)| *v == version);
            let from = known.map_or(now, |(_, from)| *from);
            seen.insert(key.clone(), (version, from));
            if now.saturating_sub(from) > after {
                over.push((key, version));
            }
        }
        self.since = seen;
        over
    }
}
