//! The actions that the embedding proxy carries out for a balancer, in the order in which they were returned.

use crate::types::{BackendId, Millis, RequestId, UnservedReason};

/// One action for the embedding proxy.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start the next attempt of a request.
    Send {
        /// The request.
        request: RequestId,
        /// The backend that receives the attempt.
        backend: BackendId,
        /// The attempt timeout in milliseconds; 0 waits until the client gives up.
        timeout_ms: Millis,
        /// The clock time before which the last byte of the request has to be written, as backends drop
        /// repetitions of it only until then; `None` if it may be written at any time. An attempt that is not
        /// written by then ends as [`Outcome::NotSent`](crate::Outcome::NotSent), or, if a part of it was
        /// written, as [`Outcome::ConnectFailed`](crate::Outcome::ConnectFailed).
        write_by: Option<Millis>,
    },
    /// Final answer: the request was not served, and the client may safely send it again.
    Reject {
        /// The request.
        request: RequestId,
        /// How long the client should wait before it retries, in milliseconds; 0 for no advice.
        retry_after_ms: Millis,
        /// Why the request was not served.
        reason: UnservedReason,
    },
    /// Final answer: the request failed. It may have run, so the client must not assume that a retry is safe.
    Fail {
        /// The request.
        request: RequestId,
        /// Why the request was not served.
        reason: UnservedReason,
    },
    /// Cancel one attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The number of the attempt, from 0 in the order of the sends.
        attempt: u8,
    },
    /// Schedule an [`Event::Timer`](crate::Event::Timer).
    SetTimer {
        /// Delay from now, in milliseconds.
        after_ms: Millis,
        /// Returned in the event.
        token: u64,
    },
    /// Send a health check.
    Probe {
        /// The backend to check.
        backend: BackendId,
    },
    /// Close idle connections.
    CloseIdle {
        /// The backend whose idle connections are closed.
        backend: BackendId,
    },
    /// Send a message to another instance, or to all.
    Message {
        /// Rank of the receiving instance; `None` for all.
        to: Option<u32>,
        /// The payload, at most 256 bytes.
        bytes: Vec<u8>,
    },
    /// Subscribe to updates of the endpoint list, or unsubscribe.
    Subscribe {
        /// `true` to subscribe, `false` to unsubscribe.
        on: bool,
    },
    /// Fetch the complete endpoint list once.
    Fetch,
    /// Write a line to the operators' log.
    Log(String),
}
