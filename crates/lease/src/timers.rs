//! Expiry timers for entries of the replicated state, on one replica's monotonic clock.
//!
//! Every replica runs them, so that a new leader does not have to wait for the whole time to live again. A
//! timer starts when its replica has observed the entry, so it never runs out before the entry's time to live
//! is over.

use crate::Millis;
use std::collections::BTreeMap;

#[derive(Clone, Copy, Debug)]
struct Timer {
    /// The version of the entry for which the timer was started.
    version: u64,
    started_at: Millis,
}

/// One timer per entry, by the entry's key. A new version of the entry restarts its timer.
#[derive(Clone, Debug)]
pub struct DeadlineTimers<K: Ord> {
    timers: BTreeMap<K, Timer>,
}

impl<K: Ord> Default for DeadlineTimers<K> {
    fn default() -> DeadlineTimers<K> {
        DeadlineTimers { timers: BTreeMap::new() }
    }
}

impl<K: Ord + Clone> DeadlineTimers<K> {
    /// Records that `version` of an entry was observed at `at`, and starts its timer there. Has no effect if
    /// this or a higher version was observed before.
    pub fn observe(&mut self, at: Millis, key: K, version: u64) {
        if self.timers.get(&key).is_none_or(|timer| timer.version < version) {
            self.timers.insert(key, Timer { version, started_at: at });
        }
    }

    /// Returns the key and version of each expired entry. `entries` lists all entries that can expire, as
    /// key, version and time to live.
    ///
    /// An expired entry is returned on each call until it is missing from `entries` or has a new version.
    /// Timers of entries that are missing are dropped.
    pub fn poll(&mut self, now: Millis, entries: impl Iterator<Item = (K, u64, Millis)>) -> Vec<(K, u64)> {
        let mut running = BTreeMap::new();
        let mut expired = Vec::new();
        for (key, version, time_to_live) in entries {
            let known = self.timers.get(&key).filter(|timer| timer.version == version);
            let started_at = known.map_or(now, |timer| timer.started_at);
            running.insert(key.clone(), Timer { version, started_at });
            if now.saturating_sub(started_at) > time_to_live {
                expired.push((key, version));
            }
        }
        self.timers = running;
        expired
    }
}
