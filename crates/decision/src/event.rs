//! Events: what the embedding proxy reports to a balancer.

use crate::types::{BackendId, BackendInfo, ListKind, LoadReport, Millis, Outcome, RequestId};

/// One thing that happened.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event<'a> {
    /// The endpoint list or an update of it. A `Cached` list comes first in a balancer's life.
    EndpointsChanged {
        /// How to read `backends`.
        kind: ListKind,
        /// The version of the list. No decision reads it: updates are ordered and complete.
        version: u32,
        /// The entries.
        backends: &'a [BackendInfo],
    },
    /// A request arrived; it gets one final answer within `timeout_ms`.
    Request {
        /// Its id.
        id: RequestId,
        /// Its routing key; requests with equal keys concern the same data. No decision reads it.
        key: Option<u64>,
        /// Its class.
        class: u8,
        /// Its tenant.
        tenant: u16,
        /// Expected work in milliseconds, where the client states it.
        expected_work_ms: Option<Millis>,
        /// The client marked it as a retry, where clients do so: it adds no demand skew, and is admitted
        /// less while the tier is short of capacity.
        is_retry: bool,
        /// It writes. No decision reads it.
        is_write: bool,
        /// How long the client waits for this attempt, in milliseconds.
        timeout_ms: Millis,
    },
    /// A streamed response has begun, so that the request can't be retried. No decision reads it.
    FirstByte {
        /// The request.
        request: RequestId,
        /// The number of the attempt.
        attempt: u8,
        /// The backend.
        backend: BackendId,
        /// Time since the send, in milliseconds.
        took_ms: Millis,
    },
    /// An attempt ended. Every send gets exactly one of these.
    Outcome {
        /// The request.
        request: RequestId,
        /// The number of the attempt, from 0 in the order of the sends.
        attempt: u8,
        /// The backend that it was sent to.
        backend: BackendId,
        /// How it ended.
        outcome: Outcome,
        /// Time since the send, in milliseconds.
        took_ms: Millis,
        /// Whether the request is over, so that it needs no final answer.
        ended: bool,
        /// The backend's load report, if the response carried one.
        report: LoadReport,
    },
    /// The client has disconnected; the request needs no final answer.
    ClientGone {
        /// The request.
        request: RequestId,
    },
    /// A timer of this balancer expired.
    Timer {
        /// The token given with [`Action::SetTimer`](crate::Action::SetTimer).
        token: u64,
    },
    /// A health check ended. No decision reads it: the module sends none.
    ProbeResult {
        /// The backend.
        backend: BackendId,
        /// `Ok`, or why not.
        outcome: Outcome,
        /// Time since the probe was sent, in milliseconds.
        took_ms: Millis,
        /// Its load report, if any.
        report: LoadReport,
    },
    /// Traffic is moved between zones: a zone is to get this part of its usual traffic. Advice: where no
    /// other backend is left, requests go there all the same.
    ZoneFraction {
        /// The zone.
        zone: u16,
        /// From 0 to 1.
        fraction: f64,
        /// Age of the advice, in milliseconds.
        age_ms: Millis,
    },
    /// Bytes from another instance. Instances share nothing in this design, so it is ignored.
    Message {
        /// Rank of the sending instance.
        from: u16,
        /// The bytes.
        bytes: &'a [u8],
    },
}
