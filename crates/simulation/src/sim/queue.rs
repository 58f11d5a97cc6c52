//! What will happen, in the order of time; events of one moment come in the order in which they were put in, so that
//! equal seeds give equal runs.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// Something that will happen.
#[derive(Clone, Copy, Debug)]
pub(super) enum Happening {
    /// The next call may be made; the arrival process thins itself.
    Arrival,
    /// A try reaches its proxy.
    Try { call: usize, no: u32 },
    /// A client has waited long enough for a try.
    TryOver { call: usize, no: u32 },
    /// The final answer of a try reaches its client.
    Final { call: usize, no: u32, end: End, come_back: f64 },
    /// An attempt reaches its machine.
    Reach { attempt: usize },
    /// Something changes at a machine by itself; an older stamp is out of date.
    Due { machine: usize, stamp: u64 },
    /// The end of an attempt reaches its proxy.
    Back { attempt: usize, outcome: hillstall_decision::Outcome },
    /// An attempt's time is up.
    TimeUp { attempt: usize },
    /// A cancel reaches the machine.
    Cancel { attempt: usize },
    /// A timer of a policy.
    Timer { proxy: usize, token: u64 },
    /// A failure begins or ends.
    Failure { index: usize, begins: bool },
    /// A step in the release of a machine.
    Release { machine: usize, step: Step },
    /// A proxy before the first tier is restarted in order.
    Roll { proxy: usize },
    /// The proxies before a tier are told of a machine.
    Told { machine: usize },
}

/// Steps of a machine's release.
#[derive(Clone, Copy, Debug)]
pub(super) enum Step {
    Drain,
    Stop,
    Start,
}

/// How a proxy answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum End {
    Served,
    Refused,
    Failed,
}

struct Entry {
    at: f64,
    order: u64,
    what: Happening,
}

impl Ord for Entry {
    fn cmp(&self, other: &Entry) -> Ordering {
        self.at.total_cmp(&other.at).then(self.order.cmp(&other.order))
    }
}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Entry) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Entry {
    fn eq(&self, other: &Entry) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Entry {}

/// The queue of happenings.
#[derive(Default)]
pub(super) struct Queue {
    heap: BinaryHeap<Reverse<Entry>>,
    order: u64,
}

impl Queue {
    pub(super) fn put(&mut self, at: f64, what: Happening) {
        self.order += 1;
        self.heap.push(Reverse(Entry { at, order: self.order, what }));
    }

    pub(super) fn next(&mut self) -> Option<(f64, Happening)> {
        self.heap.pop().map(|Reverse(entry)| (entry.at, entry.what))
    }
}
