//! Timers for entries of replicated state that expire, on one replica's monotonic clock.
//!
//! Every replica runs them, so that a new leader does not have to start from zero. Each timer starts when its replica
//! has observed the entry, which is never before the entry existed.

use crate::Millis;
use std::collections::BTreeMap;

/// A running timer.
#[derive(Clone, Copy, Debug)]
struct Timer {
    /// The version of the entry that it waits for the end of.
    version: u64,
    started_at: Millis,
}

/// Timers by key. Each belongs to one version of its entry; a new version restarts it.
#[derive(Clone, Debug)]
pub struct DeadlineTimers<K: Ord> {
    timers: BTreeMap<K, Timer>,
}

impl<K: Ord> Default for DeadlineTimers<K> {
    /// No timers.
    fn default() -> DeadlineTimers<K> {
        DeadlineTimers { timers: BTreeMap::new() }
    }
}

impl<K: Ord + Clone> DeadlineTimers<K> {
    /// Records that this version of an entry was observed at `at`: its timer starts there, unless this or a higher
    /// version was observed before.
    pub fn observe(&mut self, at: Millis, key: K, version: u64) {
        if self.timers.get(&key).is_none_or(|timer| timer.version < version) {
            self.timers.insert(key, Timer { version, started_at: at });
        }
    }

    /// Compares the timers with all entries that can expire, given as key, version and time to live, and returns key and
    /// version of each that has expired. An entry is returned on each call until it is gone from `entries` or has a new
    /// version. Timers of entries that are gone are dropped.
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
