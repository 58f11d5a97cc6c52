//! The events that the embedding proxy reports to a balancer.

use crate::types::{BackendId, BackendInfo, ListKind, LoadReport, Millis, Outcome, RequestId};

/// One event reported by the embedding proxy.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event<'a> {
    /// A new endpoint list or an update of the current one. The first event of a balancer is a `Cached` list.
    EndpointsChanged {
        /// How to interpret `backends`.
        kind: ListKind,
        /// The version of the list. No decision reads it, because updates arrive complete and in order.
        version: u32,
        /// The entries; empty if `kind` is `Failed`.
        backends: &'a [BackendInfo],
    },
    /// A request arrived. It gets exactly one final answer within `timeout_ms`.
    Request {
        /// Identifies the request in later events and actions.
        id: RequestId,
        /// The routing key; requests with equal keys access the same data. No decision reads it.
        key: Option<u64>,
        /// Index of its class in [`Settings::classes`](crate::Settings::classes).
        class: u8,
        /// Index of its tenant in [`Settings::tenants`](crate::Settings::tenants).
        tenant: u16,
        /// Expected work in milliseconds, if the client states it.
        expected_work_ms: Option<Millis>,
        /// Whether the client marked the request as a retry. A marked retry does not count towards the demand
        /// skew, and fewer of them are admitted while the tier has lost capacity.
        is_retry: bool,
        /// Whether the request writes data. No decision reads it.
        is_write: bool,
        /// How long the client waits for the answer to this request, in milliseconds. If it retries after
        /// that, the retry is a request of its own.
        timeout_ms: Millis,
    },
    /// The first byte of a streamed response was forwarded, so the request can't be retried any more. No
    /// decision reads it.
    FirstByte {
        /// The request.
        request: RequestId,
        /// The number of the attempt, from 0 in the order of the sends.
        attempt: u8,
        /// The backend that sends the response.
        backend: BackendId,
        /// Time since the attempt was sent, in milliseconds.
        took_ms: Millis,
    },
    /// An attempt ended. Every [`Action::Send`](crate::Action::Send) is followed by exactly one such event.
    Outcome {
        /// The request.
        request: RequestId,
        /// The number of the attempt, from 0 in the order of the sends.
        attempt: u8,
        /// The backend that it was sent to.
        backend: BackendId,
        /// How it ended.
        outcome: Outcome,
        /// Time since the attempt was sent, in milliseconds.
        took_ms: Millis,
        /// Whether the request ended with this attempt, so that it needs no final answer.
        ended: bool,
        /// The backend's load report; empty if the response carried none.
        report: LoadReport,
    },
    /// The client disconnected. The request needs no final answer.
    ClientGone {
        /// The request.
        request: RequestId,
    },
    /// A timer set by [`Action::SetTimer`](crate::Action::SetTimer) expired.
    Timer {
        /// The token of that action.
        token: u64,
    },
    /// A health check ended. No decision reads it, because the module sends no health checks.
    ProbeResult {
        /// The backend that was checked.
        backend: BackendId,
        /// `Ok`, or how the check failed.
        outcome: Outcome,
        /// Time since the health check was sent, in milliseconds.
        took_ms: Millis,
        /// The backend's load report; empty if the response carried none.
        report: LoadReport,
    },
    /// A traffic shift between zones: a zone is to get this fraction of its usual traffic. This is advice:
    /// requests still go to the zone if no other backend is left.
    ZoneFraction {
        /// Index of the zone in [`Settings::zones`](crate::Settings::zones).
        zone: u16,
        /// The fraction of the usual traffic, from 0 to 1.
        fraction: f64,
        /// Age of the advice, in milliseconds.
        age_ms: Millis,
    },
    /// A message from another instance. It is ignored, because instances share no state.
    Message {
        /// Rank of the sending instance.
        from: u16,
        /// The payload.
        bytes: &'a [u8],
    },
}
