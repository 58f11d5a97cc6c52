//! A common time of day: the median of the replicas' system clocks, so that one wrong clock has no effect.

use super::Node;
use crate::storage::ReplicaStorage;
use hillstall_lease::Millis;
use std::collections::BTreeMap;

/// A clock offset received longer ago than this is ignored.
const CLOCK_OFFSET_TTL_MS: Millis = 10_000;

/// How far a replica's system clock was ahead of the local monotonic time when it was received.
#[derive(Clone, Copy, Debug)]
struct ClockOffset {
    offset_ms: i64,
    received_at: Millis,
}

/// The clock offsets of the other replicas, by slot.
#[derive(Clone, Debug, Default)]
pub(super) struct ReplicaClocks {
    offsets: BTreeMap<usize, ClockOffset>,
}

impl ReplicaClocks {
    /// Records the system clock of the replica in `slot`, received at `now`.
    pub(super) fn record(&mut self, now: Millis, slot: usize, unix: Millis) {
        self.offsets.insert(slot, ClockOffset { offset_ms: offset_ms(now, unix), received_at: now });
    }

    /// The median of the recently received clocks and the local one, in Unix milliseconds.
    fn median_time(&self, now: Millis, unix: Millis) -> Millis {
        let is_recent = |offset: &&ClockOffset| now.saturating_sub(offset.received_at) < CLOCK_OFFSET_TTL_MS;
        let recent = self.offsets.values().filter(is_recent);
        let mut offsets: Vec<i64> = recent.map(|offset| offset.offset_ms).collect();
        offsets.push(offset_ms(now, unix));
        offsets.sort_unstable();
        let median = offsets[offsets.len() / 2];
        (now as i64 + median).max(0) as Millis
    }
}

/// How far a system clock is ahead of the local monotonic time, in milliseconds.
fn offset_ms(now: Millis, unix: Millis) -> i64 {
    unix as i64 - now as i64
}

impl<D: ReplicaStorage> Node<D> {
    /// The time of day in Unix milliseconds, as the median of the replicas' clocks and the local one
    /// (`unix`).
    pub fn consensus_time(&self, now: Millis, unix: Millis) -> Millis {
        self.clocks.median_time(now, unix)
    }
}
