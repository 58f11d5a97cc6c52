//! Actions: what the embedding proxy has to carry out for a balancer, in the order given.

use crate::types::{BackendId, Millis, RequestId, UnservedReason};

/// One step for the embedding proxy to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start the next attempt of a request.
    Send {
        /// The request.
        request: RequestId,
        /// The backend that gets it.
        backend: BackendId,
        /// Its timeout in milliseconds; 0 lasts until the client gives up.
        timeout_ms: Millis,
    },
    /// Final answer: not served, and the client may safely send it again.
    Reject {
        /// The request.
        request: RequestId,
        /// How long the client should wait before it retries, in milliseconds; 0 for no advice.
        retry_after_ms: Millis,
        /// The reason.
        reason: UnservedReason,
    },
    /// Final answer: failed; the request may have run.
    Fail {
        /// The request.
        request: RequestId,
        /// The reason.
        reason: UnservedReason,
    },
    /// Cancel one attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The number of the attempt.
        attempt: u8,
    },
    /// Schedule an [`Event::Timer`](crate::Event::Timer).
    SetTimer {
        /// Time from now, in milliseconds.
        after_ms: Millis,
        /// Returned with the event.
        token: u64,
    },
    /// Send a health check to a backend.
    Probe {
        /// The backend.
        backend: BackendId,
    },
    /// Close idle connections to a backend.
    CloseIdle {
        /// The backend.
        backend: BackendId,
    },
    /// Send bytes to another instance, or to all.
    Message {
        /// Rank of the receiving instance; `None` for all.
        to: Option<u32>,
        /// At most 256 bytes.
        bytes: Vec<u8>,
    },
    /// Subscribe to the endpoint list, or unsubscribe.
    Subscribe {
        /// Whether to subscribe.
        on: bool,
    },
    /// Fetch the complete endpoint list once.
    Fetch,
    /// Write a line to the operators' log.
    Log(String),
}
