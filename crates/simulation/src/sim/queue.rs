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
    ResponseArrival { client_request: usize, no: u32, end: ResponseKind, retry_after: f64 },
    /// An attempt reaches its machine.
    AttemptArrival { attempt: usize },
    /// A machine completes work; the event is stale unless its stamp is the machine's.
    MachineChange { machine: usize, stamp: u64 },
    /// The outcome of an attempt reaches its proxy.
    AttemptOutcome { attempt: usize, outcome: hillstall_decision::Outcome },
    /// An attempt times out at its proxy.
    AttemptTimeout { attempt: usize },
    /// A cancellation reaches the machine.
    CancelArrival { attempt: usize },
    /// A timer of a policy.
    Timer { proxy: usize, token: u64 },
    /// A failure begins or ends.
    Failure { index: usize, begins: bool },
    /// A step in the release of a machine.
    Release { machine: usize, step: Step },
    /// A proxy of the first tier is restarted gracefully.
    GracefulRestart { proxy: usize },
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
    sequence: u64,
    event: SimEvent,
}

impl Ord for Entry {
    fn cmp(&self, other: &Entry) -> Ordering {
        self.at.total_cmp(&other.at).then(self.sequence.cmp(&other.sequence))
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
    last_sequence: u64,
}

impl Queue {
    pub(super) fn schedule(&mut self, at: f64, what: SimEvent) {
        self.last_sequence += 1;
        self.heap.push(Reverse(Entry { at, sequence: self.last_sequence, event: what }));
    }

    pub(super) fn pop(&mut self) -> Option<(f64, SimEvent)> {
        self.heap.pop().map(|Reverse(entry)| (entry.at, entry.event))
    }
}
