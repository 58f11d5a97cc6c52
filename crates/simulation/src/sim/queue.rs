//! Future events in the order of time. Events of one moment keep the order in which they were added, so that equal
//! seeds give equal runs.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// A future event.
#[derive(Clone, Copy, Debug)]
pub(super) enum SimEvent {
    /// The next client request starts.
    Arrival,
    /// A client's attempt reaches its proxy.
    ClientAttempt { client_request: usize, no: u32 },
    /// A client's attempt times out.
    ClientAttemptTimeout { client_request: usize, no: u32 },
    /// The final response to an attempt reaches its client.
    Final { client_request: usize, no: u32, end: ResponseKind, retry_after: f64 },
    /// An attempt reaches its machine.
    Reach { attempt: usize },
    /// A machine completes work; the event is stale unless its stamp is the machine's.
    Due { machine: usize, stamp: u64 },
    /// The outcome of an attempt reaches its proxy.
    Back { attempt: usize, outcome: hillstall_decision::Outcome },
    /// An attempt times out at its proxy.
    TimeUp { attempt: usize },
    /// A cancellation reaches the machine.
    Cancel { attempt: usize },
    /// A timer of a policy.
    Timer { proxy: usize, token: u64 },
    /// A failure begins or ends.
    Failure { index: usize, begins: bool },
    /// A step in the release of a machine.
    Release { machine: usize, step: Step },
    /// A proxy of the first tier is restarted gracefully.
    Roll { proxy: usize },
    /// The proxies of a tier are notified of a machine's state.
    EndpointNotice { machine: usize },
}

/// Steps of a machine's release.
#[derive(Clone, Copy, Debug)]
pub(super) enum Step {
    Drain,
    Stop,
    Start,
}

/// Kind of a proxy's final response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ResponseKind {
    Served,
    Rejected,
    Failed,
}

struct Entry {
    at: f64,
    order: u64,
    what: SimEvent,
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

/// The event queue.
#[derive(Default)]
pub(super) struct Queue {
    heap: BinaryHeap<Reverse<Entry>>,
    order: u64,
}

impl Queue {
    pub(super) fn put(&mut self, at: f64, what: SimEvent) {
        self.order += 1;
        self.heap.push(Reverse(Entry { at, order: self.order, what }));
    }

    pub(super) fn next(&mut self) -> Option<(f64, SimEvent)> {
        self.heap.pop().map(|Reverse(entry)| (entry.at, entry.what))
    }
}
