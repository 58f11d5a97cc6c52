//! The state of a request between its arrival and its final answer.

use crate::{BackendId, BackendInfo, Millis, Outcome};

/// One attempt of a request.
#[derive(Clone, Copy)]
pub(crate) struct Attempt {
    /// The list entry of the backend at the time of the send.
    pub(crate) backend: BackendInfo,
    /// When it was sent.
    pub(crate) sent_at: Millis,
}

/// How an attempt ended.
#[derive(Clone, Copy)]
pub(crate) struct Completion {
    /// The outcome that the proxy reported.
    pub(crate) outcome: Outcome,
    /// Time since the send, in milliseconds.
    pub(crate) took: Millis,
    /// The fraction of the full rise of the limits that the backend's spare CPU permits, from 0 to 1.
    pub(crate) headroom: f64,
}

/// A request without a final answer.
pub(crate) struct PendingRequest {
    /// Index of its class in the settings.
    pub(crate) class: usize,
    /// Index of its tenant in the settings.
    pub(crate) tenant: usize,
    /// Expected work in milliseconds; 0 where unknown.
    pub(crate) expected_work: Millis,
    /// Whether the request exceeds its tenant's quota, so that it needs burst capacity.
    pub(crate) exceeds_quota: bool,
    /// Whether the client marked the request as a retry.
    pub(crate) is_client_retry: bool,
    /// Clock time at which the client stops waiting.
    pub(crate) deadline: Millis,
    /// Attempts sent so far.
    pub(crate) attempts: u32,
    /// The attempt in flight, if any.
    pub(crate) in_flight: Option<Attempt>,
    /// The backends of all attempts.
    pub(crate) tried: Vec<BackendId>,
    /// The first attempt that may have run. It holds a copy of the backend's list entry, because the backend
    /// may leave the endpoint list before a retry.
    pub(crate) may_have_run: Option<Attempt>,
    /// Whether the client has disconnected.
    pub(crate) client_gone: bool,
}
