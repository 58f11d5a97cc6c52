//! The queue of future events, ordered by time. Events of the same time keep the order in which they were
//! scheduled, so that equal seeds give equal runs.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// An event in simulated time.
#[derive(Clone, Copy, Debug)]
pub(super) enum SimEvent {
    /// The next client request starts.
    Arrival,
    /// A client's attempt reaches the load balancer in front of the proxies.
    ClientAttempt { client_request: usize, attempt_number: u32 },
    /// A client's attempt times out.
    ClientAttemptTimeout { client_request: usize, attempt_number: u32 },
    /// The final response to a client's attempt reaches the client.
    ResponseArrival { client_request: usize, attempt_number: u32, end: ResponseKind, retry_after: f64 },
    /// A proxy's attempt reaches its machine.
    AttemptArrival { attempt: usize },
    /// A machine completes work or its speed changes. The event is stale unless `stamp` is the machine's
    /// current one.
    MachineChange { machine: usize, stamp: u64 },
    /// The outcome of an attempt reaches the proxy that sent it.
    AttemptOutcome { attempt: usize, outcome: hillstall_decision::Outcome },
    /// An attempt times out at the proxy that sent it.
    AttemptTimeout { attempt: usize },
    /// The cancellation of an attempt reaches its machine.
    CancelArrival { attempt: usize },
    /// A timer that a proxy's policy has set.
    Timer { proxy: usize, token: u64 },
    /// A failure begins or ends.
    Failure { index: usize, begins: bool },
    /// A step in the release of a machine: it drains, stops and starts again.
    Release { machine: usize, step: Step },
    /// A step in the graceful restart of a first-tier proxy: it begins to drain, or the new process is up.
    GracefulRestart { proxy: usize },
    /// The proxies in front of a machine are notified of its state.
    EndpointNotice { machine: usize },
}

/// The steps of a machine's release, in order.
#[derive(Clone, Copy, Debug)]
pub(super) enum Step {
    Drain,
    Stop,
    Start,
}

/// How a proxy answers a request in the end.
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

#[derive(Default)]
pub(super) struct Queue {
    heap: BinaryHeap<Reverse<Entry>>,
    last_sequence: u64,
}

impl Queue {
    pub(super) fn schedule(&mut self, at: f64, event: SimEvent) {
        self.last_sequence += 1;
        self.heap.push(Reverse(Entry { at, sequence: self.last_sequence, event }));
    }

    pub(super) fn pop(&mut self) -> Option<(f64, SimEvent)> {
        self.heap.pop().map(|Reverse(entry)| (entry.at, entry.event))
    }
}
